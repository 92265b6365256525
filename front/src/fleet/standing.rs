//! Which sites are lost by the agreed step that this front was told last, and what that means for a client and for a key: a value that the
//! second front reads, replaced whole by the fleet's thread.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use crossbeam_channel::{bounded, Sender};
use elmtide::Ms;
use elmtide_budgets::LeaseSettings;
use elmtide_sites::{plan, Directions, Holding, Loss, NoPlan, Plan, SiteId, Standing, Told, View};

use crate::edge::config::{EdgeConfig, FrontEntry};
use crate::edge::in_force::Owner;
use crate::fleet::look::ShownSite;
use crate::fleet::sites::{SiteKind, Sites};
use crate::process::{clock, spawn};

/// Sets of lost sites that are remembered while keys change hands.
const FORMERS: usize = 16;

/// Plans that are kept, and that wait to be made.
const PLANS: usize = 512;
const WANTED: usize = 16;

/// What a step means.
#[derive(Clone, Debug, Default)]
pub struct Now {
    pub holding: Holding,
    pub directions: Directions,
    /// Fronts of sites that are lost: they own no key.
    lost: BTreeSet<String>,
    /// Fronts that were so before, and until when a key that has changed hands by that is left alone; none for all that could have been.
    formers: Vec<(Option<BTreeSet<String>>, Ms)>,
}

/// What is to be done with a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    Here,
    /// Another branch serves it.
    Elsewhere,
    /// It is refused by plan, and waits so long at the most.
    Refused {
        most_ms: u64,
    },
}

/// What is read; the fleet's thread writes it.
#[derive(Debug)]
pub struct Watched {
    pub sites: Sites,
    /// Where this front is.
    pub own: Option<SiteId>,
    own_name: String,
    fronts: Vec<(String, SiteId)>,
    terms: LeaseSettings,
    /// How long a key may be asked again, in milliseconds.
    life: Ms,
    refused_ms: u64,
    /// Plans that have been made, by what is lost.
    plans: Mutex<BTreeMap<Loss, Plan>>,
    /// Losses whose plans are to be made.
    wanted: Sender<Loss>,
    now: ArcSwap<Now>,
    /// Held by whoever writes `now`: the fleet's thread, or the planner.
    writes: Mutex<()>,
}

impl Watched {
    /// `refused` is the longest wait that is told to those refused by plan. Plans are made by a thread of their own, those for the loss of one
    /// site and of the pairs that the file names at the start.
    pub fn start(
        sites: Sites,
        fronts: Vec<(String, SiteId)>,
        own: &str,
        terms: LeaseSettings,
        life: Ms,
        refused: Ms,
    ) -> std::io::Result<Arc<Watched>> {
        let find = fronts.iter().find(|(name, _)| name == own).map(|(_, site)| *site);
        let home = vec![1.0; sites.layout.branches.len()];
        let directions = Directions::of(&sites.layout, &Plan::default(), &home);
        let now = ArcSwap::from_pointee(Now { directions, ..Now::default() });
        let (wanted, asked) = bounded(WANTED);
        let watched = Arc::new(Watched {
            sites,
            own: find,
            own_name: own.to_owned(),
            fronts,
            terms,
            life,
            refused_ms: refused as u64,
            plans: Mutex::default(),
            wanted,
            now,
            writes: Mutex::default(),
        });
        let planner = watched.clone();
        spawn("site-plans", move || {
            for loss in planner.sites.losses() {
                planner.solve(loss);
            }
            for loss in asked {
                planner.solve(loss);
            }
        })?;
        Ok(watched)
    }

    /// Makes the plan for a loss, if there is none, and has it in force if that is what is lost.
    fn solve(&self, loss: Loss) {
        let plans = || self.plans.lock().unwrap_or_else(|p| p.into_inner());
        if plans().contains_key(&loss) {
            return;
        }
        let planned = match plan(&self.sites.layout, &loss, None) {
            Ok(plan) => plan,
            Err(NoPlan::Must { plan, class, short }) => {
                let class = &self.sites.layout.classes[class].name;
                tracing::warn!(%class, short, ?loss, "sites: what must be served could not all be");
                *plan
            }
            Err(why) => {
                tracing::error!(%why, "sites: there is no plan for a loss: its clients would be shared out evenly");
                self.sites.evenly(&loss)
            }
        };
        let mut known = plans();
        if known.len() >= PLANS {
            known.retain(|l, _| l.branches.len() + l.hubs.len() <= 1);
        }
        known.insert(loss.clone(), planned);
        drop(known);
        let _writes = self.writes.lock().unwrap_or_else(|p| p.into_inner());
        let before = self.now();
        if let Some(view) = before.holding.view.as_ref().filter(|view| self.loss(view) == loss) {
            let directions = self.directions(view);
            self.now.store(Arc::new(Now { directions, ..(*before).clone() }));
        }
    }

    pub fn now(&self) -> Arc<Now> {
        self.now.load_full()
    }

