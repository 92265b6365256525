//! Runs a front: start in order, ready, drain at SIGTERM, stop.

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, tick, Receiver, Sender};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;

use crate::client::bus::{Feed, Whereabouts};
use crate::client::pool::Pool;
use crate::client::resolver;
use crate::edge::config::EdgeConfig;
use crate::edge::in_force::InForce;
use crate::engine::Engine;
use crate::exchange::Input;
use crate::fleet;
use crate::fleet::config::FleetConfig;
use crate::fleet::FleetStart;
use crate::lifecycle::cells::CellsInForce;
use crate::lifecycle::edge::Edge;
use crate::lifecycle::handover::{self, Handover, Run};
use crate::lifecycle::listener::{self, Origin};
use crate::lifecycle::reload::Reload;
use crate::lifecycle::{config::Config, control};
use crate::memory::budget::Budget;
use crate::memory::counters::Counters;
use crate::memory::ledger::Ledger;
use crate::memory::longest::Longest;
use crate::process::log::Log;
use crate::process::{clock, spawn};
use crate::server::clients::Clients;
use crate::server::dns;
use crate::server::http::Site;
use crate::server::management::Management;
use crate::server::sockets::Sockets;
use crate::server::Intake;

/// Events that wait for the engine at most; whoever brings more waits.
const EVENTS: usize = 8192;
/// The part of the memory that the bytes of requests may take.
const BODIES: usize = 8;
/// After SIGTERM new connections come for up to 0.4 s and requests for 0.2 s: the front stays at least so long.
const STAY: Duration = Duration::from_millis(1000);
/// Once all is answered, so long is waited for what still comes and for the clients' own ends of their connections.
const FINISH: Duration = Duration::from_millis(400);
/// So often it is looked whether an earlier process has gone.
const WAIT: Duration = Duration::from_millis(20);
/// An earlier process that gives its addresses up has closed the last of them after so long, or has been killed.
const GIVEN_UP: Duration = Duration::from_secs(10);

/// Where the second front's file is, and where plan and apply find the program.
pub struct Second {
    pub file: PathBuf,
    pub control: Option<PathBuf>,
    /// The cells' file.
    pub cells: PathBuf,
    /// The fleet's file.
    pub fleet: PathBuf,
}

