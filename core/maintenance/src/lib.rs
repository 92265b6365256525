//! Maintenance coordinator: cache nodes, parents and the fronts' own machines go out of service in an order that the fronts agree
//! on.
//!
//! **Invariants.** (1) While a permit for a machine is given, no front sends to it or has an open request there. (2) At every
//! moment the machines that are on their way out, out, or on their way back are within the disruption budget: so many of a
//! location, a hub, a kind; never both of a pair; never a majority of the voters' machines.
//!
//! They rest on a majority of the voters and their synced stores; on each front's lease on its view, checked when it decides; and
//! on clocks that run at the same rate within a stated bound for a lease and the longest deadline. They do not rest on failure
//! detection, on timers that fire, on synchronized clocks, on an endpoint list, or on messages that come once or at all. Without a
//! quorum nothing more goes out; what is out may return by the endpoint list, but is sent to only when the fronts agree again.
//!
//! A front without contact excludes every machine that its last view had scheduled or further. So nothing drains before every
//! front that is present has acknowledged that it is scheduled; one that is not heard holds the job up, and an operator can
//! declare it off. A front that has just started excludes the machines of the configuration until it has a view.
//!
//! - [`machine`], [`job`], [`budget`], [`report`]: the types;
//! - [`command`]: commands of the replicated log;
//! - [`state`]: the replicated state, changed by commands only;
//! - [`planning`]: which machines may go together, and why others wait;
//! - [`coordinator`]: what the leader proposes, from what fronts report;
//! - [`exclusions`]: what a front excludes.

#![warn(clippy::needless_pass_by_value, clippy::too_many_lines, clippy::fn_params_excessive_bools)]

pub mod budget;
pub mod command;
pub mod coordinator;
pub mod exclusions;
pub mod job;
pub mod machine;
pub mod planning;
pub mod report;
pub mod state;

pub use budget::{DisruptionBudget, DisruptionLimit, ReturnPolicy};
pub use command::{CommandRejected, MaintenanceCommand, Step};
pub use coordinator::{CoordinatorInput, MaintenanceCoordinator};
pub use exclusions::MaintenanceExclusions;
pub use job::{Job, JobId, MachineProgress};
pub use machine::{FrontPresence, HostedFront, MachineId, MachineSpec, PlacedMachine, Stage};
pub use report::{LeasedMaintenanceView, MaintenanceReport, MaintenanceView, WaitReason};
pub use state::MaintenanceState;
