//! Messages between holders and the leader, and what a lease grants its holder.

use serde::{Deserialize, Serialize};

use crate::{BudgetId, BudgetKind, Clocks, Epoch, HolderId, Micros, PartsPerMillion};

/// Maximum number of budgets in one request, and of quotas in one response; longer requests are truncated.
pub const MAX_BUDGETS_PER_LEASE: usize = 128;

/// How much of a budget a front needs, in millionths of its total; may exceed the total.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// For high-priority requests (signups).
    pub high: u32,
    /// For all other requests.
    pub low: u32,
    /// The smallest useful quota, equal to one unit of the budget's burst.
    pub unit: PartsPerMillion,
    /// Milliseconds in which an empty bucket fills, independent of its quota; 0 for a budget without a bucket.
    pub refill_ms: u32,
}

impl Demand {
    /// Whether there is any demand.
    pub fn is_any(self) -> bool {
        self.high > 0 || self.low > 0
    }

    /// Demand of both priorities together.
    pub fn total(self) -> u64 {
        u64::from(self.high) + u64::from(self.low)
    }

    /// The demand that exceeds a guaranteed minimum; the minimum covers high priority first.
    pub fn above_minimum(self, minimum: PartsPerMillion) -> Demand {
        let high = self.high.saturating_sub(minimum);
        let low = self.low.saturating_sub(minimum - (self.high - high));
        Demand { high, low, ..self }
    }
}

/// A holder's request to begin or renew its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The requesting holder.
    pub holder: HolderId,
    /// Echoed in the response.
    pub request_id: u64,
    /// The holder uses no more than its quotas of this epoch.
    pub quota_epoch: Epoch,
    /// The holder uses no more than its guaranteed minimums of this epoch.
    pub minimums_epoch: Epoch,
    /// The holder's demand for each budget.
    pub demands: Vec<(BudgetId, Demand)>,
}

/// The leader's response to a [`LeaseRequest`]. The quotas are complete: a budget that is not listed has no quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The holder that sent the request.
    pub holder: HolderId,
    /// The request that this answers.
    pub request_id: u64,
    /// Epoch of the quotas.
    pub epoch: Epoch,
    /// What the holder may use during the lease.
    pub quotas: Vec<(BudgetId, PartsPerMillion)>,
    /// Epoch of the guaranteed minimums.
    pub minimums_epoch: Epoch,
    /// What the holder may use with or without a lease.
    pub minimums: Vec<(BudgetKind, PartsPerMillion)>,
    /// Length of the lease, counted from the moment before the request was sent.
    pub duration: Micros,
    /// Version of the list of fronts in force.
    pub front_list_version: u64,
}

/// The quotas that a response grants to the ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// Epoch of the quotas.
    pub epoch: Epoch,
    /// Both clocks just before the request was sent: the lease starts here, and clock divergence is measured from here.
    pub requested_at: Clocks,
    /// When the lease expires, by the monotonic clock.
    pub expires_at: Micros,
    /// The granted quotas.
    pub quotas: Vec<(BudgetId, PartsPerMillion)>,
}

impl Grant {
    /// The quota of a budget, 0 if it has none.
    pub fn quota(&self, budget: BudgetId) -> PartsPerMillion {
        self.quotas.iter().find(|(id, _)| *id == budget).map_or(0, |(_, quota)| *quota)
    }
}

/// Shares of budgets that a front may use with or without a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GuaranteedMinimums {
    /// Epoch of the last change of these minimums.
    pub epoch: Epoch,
    /// The share of every budget of a kind.
    pub minimums: Vec<(BudgetKind, PartsPerMillion)>,
}

impl GuaranteedMinimums {
    /// The share of every budget of this kind, 0 if there is none.
    pub fn of_kind(&self, kind: BudgetKind) -> PartsPerMillion {
        self.minimums.iter().find(|(of, _)| *of == kind).map_or(0, |(_, minimum)| *minimum)
    }
}
