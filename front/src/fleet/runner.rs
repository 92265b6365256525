//! The fleet's thread: it turns datagrams, the store and the clock into calls of [`FleetNode`], and does what the node wants done.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use crossbeam_channel::{Receiver, Sender};
use elmtide_budgets::{BudgetCommand, FrontId, GuaranteedMinimums};
use elmtide_fleet::{
    AgreedCommand, Event, FleetNode, FleetSettings, NodeConfig, NodeError, Output, RecoveredState, SyncResult,
};
use elmtide_store::{Store, StoreError};

use crate::exchange::Input;
use crate::fleet::config::FleetConfig;
use crate::fleet::datagram_socket::FleetSocket;
use crate::fleet::events::log_event;
use crate::fleet::node_store::{NodeStore, NotStored};
use crate::fleet::operator::{OperatorDesk, Order};
use crate::fleet::site_watch::SiteWatch;
use crate::fleet::status_view::FleetStatusView;
use crate::fleet_link::{EngineReport, FleetUpdate};
use crate::process::clock;

const MIN_WAIT: Duration = Duration::from_micros(200);
const MAX_WAIT: Duration = Duration::from_millis(50);
/// How often the shown status is made anew.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

/// What every node of this process is started with.
pub struct NodeTemplate {
    pub own: FrontId,
    pub installation: String,
    pub key: Vec<u8>,
    pub settings: FleetSettings,
    pub seed: u64,
}

impl NodeTemplate {
    /// A node that goes on from what a store has.
    pub fn start(&self, recovered: RecoveredState) -> Result<FleetNode, NodeError> {
        let config = NodeConfig {
            own: self.own,
            installation: self.installation.clone(),
            key: self.key.clone(),
            settings: self.settings.clone(),
            recovered,
            seed: self.seed,
        };
        FleetNode::new(config, clock::both())
    }
}

/// How the thread is connected to the rest of the program.
pub struct RunnerChannels {
    /// To the engine.
    pub inputs: Sender<Input>,
    /// From the engine.
    pub reports: Receiver<EngineReport>,
    /// From the program.
    pub orders: Receiver<Order>,
    /// What operators are shown.
    pub status: Arc<ArcSwapOption<FleetStatusView>>,
}

