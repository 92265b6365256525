//! The leader's side of leases: it answers requests, proposes quotas, and waits until the lease of a silent holder must have
//! expired, all by its own clock and from its own election on.
//!
//! A request is answered only once a linearizable read that began after it came has been acknowledged: see
//! [`LeaseAllocator::begin_read`] and [`LeaseAllocator::on_read_acknowledged`]. Between the proposal of an `ExpireLease` and its
//! end the holder is not answered.

mod planning;

use std::collections::{BTreeMap, BTreeSet};

use crate::command::MAX_CHANGES;
use crate::lease::MAX_BUDGETS_PER_LEASE;
use crate::{
    BudgetCommand, BudgetId, BudgetState, ConfirmedReduction, Demand, Epoch, FrontId, HolderId, LeaseRequest,
    LeaseResponse, LeaseSettings, Micros, SpendingModel,
};

/// Most requests that wait for a read; further ones are dropped, and sent again by their holders.
const MAX_WAITING_REQUESTS: usize = 4096;
/// Most reads in progress.
const MAX_READS: usize = 8;

/// What a holder has said last.
#[derive(Debug)]
struct HolderReport {
    /// When it was last answered by this leader.
    answered_at: Micros,
    received_at: Micros,
    quota_epoch: Epoch,
    minimums_epoch: Epoch,
    demands: BTreeMap<BudgetId, Demand>,
}

/// A request that waits for its read.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    holder: HolderId,
    request_id: u64,
}

/// Since when this leader has seen a quota being reduced.
#[derive(Clone, Copy, Debug)]
struct ObservedReduction {
    epoch: Epoch,
    since: Micros,
}

/// Since when a holder has, or has not, a unit of a budget whose units go round.
#[derive(Clone, Copy, Debug)]
struct UnitTurn {
    holds_unit: bool,
    since: Micros,
}

/// Epochs of what a holder was last told, or notified of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NotifiedEpochs {
    quotas: Epoch,
    minimums: Epoch,
}

/// The leader's side of all leases, new with each election.
#[derive(Debug)]
pub struct LeaseAllocator {
    settings: LeaseSettings,
    /// Responses of earlier leaders were requested before this moment.
    elected_at: Micros,
    reports: BTreeMap<HolderId, HolderReport>,
    /// Holders that have asked and are about to join.
    joining: BTreeSet<HolderId>,
    /// Requests since the last read began.
    waiting: Vec<WaitingRequest>,
    /// Requests of each read in progress.
    reads: BTreeMap<u64, Vec<WaitingRequest>>,
    next_read: u64,
    /// Holders whose expiry was proposed: they are not answered.
    expiring: BTreeSet<HolderId>,
    reductions: BTreeMap<(HolderId, BudgetId), ObservedReduction>,
    /// When a budget was last in demand.
    last_demand: BTreeMap<BudgetId, Micros>,
    unit_turns: BTreeMap<(BudgetId, FrontId), UnitTurn>,
    notified: BTreeMap<HolderId, NotifiedEpochs>,
}

impl LeaseAllocator {
    /// From the moment at which this process knows that it is the leader, or later.
    pub fn new(settings: LeaseSettings, now: Micros) -> LeaseAllocator {
        LeaseAllocator {
            settings,
            elected_at: now,
            reports: BTreeMap::new(),
            joining: BTreeSet::new(),
            waiting: Vec::new(),
            reads: BTreeMap::new(),
            next_read: 1,
            expiring: BTreeSet::new(),
            reductions: BTreeMap::new(),
            last_demand: BTreeMap::new(),
            unit_turns: BTreeMap::new(),
            notified: BTreeMap::new(),
        }
    }

    /// Takes a request. What it says counts at once, the response waits for a read.
    pub fn on_request(&mut self, state: &BudgetState, request: LeaseRequest, now: Micros) {
        let holder = request.holder;
        let Some(account) = state.account(holder.front) else { return };
        if state.current_holder(holder).is_none() {
            if account.is_listed && holder.incarnation > account.latest_incarnation {
                self.joining.insert(holder);
            }
            return;
        }
        let report = self.reports.entry(holder).or_insert(HolderReport {
            answered_at: self.elected_at,
            received_at: now,
            quota_epoch: Epoch(0),
            minimums_epoch: Epoch(0),
            demands: BTreeMap::new(),
        });
        report.received_at = now;
        report.quota_epoch = report.quota_epoch.max(request.quota_epoch);
        report.minimums_epoch = report.minimums_epoch.max(request.minimums_epoch);
        report.demands = request.demands.into_iter().take(MAX_BUDGETS_PER_LEASE).collect();
        if self.waiting.len() < MAX_WAITING_REQUESTS {
            self.waiting.push(WaitingRequest { holder, request_id: request.request_id });
        }
    }

