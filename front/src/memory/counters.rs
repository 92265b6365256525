//! Counters of requests, attempts, connections and answers.

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, OnceLock};

use elmtide::Outcome;

use crate::memory::figures::Figures;
use crate::memory::mode::Mode;
use crate::process::datagram_counters::DatagramCounters;

const OUTCOMES: [&str; 9] =
    ["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss"];

#[derive(Debug, Default)]
pub struct Counters {
    pub taken: AtomicU64,
    /// When the bus was last read to its end, in milliseconds of `clock::steady_ms`.
    pub bus_heard: AtomicU64,
    /// Refused or redirected by the plan for a lost site.
    pub site_refused: AtomicU64,
    pub bad_requests: AtomicU64,
    pub refused_early: AtomicU64,
    pub broken_clients: AtomicU64,
    /// Requests whose job id had come before, answered without a run.
    pub repeated_jobs: AtomicU64,
    /// Answers given up, in whole or in part, since their clients did not read and memory was needed.
    pub answers_shed: AtomicU64,
    /// Redirected to another front because this one has drained.
    pub sent_away: AtomicU64,
    /// Requests rejected because the front drains, open ones answered at the cut-off of a drain, and partial ones
    /// rejected at the cut-off.
    pub drain_rejected: AtomicU64,
    pub drain_cut_off: AtomicU64,
    pub drain_partial_rejected: AtomicU64,
    /// Client connections closed by a drain.
    pub drain_closed: AtomicU64,
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    pub abandoned: AtomicU64,
    pub open: AtomicU64,
    /// Requests refused by their cell, by reason.
    pub by_cell: [AtomicU64; 6],
    /// Whether requests can be accepted: reported to other fronts, not a counter.
    pub ready: AtomicBool,
    /// Serving, paused or ending: determines readiness.
    pub mode: Mode,
    /// The metrics of the management address.
    pub figures: Arc<Figures>,
    /// Counters of the name server, if one runs.
    pub dns: OnceLock<Arc<elmtide_dns::answer::Counts>>,
    /// Counters of the name server's datagrams.
    pub dns_datagrams: OnceLock<Arc<DatagramCounters>>,
    /// Counters of the fleet's datagrams.
    pub fleet_datagrams: OnceLock<Arc<DatagramCounters>>,
    unwritten: AtomicU64,
    pub sent: AtomicU64,
    pub client_connections: AtomicU64,
    pub node_connections: AtomicU64,
    pub bus_events: AtomicU64,
    pub bus_failures: AtomicU64,
    outcomes: [AtomicU64; 9],
}

impl Counters {
    /// Whether every accepted request has ended and its answer has been written.
    pub fn all_answered(&self) -> bool {
        let ended = [&self.served, &self.refused, &self.failed, &self.abandoned];
        let ended = ended.iter().map(|c| c.load(Relaxed)).sum::<u64>();
        self.taken.load(Relaxed) == ended && self.unwritten.load(Relaxed) == 0
    }

    pub fn outcome(&self, outcome: Outcome) {
        let index = match outcome {
            Outcome::Ok => 0,
            Outcome::Error => 1,
            Outcome::Full => 2,
            Outcome::Timeout => 3,
            Outcome::ConnectFailed => 4,
            Outcome::Reset => 5,
            Outcome::Cancelled => 6,
            Outcome::Moot => 7,
            Outcome::Miss => 8,
        };
        self.outcomes[index].fetch_add(1, Relaxed);
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = [
            ("taken", &self.taken),
            ("bad_requests", &self.bad_requests),
            ("refused_early", &self.refused_early),
            ("broken_clients", &self.broken_clients),
            ("served", &self.served),
            ("refused", &self.refused),
            ("failed", &self.failed),
            ("abandoned", &self.abandoned),
            ("open", &self.open),
            ("sent", &self.sent),
            ("client_connections", &self.client_connections),
            ("node_connections", &self.node_connections),
            ("bus_events", &self.bus_events),
            ("bus_failures", &self.bus_failures),
            ("sent_away", &self.sent_away),
            ("site_refused", &self.site_refused),
        ];
        write!(f, "counters")?;
        for (name, value) in named.into_iter().chain(OUTCOMES.into_iter().zip(&self.outcomes)) {
            write!(f, " {name}={}", value.load(Relaxed))?;
        }
        for (why, value) in elmtide_cells::RefusalReason::ALL.into_iter().zip(&self.by_cell) {
            write!(f, " cell_{}={}", why.name(), value.load(Relaxed))?;
        }
        for (name, value) in self.dns.get().into_iter().flat_map(|dns| dns.named()) {
            write!(f, " {name}={value}")?;
        }
        // After the older counters, because scripts may depend on their positions.
        let of_drains = [
            ("drain_rejected", &self.drain_rejected),
            ("drain_cut_off", &self.drain_cut_off),
            ("drain_partial_rejected", &self.drain_partial_rejected),
            ("drain_closed", &self.drain_closed),
        ];
        for (name, value) in of_drains {
            write!(f, " {name}={}", value.load(Relaxed))?;
        }
        for (name, value) in self.dns_datagrams.get().into_iter().flat_map(|datagrams| datagrams.named()) {
            write!(f, " dns_datagrams_{name}={value}")?;
        }
        for (name, value) in self.fleet_datagrams.get().into_iter().flat_map(|datagrams| datagrams.named()) {
            write!(f, " fleet_datagrams_{name}={value}")?;
        }
        for (name, value) in [("answers_shed", &self.answers_shed), ("repeated_jobs", &self.repeated_jobs)] {
            write!(f, " {name}={}", value.load(Relaxed))?;
        }
        Ok(())
    }
}

/// Held from a request's last byte until its answer is written, so that the process does not end while the engine
/// has finished a request and its answer is still unwritten.
#[derive(Debug)]
pub struct Unwritten(Arc<Counters>);

impl Unwritten {
    pub fn new(counters: &Arc<Counters>) -> Unwritten {
        counters.unwritten.fetch_add(1, Relaxed);
        Unwritten(counters.clone())
    }
}

impl Drop for Unwritten {
    fn drop(&mut self) {
        self.0.unwritten.fetch_sub(1, Relaxed);
    }
}
