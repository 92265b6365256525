//! Site health monitor: whether one front can reach the fronts and cache nodes of other sites, by its own clock. The
//! result is only a hint: no decision is based on the opinion of a single front.

use std::collections::BTreeMap;

use elmtide_budgets::Micros;

use crate::opinion::{Reachability, SiteOpinion};
use crate::site::SiteId;

/// Maximum number of tracked machines of one kind per site.
const MAX_MACHINES: usize = 256;

/// Whether an answer arrived in time.
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

/// The last answer of each machine of one kind, by machine.
type LastAnswers = BTreeMap<u64, LastAnswer>;

#[derive(Clone, Debug, Default)]
struct SiteAnswers {
    fronts: LastAnswers,
    caches: LastAnswers,
}

/// One front's observations of other sites.
#[derive(Clone, Debug)]
pub struct SiteHealthMonitor {
    /// A machine counts as unreachable if it has not answered for this long.
    timeout: Micros,
    started_at: Micros,
    sites: BTreeMap<SiteId, SiteAnswers>,
}

impl SiteHealthMonitor {
    /// Creates a monitor of these sites without any observations.
    pub fn new(timeout: Micros, sites: impl IntoIterator<Item = SiteId>, now: Micros) -> SiteHealthMonitor {
        let sites = sites.into_iter().map(|site| (site, SiteAnswers::default())).collect();
        SiteHealthMonitor { timeout, started_at: now, sites }
    }

    /// Records a message from a front of a site.
    pub fn on_front_heard(&mut self, site: SiteId, front: u64, now: Micros) {
        if let Some(answers) = self.sites.get_mut(&site) {
            let answer = LastAnswer { at: now, timeliness: Timeliness::InTime };
            record_answer(&mut answers.fronts, front, answer);
        }
    }

    /// Records an answer of a cache node of a site.
    pub fn on_cache_answered(&mut self, site: SiteId, cache: u64, timeliness: Timeliness, now: Micros) {
        if let Some(answers) = self.sites.get_mut(&site) {
            record_answer(&mut answers.caches, cache, LastAnswer { at: now, timeliness });
        }
    }

    /// The current opinion of a site. It is healthy until the monitor has run for a whole timeout.
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

    /// The current opinions on all sites that are not healthy.
    pub fn opinions(&self, now: Micros) -> Vec<(SiteId, SiteOpinion)> {
        let all = self.sites.keys().map(|site| (*site, self.opinion(*site, now)));
        all.filter(|(_, opinion)| *opinion != SiteOpinion::HEALTHY).collect()
    }
}

fn record_answer(answers: &mut LastAnswers, machine: u64, answer: LastAnswer) {
    if answers.len() < MAX_MACHINES || answers.contains_key(&machine) {
        answers.insert(machine, answer);
    }
}