/// Why a store can't be emptied and used again.
#[derive(Debug, thiserror::Error)]
enum RestartError {
    #[error(transparent)]
    Store(#[from] NotStored),
    #[error(transparent)]
    Node(#[from] NodeError),
}

/// The fleet's thread.
pub struct Runner {
    socket: FleetSocket,
    node: FleetNode,
    store: NodeStore,
    /// For a node that has to start anew.
    template: NodeTemplate,
    addresses: BTreeMap<FrontId, SocketAddr>,
    channels: RunnerChannels,
    /// Who waits until this front has left.
    leaving: Option<Sender<()>>,
    status_made_at: Instant,
    /// The engine's last report.
    report: EngineReport,
    /// The incarnation of this front that others have seen, where that is later than its own.
    seen_incarnation: u64,
    desk: OperatorDesk,
    sites: Option<SiteWatch>,
}

impl Runner {
    #[allow(clippy::too_many_arguments, reason = "one of each that the thread owns from its start")]
    pub fn new(
        config: &FleetConfig,
        socket: FleetSocket,
        node: FleetNode,
        store: Option<Store>,
        template: NodeTemplate,
        channels: RunnerChannels,
        desk: OperatorDesk,
        sites: Option<SiteWatch>,
    ) -> Runner {
        let fronts = config.front.iter();
        Runner {
            socket,
            node,
            store: NodeStore::new(store, config.installation.clone()),
            template,
            addresses: fronts.map(|f| (FrontId::from_name(&f.name), f.address)).collect(),
            channels,
            leaving: None,
            status_made_at: Instant::now(),
            report: EngineReport::default(),
            seen_incarnation: 0,
            desk,
            sites,
        }
    }

    /// Runs for ever; a panic ends this thread alone.
    pub fn run_until_panic(mut self) {
        if catch_unwind(AssertUnwindSafe(|| self.run())).is_err() {
            tracing::error!("fleet: ended after a panic; shares run out, this front goes on with its floors");
        }
    }

    fn run(&mut self) {
        tracing::info!(
            front = %self.desk.front_name(self.template.own),
            incarnation = self.node.holder().incarnation.0,
            "fleet: begins"
        );
        self.process_outputs();
        loop {
            self.wait();
            self.receive_datagrams();
            self.take_engine_reports();
            self.report_to_node();
            self.recover_store();
            self.take_orders();
            self.node.advance_time(clock::both());
            self.process_outputs();
            self.confirm_departure();
            self.update_status();
        }
    }

    fn wait(&self) {
        let until_deadline = self.node.next_deadline().saturating_sub(clock::both().monotonic);
        let wait = Duration::from_micros(until_deadline).clamp(MIN_WAIT, MAX_WAIT);
        self.socket.wait(wait);
    }

    fn receive_datagrams(&mut self) {
        for datagram in self.socket.receive() {
            self.node.on_datagram(&datagram, clock::both());
            // What has to be synced goes first: the next datagram may depend on it.
            self.process_outputs();
        }
    }

    fn take_engine_reports(&mut self) {
        while let Ok(report) = self.channels.reports.try_recv() {
            if let Some(epoch) = report.quota_epoch {
                self.node.on_applied(epoch, report.minimums_epoch, clock::both());
            }
            self.node.set_demands(report.demands.clone());
            if let Some(maintenance) = &report.maintenance {
                self.desk.on_engine_report(maintenance);
            }
            self.report = report;
        }
    }

    fn report_to_node(&mut self) {
        if let Some(report) = self.desk.report() {
            self.node.report_maintenance(report, clock::both());
        }
        if let Some(sites) = &mut self.sites {
            let now = clock::both();
            let report = sites.report(self.node.take_heard_fronts(), self.report.own_site, now);
            self.node.report_sites(report, now);
        }
    }

    fn take_orders(&mut self) {
        while let Ok(order) = self.channels.orders.try_recv() {
            let now = clock::both();
            match order {
                Order::Leave(confirm) => {
                    self.leaving = Some(confirm);
                    self.node.transfer_leadership(now);
                    self.node.leave(now);
                }
                Order::RemoveFront(front) => {
                    self.node.submit(AgreedCommand::Budgets(BudgetCommand::RemoveFront { front }), now);
                }
                Order::ShowMaintenance(reply) => self.desk.on_show(&self.node, reply),
                Order::Request(request, reply) => {
                    let sites = self.sites.as_ref().map(|sites| sites.failover().sites());
                    self.desk.on_request(&mut self.node, sites, *request, reply, now);
                }
            }
        }
    }

    /// Does what the node wants done, in order.
    fn process_outputs(&mut self) {
        while let Some(output) = self.node.poll_output() {
            match output {
                Output::Send(to, datagram) => self.send(to, &datagram),
                Output::SyncLog(update) => self.sync(|store| store.write_log(&update)),
                Output::SyncVoterId(id) => self.sync(|store| store.write_voter_id(id)),
                Output::CompactLog(update) => {
                    if let Err(why) = self.store.write(Instant::now(), |store| store.write_log(&update)) {
                        tracing::warn!(%why, "fleet: the log was not cut");
                    }
                }
                Output::ApplyMinimums(minimums) => self.store_minimums(minimums),
                Output::ApplyGrant(grant) => self.tell_engine(FleetUpdate::Grant(grant)),
                Output::ApplyMaintenanceView(mut leased) => {
                    if let Some(details) = leased.view.details.take() {
                        self.desk.on_details(&self.node, *details);
                    }
                    self.tell_engine(FleetUpdate::Maintenance(leased));
                }
                Output::ApplySiteView(leased) => {
                    if let Some(sites) = &self.sites {
                        sites.failover().apply(leased);
                    }
                }
                Output::CommandEnded(tag, outcome) => self.desk.on_outcome(tag, outcome),
                Output::ResetStore => self.restart_with_empty_store(),
                Output::Event(event) => self.on_event(&event),
            }
        }
    }

    fn send(&self, to: FrontId, datagram: &[u8]) {
        if let Some(address) = self.addresses.get(&to) {
            self.socket.send(*address, datagram);
        }
    }

    /// What is not stored is not used, and not said to be: other fronts wait for a smaller minimum to be in use.
    fn store_minimums(&mut self, minimums: GuaranteedMinimums) {
        match self.store.write(Instant::now(), |store| store.write_minimums(&minimums)) {
            Ok(()) | Err(NotStored::NoStore) => self.tell_engine(FleetUpdate::Minimums(minimums)),
            Err(why) => tracing::error!(%why, "fleet: floors can't be kept"),
        }
    }

    fn tell_engine(&self, update: FleetUpdate) {
        // The engine may be behind: a grant that finds no room is requested again.
        let _ = self.channels.inputs.try_send(Input::Fleet(update));
    }

    fn sync(&mut self, write: impl FnOnce(&Store) -> Result<(), StoreError>) {
        let result = match self.store.write(Instant::now(), write) {
            Ok(()) => SyncResult::Synced,
            Err(NotStored::NoStore) => SyncResult::Failed,
            Err(why) => {
                tracing::error!(%why, "fleet: the store failed, this front votes no more until it is well");
                SyncResult::Failed
            }
        };
        self.node.on_synced(result, clock::both());
    }

    /// A store that has failed is well again: a new node starts from it, as after a restart of the process. A front that is
    /// leaving needs none.
    fn recover_store(&mut self) {
        if self.leaving.is_some() {
            return;
        }
        let Some(recovered) = self.store.recover(Instant::now()) else { return };
        let incarnation = recovered.incarnation;
        match self.template.start(recovered) {
            Ok(node) => {
                tracing::info!(incarnation, "fleet: the store is well again, this front votes again");
                self.replace_node(node);
            }
            Err(why) => tracing::error!(%why, "fleet: can't begin anew"),
        }
    }

    fn replace_node(&mut self, node: FleetNode) {
        self.node = node;
        // Not to be lost: what the engine holds is the earlier node's.
        let _ = self.channels.inputs.send(Input::Fleet(FleetUpdate::Reset));
        self.process_outputs();
    }

    /// The store is not the latest of this front: it is emptied, and a new node starts.
    fn restart_with_empty_store(&mut self) {
        if !self.store.is_configured() {
            return;
        }
        match self.restart() {
            Ok(node) => self.replace_node(node),
            Err(why) => tracing::error!(%why, "fleet: can't begin anew"),
        }
    }

    fn restart(&mut self) -> Result<FleetNode, RestartError> {
        let seen_incarnation = self.seen_incarnation;
        let recovered = self.store.write(Instant::now(), |store| store.reset(seen_incarnation))?;
        Ok(self.template.start(recovered)?)
    }

    fn on_event(&mut self, event: &Event) {
        if let Event::StoreStale { seen_incarnation } = event {
            self.seen_incarnation = *seen_incarnation;
        }
        log_event(event, &self.desk, self.sites.as_ref());
    }

    fn confirm_departure(&mut self) {
        if self.node.has_left() {
            if let Some(confirm) = self.leaving.take() {
                let _ = confirm.try_send(());
            }
        }
    }

    fn update_status(&mut self) {
        if self.status_made_at.elapsed() < STATUS_INTERVAL {
            return;
        }
        self.status_made_at = Instant::now();
        let now = clock::both();
        let names = &self.desk.names().fronts;
        let status = self.node.status(now);
        let shown = FleetStatusView::new(status, &self.report, names, self.socket.crowded(), now);
        let sites = self.sites.as_ref().map_or_else(Vec::new, |sites| sites.failover().shown());
        self.channels.status.store(Some(Arc::new(FleetStatusView { sites, ..shown })));
    }
}
