//! Selects which fronts' addresses a DNS answer contains, from the fronts' state, the client's network and a seed only.
//!
//! [`Layout`] describes an installation (fronts, branches, client networks), [`Steering`] follows what the fronts
//! report and when, and [`View`] is the resulting state that answers are selected from: an immutable value that is
//! replaced as a whole, and selecting from it allocates nothing.
//!
//! - A client network keeps its front (weighted rendezvous hashing); the loss of a front moves only that front's
//!   networks.
//! - A front is deselected at once and selected again only after it has reported that it serves for
//!   [`Policy::settle`], so that answers do not flap.
//! - Only addresses of fronts are known here, so no answer can contain a cache node.

#![expect(missing_docs, reason = "not documented in full yet: see docs/ROADMAP.md")]

mod layout;
mod net;
mod view;

pub use layout::{Branch, BranchId, Front, FrontId, Layout, LayoutError, Policy, Pool, PoolId, Subnet};
pub use net::Net;
pub use view::{FailoverRoute, Selection, SelectionKind, View, MAX_ANSWER_ADDRESSES};

/// Milliseconds of any monotonic clock.
pub type Ms = f64;

/// The condition of a front, as it reports it or as others observe it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Condition {
    /// It takes new clients. `shed` is the fraction of requests (0 to 1) that it refuses for lack of capacity.
    Serving { shed: f64 },
    /// It does not have all it needs to serve yet.
    NotReady,
    /// It is shutting down and takes no new clients.
    Draining,
}

/// Whether a front is selected.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FrontState {
    /// Selected.
    Serving,
    /// Not selected, since it does not serve. `good_since` is when it began to report that it serves again.
    NotServing { good_since: Option<Ms> },
    /// Not selected at its own request, not even as a last resort.
    Draining { good_since: Option<Ms> },
}

/// What is known about a front from its reports.
#[derive(Clone, Copy, Debug)]
struct FrontStatus {
    state: FrontState,
    reported_at: Ms,
    shed: f64,
}

/// Follows the fronts' reports and derives a [`View`] from them.
#[derive(Clone, Debug)]
pub struct Steering {
    layout: Layout,
    seed: u64,
    fronts: Vec<FrontStatus>,
    /// By branch: the fraction of its networks that overflow, and since when less overflow would be enough.
    spill: Vec<(f64, Option<Ms>)>,
    /// By branch: where its clients go while a failover plan displaces them.
    failover_routes: Vec<Option<FailoverRoute>>,
    now: Ms,
}

impl Steering {
    /// Every front counts as serving until its first report, for at most [`Policy::silence`]: otherwise answers would
    /// be empty right after a start.
    pub fn new(layout: Layout, seed: u64, now: Ms) -> Steering {
        let fronts = vec![
            FrontStatus { state: FrontState::Serving, reported_at: now, shed: 0.0 };
            layout.fronts().len()
        ];
        let spill = vec![(0.0, None); layout.branches().len()];
        let failover_routes = vec![None; layout.branches().len()];
        Steering { layout, seed, fronts, spill, failover_routes, now }
    }

    /// Routes the clients of the given branches by a failover plan, and those of all other branches as usual. Branches
    /// that are not in the layout are ignored.
    pub fn set_failover_routes(&mut self, routes: impl IntoIterator<Item = (BranchId, FailoverRoute)>) {
        self.failover_routes = vec![None; self.layout.branches().len()];
        for (branch, route) in routes {
            if let Some(entry) = self.failover_routes.get_mut(usize::from(branch.0)) {
                *entry = Some(route);
            }
        }
    }

