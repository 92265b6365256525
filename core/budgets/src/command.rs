//! Commands of the replicated log that change the allocations of budgets.

use serde::{Deserialize, Serialize};

use crate::{BudgetId, BudgetKind, Epoch, FrontId, HolderId, Micros, PartsPerMillion};

/// Maximum number of fronts in the state.
pub const MAX_FRONTS: usize = 1024;
/// Maximum number of budgets that have quotas.
pub const MAX_BUDGETS: usize = 1024;
/// Maximum number of incarnations of one front in the state.
pub const MAX_INCARNATIONS: usize = 4;
/// Maximum number of changes in one command.
pub const MAX_CHANGES: usize = 4096;

/// How the guaranteed minimums of one kind of budget are computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinimumRule {
    /// The share of each such budget that is set aside for the minimums of all fronts together.
    pub set_aside: PartsPerMillion,
    /// The smallest useful minimum: if an even division is below it, only some of the fronts get a minimum.
    pub unit: PartsPerMillion,
}

/// A command of the log. It preserves the invariant of [`BudgetState`](crate::BudgetState) or does nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BudgetCommand {
    /// Replaces the list of fronts and their minimums; rejected unless its version is higher than the one in force.
    UpdateFronts {
        /// Version of the list.
        version: u64,
        /// All fronts of the new list.
        fronts: Vec<FrontId>,
        /// The rule for the minimums of each kind.
        minimums: Vec<(BudgetKind, MinimumRule)>,
        /// Length of a lease.
        lease: Micros,
    },
    /// A new incarnation of a listed front joins; the quotas of earlier ones are revoked.
    Join {
        /// The new incarnation.
        holder: HolderId,
    },
    /// The holder has permanently stopped spending.
    Leave {
        /// The leaving holder.
        holder: HolderId,
    },
    /// Sets quotas. A quota is raised only as far as the budget has unallocated room.
    Allocate {
        /// The new quotas.
        changes: Vec<(HolderId, BudgetId, PartsPerMillion)>,
    },
    /// Holders use no more than they are granted: they have confirmed it, or their earlier leases have expired.
    ConfirmReductions {
        /// The confirmed reductions.
        reductions: Vec<ConfirmedReduction>,
    },
    /// All leases of this holder have expired; rejected if the holder's quotas have changed since this epoch.
    ExpireLease {
        /// The holder.
        holder: HolderId,
        /// The holder's epoch when the expiry was detected.
        epoch: Epoch,
    },
    /// The machine of an unlisted front is permanently off: its minimums are released.
    RemoveFront {
        /// The front to remove.
        front: FrontId,
    },
}

/// A reduction that its holder has applied; ignored if the allocation has changed since the epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfirmedReduction {
    /// Reduction of a quota.
    Quota {
        /// The holder of the quota.
        holder: HolderId,
        /// The budget of the quota.
        budget: BudgetId,
        /// Epoch of the reduction.
        epoch: Epoch,
    },
    /// Reduction of a guaranteed minimum.
    Minimum {
        /// The front with the minimum.
        front: FrontId,
        /// The kind of budget.
        kind: BudgetKind,
        /// Epoch of the reduction.
        epoch: Epoch,
    },
}

/// Why a command did nothing. Replies to operators contain the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum CommandRejected {
    /// The list's version is not higher than that of the list in force.
    #[error("the version of the list of fronts is not higher than the one in force")]
    StaleFrontList,
    /// A limit on fronts, incarnations or changes is exceeded.
    #[error("too many fronts, incarnations of a front, or changes in one command")]
    LimitExceeded,
    /// The guaranteed minimums exceed the total of a budget.
    #[error("the guaranteed minimums exceed the total of the budget")]
    ExceedsTotal,
    /// The front is not in the list in force, or the state has no account for it.
    #[error("the front is not in the list of fronts")]
    UnknownFront,
    /// A later incarnation of this front has joined, or this one has left.
    #[error("a later incarnation of the front has joined, or this one has left")]
    Superseded,
    /// The holder's quotas have changed since the command's epoch.
    #[error("the holder's quotas have changed since the epoch of the command")]
    StaleEpoch,
    /// Only a front that is no longer listed can be removed.
    #[error("the front is still in the list of fronts")]
    FrontStillListed,
}
