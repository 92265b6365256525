//! The leader's side of leases: answers requests, proposes quotas, and waits until the lease of an unresponsive holder
//! must have expired. All waits use the leader's own clock and start at its election at the earliest.
//!
//! A request is answered only after a linearizable read that began after the request arrived has been acknowledged: see
//! [`LeaseAllocator::begin_read`] and [`LeaseAllocator::on_read_acknowledged`]. While an `ExpireLease` command for a
//! holder is pending, the holder's requests are not answered.

mod planning;

use std::collections::{BTreeMap, BTreeSet};

use crate::command::MAX_CHANGES;
use crate::lease::MAX_BUDGETS_PER_LEASE;
use crate::{
    BudgetCommand, BudgetId, BudgetState, ConfirmedReduction, Demand, Epoch, FrontId, HolderId, LeaseRequest,
    LeaseResponse, LeaseSettings, Micros, SpendingModel,
};

/// Maximum number of requests waiting for a read; further ones are dropped, and their holders retry.
const MAX_WAITING_REQUESTS: usize = 4096;
/// Maximum number of reads in progress.
const MAX_READS: usize = 8;

/// The contents of a holder's latest request.
#[derive(Debug)]
struct HolderReport {
    /// When this leader last answered the holder; its election if it has not answered yet.
    answered_at: Micros,
    received_at: Micros,
    quota_epoch: Epoch,
    minimums_epoch: Epoch,
    demands: BTreeMap<BudgetId, Demand>,
}

/// A request that waits for a linearizable read.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    holder: HolderId,
    request_id: u64,
}

/// When this leader first saw a quota being reduced.
#[derive(Clone, Copy, Debug)]
struct ObservedReduction {
    epoch: Epoch,
    since: Micros,
}

/// Whether a front holds a unit of a budget whose units rotate among the fronts, and since when.
#[derive(Clone, Copy, Debug)]
struct UnitTurn {
    holds_unit: bool,
    since: Micros,
}

/// The epochs that a holder last received in a response or was notified of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NotifiedEpochs {
    quotas: Epoch,
    minimums: Epoch,
}

/// The leader's side of all leases; created anew at each election.
#[derive(Debug)]
pub struct LeaseAllocator {
    settings: LeaseSettings,
    /// Requests that earlier leaders answered were sent before this moment.
    elected_at: Micros,
    reports: BTreeMap<HolderId, HolderReport>,
    /// Holders that have sent a request and are about to join.
    joining: BTreeSet<HolderId>,
    /// Requests received since the last read began.
    waiting: Vec<WaitingRequest>,
    /// Requests that wait for each read in progress.
    reads: BTreeMap<u64, Vec<WaitingRequest>>,
    next_read: u64,
    /// Holders for which an `ExpireLease` is pending: their requests are not answered.
    expiring: BTreeSet<HolderId>,
    reductions: BTreeMap<(HolderId, BudgetId), ObservedReduction>,
    /// When each budget last had demand.
    last_demand: BTreeMap<BudgetId, Micros>,
    unit_turns: BTreeMap<(BudgetId, FrontId), UnitTurn>,
    notified: BTreeMap<HolderId, NotifiedEpochs>,
}

impl LeaseAllocator {
    /// `now` is the moment at which this process learned that it is the leader, or later.
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

    /// Handles a request. Its contents are used at once; the response waits for a read.
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

    /// Returns the id of a read to begin for the waiting requests, if there are any.
    pub fn begin_read(&mut self) -> Option<u64> {
        if self.waiting.is_empty() || self.reads.len() >= MAX_READS {
            return None;
        }
        let read = self.next_read;
        self.next_read += 1;
        self.reads.insert(read, std::mem::take(&mut self.waiting));
        Some(read)
    }

    /// Called when a majority has acknowledged this leader since the read began and `state` contains everything that
    /// was committed at that time. Returns the responses to the requests of the read. Earlier reads, whose
    /// acknowledgements were lost, are dropped; their holders send the requests again.
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
        let epochs_in_response = NotifiedEpochs { quotas: quotas.epoch, minimums: account.minimums_epoch };
        self.notified.insert(holder, epochs_in_response);
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

    /// When every lease of a holder must have expired and the requests begun under it must have ended. A response may
    /// still be in flight until the lease expires.
    pub fn lease_expiry(&self, holder: HolderId, state: &BudgetState) -> Micros {
        let answered_at = self.reports.get(&holder).map_or(self.elected_at, |report| report.answered_at);
        let holder_state = state.account(holder.front).and_then(|a| a.holders.get(&holder.incarnation));
        let counts_running = holder_state.is_some_and(|state| {
            state.quotas.keys().any(|budget| budget.kind.spending_model() == SpendingModel::Concurrency)
        });
        let running = if counts_running { self.settings.max_request_deadline } else { 0 };
        answered_at.max(self.elected_at) + self.settings.safe_expiry(state.longest_lease()) + running
    }

    /// Returns the commands to propose now: holders that join, reductions that are confirmed or must have taken effect,
    /// expired leases, and new quotas.
    pub fn propose(&mut self, state: &BudgetState, now: Micros) -> Vec<BudgetCommand> {
        self.remove_former_holders(state);
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

    fn remove_former_holders(&mut self, state: &BudgetState) {
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

    /// Called when a command of this leader's term was applied, whoever proposed it, or when its proposal was rejected.
    pub fn on_command_ended(&mut self, command: &BudgetCommand) {
        if let BudgetCommand::ExpireLease { holder, .. } = command {
            self.expiring.remove(holder);
        }
    }

    /// Returns the holders that should renew now: their quotas or minimums have changed since the last response or
    /// notification.
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

    /// Reduced quotas whose holders have confirmed that they use no more, or whose earlier leases must have expired.
    fn confirmed_quotas(&mut self, state: &BudgetState, now: Micros) -> Vec<ConfirmedReduction> {
        let mut confirmed = Vec::new();
        let before = std::mem::take(&mut self.reductions);
        for entry in state.holders() {
            let confirmed_epoch = self.reports.get(&entry.id).map(|report| report.quota_epoch);
            let reduced = entry.state.quotas.iter().filter(|(_, quota)| quota.is_being_reduced());
            for (budget, quota) in reduced {
                let key = (entry.id, *budget);
                let observed_before = before.get(&key).filter(|observed| observed.epoch == quota.epoch);
                let since = observed_before.map_or(now, |observed| observed.since);
                let is_expired = now >= since + self.reduction_timeout(state, *budget);
                if confirmed_epoch.is_some_and(|epoch| epoch >= quota.epoch) || is_expired {
                    let (holder, budget, epoch) = (entry.id, *budget, quota.epoch);
                    confirmed.push(ConfirmedReduction::Quota { holder, budget, epoch });
                }
                self.reductions.insert(key, ObservedReduction { epoch: quota.epoch, since });
            }
        }
        confirmed
    }

    fn reduction_timeout(&self, state: &BudgetState, budget: BudgetId) -> Micros {
        let counts_running = budget.kind.spending_model() == SpendingModel::Concurrency;
        let running = if counts_running { self.settings.max_request_deadline } else { 0 };
        self.settings.safe_expiry(state.longest_lease()) + running
    }

    /// Reduced minimums whose fronts have confirmed that they use no more; a minimum does not expire on its own.
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
