//! Which sites are lost by the view that this front was told last, and what that means for a client and for a key: a value that the
//! second front reads, replaced whole by the fleet's thread.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;
use crossbeam_channel::{bounded, Sender};
use elmtide::Ms;
use elmtide_budgets::LeaseSettings;
use elmtide_sites::held_view::ViewUpdate;
use elmtide_sites::{
    plan, FailoverPlan, FailoverRouting, HeldSiteView, KeyOwner, LeasedSiteView, Loss, OwnershipHistory,
    PlanError, RecoveryPhase, SiteId, SiteView,
};

use crate::edge::config::{EdgeConfig, FrontEntry};
use crate::edge::in_force::Owner;
use crate::fleet::site_directory::{SiteDirectory, SiteKind};
use crate::fleet::status_view::SiteStatusView;
use crate::process::{clock, spawn};

/// Most plans that are kept.
const MAX_PLANS: usize = 512;
/// Most losses whose plans wait to be made.
const MAX_WANTED_PLANS: usize = 16;
const MICROS_PER_MS: f64 = 1000.0;

/// What follows from a view.
#[derive(Clone, Debug, Default)]
pub struct FailoverState {
    held: HeldSiteView,
    routing: FailoverRouting,
    ownership: OwnershipHistory<String>,
}

impl FailoverState {
    /// The newest view; `None` before there is one.
    pub fn view(&self) -> Option<&SiteView> {
        self.held.view()
    }

    /// Where all clients go.
    pub fn routing(&self) -> &FailoverRouting {
        &self.routing
    }
}

/// What is to be done with a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientDecision {
    /// It is served here.
    ServeHere,
    /// Another branch serves it.
    Redirect,
    /// The plan sheds it.
    Reject {
        /// The longest time to wait that the client is told, in milliseconds.
        max_wait_ms: u64,
    },
}

/// A client as the plan tells it apart.
#[derive(Clone, Copy, Debug)]
pub struct Client<'a> {
    /// The branch that it belongs to.
    pub home: &'a str,
    /// The class of its request.
    pub class: &'a str,
    /// A number of its net, by which it goes to a branch.
    pub routing_draw: f64,
    /// Another number of its net, by which it is rejected.
    pub rejection_draw: f64,
}

/// How this front takes part in the failover of sites.
pub struct FailoverConfig {
    /// The sites of the fleet's file.
    pub sites: SiteDirectory,
    /// Each front with its site.
    pub fronts: Vec<(String, SiteId)>,
    /// This front.
    pub own_name: String,
    /// The times that leases go by.
    pub lease: LeaseSettings,
    /// How long a key may be asked again.
    pub key_lifetime: Ms,
    /// The longest wait that is told to those whom the plan sheds.
    pub max_wait: Ms,
}

/// What is read by the second front; the fleet's thread writes it.
pub struct SiteFailover {
    config: FailoverConfig,
    own_site: Option<SiteId>,
    /// Plans that have been made.
    plans: Mutex<BTreeMap<Loss, FailoverPlan>>,
    /// Losses whose plans are to be made.
    wanted: Sender<Loss>,
    current: ArcSwap<FailoverState>,
    /// Held by whoever replaces `current`: the fleet's thread, or the planner.
    writing: Mutex<()>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl SiteFailover {
    /// Starts the thread that makes plans: at once those for the loss of one site and of the pairs that the file names, others
    /// when they are needed.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(config: FailoverConfig) -> std::io::Result<Arc<SiteFailover>> {
        let own_site = config.fronts.iter().find(|(name, _)| *name == config.own_name).map(|(_, site)| *site);
        let layout = &config.sites.layout;
        let all_at_home = vec![1.0; layout.branches.len()];
        let routing = FailoverRouting::new(layout, &FailoverPlan::default(), &all_at_home);
        let (wanted, requests) = bounded(MAX_WANTED_PLANS);
        let failover = Arc::new(SiteFailover {
            config,
            own_site,
            plans: Mutex::default(),
            wanted,
            current: ArcSwap::from_pointee(FailoverState { routing, ..FailoverState::default() }),
            writing: Mutex::default(),
        });
        let planner = failover.clone();
        spawn("site-plans", move || {
            let likely = planner.sites().losses();
            likely.into_iter().chain(requests).for_each(|loss| planner.make_plan(loss));
        })?;
        Ok(failover)
    }

