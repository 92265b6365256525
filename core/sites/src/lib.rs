//! Failover of whole sites: which sites are lost, where a lost site's clients are sent, which requests are rejected
//! first, and how a site's recovery is paced.
//!
//! **Invariants:**
//! - A site becomes lost only through the replicated log: by the opinions of a majority of the other sites, held for
//!   the site's patience (the time that opinions must persist), or by an operator.
//! - A key has at most one owner at a time: owners hold leases, and a new owner waits until any earlier owner's lease
//!   must have expired.
//!
//! They depend on a majority of the voters, and on clocks that run at the same rate for the length of a lease. They do
//! not depend on what a single front observes, on timers firing on time, or on synchronized clocks.
//!
//! - [`site`], [`opinion`], [`report`]: the types;
//! - [`health_monitor`]: how one front observes other sites;
//! - [`command`], [`state`]: the replicated state and the commands that change it;
//! - [`coordinator`]: what the leader proposes, based on the reports of fronts;
//! - [`held_view`], [`ownership`]: a front's leased view of the sites, and the owner of each key;
//! - [`failover_plan`]: where clients go for each loss, precomputed by a linear program;
//! - [`routing`]: applies a plan to one client: its destination, and whether its request is rejected.

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
