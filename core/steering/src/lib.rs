//! Which of our fronts' addresses an answer names, by state, client net and seed alone.
//!
//! [`Layout`] is what an installation is (fronts, branches, client nets), [`Steering`] follows what the fronts
//! report and when, and [`View`] is the outcome that the answer path reads: it is a value, changes only as a whole,
//! and choosing from it allocates nothing.
//!
//! - A client net keeps its front (weighted rendezvous hashing); the loss of a front moves only that front's nets.
//! - Leaving is at once, coming back takes [`Policy::settle`] of good reports: an answer never flaps.
//! - It knows addresses of fronts only: a cache node can't be named.

#![expect(missing_docs, reason = "not documented in full yet: see docs/ROADMAP.md")]

mod layout;
mod net;
mod view;

pub use layout::{Branch, BranchId, Front, FrontId, Layout, Policy, Pool, PoolId, Subnet, Unusable};
pub use net::Net;
pub use view::{Away, Choice, Chosen, View, MOST};

/// Milliseconds of any clock that does not go back.
pub type Ms = f64;

/// What a front says of itself, or what is seen of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Condition {
    /// It takes new clients; of those that ask it turns this part away (0 to 1) for want of room.
    Serving { shed: f64 },
    /// It has not yet what it needs to serve.
    NotReady,
    /// It is to go: no new clients.
    Draining,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Standing {
    /// Named.
    In,
    /// Not named: it does not serve. `good_since` is when it began to say that it does again.
    Out { good_since: Option<Ms> },
    /// Not named, and by its own will: not even where nobody else is left.
    Draining { good_since: Option<Ms> },
}

#[derive(Clone, Copy, Debug)]
struct Known {
    standing: Standing,
    reported: Ms,
    shed: f64,
}

/// Follows the fronts' reports; every outcome is a new [`View`].
#[derive(Clone, Debug)]
pub struct Steering {
    layout: Layout,
    seed: u64,
    fronts: Vec<Known>,
    /// The part of each branch's nets that goes to its second branch, and since when less would do.
    spill: Vec<(f64, Option<Ms>)>,
    /// Branches whose clients go elsewhere by an agreed plan.
    away: Vec<Option<Away>>,
    now: Ms,
}

impl Steering {
    /// Every front counts as serving until it is heard of, for [`Policy::silence`] at most: a start must not name nobody.
    pub fn new(layout: Layout, seed: u64, now: Ms) -> Steering {
        let fronts = vec![Known { standing: Standing::In, reported: now, shed: 0.0 }; layout.fronts().len()];
        let spill = vec![(0.0, None); layout.branches().len()];
        let away = vec![None; layout.branches().len()];
        Steering { layout, seed, fronts, spill, away, now }
    }

    /// From now on the clients of these branches go as is said here, and those of all others as usual. Names that are not in the layout are
    /// passed over.
    pub fn send_away(&mut self, away: impl IntoIterator<Item = (BranchId, Away)>) {
        self.away = vec![None; self.layout.branches().len()];
        for (branch, away) in away {
            if let Some(place) = self.away.get_mut(usize::from(branch.0)) {
                *place = Some(away);
            }
        }
    }

    /// Another layout in the place of this one: fronts of the same name keep their standing, so that a plan that
    /// touches one front does not bring a draining one back.
    pub fn relayout(&mut self, layout: Layout, now: Ms) {
        self.tick(now);
        let mut next = Steering::new(layout, self.seed, self.now);
        for (front, known) in next.layout.fronts().iter().zip(&mut next.fronts) {
            if let Some(old) = self.layout.fronts().iter().position(|f| f.name == front.name) {
                *known = self.fronts[old];
            }
        }
        for (branch, spill) in next.layout.branches().iter().zip(&mut next.spill) {
            if let Some(old) = self.layout.branches().iter().position(|b| b.name == branch.name) {
                *spill = self.spill[old];
            }
        }
        // Branches may be numbered anew: whoever says where clients go says it again for this layout.
        *self = next;
    }

    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// A report of a front; one of a front that is not there is passed over. A clock that goes back stands still.
    pub fn report(&mut self, front: FrontId, condition: Condition, now: Ms) {
        self.now = self.now.max(now);
        let (now, settle) = (self.now, self.layout.policy().settle);
        let Some(known) = self.fronts.get_mut(usize::from(front.0)) else { return };
        known.reported = now;
        known.standing = match (condition, known.standing) {
            (Condition::Draining, _) => Standing::Draining { good_since: None },
            (Condition::NotReady, Standing::Draining { .. }) => Standing::Draining { good_since: None },
            (Condition::NotReady, _) => Standing::Out { good_since: None },
            (Condition::Serving { .. }, Standing::In) => Standing::In,
            (Condition::Serving { .. }, Standing::Out { good_since } | Standing::Draining { good_since }) => {
                let since = good_since.unwrap_or(now);
                match now - since >= settle {
                    true => Standing::In,
                    // A front that serves again is no longer one that goes by its own will.
                    false => Standing::Out { good_since: Some(since) },
                }
            }
        };
        if let Condition::Serving { shed } = condition {
            // A report that is no figure says nothing; the last one stands.
            known.shed = if shed.is_finite() { shed.clamp(0.0, 1.0) } else { known.shed };
        }
    }