/// Runs the front. `read` reads the configuration, now and again at each SIGHUP.
pub fn serve(
    read: impl Fn() -> Result<Config, String> + Send + 'static,
    second: &Second,
) -> Result<(), String> {
    let config = read()?;
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGUSR1, SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    let counters = Arc::new(Counters::default());
    let (inputs, events) = bounded(EVENTS);
    let handed = std::env::var("LB_FD").ok();
    let (listener, origin) = listener::clients(handed.as_deref(), config.listen)?;
    if let Some(at) = config.management {
        let management = Management::bind(at, counters.clone())?;
        eprintln!("management: calls are taken at {}", management.local_addr().unwrap_or(at));
        management.start()?;
    }

    let at = listener.local_addr().map_err(|e| e.to_string())?;

    // The list of the start goes in before the first request can.
    let mut feed = Feed {
        names: config.names.clone(),
        last: 0,
        inputs: inputs.clone(),
        counters: counters.clone(),
        seed: config.seed,
    };
    let pool = Pool::new(config.pool, inputs.clone(), counters.clone());
    let names = config.classes.iter().map(|c| c.name.clone()).collect();
    let engine =
        Engine::new(config.settings.clone(), config.seed, pool, counters.clone()).with_class_names(names);
    let (fleet, engine, sites) = match begin_fleet(&second.fleet, &config, &inputs, &counters)? {
        None => (None, engine, None),
        Some(fleet::Started { fleet, budgets, maintenance, sites }) => {
            (Some(fleet), engine.with_budgets(Some(budgets)).with_maintenance(maintenance), sites)
        }
    };
    let stopped = start_engine(engine, events)?;
    feed.apply(Ok((config.known, Vec::new())))?;
    let longest = Longest::new(config.longest_deadline);
    let bus = Arc::new(Whereabouts::new(config.bus));
    let followed = bus.clone();
    spawn("bus", move || feed.follow(&followed)).map_err(|e| format!("bus thread: {e}"))?;

    let bodies = Budget::new(config.memory / BODIES);
    let intake = Arc::new(Intake::new(config.classes.clone(), bodies, inputs.clone(), counters.clone()));
    let reload = Reload {
        read,
        name: config.name.clone(),
        listen: config.listen,
        bus: bus.clone(),
        counters: counters.clone(),
        shape: config.shape.clone(),
        inputs: inputs.clone(),
        intake: intake.clone(),
        longest: longest.clone(),
    };

    // The usual clients hold a third of the descriptors at most, connections to cache nodes another.
    let clients = Clients::new(config.sockets / 2);
    clients.watch().map_err(|e| format!("watch thread: {e}"))?;
    let mut running = None;
    if second.file.exists() {
        let in_force = Arc::new(InForce::default());
        let names = resolver::Client::new(config.names, inputs.clone(), in_force.clone(), secret());
        names.start().map_err(|e| format!("resolver thread: {e}"))?;
        let shared = dns::Shared { counts: Arc::default(), log: Log::default(), seed: secret() };
        let _ = counters.dns.set(shared.counts.clone());
        let ledger = Arc::new(Ledger::new([(); 4].map(|()| secret()), longest.clone()));
        let handover = Handover::from_env(&config.name, Run(secret()));
        let site = Site {
            name: config.name.clone(),
            intake: intake.clone(),
            clients: clients.clone(),
            ledger: ledger.clone(),
            in_force: in_force.clone(),
            sites,
            seed: config.seed,
            jobs: AtomicU64::new(1),
        };
        let edge = Edge::new(
            config.name.clone(),
            in_force,
            counters.clone(),
            Arc::new(shared),
            site,
            longest.clone(),
        );
        edge.watch().map_err(|e| format!("edge thread: {e}"))?;
        let path = second.control.clone().unwrap_or_else(|| control::usual_path(&config.name));
        let cells = CellsInForce::new(inputs.clone(), config.longest_deadline);
        cells.start(&second.cells);
        let file = second.file.clone();
        let second =
            Beginning { file, path: path.clone(), edge: edge.clone(), cells, counters: counters.clone() };
        let alone = Arc::new(OnceLock::new());
        // The second front must not keep the first from serving.
        second.begin(alone.clone()).map_err(|e| format!("second front's thread: {e}"))?;
        // The clients of the process before give up after the longest deadline; where it may leave word, it is not
        // shut out by that: it stays for a while before it does.
        let closed = Duration::from_secs_f64(config.longest_deadline / 1000.0);
        let closed = if handover.is_some() { closed.max(STAY * 2) } else { closed };
        let (opened, passed) = (ledger.clone(), handover.clone());
        let opens =
            move || handover::open_when_safe(&opened, passed.as_ref(), closed, || alone.get().copied());
        spawn("ledger", opens).map_err(|e| format!("ledger thread: {e}"))?;
        running = Some((edge, ledger, handover, path));
    }
    let (sockets, finish) =
        Sockets::new(listener, origin, clients, intake).map_err(|e| format!("epoll: {e}"))?;
    let ended = inputs.clone();
    let run = move || {
        // Without this thread the program is deaf: it ends, and is started again.
        let _ = catch_unwind(AssertUnwindSafe(|| sockets.run()));
        let _ = ended.send(Input::Stop);
    };
    spawn("clients", run).map_err(|e| format!("clients' thread: {e}"))?;
    counters.ready.store(true, Relaxed);
    counters.mode.serves();
    eprintln!("ready: {} listens on {at} ({origin:?}), pid {}", config.name, std::process::id());

    let (term, terms) = bounded(1);
    let shown = counters.clone();
    spawn("signals", move || {
        for signal in signals.forever() {
            match signal {
                SIGUSR1 => eprintln!("{shown}"),
                SIGHUP => reload.run(),
                _ => drop(term.try_send(())),
            }
        }
    })
    .map_err(|e| format!("signal thread: {e}"))?;

    crossbeam_channel::select! {
        recv(terms) -> _ => {}
        recv(stopped) -> _ => return Err("the engine has stopped".into()),
    }
    counters.mode.end();
    eprintln!("draining: {} requests are open", counters.figures.in_flight());
    if let Some((edge, .., control)) = &running {
        edge.end();
        // On a handed-down listener the next process is there already, and waits for our other addresses.
        if origin == Origin::Inherited {
            edge.leave();
            let _ = std::fs::remove_file(control);
        }
    }
    let _ = inputs.send(Input::Drain);
    if let Some(fleet) = &fleet {
        fleet.leave(&inputs);
    }
    drain(&counters, &longest, &stopped)?;
    if let Some((_, ledger, Some(handover), _)) = &running {
        match handover.seal(ledger) {
            Ok(Some(bytes)) => eprintln!("ledger: left to the next process, {bytes} bytes"),
            Ok(None) => {}
            Err(why) => eprintln!("ledger: nothing is left to the next process: {why}"),
        }
    }
    // After what is left to the next process: a kill may come meanwhile.
    if !finish.within(&counters.mode, FINISH) {
        eprintln!("draining: some clients have not closed their connections");
    }
    let _ = inputs.send(Input::Stop);
    eprintln!("{counters}");
    eprintln!("stopped");
    Ok(())
}