    /// The id of a read to begin for the requests that wait, if there are any.
    pub fn begin_read(&mut self) -> Option<u64> {
        if self.waiting.is_empty() || self.reads.len() >= MAX_READS {
            return None;
        }
        let read = self.next_read;
        self.next_read += 1;
        self.reads.insert(read, std::mem::take(&mut self.waiting));
        Some(read)
    }

    /// A majority has acknowledged this leader since the read began, and `state` has everything that was committed then:
    /// returns the responses to its requests. Earlier reads, whose acknowledgement was lost, are dropped: their requests are
    /// sent again.
    pub fn on_read_acknowledged(
        &mut self,
        state: &BudgetState,
        read: u64,
        now: Micros,
    ) -> Vec<LeaseResponse> {
        let later = self.reads.split_off(&(read + 1));
        let requests = self.reads.remove(&read).unwrap_or_default();
        self.reads = later;
        requests.into_iter().filter_map(|request| self.respond(state, request, now)).collect()
    }

    fn respond(
        &mut self,
        state: &BudgetState,
        request: WaitingRequest,
        now: Micros,
    ) -> Option<LeaseResponse> {
        let WaitingRequest { holder, request_id } = request;
        if self.expiring.contains(&holder) {
            return None;
        }
        let quotas = state.current_holder(holder)?;
        let account = state.account(holder.front)?;
        self.reports.get_mut(&holder)?.answered_at = now;
        let told = NotifiedEpochs { quotas: quotas.epoch, minimums: account.minimums_epoch };
        self.notified.insert(holder, told);
        let granted = quotas.quotas.iter().map(|(budget, quota)| (*budget, quota.granted()));
        let minimums = account.minimums.iter().map(|(kind, minimum)| (*kind, minimum.granted()));
        Some(LeaseResponse {
            holder,
            request_id,
            epoch: quotas.epoch,
            quotas: granted.filter(|(_, granted)| *granted > 0).collect(),
            minimums_epoch: account.minimums_epoch,
            minimums: minimums.collect(),
            duration: state.lease(),
            front_list_version: state.front_list_version(),
        })
    }

    /// When every lease of a holder must have expired, and what was begun under it must have ended: a response could still be
    /// under way until then.
    pub fn lease_expiry(&self, holder: HolderId, state: &BudgetState) -> Micros {
        let answered_at = self.reports.get(&holder).map_or(self.elected_at, |report| report.answered_at);
        let holder_state = state.account(holder.front).and_then(|a| a.holders.get(&holder.incarnation));
        let counts_running = holder_state.is_some_and(|state| {
            state.quotas.keys().any(|budget| budget.kind.spending_model() == SpendingModel::Concurrency)
        });
        let running = if counts_running { self.settings.max_request_deadline } else { 0 };
        answered_at.max(self.elected_at) + self.settings.safe_expiry(state.longest_lease()) + running
    }

    /// What is to be proposed now: holders that join, reductions that are confirmed or must have been carried out, expired
    /// leases, and new quotas.
    pub fn propose(&mut self, state: &BudgetState, now: Micros) -> Vec<BudgetCommand> {
        self.forget_former_holders(state);
        let joining = std::mem::take(&mut self.joining);
        let mut commands: Vec<BudgetCommand> =
            joining.into_iter().map(|holder| BudgetCommand::Join { holder }).collect();
        let reductions = self.confirmed_reductions(state, now);
        if !reductions.is_empty() {
            commands.push(BudgetCommand::ConfirmReductions { reductions });
        }
        commands.extend(self.expired_leases(state, now));
        let changes = self.plan_quotas(state, now);
        if !changes.is_empty() {
            commands.push(BudgetCommand::Allocate { changes });
        }
        commands
    }

