//! Maintenance coordinator: takes cache nodes, parents and the fronts' own machines out of service and back, in an
//! order that the fronts agree on.
//!
//! **Invariants.** (1) While a machine has a permit and has not returned, no front sends to it or has an open request
//! there. (2) The machines that are scheduled, being drained, under maintenance or returning stay within the
//! disruption budget at all times: limits per location, per hub and per kind, never both machines of an exclusive
//! pair, and never a majority of the voters' machines.
//!
//! The invariants depend on a majority of the voters and their synced stores; on each front's lease on its view,
//! checked at the time of each decision; and on clocks whose rates differ by at most a stated bound for the duration
//! of a lease and the longest deadline. They do not depend on failure detection, on timers firing, on synchronized
//! clocks, on an endpoint list, or on messages arriving once or at all. Without a quorum no further machine goes out
//! of service. A machine that is out may come back according to the endpoint list, but fronts send to it only after
//! they agree again.
//!
//! A front without contact to the leader excludes every machine that is scheduled or further in its last view.
//! Therefore no machine is drained before every front that is present has acknowledged that the machine is scheduled.
//! An unreachable front blocks the job, and an operator can declare it off. A front that has just started excludes
//! all machines of the configuration until it has a view.
//!
//! - [`machine`], [`job`], [`budget`], [`report`]: types;
//! - [`command`]: commands of the replicated log;
//! - [`state`]: the replicated state, changed only by commands;
//! - [`planning`]: which machines may go out of service at the same time, and why others wait;
//! - [`coordinator`]: what the leader proposes, based on the reports of the fronts;
//! - [`exclusions`]: which machines a front excludes.

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
pub use machine::{DisruptedMachine, FrontPresence, HostedFront, MachineId, MachineSpec, Stage};
pub use report::{LeasedMaintenanceView, MaintenanceReport, MaintenanceView, WaitReason};
pub use state::MaintenanceState;