    /// Replaces the layout. Fronts that keep their name keep their state, so that a change to one front does not bring
    /// a draining front back.
    pub fn apply_layout(&mut self, layout: Layout, now: Ms) {
        self.tick(now);
        let mut next = Steering::new(layout, self.seed, self.now);
        for (front, status) in next.layout.fronts().iter().zip(&mut next.fronts) {
            if let Some(old) = self.layout.fronts().iter().position(|f| f.name == front.name) {
                *status = self.fronts[old];
            }
        }
        for (branch, spill) in next.layout.branches().iter().zip(&mut next.spill) {
            if let Some(old) = self.layout.branches().iter().position(|b| b.name == branch.name) {
                *spill = self.spill[old];
            }
        }
        // The ids of branches may have changed, so the failover routes are dropped and must be set again for this
        // layout.
        *self = next;
    }

    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Records a report about a front; reports about unknown fronts are ignored. If the clock goes back, the last time
    /// applies.
    pub fn report(&mut self, front: FrontId, condition: Condition, now: Ms) {
        self.now = self.now.max(now);
        let (now, settle) = (self.now, self.layout.policy().settle);
        let Some(status) = self.fronts.get_mut(usize::from(front.0)) else { return };
        status.reported_at = now;
        status.state = match (condition, status.state) {
            (Condition::Draining, _) => FrontState::Draining { good_since: None },
            (Condition::NotReady, FrontState::Draining { .. }) => FrontState::Draining { good_since: None },
            (Condition::NotReady, _) => FrontState::NotServing { good_since: None },
            (Condition::Serving { .. }, FrontState::Serving) => FrontState::Serving,
            (
                Condition::Serving { .. },
                FrontState::NotServing { good_since } | FrontState::Draining { good_since },
            ) => {
                let since = good_since.unwrap_or(now);
                match now - since >= settle {
                    true => FrontState::Serving,
                    // A front that reports that it serves again is no longer draining.
                    false => FrontState::NotServing { good_since: Some(since) },
                }
            }
        };
        if let Condition::Serving { shed } = condition {
            // A value that is not finite is ignored; the last one stands.
            status.shed = if shed.is_finite() { shed.clamp(0.0, 1.0) } else { status.shed };
        }
    }

    /// Advances the clock: deselects silent fronts and recomputes how many clients overflow.
    pub fn tick(&mut self, now: Ms) {
        self.now = self.now.max(now);
        let policy = *self.layout.policy();
        for status in &mut self.fronts {
            if self.now - status.reported_at > policy.silence && status.state == FrontState::Serving {
                status.state = FrontState::NotServing { good_since: None };
            }
        }
        for index in 0..self.spill.len() {
            let required = self.required_overflow(BranchId(index as u16));
            let (current, lower_since) = self.spill[index];
            self.spill[index] = if required > current + policy.spill_step / 2.0 {
                (required, None)
            } else if required < current {
                // Reduced step by step, each step only after less would have been enough for the whole settling time.
                match lower_since {
                    Some(since) if self.now - since >= policy.settle => {
                        ((current - policy.spill_step).max(required), Some(self.now))
                    }
                    since => (current, since.or(Some(self.now))),
                }
            } else {
                (current, None)
            };
        }
    }

    /// The fraction of a branch's clients that its fronts can't serve, rounded up to whole steps.
    fn required_overflow(&self, branch: BranchId) -> f64 {
        let policy = self.layout.policy();
        let (mut total_weight, mut serving_weight) = (0.0, 0.0);
        for (front, status) in self.layout.fronts().iter().zip(&self.fronts) {
            if front.branch == branch {
                total_weight += front.weight;
                if status.state == FrontState::Serving {
                    // Shedding up to the threshold moves no clients.
                    let shed = if status.shed > policy.shed_from { status.shed } else { 0.0 };
                    serving_weight += front.weight * (1.0 - shed);
                }
            }
        }
        if total_weight <= 0.0 || serving_weight <= 0.0 {
            return 1.0;
        }
        // The capacity of a lost front is gone, but each remaining front can carry its usual share plus the headroom.
        let shortfall = (1.0 - serving_weight * (1.0 + policy.headroom) / total_weight).clamp(0.0, 1.0);
        ((shortfall / policy.spill_step).ceil() * policy.spill_step).min(1.0)
    }

    /// The earliest time at which [`Steering::tick`] may change something if no report comes before it.
    pub fn next_tick_by(&self) -> Option<Ms> {
        let policy = self.layout.policy();
        let silence_ends = self
            .fronts
            .iter()
            .filter(|s| s.state == FrontState::Serving)
            .map(|s| s.reported_at + policy.silence);
        let settle_ends = self.spill.iter().filter_map(|(_, since)| since.map(|s| s + policy.settle));
        silence_ends.chain(settle_ends).min_by(f64::total_cmp)
    }

    /// The state that answers are selected from until something changes.
    pub fn view(&self) -> View {
        let serves_no_clients = |front: &Front| {
            let route = self.failover_routes.get(usize::from(front.branch.0)).and_then(Option::as_ref);
            route.is_some_and(|r| r.home_fraction <= 0.0)
        };
        let statuses = self.fronts.iter().zip(self.layout.fronts());
        let eligibility = statuses.map(|(s, front)| match s.state {
            _ if serves_no_clients(front) => view::Eligibility::Never,
            FrontState::Serving => view::Eligibility::Serving,
            FrontState::NotServing { .. } => view::Eligibility::LastResort,
            FrontState::Draining { .. } => view::Eligibility::Never,
        });
        View::new(
            &self.layout,
            self.seed,
            eligibility.collect(),
            self.spill.iter().map(|(fraction, _)| *fraction).collect(),
            self.failover_routes.clone(),
        )
    }
}
