//! Lifecycle of the second front: its start while an earlier process runs, its end, and the handover to the next
//! process.

use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use elmtide_drain::DrainSchedule;

use crate::client::resolver;
use crate::edge::in_force::InForce;
use crate::exchange::Input;
use crate::fleet::site_failover::SiteFailover;
use crate::lifecycle::activation::Activation;
use crate::lifecycle::cells::CellsInForce;
use crate::lifecycle::config::Config;
use crate::lifecycle::control;
use crate::lifecycle::edge::Edge;
use crate::lifecycle::handover::{self, Handover, Run};
use crate::lifecycle::listener::Origin;
use crate::lifecycle::shutdown::MIN_SHUTDOWN;
use crate::memory::counters::Counters;
use crate::memory::ledger::Ledger;
use crate::memory::longest::Longest;
use crate::process::log::RateLimitedLog;
use crate::process::{random_secret, spawn};
use crate::server::clients::Clients;
use crate::server::http::HttpContext;
use crate::server::{dns, Intake};

/// Paths of the second front's files and of the control socket.
pub struct SecondFrontFiles {
    pub file: PathBuf,
    pub control: Option<PathBuf>,
    /// The cells' file.
    pub cells: PathBuf,
    /// The fleet's file.
    pub fleet: PathBuf,
}

/// Parts of the process that the second front shares.
pub struct SecondFrontContext<'a> {
    pub config: &'a Config,
    pub inputs: &'a Sender<Input>,
    pub counters: &'a Arc<Counters>,
    pub intake: &'a Arc<Intake>,
    pub clients: &'a Clients,
    pub longest: &'a Longest,
}

/// The running second front.
pub struct SecondFront {
    edge: Arc<Edge>,
    ledger: Arc<Ledger>,
    handover: Option<Handover>,
    control: PathBuf,
}

impl SecondFront {
    /// Starts its threads, and puts its file in force as soon as no earlier process holds the addresses.
    ///
    /// # Errors
    /// If a thread can't be started. A file that can't be used is logged: it must not keep the first front from
    /// serving.
    pub fn start(
        files: &SecondFrontFiles,
        context: SecondFrontContext,
        sites: Option<Arc<SiteFailover>>,
    ) -> Result<SecondFront, String> {
        let SecondFrontContext { config, inputs, counters, intake, clients, longest } = context;
        let in_force = Arc::new(InForce::default());
        let names = resolver::NameFollower::new(
            config.names.clone(),
            inputs.clone(),
            in_force.clone(),
            random_secret(),
        );
        names.start().map_err(|e| format!("resolver thread: {e}"))?;
        let shared = dns::DnsContext {
            counts: Arc::default(),
            datagrams: Arc::default(),
            log: RateLimitedLog::default(),
            seed: random_secret(),
        };
        let _ = counters.dns.set(shared.counts.clone());
        let _ = counters.dns_datagrams.set(shared.datagrams.clone());
        let ledger = Arc::new(Ledger::new([(); 4].map(|()| random_secret()), longest.clone()));
        let handover = Handover::from_env(&config.name, Run(random_secret()));
        let site = HttpContext {
            name: config.name.clone(),
            intake: intake.clone(),
            clients: clients.clone(),
            ledger: ledger.clone(),
            in_force: in_force.clone(),
            sites,
            seed: config.seed,
            job_counter: AtomicU64::new(1),
        };
        let (name, counts) = (config.name.clone(), counters.clone());
        let edge = Edge::new(name, in_force, counts, Arc::new(shared), site, longest.clone());
        edge.watch().map_err(|e| format!("edge thread: {e}"))?;
        let control = files.control.clone().unwrap_or_else(|| control::usual_path(&config.name));
        let cells = CellsInForce::new(inputs.clone(), config.longest_deadline);
        cells.start(&files.cells);
        let activation = Activation {
            file: files.file.clone(),
            control: control.clone(),
            edge: edge.clone(),
            cells: Arc::new(cells),
            counters: counters.clone(),
        };
        let settled = Arc::new(OnceLock::new());
        // The second front must not keep the first from serving.
        activation.begin(settled.clone()).map_err(|e| format!("second front's thread: {e}"))?;
        let second_front = SecondFront { edge, ledger, handover, control };
        second_front.open_ledger(config.longest_deadline, settled)?;
        Ok(second_front)
    }

    /// Opens the ledger once no client of an earlier process can still retry there.
    fn open_ledger(&self, longest_deadline_ms: f64, settled: Arc<OnceLock<Instant>>) -> Result<(), String> {
        // The previous process admits requests on open connections for a while after it has left its addresses, and their
        // clients give up, and ask again no more, after the longest deadline. If that process may leave a seal, wait long
        // enough for it to do so: it keeps running for a while before it seals.
        let longest_deadline = Duration::from_secs_f64(longest_deadline_ms / 1000.0);
        let closed = DrainSchedule::shutdown(longest_deadline).reject_after + longest_deadline;
        let closed = if self.handover.is_some() { closed.max(MIN_SHUTDOWN * 2) } else { closed };
        let (ledger, handover) = (self.ledger.clone(), self.handover.clone());
        let open =
            move || handover::open_when_safe(&ledger, handover.as_ref(), closed, || settled.get().copied());
        spawn("ledger", open).map(drop).map_err(|e| format!("ledger thread: {e}"))
    }

    /// Stops accepting connections.
    pub fn end(&self, origin: Origin) {
        self.edge.end();
        // With an inherited listener the next process runs already and waits for the other addresses.
        if origin == Origin::Inherited {
            self.edge.leave();
            let _ = std::fs::remove_file(&self.control);
        }
    }

    /// Leaves the results of requests that must not run twice to the next process.
    pub fn seal_ledger(&self) {
        let Some(handover) = &self.handover else { return };
        match handover.seal(&self.ledger) {
            Ok(Some(bytes)) => eprintln!("ledger: left to the next process, {bytes} bytes"),
            Ok(None) => {}
            Err(why) => eprintln!("ledger: nothing is left to the next process: {why}"),
        }
    }
}
