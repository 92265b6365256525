//! Routing of clients during a failover: which branch serves a client, and which requests are rejected, by the plan for
//! the current loss and the phase of each recovery.
//!
//! Both decisions use numbers between 0 and 1 that are derived from the client's network. They never change and are the
//! same at every front, so all of a client's requests take the same route, and either all or none of its requests of a
//! class are rejected.

use crate::failover_plan::{FailoverPlan, Layout, SiteCapacity};

/// The destination of some of a branch's displaced clients: those with a number between the previous destination's
/// `interval_end` and this one's.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Destination {
    /// The branch that serves them.
    pub branch: usize,
    /// End of the interval of this destination. The intervals are in ascending order; the last one ends at 1.
    pub interval_end: f64,
}

/// The routing of one branch's clients.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BranchRouting {
    /// The fraction of its clients that the branch serves itself.
    pub home_fraction: f64,
    /// The destinations of its displaced clients.
    pub destinations: Vec<Destination>,
    /// The fraction of the displaced clients' requests that is rejected, by class.
    rejected_away: Vec<f64>,
    /// The fraction of the requests at the home branch that is rejected, by class.
    rejected_at_home: Vec<f64>,
}

/// The routing of all clients.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FailoverRouting {
    branches: Vec<BranchRouting>,
}

impl FailoverRouting {
    /// Creates the routing for a plan. `home_fractions` holds the fraction of its own clients that each branch serves,
    /// in the layout's order; 0 for a lost branch.
    pub fn new(layout: &Layout, plan: &FailoverPlan, home_fractions: &[f64]) -> FailoverRouting {
        let branches = layout.branches.iter().enumerate().map(|(index, branch)| {
            let home_fraction = home_fractions.get(index).copied().unwrap_or(1.0).clamp(0.0, 1.0);
            route_branch(layout, plan, index, branch, home_fraction)
        });
        FailoverRouting { branches: branches.collect() }
    }

    /// The routing of each branch's clients, in the layout's order.
    pub fn branches(&self) -> &[BranchRouting] {
        &self.branches
    }

    /// The branch that serves a client of `home` with the number `drawn`; `None` if no branch does.
    pub fn branch(&self, home: usize, drawn: f64) -> Option<usize> {
        let routing = self.branches.get(home)?;
        if drawn < routing.home_fraction {
            return Some(home);
        }
        let position = (drawn - routing.home_fraction) / (1.0 - routing.home_fraction).max(1e-9);
        let destination = routing.destinations.iter().find(|destination| position < destination.interval_end);
        destination.or(routing.destinations.last()).map(|destination| destination.branch)
    }

    /// Whether to reject a request that a client of `home` sends to the branch `at`. `drawn` is a number of the
    /// client's network other than the one that determines its route.
    pub fn rejects(&self, home: usize, at: usize, class: usize, drawn: f64) -> bool {
        let Some(routing) = self.branches.get(home) else { return false };
        let fractions = if home == at { &routing.rejected_at_home } else { &routing.rejected_away };
        fractions.get(class).is_some_and(|fraction| drawn < *fraction)
    }
}

fn route_branch(
    layout: &Layout,
    plan: &FailoverPlan,
    index: usize,
    branch: &SiteCapacity,
    home_fraction: f64,
) -> BranchRouting {
    let no_rejections = || vec![0.0; layout.classes.len()];
    let has_displaced = home_fraction < 1.0;
    let rejected = |fraction: f64| rejected_fractions(layout, plan, index, branch, fraction);
    BranchRouting {
        home_fraction,
        destinations: destinations(layout, plan, index),
        rejected_away: if has_displaced { rejected(1.0 - home_fraction) } else { no_rejections() },
        rejected_at_home: if has_displaced { no_rejections() } else { rejected(1.0) },
    }
}

/// The fraction of requests that the plan does not serve, by class, when `client_fraction` of a branch's clients send
/// them. While displaced clients return, the branches that take them keep accepting the load that was planned for all
/// of them.
fn rejected_fractions(
    layout: &Layout,
    plan: &FailoverPlan,
    index: usize,
    branch: &SiteCapacity,
    client_fraction: f64,
) -> Vec<f64> {
    let rejected_fraction = |class: usize| {
        let requested = branch.load[class] * client_fraction;
        if requested <= 0.0 {
            return 0.0;
        }
        let served = branch.load[class] - plan.rejected_rate(index, class);
        1.0 - (served / requested).clamp(0.0, 1.0)
    };
    (0..layout.classes.len()).map(rejected_fraction).collect()
}

fn destinations(layout: &Layout, plan: &FailoverPlan, from: usize) -> Vec<Destination> {
    let mut rates = vec![0.0; layout.branches.len()];
    for moved in plan.moves.iter().filter(|moved| moved.from == from) {
        rates[moved.to] += moved.rate;
    }
    let total: f64 = rates.iter().sum();
    let mut interval_end = 0.0;
    let mut destinations: Vec<Destination> = Vec::new();
    for (branch, rate) in rates.iter().enumerate().filter(|(_, rate)| **rate > 0.0) {
        interval_end += rate / total;
        destinations.push(Destination { branch, interval_end });
    }
    if let Some(last) = destinations.last_mut() {
        last.interval_end = 1.0;
    }
    destinations
}