    /// The sites of the fleet's file.
    pub fn sites(&self) -> &SiteDirectory {
        &self.config.sites
    }

    /// Where this front is.
    pub fn own_site(&self) -> Option<SiteId> {
        self.own_site
    }

    /// What follows from the newest view.
    pub fn current(&self) -> Arc<FailoverState> {
        self.current.load_full()
    }

    /// Makes the plan for a loss, if there is none, and routes by it if that is what is lost.
    fn make_plan(&self, loss: Loss) {
        if lock(&self.plans).contains_key(&loss) {
            return;
        }
        let plan = self.solve(&loss);
        self.keep_plan(loss.clone(), plan);
        let _writing = lock(&self.writing);
        let before = self.current();
        if let Some(view) = before.view().filter(|view| self.loss(view) == loss) {
            let routing = self.routing(view);
            self.current.store(Arc::new(FailoverState { routing, ..(*before).clone() }));
        }
    }

    fn solve(&self, loss: &Loss) -> FailoverPlan {
        let layout = &self.sites().layout;
        match plan(layout, loss, None) {
            Ok(plan) => plan,
            Err(PlanError::MustServe { plan, class, missing_rate }) => {
                let class = &layout.classes[class].name;
                tracing::warn!(%class, short = missing_rate, ?loss, "sites: what must be served could not all be");
                *plan
            }
            Err(why) => {
                tracing::error!(%why, "sites: there is no plan for a loss: its clients would be shared out evenly");
                self.sites().spread_evenly(loss)
            }
        }
    }

    fn keep_plan(&self, loss: Loss, plan: FailoverPlan) {
        let mut plans = lock(&self.plans);
        if plans.len() >= MAX_PLANS {
            plans.retain(|loss, _| loss.branches.len() + loss.hubs.len() <= 1);
        }
        plans.insert(loss, plan);
    }

    /// Takes a view that the fleet's thread was told; true if something has changed for clients.
    pub fn apply(&self, leased: LeasedSiteView) -> bool {
        let _writing = lock(&self.writing);
        let before = self.current();
        let mut next = (*before).clone();
        if next.held.apply(leased) == ViewUpdate::Stale {
            return false;
        }
        let view = next.held.view().cloned().unwrap_or_default();
        let has_changed = before.view().is_none_or(|before| before.sites != view.sites);
        if has_changed {
            next.routing = self.routing(&view);
            self.change_owners(&mut next.ownership, &view, before.view());
        }
        self.current.store(Arc::new(next));
        has_changed
    }

    /// Fronts of lost sites own no key. An owner from before may be taking a request until its lease must have expired, and
    /// running it for as long as a key lives.
    fn change_owners(
        &self,
        ownership: &mut OwnershipHistory<String>,
        view: &SiteView,
        before: Option<&SiteView>,
    ) {
        let excluded = self.fronts_of(&view.lost());
        let lease = self.config.lease;
        let lease_ms = lease.safe_expiry(lease.duration) as f64 / MICROS_PER_MS;
        let now = clock::steady_ms();
        let until = now + lease_ms + self.config.key_lifetime;
        match before {
            None => ownership.set_initial(excluded, view.is_initial(), now, until),
            Some(before) => {
                let uncertain = self.fronts_of(&view.sites_with_missed_changes(before));
                ownership.update(&self.config.own_name, excluded, &uncertain, now, until);
            }
        }
    }

    fn fronts_of(&self, sites: &[SiteId]) -> BTreeSet<String> {
        let fronts = self.config.fronts.iter().filter(|(_, site)| sites.contains(site));
        fronts.map(|(name, _)| name.clone()).collect()
    }

    fn phase(&self, view: &SiteView, kind: SiteKind, place: usize) -> RecoveryPhase {
        self.sites().nth_of_kind(kind, place).map_or(RecoveryPhase::Serving, |site| view.phase(site))
    }