    fn forget_former_holders(&mut self, state: &BudgetState) {
        self.reports.retain(|holder, _| state.current_holder(*holder).is_some());
        self.expiring.retain(|holder| state.holders().any(|entry| entry.id == *holder));
        self.unit_turns.retain(|(budget, _), _| self.last_demand.contains_key(budget));
        self.notified.retain(|holder, _| state.current_holder(*holder).is_some());
    }

    fn expired_leases(&mut self, state: &BudgetState, now: Micros) -> Vec<BudgetCommand> {
        let mut commands = Vec::new();
        for entry in state.holders() {
            let has_expired = now >= self.lease_expiry(entry.id, state) && !self.expiring.contains(&entry.id);
            if has_expired && (!entry.is_current || !entry.state.quotas.is_empty()) {
                self.expiring.insert(entry.id);
                commands.push(BudgetCommand::ExpireLease { holder: entry.id, epoch: entry.state.epoch });
            }
        }
        commands
    }

    /// A command of this leader's term was applied, whoever proposed it; or its proposal was rejected.
    pub fn on_command_ended(&mut self, command: &BudgetCommand) {
        if let BudgetCommand::ExpireLease { holder, .. } = command {
            self.expiring.remove(holder);
        }
    }

    /// Holders that should renew now: something has changed for them since they were last answered or notified.
    pub fn holders_to_notify(&mut self, state: &BudgetState) -> Vec<HolderId> {
        let mut holders = Vec::new();
        for holder in self.reports.keys() {
            let (Some(quotas), Some(account)) = (state.current_holder(*holder), state.account(holder.front))
            else {
                continue;
            };
            let epochs = NotifiedEpochs { quotas: quotas.epoch, minimums: account.minimums_epoch };
            if self.notified.insert(*holder, epochs) != Some(epochs) {
                holders.push(*holder);
            }
        }
        holders
    }

    fn confirmed_reductions(&mut self, state: &BudgetState, now: Micros) -> Vec<ConfirmedReduction> {
        let mut confirmed = self.confirmed_quotas(state, now);
        confirmed.extend(self.confirmed_minimums(state));
        confirmed.truncate(MAX_CHANGES);
        confirmed
    }

    /// Reduced quotas whose holder has said that it uses no more, or whose leases from before must have expired.
    fn confirmed_quotas(&mut self, state: &BudgetState, now: Micros) -> Vec<ConfirmedReduction> {
        let mut confirmed = Vec::new();
        let before = std::mem::take(&mut self.reductions);
        for entry in state.holders() {
            let confirmed_epoch = self.reports.get(&entry.id).map(|report| report.quota_epoch);
            let reduced = entry.state.quotas.iter().filter(|(_, quota)| quota.is_being_reduced());
            for (budget, quota) in reduced {
                let place = (entry.id, *budget);
                let known = before.get(&place).filter(|observed| observed.epoch == quota.epoch);
                let since = known.map_or(now, |observed| observed.since);
                let is_expired = now >= since + self.reduction_timeout(state, *budget);
                if confirmed_epoch.is_some_and(|epoch| epoch >= quota.epoch) || is_expired {
                    let (holder, budget, epoch) = (entry.id, *budget, quota.epoch);
                    confirmed.push(ConfirmedReduction::Quota { holder, budget, epoch });
                }
                self.reductions.insert(place, ObservedReduction { epoch: quota.epoch, since });
            }
        }
        confirmed
    }

    fn reduction_timeout(&self, state: &BudgetState, budget: BudgetId) -> Micros {
        let counts_running = budget.kind.spending_model() == SpendingModel::Concurrency;
        let running = if counts_running { self.settings.max_request_deadline } else { 0 };
        self.settings.safe_expiry(state.longest_lease()) + running
    }

    /// Reduced minimums whose front has said that it uses no more; a minimum never expires by itself.
    fn confirmed_minimums(&self, state: &BudgetState) -> Vec<ConfirmedReduction> {
        let mut confirmed = Vec::new();
        for (holder, report) in &self.reports {
            let Some(account) = state.account(holder.front) else { continue };
            let reduced = account.minimums.iter().filter(|(_, minimum)| minimum.is_being_reduced());
            for (kind, minimum) in reduced.filter(|(_, minimum)| report.minimums_epoch >= minimum.epoch) {
                let (front, kind, epoch) = (holder.front, *kind, minimum.epoch);
                confirmed.push(ConfirmedReduction::Minimum { front, kind, epoch });
            }
        }
        confirmed
    }
}