    /// Time passes: who is silent is out, and what spills over is reckoned anew.
    pub fn tick(&mut self, now: Ms) {
        self.now = self.now.max(now);
        let policy = *self.layout.policy();
        for known in &mut self.fronts {
            if self.now - known.reported > policy.silence && known.standing == Standing::In {
                known.standing = Standing::Out { good_since: None };
            }
        }
        for place in 0..self.spill.len() {
            let wanted = self.wanted_spill(BranchId(place as u16));
            let (current, calm_since) = self.spill[place];
            self.spill[place] = if wanted > current + policy.spill_step / 2.0 {
                (wanted, None)
            } else if wanted < current {
                // Back in steps, and only after a while in which less would have done all along.
                match calm_since {
                    Some(since) if self.now - since >= policy.settle => {
                        ((current - policy.spill_step).max(wanted), Some(self.now))
                    }
                    since => (current, since.or(Some(self.now))),
                }
            } else {
                (current, None)
            };
        }
    }

    /// The part of a branch's clients that its fronts can't serve, in whole steps.
    fn wanted_spill(&self, branch: BranchId) -> f64 {
        let policy = self.layout.policy();
        let (mut weight, mut able) = (0.0, 0.0);
        for (front, known) in self.layout.fronts().iter().zip(&self.fronts) {
            if front.branch == branch {
                weight += front.weight;
                if known.standing == Standing::In {
                    // A little shedding is a front's own affair.
                    let shed = if known.shed > policy.shed_from { known.shed } else { 0.0 };
                    able += front.weight * (1.0 - shed);
                }
            }
        }
        if weight <= 0.0 || able <= 0.0 {
            return 1.0;
        }
        // A front that is lost takes its part of the room along, but what is left may carry more than its own.
        let short = (1.0 - able * (1.0 + policy.headroom) / weight).clamp(0.0, 1.0);
        ((short / policy.spill_step).ceil() * policy.spill_step).min(1.0)
    }

    /// When [`Steering::tick`] may change something next, if nothing is reported until then.
    pub fn due(&self) -> Option<Ms> {
        let policy = self.layout.policy();
        let silent =
            self.fronts.iter().filter(|k| k.standing == Standing::In).map(|k| k.reported + policy.silence);
        let calm = self.spill.iter().filter_map(|(_, since)| since.map(|s| s + policy.settle));
        silent.chain(calm).min_by(f64::total_cmp)
    }

    /// What answers are chosen from until something changes.
    pub fn view(&self) -> View {
        let shut = |front: &Front| {
            let away = self.away.get(usize::from(front.branch.0)).and_then(Option::as_ref);
            away.is_some_and(|a| a.home <= 0.0)
        };
        let known = self.fronts.iter().zip(self.layout.fronts());
        let open = known.map(|(k, front)| match k.standing {
            _ if shut(front) => view::Open::Never,
            Standing::In => view::Open::Named,
            Standing::Out { .. } => view::Open::LastResort,
            Standing::Draining { .. } => view::Open::Never,
        });
        View::new(
            &self.layout,
            self.seed,
            open.collect(),
            self.spill.iter().map(|(part, _)| *part).collect(),
            self.away.clone(),
        )
    }
}