/// A number that nobody can guess.
fn secret() -> u64 {
    let mut bytes = [0; 8];
    match getrandom::fill(&mut bytes) {
        Ok(()) => u64::from_le_bytes(bytes),
        Err(_) => clock::unix_ms().to_bits(),
    }
}

/// The start of the second front. An earlier process of ours may still hold its addresses.
struct Beginning {
    file: PathBuf,
    path: PathBuf,
    edge: Arc<Edge>,
    cells: CellsInForce,
    counters: Arc<Counters>,
}

impl Beginning {
    /// Puts the file in force, later if an earlier process is there still. The moment it has the addresses, or has
    /// given up, is put down.
    fn begin(self, done: Arc<OnceLock<Instant>>) -> std::io::Result<()> {
        let path = self.path.clone();
        let run = move |patience: Duration| {
            if let Err(why) = self.put_in_force(patience) {
                eprintln!("edge: nothing is in force: {why}");
            }
            let _ = done.set(Instant::now());
        };
        if !control::taken(&path) {
            run(Duration::ZERO);
            return Ok(());
        }
        eprintln!("edge: an earlier process has the addresses: waiting for them");
        spawn("edge-wait", move || {
            while control::taken(&path) {
                std::thread::sleep(WAIT);
            }
            run(GIVEN_UP);
        })
        .map(drop)
    }

    fn put_in_force(self, patience: Duration) -> Result<(), String> {
        let Beginning { file, path, edge, cells, counters } = self;
        control::listen(&path, edge.clone(), cells, counters)?;
        let until = Instant::now() + patience;
        loop {
            match edge.apply(EdgeConfig::load(&file)?, None) {
                Err(_) if Instant::now() < until => std::thread::sleep(WAIT),
                applied => return applied.map(drop),
            }
        }
    }
}

/// The fleet, if its file is there. A file that can't be used must not keep the front from serving: it goes on without shares and
/// floors, and the log says why.
fn begin_fleet(
    file: &Path,
    config: &Config,
    inputs: &Sender<Input>,
    counters: &Arc<Counters>,
) -> Result<Option<fleet::Started>, String> {
    if !file.exists() {
        return Ok(None);
    }
    let read = FleetConfig::load(file).map_err(|error| error.to_string())?;
    fleet::log(read.log);
    let start = FleetStart {
        config: &read,
        name: &config.name,
        max_deadline_ms: config.longest_deadline,
        seed: secret(),
        inputs: inputs.clone(),
        counters: counters.clone(),
    };
    fleet::start(start).map(Some).map_err(|why| format!("fleet: {why}"))
}

fn start_engine(engine: Engine<Pool>, events: Receiver<Input>) -> Result<Receiver<()>, String> {
    let (alive, stopped) = bounded::<()>(0);
    let run = move || {
        let _alive = alive;
        engine.run(&events);
    };
    let thread = std::thread::Builder::new().name("engine".into()).spawn(run);
    thread.map_err(|e| format!("engine thread: {e}"))?;
    Ok(stopped)
}

/// Waits until nothing is open any more, for the longest deadline at most.
fn drain(counters: &Counters, longest: &Longest, stopped: &Receiver<()>) -> Result<(), String> {
    let since = Instant::now();
    let ticks = tick(Duration::from_millis(50));
    loop {
        crossbeam_channel::select! {
            recv(ticks) -> _ => {}
            recv(stopped) -> _ => return Err("the engine has stopped".into()),
        }
        // A reload may still raise it.
        let last = Duration::from_secs_f64(longest.ms() / 1000.0 + 0.6);
        let done = since.elapsed() >= STAY && counters.all_answered();
        if done || since.elapsed() >= last {
            return Ok(());
        }
    }
}
