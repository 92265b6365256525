//! Starts the fleet's thread with everything around it: socket, store, operators' socket, and the engine's side.

use std::sync::Arc;

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
use crate::fleet::operator::{OperatorCalls, OperatorDesk, Order};
use crate::fleet::operator_socket;
use crate::fleet::runner::{NodeTemplate, Runner, RunnerChannels};
use crate::fleet::site_failover::SiteFailover;
use crate::fleet::site_watch::{SiteWatch, SiteWatchConfig};
use crate::fleet::spend_log::SpendLog;
use crate::fleet::start_error::StartError;
use crate::fleet_link::{EngineReport, Waker};
use crate::memory::counters::Counters;
use crate::process::{clock, spawn};

/// Reports of the engine, and orders of the program, that may wait for the thread.
const REPORT_QUEUE: usize = 64;
const ORDER_QUEUE: usize = 16;

/// What the fleet is started for.
pub struct FleetStart<'a> {
    /// The fleet's file.
    pub config: &'a FleetConfig,
    /// This front's name.
    pub name: &'a str,
    /// The longest deadline of a request, in milliseconds.
    pub max_deadline_ms: f64,
    /// A number that nobody else has.
    pub seed: u64,
    /// The engine's inputs.
    pub inputs: Sender<Input>,
    /// The program's counters.
    pub counters: Arc<Counters>,
}

/// The running fleet, and the engine's sides of it.
pub struct Started {
    /// For leaving it.
    pub fleet: Fleet,
    /// The fleet's budgets.
    pub budgets: Box<BudgetClient>,
    /// `None` where no machine goes into maintenance.
    pub maintenance: Option<Box<MaintenanceClient>>,
    /// `None` where no sites are watched.
    pub sites: Option<Arc<SiteFailover>>,
}

/// The running fleet, as the rest of the program sees it.
pub struct Fleet {
    orders: Sender<Order>,
    waker: Waker,
}

/// How long an end in order waits for each of its two steps.
const LEAVE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

impl Fleet {
    /// Gives back what this front holds; the engine spends no leased quota any more. Waits until the others know, or for half a
    /// second.
    pub fn leave(&self, inputs: &Sender<Input>) {
        let (confirm, closed) = bounded(1);
        let close = crate::fleet_link::FleetUpdate::Close(confirm);
        if inputs.send(Input::Fleet(close)).is_err() || closed.recv_timeout(LEAVE_TIMEOUT).is_err() {
            return;
        }
        let (confirm, left) = bounded(1);
        if self.orders.send(Order::Leave(confirm)).is_ok() {
            self.waker.wake();
            let _ = left.recv_timeout(LEAVE_TIMEOUT);
        }
    }
}

/// Opens the socket and the store, and starts the thread.
///
/// # Errors
/// If the file, the store, a socket or a thread can't be used.
pub fn start(start: FleetStart) -> Result<Started, StartError> {
    let FleetStart { config, name, max_deadline_ms, seed, inputs, counters } = start;
    let own = config.own(name).ok_or_else(|| StartError::UnknownFront(name.to_owned()))?;
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
    let (reports_in, reports) = bounded(REPORT_QUEUE);
    let (orders_in, orders) = bounded(ORDER_QUEUE);
    let status = Arc::new(ArcSwapOption::empty());
    let calls = OperatorCalls {
        orders: orders_in.clone(),
        waker: waker()?,
        status: status.clone(),
        configured_fronts: config.front.iter().map(|front| front.name.clone()).collect(),
        has_maintenance: maintenance.is_some(),
        has_sites: failover.is_some(),
    };
    let path = config.operator_socket(name);
    operator_socket::listen(&path, calls).map_err(StartError::io(path.display()))?;
    let budgets = budget_client(config, own, &template.settings, reports_in, waker()?)?;
    let fleet = Fleet { orders: orders_in, waker: waker()? };
    let runner = Runner::new(
        config,
        socket,
        node,
        store,
        template,
        RunnerChannels { inputs, reports, orders, status },
        OperatorDesk::new(config),
        sites,
    );
    spawn("fleet", move || runner.run_until_panic()).map_err(StartError::io("fleet"))?;
    Ok(Started { fleet, budgets, maintenance, sites: failover })
}

fn open_store(config: &FleetConfig) -> Result<(Option<Store>, RecoveredState), StartError> {
    let Some(path) = &config.store else {
        // Without a store only the clock tells incarnations apart; a clock that went back makes this one that the others reject.
        let incarnation = clock::steady_ms() as u64;
        return Ok((None, RecoveredState { incarnation, ..RecoveredState::default() }));
    };
    let (store, recovered) = Store::open(path, &config.installation)
        .map_err(|error| StartError::Store { path: path.clone(), error })?;
    Ok((Some(store), recovered))
}

/// The socket, with its counters among the program's.
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
