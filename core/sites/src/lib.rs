//! Failover of whole sites: which sites are lost, where the clients of a lost one go and what is shed first, and how its return is
//! paced.
//!
//! **Invariant: a site is lost only by the replicated log: by the opinions of a majority of the other sites, held for its patience, or
//! by an operator; and a key has one owner at a time, by leases and by waiting until an earlier owner's must have expired.** It
//! rests on a majority of the voters and on clocks that run at one rate for the length of a lease. It does not rest on what one
//! front hears, on timers that fire, or on synchronized clocks.
//!
//! - [`site`], [`opinion`], [`report`]: the types;
//! - [`health_monitor`]: what one front hears of other sites;
//! - [`command`], [`state`]: the replicated state and the commands that change it;
//! - [`coordinator`]: what the leader proposes, from what fronts report;
//! - [`held_view`], [`ownership`]: what a front decides by: its view with the lease on it, and who owns a key;
//! - [`failover_plan`]: where clients go for each loss, by a linear program made before;
//! - [`routing`]: where one client goes by that, and who is rejected.

#![warn(clippy::needless_pass_by_value, clippy::too_many_lines, clippy::fn_params_excessive_bools)]

pub mod command;
pub mod coordinator;
pub mod failover_plan;
pub mod health_monitor;
pub mod held_view;
pub mod opinion;
pub mod ownership;
pub mod report;
pub mod routing;
pub mod site;
pub mod state;

pub use command::{CommandRejected, SiteCommand};
pub use coordinator::{CoordinatorInput, FailoverCoordinator, FailoverSettings};
pub use failover_plan::{
    plan, BindingConstraint, Class, FailoverPlan, Layout, Loss, PlanError, SiteCapacity,
};
pub use health_monitor::SiteHealthMonitor;
pub use held_view::HeldSiteView;
pub use opinion::{Reachability, SiteOpinion};
pub use ownership::{KeyOwner, OwnershipHistory};
pub use report::{LeasedSiteView, SiteReport, SiteView};
pub use routing::FailoverRouting;
pub use site::{RecoveryPhase, SiteId};
pub use state::SiteState;
