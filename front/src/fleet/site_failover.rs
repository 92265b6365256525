//! The consequences of the last view of sites for clients and for keys: where a client is served and which front owns a
//! key. The second front reads this state, which the fleet's thread replaces as a whole.

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

/// Maximum number of plans that are kept.
const MAX_PLANS: usize = 512;
/// Maximum number of losses that wait for their plans.
const MAX_WAITING_LOSSES: usize = 16;
const MICROS_PER_MS: f64 = 1000.0;

/// A view of sites and its consequences.
#[derive(Clone, Debug, Default)]
pub struct FailoverState {
    held: HeldSiteView,
    routing: FailoverRouting,
    ownership: OwnershipHistory<String>,
}

impl FailoverState {
    /// The latest view; `None` before there is one.
    pub fn view(&self) -> Option<&SiteView> {
        self.held.view()
    }

    /// Where clients are served.
    pub fn routing(&self) -> &FailoverRouting {
        &self.routing
    }
}

/// How a client's request is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientDecision {
    /// Serve it here.
    ServeHere,
    /// Redirect the client to another branch.
    Redirect,
    /// The plan rejects it.
    Reject {
        /// Longest wait that the client is told, in milliseconds.
        max_wait_ms: u64,
    },
}

/// The properties of a client that a plan depends on.
#[derive(Clone, Copy, Debug)]
pub struct Client<'a> {
    /// The branch that it belongs to.
    pub home: &'a str,
    /// The class of its request.
    pub class: &'a str,
    /// A number derived from its network, which determines its branch.
    pub routing_draw: f64,
    /// Another number derived from its network, which determines whether it is rejected.
    pub rejection_draw: f64,
}

/// Settings of this front's part in site failover.
pub struct FailoverConfig {
    /// The sites of the fleet's file.
    pub sites: SiteDirectory,
    /// The fronts that belong to a site, each with its site.
    pub fronts: Vec<(String, SiteId)>,
    /// This front.
    pub own_name: String,
    /// Durations and clock tolerances of leases.
    pub lease: LeaseSettings,
    /// How long a client may retry a key.
    pub key_lifetime: Ms,
    /// Longest wait before a retry that a client is told when the plan rejects its request.
    pub max_wait: Ms,
}

/// The state of site failover, read by the second front and written by the fleet's thread.
pub struct SiteFailover {
    config: FailoverConfig,
    own_site: Option<SiteId>,
    /// Plans that have been made.
    plans: Mutex<BTreeMap<Loss, FailoverPlan>>,
    /// Losses that need a plan, for the planner.
    plan_requests: Sender<Loss>,
    current: ArcSwap<FailoverState>,
    /// Held by the thread that replaces `current`: the fleet's thread or the planner.
    write_lock: Mutex<()>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl SiteFailover {
    /// Starts the planner, a thread that first makes the plans for the loss of one site and of the file's pairs, then
    /// others when they are needed.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(config: FailoverConfig) -> std::io::Result<Arc<SiteFailover>> {
        let own_site = config.fronts.iter().find(|(name, _)| *name == config.own_name).map(|(_, site)| *site);
        let layout = &config.sites.layout;
        let all_clients_at_home = vec![1.0; layout.branches.len()];
        let routing = FailoverRouting::new(layout, &FailoverPlan::default(), &all_clients_at_home);
        let (plan_requests, requests) = bounded(MAX_WAITING_LOSSES);
        let failover = Arc::new(SiteFailover {
            config,
            own_site,
            plans: Mutex::default(),
            plan_requests,
            current: ArcSwap::from_pointee(FailoverState { routing, ..FailoverState::default() }),
            write_lock: Mutex::default(),
        });
        let planner = failover.clone();
        spawn("site-plans", move || {
            let planned_in_advance = planner.sites().losses();
            planned_in_advance.into_iter().chain(requests).for_each(|loss| planner.make_plan(loss));
        })?;
        Ok(failover)
    }

    /// The sites of the fleet's file.
    pub fn sites(&self) -> &SiteDirectory {
        &self.config.sites
    }

    /// The site of this front; `None` if it belongs to none.
    pub fn own_site(&self) -> Option<SiteId> {
        self.own_site
    }

    /// The latest view and its consequences.
    pub fn current(&self) -> Arc<FailoverState> {
        self.current.load_full()
    }

