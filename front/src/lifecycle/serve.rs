//! Runs a front: ordered start, readiness, drain at SIGTERM, stop.

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, Sender};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;

use crate::client::bus::{BusAddress, BusFollower};
use crate::client::pool::Pool;
use crate::engine::Engine;
use crate::exchange::Input;
use crate::fleet;
use crate::fleet::config::FleetConfig;
use crate::fleet::FleetStart;
use crate::lifecycle::config::Config;
use crate::lifecycle::listener::{self, Origin};
use crate::lifecycle::process_registry::{self, ProcessRegistration};
use crate::lifecycle::reload::Reload;
use crate::lifecycle::second_front::{SecondFront, SecondFrontContext, SecondFrontFiles};
use crate::lifecycle::shutdown::{wait_until_answered, CLIENT_CLOSE_TIMEOUT};
use crate::memory::budget::Budget;
use crate::memory::counters::Counters;
use crate::memory::job_claims::JobClaims;
use crate::memory::job_ids::JobIds;
use crate::memory::longest::Longest;
use crate::memory::request_queue::RequestQueue;
use crate::process::transient::{self, retry_at_start};
use crate::process::{clock, is_file_name, log, random_secret, spawn_at_start};
use crate::server::clients::Clients;
use crate::server::management::Management;
use crate::server::sockets::Sockets;
use crate::server::Intake;

/// Maximum number of events queued for the engine; senders block beyond it.
const MAX_QUEUED_INPUTS: usize = 8192;
/// Interval between checks for signals.
const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Request bytes may use the memory limit divided by this.
const REQUEST_MEMORY_DIVISOR: usize = 8;
/// Answers that their clients have not read, and incomplete records, may each use the memory limit divided by this.
const BUFFER_MEMORY_DIVISOR: usize = 8;

/// Runs the front. `read` reads the configuration, now and again at each SIGHUP.
pub fn serve(
    read: impl Fn() -> Result<Config, String> + Send + 'static,
    second: &SecondFrontFiles,
) -> Result<(), String> {
    let mut config = read()?;
    let register = || Signals::new([SIGTERM, SIGINT, SIGUSR1, SIGHUP]);
    let signals = retry_at_start("signals", register).map_err(|e| format!("signals: {e}"))?;
    let counters = Arc::new(Counters::default());
    let (inputs, events) = bounded(MAX_QUEUED_INPUTS);
    let inherited_fd = std::env::var("LB_FD").ok();
    let (listener, origin) = listener::clients(inherited_fd.as_deref(), config.listen)?;
    if let Some(at) = config.management {
        let management = Management::bind(at, counters.clone())?;
        eprintln!("management: calls are taken at {}", management.local_addr().unwrap_or(at));
        management.start()?;
    }

    // Before the first decision, so that the process before knows of this one when it makes any.
    let registration = register_process(origin, &config.name);
    let at = listener.local_addr().map_err(|e| e.to_string())?;

    // The initial member list is applied before the first request can arrive.
    let bus = Arc::new(BusAddress::new(config.bus));
    let follower = Arc::new(BusFollower::new(
        config.names.clone(),
        inputs.clone(),
        bus.clone(),
        counters.clone(),
        config.seed,
    ));
    let pool = Pool::new(config.pool, inputs.clone(), counters.clone());
    let names = config.classes.iter().map(|c| c.name.clone()).collect();
    let engine =
        Engine::new(config.settings.clone(), config.seed, pool, counters.clone()).with_class_names(names);
    let (fleet, engine, sites) = match begin_fleet(&second.fleet, &config, &inputs, &counters)? {
        None => (None, engine, None),
        Some(fleet::StartedFleet { fleet, budgets, maintenance, sites }) => {
            (Some(fleet), engine.with_budgets(Some(budgets)).with_maintenance(maintenance), sites)
        }
    };
    let engine = if origin == Origin::Inherited { engine.with_other_processes() } else { engine };
    let requests = Arc::new(RequestQueue::new(inputs.clone()));
    let stopped = start_engine(engine, events, requests.clone())?;
    if origin == Origin::Inherited {
        process_registry::observe(registration, inputs.clone()).map_err(|e| format!("process watch: {e}"))?;
    }
    follower.apply_known(std::mem::take(&mut config.known)).map_err(|e| e.to_string())?;
    let longest = Longest::new(config.longest_deadline);
    follower.clone().start().map_err(|e| format!("bus thread: {e}"))?;

    let job_ids = Arc::new(open_job_ids(origin, &config.name, &longest));
    let bodies = Budget::new(config.memory / REQUEST_MEMORY_DIVISOR);
    let intake = Arc::new(Intake::new(config.classes.clone(), bodies, requests, counters.clone(), job_ids));
    let reload = Reload {
        read,
        name: config.name.clone(),
        listen: config.listen,
        bus: bus.clone(),
        follower,
        counters: counters.clone(),
        shape: config.shape.clone(),
        inputs: inputs.clone(),
        intake: intake.clone(),
        longest: longest.clone(),
    };

    // The usual clients hold at most a third of the descriptors, connections to cache nodes another third.
    let clients = Clients::new(config.sockets / 2, config.memory / BUFFER_MEMORY_DIVISOR);
    clients.start_watch(&counters).map_err(|e| format!("watch thread: {e}"))?;
    let second_front = if second.file.exists() {
        let process = SecondFrontContext {
            config: &config,
            inputs: &inputs,
            counters: &counters,
            intake: &intake,
            clients: &clients,
            longest: &longest,
        };
        Some(SecondFront::start(second, process, sites)?)
    } else {
        None
    };
    let (sockets, finish) =
        Sockets::new(listener, origin, clients, intake, config.memory / BUFFER_MEMORY_DIVISOR)
            .map_err(|e| format!("epoll: {e}"))?;
    start_clients(sockets, inputs.clone())?;
    counters.ready.store(true, Relaxed);
    counters.mode.serves(clock::uptime());
    eprintln!("ready: {} listens on {at} ({origin:?}), pid {}", config.name, std::process::id());

    let shutdown_requests = start_signals(signals, counters.clone(), reload)?;
    crossbeam_channel::select! {
        recv(shutdown_requests) -> _ => {}
        recv(stopped) -> _ => return Err("the engine has stopped".into()),
    }
    counters.mode.end(clock::uptime(), longest.span());
    eprintln!("draining: {} requests are open", counters.figures.in_flight());
    if let Some(second_front) = &second_front {
        second_front.end(origin);
    }
    if let Some(fleet) = &fleet {
        fleet.prepare_to_leave();
    }
    wait_until_answered(&counters, &longest, &stopped)?;
    if let Some(second_front) = &second_front {
        second_front.seal_ledger();
    }
    // After the handover to the next process, because this process may be killed during the wait.
    std::thread::scope(|scope| {
        // Not before the last answer: machines and budgets that open requests rest on would be given to others. Without a
        // thread the fleet is not left, which is as if the process had failed.
        if let Some(fleet) = &fleet {
            let thread = std::thread::Builder::new().name("fleet-leave".into());
            if let Err(error) = thread.spawn_scoped(scope, || fleet.leave(&inputs)) {
                eprintln!("fleet: not left: {error}");
            }
        }
        if !finish.close_within(&counters.mode, CLIENT_CLOSE_TIMEOUT) {
            eprintln!("draining: some clients have not closed their connections");
        }
    });
    let _ = inputs.send(Input::Stop);
    eprintln!("{counters}");
    eprintln!("stopped");
    Ok(())
}

