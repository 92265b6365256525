//! Where the clients of each branch go, and which are rejected, by the plan for what is lost and by how far each recovery has come. A
//! client is told by a number between 0 and 1 that is drawn from its net once and for all: the same at every front, so that all
//! its requests go one way, and whoever is rejected is rejected whole.

use crate::failover_plan::{FailoverPlan, Layout, SiteCapacity};

/// Where the part of a branch's clients up to `reach` goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Destination {
    /// The branch.
    pub branch: usize,
    /// End of this destination's interval of the drawn numbers, rising to 1.
    pub reach: f64,
}

/// Where the clients of one branch go.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BranchRouting {
    /// The part of them that it serves itself.
    pub at_home: f64,
    /// Where the others go.
    pub destinations: Vec<Destination>,
    /// The part of what is asked elsewhere that is rejected, by class.
    rejected_away: Vec<f64>,
    /// The part of what is asked at home that is rejected, by class.
    rejected_at_home: Vec<f64>,
}

/// Where all clients go.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FailoverRouting {
    branches: Vec<BranchRouting>,
}

impl FailoverRouting {
    /// `at_home` is the part of its clients that each branch serves, in their order; 0 for one that is lost.
    pub fn new(layout: &Layout, plan: &FailoverPlan, at_home: &[f64]) -> FailoverRouting {
        let branches = layout.branches.iter().enumerate().map(|(place, branch)| {
            let at_home = at_home.get(place).copied().unwrap_or(1.0).clamp(0.0, 1.0);
            route_branch(layout, plan, place, branch, at_home)
        });
        FailoverRouting { branches: branches.collect() }
    }

    /// Each branch, in the layout's order.
    pub fn branches(&self) -> &[BranchRouting] {
        &self.branches
    }

    /// The branch that serves a client of `home`; `None` if nobody does.
    pub fn branch(&self, home: usize, drawn: f64) -> Option<usize> {
        let routing = self.branches.get(home)?;
        if drawn < routing.at_home {
            return Some(home);
        }
        let rest = (drawn - routing.at_home) / (1.0 - routing.at_home).max(1e-9);
        let destination = routing.destinations.iter().find(|destination| rest < destination.reach);
        destination.or(routing.destinations.last()).map(|destination| destination.branch)
    }

    /// Whether a request of a client of `home` that is asked `at` a branch is rejected; `drawn` is another number of its net.
    pub fn rejects(&self, home: usize, at: usize, class: usize, drawn: f64) -> bool {
        let Some(routing) = self.branches.get(home) else { return false };
        let parts = if home == at { &routing.rejected_at_home } else { &routing.rejected_away };
        parts.get(class).is_some_and(|part| drawn < *part)
    }
}

fn route_branch(
    layout: &Layout,
    plan: &FailoverPlan,
    place: usize,
    branch: &SiteCapacity,
    at_home: f64,
) -> BranchRouting {
    let none = || vec![0.0; layout.classes.len()];
    let is_away = at_home < 1.0;
    let rejected = |part: f64| rejected_parts(layout, plan, place, branch, part);
    BranchRouting {
        at_home,
        destinations: destinations(layout, plan, place),
        rejected_away: if is_away { rejected(1.0 - at_home) } else { none() },
        rejected_at_home: if is_away { none() } else { rejected(1.0) },
    }
}

/// By class, the part of what the `part` of a branch's clients ask that the plan does not serve. Branches that take clients of
/// others go on to bear what was planned for them, while fewer and fewer are away.
fn rejected_parts(
    layout: &Layout,
    plan: &FailoverPlan,
    place: usize,
    branch: &SiteCapacity,
    part: f64,
) -> Vec<f64> {
    let rejected = |class: usize| {
        let asked = branch.load[class] * part;
        if asked <= 0.0 {
            return 0.0;
        }
        let served = branch.load[class] - plan.rejected_rate(place, class);
        1.0 - (served / asked).clamp(0.0, 1.0)
    };
    (0..layout.classes.len()).map(rejected).collect()
}

fn destinations(layout: &Layout, plan: &FailoverPlan, from: usize) -> Vec<Destination> {
    let mut rates = vec![0.0; layout.branches.len()];
    for moved in plan.moves.iter().filter(|moved| moved.from == from) {
        rates[moved.to] += moved.rate;
    }
    let total: f64 = rates.iter().sum();
    let mut reach = 0.0;
    let mut destinations: Vec<Destination> = Vec::new();
    for (branch, rate) in rates.iter().enumerate().filter(|(_, rate)| **rate > 0.0) {
        reach += rate / total;
        destinations.push(Destination { branch, reach });
    }
    if let Some(last) = destinations.last_mut() {
        last.reach = 1.0;
    }
    destinations
}
