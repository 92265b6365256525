//! What holders and the leader send each other, and what a lease gives its holder.

use serde::{Deserialize, Serialize};

use crate::{BudgetId, BudgetKind, Clocks, Epoch, HolderId, Micros, PartsPerMillion};

/// Most budgets that one request names, and most quotas of one response; longer requests are cut off.
pub const MAX_BUDGETS_PER_LEASE: usize = 128;

/// How much of a budget a front needs, in millionths of its total; more than the total is possible.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// For requests of high priority (signups).
    pub high: u32,
    /// For all others.
    pub low: u32,
    /// The smallest useful quota: one unit of the budget's burst.
    pub unit: PartsPerMillion,
    /// Milliseconds in which an empty bucket fills, whatever its quota; 0 for a budget without a bucket.
    pub refill_ms: u32,
}

impl Demand {
    /// Whether anything is needed.
    pub fn is_any(self) -> bool {
        self.high > 0 || self.low > 0
    }

    /// Sum of both priorities.
    pub fn total(self) -> u64 {
        u64::from(self.high) + u64::from(self.low)
    }

    /// What is needed beyond a guaranteed minimum, which serves high priority first.
    pub fn above_minimum(self, minimum: PartsPerMillion) -> Demand {
        let high = self.high.saturating_sub(minimum);
        let low = self.low.saturating_sub(minimum - (self.high - high));
        Demand { high, low, ..self }
    }
}

/// A holder's request to begin or renew its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Who asks.
    pub holder: HolderId,
    /// Comes back with the response.
    pub request_id: u64,
    /// It uses no more than its quotas of this epoch.
    pub quota_epoch: Epoch,
    /// It uses no more than its guaranteed minimums of this epoch.
    pub minimums_epoch: Epoch,
    /// What it needs.
    pub demands: Vec<(BudgetId, Demand)>,
}

/// The leader's response. The quotas are complete: a budget that is not named has none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// To whom.
    pub holder: HolderId,
    /// To which of its requests.
    pub request_id: u64,
    /// Epoch of the quotas.
    pub epoch: Epoch,
    /// What it may use during the lease.
    pub quotas: Vec<(BudgetId, PartsPerMillion)>,
    /// Epoch of the guaranteed minimums.
    pub minimums_epoch: Epoch,
    /// What it may use with or without a lease.
    pub minimums: Vec<(BudgetKind, PartsPerMillion)>,
    /// Length of the lease, counted from before the request.
    pub duration: Micros,
    /// Version of the list of fronts that is in force.
    pub front_list_version: u64,
}

/// What a response gives the ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// Epoch of the quotas.
    pub epoch: Epoch,
    /// The moment before the request: the lease counts from it, and the two clocks are compared by it.
    pub requested_at: Clocks,
    /// When the lease expires, by the monotonic clock.
    pub expires_at: Micros,
    /// All quotas.
    pub quotas: Vec<(BudgetId, PartsPerMillion)>,
}

impl Grant {
    /// The quota of a budget.
    pub fn quota(&self, budget: BudgetId) -> PartsPerMillion {
        self.quotas.iter().find(|(id, _)| *id == budget).map_or(0, |(_, quota)| *quota)
    }
}

/// What a front may use with or without a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GuaranteedMinimums {
    /// Epoch of the change that made them.
    pub epoch: Epoch,
    /// The part of each budget of a kind.
    pub minimums: Vec<(BudgetKind, PartsPerMillion)>,
}

impl GuaranteedMinimums {
    /// The part of each budget of this kind.
    pub fn of_kind(&self, kind: BudgetKind) -> PartsPerMillion {
        self.minimums.iter().find(|(of, _)| *of == kind).map_or(0, |(_, minimum)| *minimum)
    }
}
