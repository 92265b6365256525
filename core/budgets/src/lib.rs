//! Budgets shared by all fronts and divided among them by leases.
//!
//! **Invariant: for each budget, at any moment, the sum of what all fronts may spend does not exceed the total; what
//! all fronts spend together in any window of length t is at most rate·t + burst.**
//!
//! The invariant depends on three things: all replicas of [`BudgetState`] are equal (a log replicated to a majority);
//! the *rates* of any two clocks differ by at most [`LeaseSettings::drift`] over the length of a lease; and the store
//! of a guaranteed minimum is open in one process only. It does **not** depend on failure detection, on timers that
//! fire, on synchronized clocks, or on message delivery. Without a quorum, all quotas expire within one lease, and each
//! front continues with its guaranteed minimum.
//!
//! - [`state`]: the replicated allocations, changed only by commands of the log and independent of any clock;
//! - [`allocator`]: the leader's side: responses, proposals and lease expiry, all by the leader's own clock;
//! - [`division`]: computes how much of a budget each holder should have;
//! - [`lease_holder`]: the holder's side: lease requests, and when the lease expires;
//! - [`ledger`]: the local quotas that requests spend from.
//!
//! | event | quota in force | quota reduced, not confirmed | no quota |
//! | --- | --- | --- | --- |
//! | response to a request | lease renewed | holder uses less, confirms in its next request | quota starts, empty |
//! | holder confirms the epoch | - | the difference is released | - |
//! | lease expires at the holder | holder spends from its minimum | the same | the same |
//! | leader's wait for the expiry has ended | `ExpireLease`: released | `ConfirmReductions`: difference released | - |
//! | new incarnation of the front | revoked, but committed until the lease has expired | the same | new one joins |
//! | leader changes | committed; renewed by the new leader, or expired, counted from its election | the same | - |

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
pub use command::{BudgetCommand, CommandRejected, ConfirmedReduction, MinimumRule, MAX_FRONTS};
pub use ids::{BudgetId, BudgetKind, Epoch, FrontId, HolderId, Incarnation, SpendingModel};
pub use lease::{Demand, Grant, GuaranteedMinimums, LeaseRequest, LeaseResponse, MAX_BUDGETS_PER_LEASE};
pub use lease_holder::LeaseHolder;
pub use ledger::{PermitSource, Priority, QuotaLedger, TotalLimit};
pub use settings::{Clocks, LeaseSettings};
pub use state::BudgetState;

/// A time of a monotonic clock, or a duration, in microseconds.
pub type Micros = u64;

/// A share of a budget, in millionths of its total.
pub type PartsPerMillion = u32;

/// A whole budget.
pub const TOTAL: PartsPerMillion = 1_000_000;
