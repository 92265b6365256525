//! Starts the fleet's thread with its socket, its store and the operators' socket, and makes the engine's clients of
//! it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use crossbeam_channel::{bounded, Sender};
use elmtide_budgets::FrontId;
use elmtide_fleet::{FleetSettings, MaintenanceSettings, RecoveredState};
use elmtide_maintenance::{MachineId, MaintenanceExclusions};
use elmtide_store::Store;

use crate::engine::budget_client::BudgetClient;
use crate::engine::maintenance_client::MaintenanceClient;
use crate::exchange::Input;
use crate::fleet::config::{FleetConfig, FrontEntry};
use crate::fleet::datagram_socket::FleetSocket;
use crate::fleet::operator::{OperatorCalls, OperatorDesk, RunnerCommand};
use crate::fleet::operator_socket;
use crate::fleet::runner::{NodeTemplate, Runner, RunnerChannels};
use crate::fleet::site_failover::SiteFailover;
use crate::fleet::site_watch::{SiteWatch, SiteWatchConfig};
use crate::fleet::spend_log::SpendLog;
use crate::fleet::start_error::StartError;
use crate::fleet_link::{EngineReport, Waker};
use crate::memory::counters::Counters;
use crate::process::{clock, spawn};

/// Maximum number of engine reports, and of commands from the process, that wait for the thread.
const MAX_WAITING_REPORTS: usize = 64;
const MAX_WAITING_COMMANDS: usize = 16;

/// What the fleet is started with.
pub struct FleetStart<'a> {
    /// The fleet's file.
    pub config: &'a FleetConfig,
    /// This front's name.
    pub name: &'a str,
    /// The longest deadline of a request, in milliseconds.
    pub max_deadline_ms: f64,
    /// A random number that differs between processes.
    pub seed: u64,
    /// The engine's inputs.
    pub inputs: Sender<Input>,
    /// The process's counters.
    pub counters: Arc<Counters>,
}

/// A handle to the fleet's thread, and the engine's clients of the fleet.
pub struct StartedFleet {
    /// The handle for leaving the fleet.
    pub fleet: Fleet,
    /// The engine's client for the fleet's budgets.
    pub budgets: Box<BudgetClient>,
    /// The engine's client for maintenance; `None` if it is not configured.
    pub maintenance: Option<Box<MaintenanceClient>>,
    /// The failover of sites; `None` if it is not configured.
    pub sites: Option<Arc<SiteFailover>>,
}

/// The process's handle to the fleet's thread.
pub struct Fleet {
    commands: Sender<RunnerCommand>,
    waker: Waker,
}

/// Maximum wait for an orderly departure. The platform kills the process soon after.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);

impl Fleet {
    /// The process will end: another front leads from now on. Requests that are open still rest on this front's part.
    pub fn prepare_to_leave(&self) {
        if self.commands.send(RunnerCommand::TransferLeadership).is_ok() {
            self.waker.wake();
        }
    }

    /// Leaves the fleet in order: the engine stops spending leased quotas once nothing is open, then the node returns them
    /// and leaves. It waits for at most [`LEAVE_TIMEOUT`]; a front that can't leave counts as one that failed.
    pub fn leave(&self, inputs: &Sender<Input>) {
        let deadline = Instant::now() + LEAVE_TIMEOUT;
        let (confirm, closed) = bounded(1);
        let close = crate::fleet_link::FleetUpdate::Close(confirm);
        if inputs.send(Input::Fleet(close)).is_err() || closed.recv_deadline(deadline).is_err() {
            return;
        }
        let (confirm, left) = bounded(1);
        if self.commands.send(RunnerCommand::Leave(confirm)).is_ok() {
            self.waker.wake();
            let _ = left.recv_deadline(deadline);
        }
    }
}

