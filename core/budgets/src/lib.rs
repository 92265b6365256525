//! Budgets that belong to all fronts together, divided among them by leases.
//!
//! **Invariant: for each budget, at every moment, what all fronts may spend never sums to more than the total; what all spend
//! together in any window of length t is at most rate·t + burst.**
//!
//! It rests on [`BudgetState`] being the same wherever it is (a log replicated to a majority), on two clocks running at one
//! *rate* within [`LeaseSettings::drift`] for the length of a lease, and on the store of a guaranteed minimum being open in one
//! process only. It does **not** rest on failure detection, on timers that fire, on synchronized clocks, or on messages that
//! arrive. Without a quorum all quotas run out within one lease, and each front goes on with its guaranteed minimum.
//!
//! - [`state`]: who may hold how much; changed by commands of the log alone, and without a clock;
//! - [`allocator`]: the leader's side: responses, proposals, waiting until a lease has expired, all by its own clock;
//! - [`division`]: how much each holder should have;
//! - [`lease_holder`]: the holder's requests, and when its lease expires;
//! - [`ledger`]: where a request spends.
//!
//! | event | quota in force | quota reduced, not confirmed | no quota |
//! | --- | --- | --- | --- |
//! | response to a request | lease renewed | holder uses less from then on, confirms with its next request | quota begins, empty |
//! | holder confirms the epoch | - | the difference is free | - |
//! | lease expired at the holder | spends from its minimum | the same | the same |
//! | leader has waited until it must have expired | `ExpireLease`: free | `ConfirmReductions`: the difference is free | - |
//! | new incarnation of the front | old one is told to use nothing, committed until it has expired | the same | new one joins |
//! | leader changes | committed; renewed by the new one, or expired counted from its election | the same | - |

#![warn(clippy::needless_pass_by_value, clippy::too_many_lines, clippy::fn_params_excessive_bools)]

pub mod allocator;
pub mod command;
pub mod division;
mod ids;
pub mod lease;
pub mod lease_holder;
pub mod ledger;
mod settings;
pub mod state;

pub use allocator::LeaseAllocator;
pub use command::{BudgetCommand, CommandRejected, ConfirmedReduction, MinimumRule};
pub use ids::{BudgetId, BudgetKind, Epoch, FrontId, HolderId, Incarnation, SpendingModel};
pub use lease::{Demand, Grant, GuaranteedMinimums, LeaseRequest, LeaseResponse};
pub use lease_holder::LeaseHolder;
pub use ledger::{PermitSource, Priority, QuotaLedger, TotalLimit};
pub use settings::{Clocks, LeaseSettings};
pub use state::BudgetState;

/// Microseconds of a clock that does not go back, or a duration in microseconds.
pub type Micros = u64;

/// A part of a budget, in millionths of its total.
pub type PartsPerMillion = u32;

/// All of a budget.
pub const TOTAL: PartsPerMillion = 1_000_000;