    /// What is lost, or does not serve all of its clients yet.
    fn loss(&self, view: &SiteView) -> Loss {
        let layout = &self.sites().layout;
        let away = |kind: SiteKind, count: usize| -> BTreeSet<usize> {
            (0..count).filter(|place| self.phase(view, kind, *place) != RecoveryPhase::Serving).collect()
        };
        Loss {
            branches: away(SiteKind::Branch, layout.branches.len()),
            hubs: away(SiteKind::Hub, layout.hubs.len()),
        }
    }

    /// By the plan for what is lost, and by the part of each branch's clients that is at home by now. A plan that is not made yet
    /// is requested, and until then clients are spread evenly: nothing here waits for a solver.
    fn routing(&self, view: &SiteView) -> FailoverRouting {
        let layout = &self.sites().layout;
        let loss = self.loss(view);
        let known = lock(&self.plans).get(&loss).cloned();
        let plan = known.unwrap_or_else(|| {
            let _ = self.wanted.try_send(loss.clone());
            self.sites().spread_evenly(&loss)
        });
        let at_home = |branch| f64::from(self.phase(view, SiteKind::Branch, branch).client_percent()) / 100.0;
        let at_home: Vec<f64> = (0..layout.branches.len()).map(at_home).collect();
        FailoverRouting::new(layout, &plan, &at_home)
    }

    /// All sites, as operators are shown them.
    pub fn shown(&self) -> Vec<SiteStatusView> {
        let current = self.current();
        let Some(view) = current.view() else { return Vec::new() };
        let sites = self.sites().names.iter().zip(&view.sites);
        let shown = sites.map(|((name, _), entry)| SiteStatusView {
            site: name.clone(),
            standing: entry.phase.name().to_lowercase(),
            clients: entry.phase.client_percent(),
            by_operator: entry.by_operator,
        });
        shown.collect()
    }

    /// The branch of this front, by its place in the plan.
    pub fn own_branch(&self) -> Option<usize> {
        self.own_site.and_then(|site| self.sites().branch_index(site))
    }

    /// What the plan says to a client that asks here.
    pub fn decide(&self, client: &Client) -> ClientDecision {
        let current = self.current();
        let (Some(home), Some(own)) = (self.sites().branch_named(client.home), self.own_branch()) else {
            return ClientDecision::ServeHere;
        };
        // A client that were redirected by one view and back by another would go round for ever: a front without a lease
        // redirects nobody.
        let serving = current.routing.branch(home, client.routing_draw);
        if serving.is_some_and(|branch| branch != own) && self.has_valid_lease(&current) {
            return ClientDecision::Redirect;
        }
        let class = self.sites().layout.classes.iter().position(|class| class.name == client.class);
        let is_rejected =
            class.is_some_and(|class| current.routing.rejects(home, own, class, client.rejection_draw));
        match is_rejected {
            true => ClientDecision::Reject { max_wait_ms: self.config.max_wait as u64 },
            false => ClientDecision::ServeHere,
        }
    }

    /// Whether this front's lease on the view is in force.
    pub fn has_valid_lease(&self, state: &FailoverState) -> bool {
        state.held.has_valid_lease(&self.config.lease, clock::both())
    }

    /// Who runs a key's request that came at `came_at`.
    pub fn owner(&self, edge: &EdgeConfig, key: &str, came_at: Ms, state: &FailoverState) -> Owner {
        let entry_without = |excluded: &BTreeSet<String>| {
            edge.owner_among(key, |front: &FrontEntry| !excluded.contains(&front.name))
        };
        let owner_without =
            |excluded: &BTreeSet<String>| entry_without(excluded).map(|entry| entry.name.clone());
        let retry_at = came_at + self.config.lease.duration as f64 / MICROS_PER_MS;
        let (own, is_leased) = (&self.config.own_name, self.has_valid_lease(state));
        match state.ownership.owner(own, came_at, is_leased, retry_at, owner_without) {
            KeyOwner::Own => Owner::Ours,
            KeyOwner::NobodyUntil(until) => Owner::NotYet(until),
            KeyOwner::Other(_) => {
                let entry = entry_without(state.ownership.excluded()).cloned();
                entry.map_or(Owner::NotYet(retry_at), Owner::Other)
            }
        }
    }
}

impl std::fmt::Debug for SiteFailover {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SiteFailover").field("own_site", &self.own_site).finish_non_exhaustive()
    }
}
