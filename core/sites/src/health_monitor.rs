//! Site health monitor: whether one front hears the fronts and the cache nodes of other sites, by its own clock. This is a hint:
//! nothing is decided by one front's opinion.

use std::collections::BTreeMap;

use elmtide_budgets::Micros;

use crate::opinion::{Reachability, SiteOpinion};
use crate::site::SiteId;

/// Most machines of one kind that are remembered of a site.
const MAX_MACHINES: usize = 256;

/// Whether an answer came in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timeliness {
    /// In time.
    InTime,
    /// Late.
    Late,
}

#[derive(Clone, Copy, Debug)]
struct LastAnswer {
    at: Micros,
    timeliness: Timeliness,
}

/// Last answers of the machines of one kind.
type LastAnswers = BTreeMap<u64, LastAnswer>;

#[derive(Clone, Debug, Default)]
struct SiteAnswers {
    fronts: LastAnswers,
    caches: LastAnswers,
}

/// What one front hears of other sites.
#[derive(Clone, Debug)]
pub struct SiteHealthMonitor {
    /// A machine that was not heard for so long does not answer.
    timeout: Micros,
    started_at: Micros,
    sites: BTreeMap<SiteId, SiteAnswers>,
}

impl SiteHealthMonitor {
    /// A monitor of these sites that has heard nothing yet.
    pub fn new(timeout: Micros, sites: impl IntoIterator<Item = SiteId>, now: Micros) -> SiteHealthMonitor {
        let sites = sites.into_iter().map(|site| (site, SiteAnswers::default())).collect();
        SiteHealthMonitor { timeout, started_at: now, sites }
    }

    /// A front of a site was heard.
    pub fn on_front_heard(&mut self, site: SiteId, front: u64, now: Micros) {
        if let Some(answers) = self.sites.get_mut(&site) {
            let answer = LastAnswer { at: now, timeliness: Timeliness::InTime };
            remember(&mut answers.fronts, front, answer);
        }
    }

    /// A cache node of a site has answered.
    pub fn on_cache_answered(&mut self, site: SiteId, cache: u64, timeliness: Timeliness, now: Micros) {
        if let Some(answers) = self.sites.get_mut(&site) {
            remember(&mut answers.caches, cache, LastAnswer { at: now, timeliness });
        }
    }

    /// The opinion of a site now; healthy until a whole timeout could have passed.
    pub fn opinion(&self, site: SiteId, now: Micros) -> SiteOpinion {
        let Some(answers) = self.sites.get(&site) else { return SiteOpinion::HEALTHY };
        if now.saturating_sub(self.started_at) < self.timeout {
            return SiteOpinion::HEALTHY;
        }
        SiteOpinion {
            fronts: self.reachability(&answers.fronts, now),
            caches: self.reachability(&answers.caches, now),
        }
    }

    fn reachability(&self, answers: &LastAnswers, now: Micros) -> Reachability {
        let is_recent = |answer: &&LastAnswer| now.saturating_sub(answer.at) < self.timeout;
        let recent: Vec<&LastAnswer> = answers.values().filter(is_recent).collect();
        if recent.is_empty() {
            return Reachability::Unreachable;
        }
        let any_late = recent.iter().any(|answer| answer.timeliness == Timeliness::Late);
        if any_late || recent.len() < answers.len() {
            return Reachability::Degraded;
        }
        Reachability::Reachable
    }

    /// The opinions of all sites that are not healthy.
    pub fn opinions(&self, now: Micros) -> Vec<(SiteId, SiteOpinion)> {
        let all = self.sites.keys().map(|site| (*site, self.opinion(*site, now)));
        all.filter(|(_, opinion)| *opinion != SiteOpinion::HEALTHY).collect()
    }
}

fn remember(answers: &mut LastAnswers, machine: u64, answer: LastAnswer) {
    if answers.len() < MAX_MACHINES || answers.contains_key(&machine) {
        answers.insert(machine, answer);
    }
}
