//! The fleet's thread: it passes datagrams, results of the store and the time to [`FleetNode`], and carries out the
//! node's outputs.

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
use crate::fleet::operator::{OperatorDesk, RunnerCommand};
use crate::fleet::site_watch::SiteWatch;
use crate::fleet::status_view::FleetStatusView;
use crate::fleet_link::{EngineReport, FleetUpdate};
use crate::process::clock;

const MIN_WAIT: Duration = Duration::from_micros(200);
const MAX_WAIT: Duration = Duration::from_millis(50);
/// How often the status for operators is updated.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

/// What every node of this process is started with.
pub struct NodeTemplate {
    /// This front.
    pub own: FrontId,
    /// The installation, which is part of every MAC.
    pub installation: String,
    /// The key of the MACs.
    pub key: Vec<u8>,
    /// What all fronts agree on.
    pub settings: FleetSettings,
    /// The seed of the node's random numbers.
    pub seed: u64,
}

impl NodeTemplate {
    /// Starts a node from the state that was recovered from a store.
    pub fn start(&self, recovered: RecoveredState) -> Result<FleetNode, NodeError> {
        let config = NodeConfig {
            own: self.own,
            installation: self.installation.clone(),
            key: self.key.clone(),
            settings: self.settings.clone(),
            recovered,
            seed: self.seed,
        };
        FleetNode::new(config, clock::both_clocks())
    }
}

/// The channels between the thread and the rest of the process.
pub struct RunnerChannels {
    /// To the engine.
    pub inputs: Sender<Input>,
    /// From the engine.
    pub reports: Receiver<EngineReport>,
    /// From the rest of the process.
    pub commands: Receiver<RunnerCommand>,
    /// The status for operators.
    pub status: Arc<ArcSwapOption<FleetStatusView>>,
}

/// Why a node cannot be restarted with an empty store.
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
    /// For restarts of the node.
    template: NodeTemplate,
    addresses: BTreeMap<FrontId, SocketAddr>,
    channels: RunnerChannels,
    /// Notified once this front has left; `None` unless it is leaving.
    departure_reply: Option<Sender<()>>,
    status_updated_at: Instant,
    /// The engine's last report.
    report: EngineReport,
    /// The incarnation of this front that other fronts have seen, if it is later than its own.
    seen_incarnation: u64,
    desk: OperatorDesk,
    sites: Option<SiteWatch>,
}