    /// Makes the plan for a loss, if there is none, and uses it for routing if this is the current loss.
    fn make_plan(&self, loss: Loss) {
        if lock(&self.plans).contains_key(&loss) {
            return;
        }
        let plan = self.solve(&loss);
        self.keep_plan(loss.clone(), plan);
        let _write_guard = lock(&self.write_lock);
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
                tracing::warn!(
                    %class,
                    short = missing_rate,
                    ?loss,
                    "sites: the plan does not serve all of what must be served"
                );
                *plan
            }
            Err(why) => {
                tracing::error!(%why, "sites: there is no plan for a loss: clients would be spread evenly");
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

    /// Applies a view that the fleet's thread has received; true if it changes anything for clients.
    pub fn apply(&self, leased: LeasedSiteView) -> bool {
        let _write_guard = lock(&self.write_lock);
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

    /// Fronts of lost sites own no key. A previous owner may accept a request until its lease must have expired, and
    /// run it for the lifetime of a key.
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

    fn phase(&self, view: &SiteView, kind: SiteKind, index: usize) -> RecoveryPhase {
        self.sites().nth_of_kind(kind, index).map_or(RecoveryPhase::Serving, |site| view.phase(site))
    }

    /// The sites that are lost or do not serve all of their clients yet.
    fn loss(&self, view: &SiteView) -> Loss {
        let layout = &self.sites().layout;
        let not_serving = |kind: SiteKind, count: usize| -> BTreeSet<usize> {
            (0..count).filter(|index| self.phase(view, kind, *index) != RecoveryPhase::Serving).collect()
        };
        Loss {
            branches: not_serving(SiteKind::Branch, layout.branches.len()),
            hubs: not_serving(SiteKind::Hub, layout.hubs.len()),
        }
    }

    /// The routing by the plan for the current loss and by the fraction of each branch's clients that are back home. A
    /// plan that does not exist yet is requested, and until then clients are spread evenly: nothing here waits for a
    /// solver.
    fn routing(&self, view: &SiteView) -> FailoverRouting {
        let layout = &self.sites().layout;
        let loss = self.loss(view);
        let existing = lock(&self.plans).get(&loss).cloned();
        let plan = existing.unwrap_or_else(|| {
            let _ = self.plan_requests.try_send(loss.clone());
            self.sites().spread_evenly(&loss)
        });
        let home_fraction =
            |branch| f64::from(self.phase(view, SiteKind::Branch, branch).client_percent()) / 100.0;
        let home_fractions: Vec<f64> = (0..layout.branches.len()).map(home_fraction).collect();
        FailoverRouting::new(layout, &plan, &home_fractions)
    }

    /// The status of all sites, for operators.
    pub fn status(&self) -> Vec<SiteStatusView> {
        let current = self.current();
        let Some(view) = current.view() else { return Vec::new() };
        let sites = self.sites().names.iter().zip(&view.sites);
        let views = sites.map(|((name, _), entry)| SiteStatusView {
            site: name.clone(),
            standing: entry.phase.name().to_lowercase(),
            clients: entry.phase.client_percent(),
            by_operator: entry.by_operator,
        });
        views.collect()
    }

    /// The index of this front's branch in plans.
    pub fn own_branch(&self) -> Option<usize> {
        self.own_site.and_then(|site| self.sites().branch_index(site))
    }

    /// What the plan decides for a client whose request arrives here.
    pub fn decide(&self, client: &Client) -> ClientDecision {
        let current = self.current();
        let (Some(home), Some(own)) = (self.sites().branch_named(client.home), self.own_branch()) else {
            return ClientDecision::ServeHere;
        };
        // A client that one view redirects and another one redirects back would loop forever, so a front without a
        // valid lease redirects no client.
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

    /// Whether this front's lease on the view is valid.
    pub fn has_valid_lease(&self, state: &FailoverState) -> bool {
        state.held.has_valid_lease(&self.config.lease, clock::both_clocks())
    }

    /// The front that runs a request for a key that arrived at `arrived_at`.
    pub fn owner(&self, edge: &EdgeConfig, key: &str, arrived_at: Ms, state: &FailoverState) -> Owner {
        let entry_without = |excluded: &BTreeSet<String>| {
            edge.owner_among(key, |front: &FrontEntry| !excluded.contains(&front.name))
        };
        let owner_without =
            |excluded: &BTreeSet<String>| entry_without(excluded).map(|entry| entry.name.clone());
        let retry_at = arrived_at + self.config.lease.duration as f64 / MICROS_PER_MS;
        let (own, is_leased) = (&self.config.own_name, self.has_valid_lease(state));
        match state.ownership.owner(own, arrived_at, is_leased, retry_at, owner_without) {
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