    /// Takes in what the fleet's thread was told; true where something has changed for clients.
    pub fn take(&self, told: Told) -> bool {
        let _writes = self.writes.lock().unwrap_or_else(|p| p.into_inner());
        let before = self.now();
        let mut next = (*before).clone();
        let first = before.holding.view.is_none();
        if !next.holding.take(told) {
            return false;
        }
        let view = next.holding.view.clone().unwrap_or_default();
        let changed = first || before.holding.view.as_ref().is_some_and(|v| v.sites != view.sites);
        if changed {
            let lost_sites = view.lost();
            next.directions = self.directions(&view);
            let lost = |site: &SiteId| lost_sites.contains(site);
            next.lost = self.fronts.iter().filter(|(_, s)| lost(s)).map(|(n, _)| n.clone()).collect();
            let now = clock::unix_ms();
            next.formers.retain(|(_, until)| *until > now);
            // Whoever had a key before may be taking it until its lease is over, and running it for as long as a key lives.
            let until = now + self.terms.safe_expiry(self.terms.duration) as f64 / 1000.0 + self.life;
            let quiet = view.sites.iter().all(|(_, since)| since.at == 0);
            match first {
                true if quiet => {}
                true => next.formers.push((None, until)),
                false if next.lost != before.lost => next.formers.push((Some(before.lost.clone()), until)),
                false => {}
            }
            while next.formers.len() > FORMERS {
                // The last ones are kept longest; more than these at once means that nobody knows who had what.
                next.formers.remove(0);
                if let Some(oldest) = next.formers.first_mut() {
                    oldest.0 = None;
                }
            }
        }
        self.now.store(Arc::new(next));
        changed
    }

    fn standing(&self, view: &View, kind: SiteKind, place: usize) -> Standing {
        self.sites.id(kind, place).map_or(Standing::Present, |site| view.standing(site))
    }

    /// What is lost, or not yet back whole.
    fn loss(&self, view: &View) -> Loss {
        let layout = &self.sites.layout;
        let away = |kind: SiteKind, count: usize| -> BTreeSet<usize> {
            (0..count).filter(|p| self.standing(view, kind, *p) != Standing::Present).collect()
        };
        Loss {
            branches: away(SiteKind::Branch, layout.branches.len()),
            hubs: away(SiteKind::Hub, layout.hubs.len()),
        }
    }

    /// By the plan for what is lost, and what of each branch's clients is at home by now. A plan that is not made yet is asked for, and until
    /// then clients are shared out evenly: nothing here waits for a solver.
    fn directions(&self, view: &View) -> Directions {
        let (layout, loss) = (&self.sites.layout, self.loss(view));
        let known = self.plans.lock().unwrap_or_else(|p| p.into_inner()).get(&loss).cloned();
        let planned = known.unwrap_or_else(|| {
            let _ = self.wanted.try_send(loss.clone());
            self.sites.evenly(&loss)
        });
        let home: Vec<f64> = (0..layout.branches.len())
            .map(|b| f64::from(self.standing(view, SiteKind::Branch, b).clients()) / 100.0)
            .collect();
        Directions::of(layout, &planned, &home)
    }

    /// All sites, for those who look.
    pub fn shown(&self) -> Vec<ShownSite> {
        let now = self.now();
        let Some(view) = &now.holding.view else { return Vec::new() };
        let sites = self.sites.names.iter().zip(&view.sites);
        let shown = sites.map(|((name, _), (standing, since))| ShownSite {
            site: name.clone(),
            standing: format!("{standing:?}").to_lowercase(),
            clients: standing.clients(),
            by_operator: since.by_operator,
        });
        shown.collect()
    }

    /// The branch of this front, by its place in the plan.
    pub fn own_branch(&self) -> Option<usize> {
        self.own.and_then(|site| self.sites.branch(site))
    }

    /// What the plan says to a client of a branch with its net's two draws, who asks here.
    pub fn place(&self, home: &str, class: &str, drawn: f64, other: f64) -> Place {
        let now = self.now();
        let (Some(home), Some(own)) = (self.sites.branch_named(home), self.own_branch()) else {
            return Place::Here;
        };
        match now.directions.branch(home, drawn) {
            // One that is told to go on to a branch that it has come from would go round for ever where the two differ by a step: who
            // has no lease says nothing of others.
            Some(branch) if branch != own && self.is_leased(&now) => return Place::Elsewhere,
            _ => {}
        }
        let class = self.sites.layout.classes.iter().position(|c| c.name == class);
        match class.is_some_and(|class| now.directions.refuses(home, own, class, other)) {
            true => Place::Refused { most_ms: self.refused_ms },
            false => Place::Here,
        }
    }

    pub fn is_leased(&self, now: &Now) -> bool {
        now.holding.is_leased(&self.terms, clock::both())
    }

    /// Who runs a key's request now.
    pub fn owner(&self, config: &EdgeConfig, key: &str, came: Ms, now: &Now) -> Owner {
        let among =
            |lost: &BTreeSet<String>| config.owner_among(key, |f: &FrontEntry| !lost.contains(&f.name));
        match among(&now.lost) {
            Some(owner) if owner.name != self.own_name => Owner::Other(owner.clone()),
            _ => {
                // Without contact nobody here knows who else takes it.
                if !self.is_leased(now) {
                    return Owner::NotYet(came + self.terms.duration as f64 / 1000.0);
                }
                let elsewhere = |lost: &Option<BTreeSet<String>>| match lost {
                    Some(lost) => among(lost).is_some_and(|o| o.name != self.own_name),
                    None => true,
                };
                let former = now.formers.iter().filter(|(lost, until)| *until > came && elsewhere(lost));
                match former.map(|(_, until)| *until).max_by(f64::total_cmp) {
                    Some(until) => Owner::NotYet(until),
                    None => Owner::Ours,
                }
            }
        }
    }
}