/// Registers this process where another one may share its listener. Without a registration it assumes that one does.
fn register_process(origin: Origin, name: &str) -> Option<ProcessRegistration> {
    if origin == Origin::Bound {
        return None;
    }
    let registration = ProcessRegistration::from_env(name);
    if let Err(error) = &registration {
        eprintln!("processes: not registered, half of each cold budget is used: {error}");
    }
    registration.ok()
}

/// The job ids of requests that must not run twice, shared with the process before and after this one.
fn open_job_ids(origin: Origin, name: &str, longest: &Longest) -> JobIds {
    let job_ids = JobIds::new(longest.clone());
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty());
    let Some(folder) = folder.filter(|_| origin == Origin::Inherited && is_file_name(name)) else {
        return job_ids;
    };
    match JobClaims::open(Path::new(&folder), name) {
        Ok((claims, adopted)) => job_ids.with_claims(claims, adopted),
        Err(error) => {
            eprintln!("jobs: ids are not shared with other processes: {error}");
            job_ids
        }
    }
}

/// Serves the platform's clients on a separate thread.
fn start_clients(sockets: Sockets, inputs: Sender<Input>) -> Result<(), String> {
    let run = move || {
        // Without this thread no client is served: the process ends and is restarted.
        let _ = catch_unwind(AssertUnwindSafe(|| sockets.run()));
        let _ = inputs.send(Input::Stop);
    };
    spawn_at_start("clients", run).map(drop).map_err(|e| format!("clients' thread: {e}"))
}

/// Reads signals on a separate thread; the returned channel receives a message at SIGTERM or SIGINT.
fn start_signals<R>(
    mut signals: Signals,
    counters: Arc<Counters>,
    reload: Reload<R>,
) -> Result<Receiver<()>, String>
where
    R: Fn() -> Result<Config, String> + Send + 'static,
{
    let (shutdown_sender, shutdown_requests) = bounded(1);
    let run = move || {
        // Not `forever()`: its handler wakes it by a write that may fail, and the signal would then wait for the next
        // one.
        loop {
            for signal in signals.pending() {
                match signal {
                    SIGUSR1 => eprintln!("{counters}"),
                    SIGHUP => reload.run(),
                    _ => drop(shutdown_sender.try_send(())),
                }
            }
            std::thread::sleep(SIGNAL_CHECK_INTERVAL);
        }
    };
    spawn_at_start("signals", run).map_err(|e| format!("signal thread: {e}"))?;
    Ok(shutdown_requests)
}

/// Starts the fleet if its file exists.
///
/// # Errors
/// If the file, or what it names, can't be used: the front does not start.
fn begin_fleet(
    file: &Path,
    config: &Config,
    inputs: &Sender<Input>,
    counters: &Arc<Counters>,
) -> Result<Option<fleet::StartedFleet>, String> {
    if !file.exists() {
        log::init(log::LogForm::default());
        return Ok(None);
    }
    let read = FleetConfig::load(file).map_err(|error| error.to_string())?;
    log::init(read.log);
    let start = FleetStart {
        config: &read,
        name: &config.name,
        max_deadline_ms: config.longest_deadline,
        seed: random_secret(),
        inputs: inputs.clone(),
        counters: counters.clone(),
    };
    fleet::start(start).map(Some).map_err(|why| format!("fleet: {why}"))
}

fn start_engine(
    engine: Engine<Pool>,
    events: Receiver<Input>,
    requests: Arc<RequestQueue>,
) -> Result<Receiver<()>, String> {
    let (alive, stopped) = bounded::<()>(0);
    let run = move || {
        let _alive = alive;
        engine.run(&events, &requests);
    };
    transient::spawn_at_start("engine", None, run).map_err(|e| format!("engine thread: {e}"))?;
    Ok(stopped)
}
