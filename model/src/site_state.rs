//! Sites in simulated time: their true state and what fronts observe of it.

use std::collections::{BTreeMap, BTreeSet};

use elmtide_budgets::{FrontId, Micros};
use elmtide_sites::{FailoverSettings, HeldSiteView, RecoveryPhase, SiteHealthMonitor, SiteId};

use crate::setup::Setup;

/// Time in microseconds after which a front counts as silent, as by default in the settings file.
const SILENCE_TIMEOUT: Micros = 800_000;

/// Time for which a site must be silent before its loss is declared, as by default in the settings file.
const PATIENCE_MS: u64 = 600;

/// Upper limit of that time after repeated losses.
const MAX_PATIENCE_MS: u64 = 20_000;

/// Minimum duration of a recovery phase.
const MIN_PHASE_MS: u64 = 1_000;

/// The sites of a simulated fleet. Front `n` belongs to site `n` modulo the count.
#[derive(Clone, Debug)]
pub struct SimulatedSites {
    /// Number of sites.
    pub count: usize,
    /// Whether the cache nodes of each site answer.
    pub caches_up: Vec<bool>,
    /// Pairs of sites of which the first does not reach the cache nodes of the second.
    pub(crate) blocked_caches: BTreeSet<(usize, usize)>,
    /// For pairs of sites, the last time at which the first heard nothing at all from the second.
    pub(crate) last_silent: BTreeMap<(usize, usize), Micros>,
    /// The phases in the latest state that any voter has applied.
    pub phases: Vec<RecoveryPhase>,
    /// The revision of that state.
    pub(crate) revision: u64,
    /// Start and end of the last period without a leader. A declaration that could not be agreed on during it takes
    /// effect afterwards.
    pub(crate) leaderless: (Micros, Micros),
}

impl SimulatedSites {
    /// Sites that all serve.
    pub fn new(count: usize) -> SimulatedSites {
        let (caches_up, phases) = (vec![true; count], vec![RecoveryPhase::Serving; count]);
        SimulatedSites {
            count,
            caches_up,
            blocked_caches: BTreeSet::new(),
            last_silent: BTreeMap::new(),
            phases,
            revision: 0,
            leaderless: (0, 0),
        }
    }
}

/// The failover settings for a list of fronts, if the setup has sites.
pub fn failover_settings(setup: &Setup, ids: &[FrontId]) -> Option<FailoverSettings> {
    let count = setup.sites?;
    let fronts = ids.iter().enumerate().map(|(n, id)| (*id, SiteId((n % count) as u16))).collect();
    Some(FailoverSettings {
        sites: count as u16,
        patience_ms: PATIENCE_MS,
        max_patience_ms: MAX_PATIENCE_MS,
        min_phase_ms: MIN_PHASE_MS,
        site_of_front: fronts,
    })
}

/// A front's own monitor of the sites and the agreed view that it holds.
#[derive(Clone, Debug)]
pub struct SiteObserver {
    pub(crate) monitor: SiteHealthMonitor,
    /// The view that the fleet has sent to the front.
    pub held_view: HeldSiteView,
}

impl SiteObserver {
    /// An observer in site `own` of `count` sites.
    pub fn new(count: usize, own: usize, now: Micros) -> SiteObserver {
        let others = (0..count).filter(|s| *s != own).map(|s| SiteId(s as u16));
        SiteObserver {
            monitor: SiteHealthMonitor::new(SILENCE_TIMEOUT, others, now),
            held_view: HeldSiteView::default(),
        }
    }
}
