//! SimulatedSites in simulated time: which are truly there, and what fronts see of them.

use std::collections::{BTreeMap, BTreeSet};

use elmtide_budgets::{FrontId, Micros};
use elmtide_sites::{FailoverSettings, HeldSiteView, RecoveryPhase, SiteHealthMonitor, SiteId};

use crate::setup::Setup;

/// A front's silence, and the patience with a site, as the file's defaults.
const SILENCE_TIMEOUT: Micros = 800_000;

const PATIENCE_MS: u64 = 600;

const MAX_PATIENCE_MS: u64 = 20_000;

const MIN_PHASE_MS: u64 = 1_000;

/// The sites of a world: a front is of the site of its number, modulo the count.
#[derive(Clone, Debug)]
pub struct SimulatedSites {
    pub count: usize,
    /// Whether the boxes of a site answer.
    pub boxes: Vec<bool>,
    /// SimulatedSites that do not reach the boxes of another one.
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    /// The last moment at which a site could hear nothing at all of another one.
    pub(crate) silent: BTreeMap<(usize, usize), Micros>,
    /// As the latest that any voter has applied.
    pub standing: Vec<RecoveryPhase>,
    pub(crate) number: u64,
    /// The last span in which nobody led, from and to: a declaration that a leader could not get agreed on then is carried out after it.
    pub(crate) unled: (Micros, Micros),
}

impl SimulatedSites {
    pub fn new(count: usize) -> SimulatedSites {
        let (boxes, standing) = (vec![true; count], vec![RecoveryPhase::Serving; count]);
        SimulatedSites {
            count,
            boxes,
            cuts: BTreeSet::new(),
            silent: BTreeMap::new(),
            standing,
            number: 0,
            unled: (0, 0),
        }
    }
}

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

/// What one front sees of sites, and was told.
#[derive(Clone, Debug)]
pub struct SiteObserver {
    pub(crate) monitor: SiteHealthMonitor,
    pub holding: HeldSiteView,
}

impl SiteObserver {
    pub fn new(count: usize, own: usize, now: Micros) -> SiteObserver {
        let others = (0..count).filter(|s| *s != own).map(|s| SiteId(s as u16));
        SiteObserver {
            monitor: SiteHealthMonitor::new(SILENCE_TIMEOUT, others, now),
            holding: HeldSiteView::default(),
        }
    }
}
