//! Commands of the replicated log that change who may hold how much.

use serde::{Deserialize, Serialize};

use crate::{BudgetId, BudgetKind, Epoch, FrontId, HolderId, Micros, PartsPerMillion};

/// Most fronts that are accounted for.
pub const MAX_FRONTS: usize = 1024;
/// Most budgets that have quotas.
pub const MAX_BUDGETS: usize = 1024;
/// Most incarnations of one front that are accounted for.
pub const MAX_INCARNATIONS: usize = 4;
/// Most changes in one command.
pub const MAX_CHANGES: usize = 4096;

/// The guaranteed minimums of a kind of budgets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinimumRule {
    /// The part of each such budget that is set aside for the minimums of all fronts together.
    pub set_aside: PartsPerMillion,
    /// The smallest useful minimum: where an even division is below it, fewer fronts have one.
    pub unit: PartsPerMillion,
}

/// One command. Each keeps the invariant of [`BudgetState`](crate::BudgetState) or does nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BudgetCommand {
    /// Replaces the list of fronts and their minimums; a version that is not higher changes nothing.
    UpdateFronts {
        /// Version of the list.
        version: u64,
        /// All fronts.
        fronts: Vec<FrontId>,
        /// The minimums by kind.
        minimums: Vec<(BudgetKind, MinimumRule)>,
        /// Length of a lease.
        lease: Micros,
    },
    /// An incarnation of a listed front begins; earlier ones are told to use nothing.
    Join {
        /// The new incarnation.
        holder: HolderId,
    },
    /// The holder has stopped spending for good.
    Leave {
        /// The holder.
        holder: HolderId,
    },
    /// Quotas as they should be. A quota rises as far as there is room.
    Allocate {
        /// The new quotas.
        changes: Vec<(HolderId, BudgetId, PartsPerMillion)>,
    },
    /// Holders use no more than what they are granted: they have said so, or their leases have expired since.
    ConfirmReductions {
        /// What is confirmed.
        reductions: Vec<ConfirmedReduction>,
    },
    /// All leases of this holder have expired, if nothing has changed for it since this epoch.
    ExpireLease {
        /// The holder.
        holder: HolderId,
        /// Its epoch when that was found.
        epoch: Epoch,
    },
    /// The machine of an unlisted front is off for good: its minimums are free.
    RemoveFront {
        /// The front.
        front: FrontId,
    },
}

/// A reduction that its holder has carried out, if nothing has changed since the epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfirmedReduction {
    /// Of a quota.
    Quota {
        /// Whose.
        holder: HolderId,
        /// Of which budget.
        budget: BudgetId,
        /// Epoch of the reduction.
        epoch: Epoch,
    },
    /// Of a guaranteed minimum.
    Minimum {
        /// Whose.
        front: FrontId,
        /// Of which budgets.
        kind: BudgetKind,
        /// Epoch of the reduction.
        epoch: Epoch,
    },
}

/// Why a command did nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum CommandRejected {
    /// The list in force is as new.
    #[error("the list of fronts in force is as new")]
    StaleFrontList,
    /// More than the state's bounds allow.
    #[error("more fronts, incarnations or changes than are accounted for")]
    LimitExceeded,
    /// Minimums above the total.
    #[error("the guaranteed minimums are above the total")]
    ExceedsTotal,
    /// The front is not listed.
    #[error("the front is not listed")]
    UnknownFront,
    /// A later incarnation of this front has joined, or this one has left.
    #[error("a later incarnation of the front has joined, or this one has left")]
    Superseded,
    /// Something has changed since the command's epoch.
    #[error("something has changed since")]
    StaleEpoch,
    /// Only an unlisted front can be removed.
    #[error("the front is still listed")]
    FrontStillListed,
}