/// Opens the socket and the store, and starts the thread.
///
/// # Errors
/// If the file, the store, a socket or a thread can't be used.
pub fn start(start: FleetStart) -> Result<StartedFleet, StartError> {
    let FleetStart { config, name, max_deadline_ms, seed, inputs, counters } = start;
    let own = config.front_entry(name).ok_or_else(|| StartError::UnknownFront(name.to_owned()))?;
    let settings = config.settings(max_deadline_ms)?;
    let (store, recovered) = open_store(config)?;
    let socket = bind(own, &counters)?;
    let waker = || socket.waker().map_err(StartError::io("fleet socket"));
    let maintenance = settings.maintenance.as_ref().map(|m| maintenance_client(config, name, &settings, m));
    let sites = watch_sites(config, &settings, name, max_deadline_ms, counters)?;
    let failover = sites.as_ref().map(|sites| sites.failover().clone());
    let template = NodeTemplate {
        own: FrontId::from_name(name),
        installation: config.installation.clone(),
        key: config.key()?,
        settings,
        seed,
    };
    let node = template.start(recovered)?;
    let (report_sender, reports) = bounded(MAX_WAITING_REPORTS);
    let (command_sender, commands) = bounded(MAX_WAITING_COMMANDS);
    let status = Arc::new(ArcSwapOption::empty());
    let calls = OperatorCalls {
        commands: command_sender.clone(),
        waker: waker()?,
        status: status.clone(),
        configured_fronts: config.front.iter().map(|front| front.name.clone()).collect(),
        has_maintenance: maintenance.is_some(),
        has_sites: failover.is_some(),
    };
    let path = config.operator_socket(name);
    operator_socket::listen(&path, calls).map_err(StartError::io(path.display()))?;
    let budgets = budget_client(config, own, &template.settings, report_sender, waker()?)?;
    let fleet = Fleet { commands: command_sender, waker: waker()? };
    let runner = Runner::new(
        config,
        socket,
        node,
        store,
        template,
        RunnerChannels { inputs, reports, commands, status },
        OperatorDesk::new(config),
        sites,
    );
    spawn("fleet", move || runner.run_until_panic()).map_err(StartError::io("fleet"))?;
    Ok(StartedFleet { fleet, budgets, maintenance, sites: failover })
}

fn open_store(config: &FleetConfig) -> Result<(Option<Store>, RecoveredState), StartError> {
    let Some(path) = &config.store else {
        // Without a store only the clock tells incarnations apart. If it has gone back, this incarnation is lower than
        // the previous one and the other fronts reject it.
        let incarnation = clock::steady_ms() as u64;
        return Ok((None, RecoveredState { incarnation, ..RecoveredState::default() }));
    };
    let (store, recovered) = Store::open(path, &config.installation)
        .map_err(|error| StartError::Store { path: path.clone(), error })?;
    Ok((Some(store), recovered))
}

/// Binds the socket and registers its counters with the process's.
fn bind(own: &FrontEntry, counters: &Counters) -> Result<FleetSocket, StartError> {
    let address = own.listen.unwrap_or(own.address);
    let datagrams = counters.fleet_datagrams.get_or_init(Arc::default).clone();
    let socket = FleetSocket::bind(address, datagrams).map_err(StartError::io(address))?;
    let at = socket.local_addr().map_err(StartError::io(address))?;
    tracing::info!(%at, "fleet: listens");
    Ok(socket)
}

fn maintenance_client(
    config: &FleetConfig,
    name: &str,
    settings: &FleetSettings,
    maintenance: &MaintenanceSettings,
) -> Box<MaintenanceClient> {
    let machines = maintenance.machines.iter();
    let machines = machines.map(|spec| (MachineId::from_name(&spec.name), spec.address));
    let exclusions = MaintenanceExclusions::new(settings.lease, machines);
    let own_machine = config.machine.iter().find(|machine| machine.front.as_deref() == Some(name));
    let own_machine = own_machine.map(|machine| MachineId::from_name(&machine.name));
    Box::new(MaintenanceClient::new(exclusions, own_machine))
}

fn watch_sites(
    config: &FleetConfig,
    settings: &FleetSettings,
    name: &str,
    max_deadline_ms: f64,
    counters: Arc<Counters>,
) -> Result<Option<SiteWatch>, StartError> {
    let (Some(table), Some(failover)) = (&config.sites, &settings.sites) else { return Ok(None) };
    let watch = SiteWatchConfig {
        config,
        table,
        failover,
        own_name: name,
        lease: settings.lease,
        max_deadline_ms,
        counters,
    };
    SiteWatch::start(watch).map(Some)
}

fn budget_client(
    config: &FleetConfig,
    own: &FrontEntry,
    settings: &FleetSettings,
    reports: Sender<EngineReport>,
    waker: Waker,
) -> Result<Box<BudgetClient>, StartError> {
    let spend_log =
        config.record.as_deref().map(SpendLog::start).transpose().map_err(StartError::SpendLog)?;
    let limits = config.budget.iter().map(|budget| budget.total_limit(&own.site));
    let limits: Vec<_> = limits.collect::<Result<_, _>>()?;
    let kinds = config.budget.iter().map(|budget| budget.kind());
    let kinds = kinds.collect::<Result<_, _>>()?;
    let limits = limits.into_iter().flatten().collect();
    Ok(Box::new(BudgetClient::new(settings.lease, limits, kinds, reports, waker, spend_log)))
}