impl Runner {
    /// Combines the parts that the thread owns.
    #[allow(clippy::too_many_arguments, reason = "each is a part that the thread owns")]
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
            departure_reply: None,
            status_updated_at: Instant::now(),
            report: EngineReport::default(),
            seen_incarnation: 0,
            desk,
            sites,
        }
    }

    /// Runs until a panic, which ends only this thread and not the process.
    pub fn run_until_panic(mut self) {
        if catch_unwind(AssertUnwindSafe(|| self.run())).is_err() {
            tracing::error!(
                "fleet: the thread panicked; leases expire, this front goes on with its guaranteed minimums"
            );
        }
    }

    fn run(&mut self) {
        tracing::info!(
            front = %self.desk.front_name(self.template.own),
            incarnation = self.node.holder().incarnation.0,
            "fleet: started"
        );
        self.process_outputs();
        loop {
            self.wait();
            self.receive_datagrams();
            self.process_engine_reports();
            self.report_to_node();
            self.recover_store();
            self.process_commands();
            self.node.advance_time(clock::both_clocks());
            self.process_outputs();
            self.confirm_departure();
            self.update_status();
        }
    }

    fn wait(&self) {
        let until_deadline = self.node.next_deadline().saturating_sub(clock::both_clocks().monotonic);
        let wait = Duration::from_micros(until_deadline).clamp(MIN_WAIT, MAX_WAIT);
        self.socket.wait(wait);
    }

    fn receive_datagrams(&mut self) {
        for datagram in self.socket.receive() {
            self.node.on_datagram(&datagram, clock::both_clocks());
            // Syncs come first: the handling of the next datagram may depend on them.
            self.process_outputs();
        }
    }

    fn process_engine_reports(&mut self) {
        while let Ok(report) = self.channels.reports.try_recv() {
            if let Some(epoch) = report.quota_epoch {
                self.node.on_applied(epoch, report.minimums_epoch, clock::both_clocks());
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
            self.node.report_maintenance(report, clock::both_clocks());
        }
        if let Some(sites) = &mut self.sites {
            let now = clock::both_clocks();
            let report = sites.report(self.node.take_heard_fronts(), self.report.own_site, now);
            self.node.report_sites(report, now);
        }
    }

    fn process_commands(&mut self) {
        while let Ok(command) = self.channels.commands.try_recv() {
            let now = clock::both_clocks();
            match command {
                RunnerCommand::TransferLeadership => self.node.transfer_leadership(now),
                RunnerCommand::Leave(reply) => {
                    self.departure_reply = Some(reply);
                    self.node.transfer_leadership(now);
                    self.node.leave(now);
                }
                RunnerCommand::RemoveFront(front) => {
                    self.node.submit(AgreedCommand::Budgets(BudgetCommand::RemoveFront { front }), now);
                }
                RunnerCommand::ShowMaintenance(reply) => self.desk.on_maintenance_request(&self.node, reply),
                RunnerCommand::Request(request, reply) => {
                    let sites = self.sites.as_ref().map(|sites| sites.failover().sites());
                    self.desk.on_request(&mut self.node, sites, *request, reply, now);
                }
            }
        }
    }

    /// Carries out the node's outputs in order.
    fn process_outputs(&mut self) {
        while let Some(output) = self.node.poll_output() {
            match output {
                Output::Send(to, datagram) => self.send(to, &datagram),
                Output::SyncLog(update) => self.sync(|store| store.write_log(&update)),
                Output::SyncVoterId(id) => self.sync(|store| store.write_voter_id(id)),
                Output::CompactLog(update) => {
                    if let Err(why) = self.store.write(Instant::now(), |store| store.write_log(&update)) {
                        tracing::warn!(%why, "fleet: the log cannot be compacted");
                    }
                }
                Output::ApplyMinimums(minimums) => self.store_minimums(minimums),
                Output::ApplyGrant(grant) => self.send_to_engine(FleetUpdate::Grant(grant)),
                Output::ApplyMaintenanceView(mut leased) => {
                    if let Some(details) = leased.view.details.take() {
                        self.desk.on_details(&self.node, *details);
                    }
                    self.send_to_engine(FleetUpdate::Maintenance(leased));
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

    /// Minimums that are not stored are neither used nor reported as applied, because other fronts wait until a smaller
    /// minimum is in use.
    fn store_minimums(&mut self, minimums: GuaranteedMinimums) {
        match self.store.write(Instant::now(), |store| store.write_minimums(&minimums)) {
            Ok(()) | Err(NotStored::NoStore) => self.send_to_engine(FleetUpdate::Minimums(minimums)),
            Err(why) => tracing::error!(%why, "fleet: the guaranteed minimums cannot be stored"),
        }
    }

    fn send_to_engine(&self, update: FleetUpdate) {
        // The engine's queue may be full: a grant that is dropped here is requested again.
        let _ = self.channels.inputs.try_send(Input::Fleet(update));
    }

    fn sync(&mut self, write: impl FnOnce(&Store) -> Result<(), StoreError>) {
        let result = match self.store.write(Instant::now(), write) {
            Ok(()) => SyncResult::Synced,
            Err(NotStored::NoStore) => SyncResult::Failed,
            Err(why) => {
                tracing::error!(
                    %why,
                    "fleet: the store failed: this front does not vote until the store has been rewritten"
                );
                SyncResult::Failed
            }
        };
        self.node.on_synced(result, clock::both_clocks());
    }

    /// Once a failed store has been rewritten, starts a new node from it, as after a restart of the process. A front
    /// that is leaving does not need one.
    fn recover_store(&mut self) {
        if self.departure_reply.is_some() {
            return;
        }
        let Some(recovered) = self.store.recover(Instant::now()) else { return };
        let incarnation = recovered.incarnation;
        match self.template.start(recovered) {
            Ok(node) => {
                tracing::info!(incarnation, "fleet: the store has been rewritten, this front votes again");
                self.replace_node(node);
            }
            Err(why) => tracing::error!(%why, "fleet: the node cannot be restarted"),
        }
    }

    fn replace_node(&mut self, node: FleetNode) {
        self.node = node;
        // The reset must not be lost: the engine still holds what the previous node was granted.
        let _ = self.channels.inputs.send(Input::Fleet(FleetUpdate::Reset));
        self.process_outputs();
    }

    /// The store is not the latest one of this front: resets it and starts a new node.
    fn restart_with_empty_store(&mut self) {
        if !self.store.is_configured() {
            return;
        }
        match self.restart() {
            Ok(node) => self.replace_node(node),
            Err(why) => tracing::error!(%why, "fleet: the node cannot be restarted"),
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
            if let Some(reply) = self.departure_reply.take() {
                let _ = reply.try_send(());
            }
        }
    }

    fn update_status(&mut self) {
        if self.status_updated_at.elapsed() < STATUS_INTERVAL {
            return;
        }
        self.status_updated_at = Instant::now();
        let now = clock::both_clocks();
        let names = &self.desk.names().fronts;
        let status = self.node.status(now);
        let view = FleetStatusView::new(status, &self.report, names, self.socket.over_limit(), now);
        let sites = self.sites.as_ref().map_or_else(Vec::new, |sites| sites.failover().status());
        self.channels.status.store(Some(Arc::new(FleetStatusView { sites, ..view })));
    }
}
