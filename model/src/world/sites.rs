//! Sites that are lost and return: the reports of fronts, and the check that a declared loss was a real one.

use elmtide_budgets::{Clocks, Micros};
use elmtide_fleet::{AgreedCommand, FleetNode};
use elmtide_sites::health_monitor::Timeliness;
use elmtide_sites::{RecoveryPhase, SiteCommand, SiteId, SiteReport};

use super::World;
use crate::setup::StoreFate;

/// Maximum age in microseconds of a silence at the declaration of a loss, because opinions are held, collected and
/// agreed on before.
const MAX_DECLARATION_DELAY: Micros = 4_000_000;
/// Maximum time in microseconds between two observations without a leader that belong to one period.
const MAX_OBSERVATION_GAP: Micros = 300_000;

impl World {
    /// Sets whether the cache nodes of a site answer.
    pub fn set_caches_up(&mut self, site: usize, is_up: bool) {
        if let Some(sites) = &mut self.sites {
            sites.caches_up[site] = is_up;
        }
    }

    /// Blocks the links from the fronts of one site to the cache nodes of another, or unblocks them.
    pub fn set_cache_cut(&mut self, from: usize, to: usize, blocked: bool) {
        if let Some(sites) = &mut self.sites {
            match blocked {
                true => sites.blocked_caches.insert((from, to)),
                false => sites.blocked_caches.remove(&(from, to)),
            };
        }
    }

    /// The fronts of a site.
    pub fn fronts_of_site(&self, site: usize) -> Vec<usize> {
        let count = self.sites.as_ref().map_or(1, |s| s.count);
        (0..self.fronts()).filter(|n| n % count == site).collect()
    }

    /// Takes all cache nodes and fronts of a site down at once.
    pub fn lose_site(&mut self, site: usize) {
        self.set_caches_up(site, false);
        for node in self.fronts_of_site(site) {
            self.kill(node, StoreFate::Kept);
        }
    }

    /// Brings the cache nodes and fronts of a site up again.
    pub fn restore_site(&mut self, site: usize) {
        self.set_caches_up(site, true);
        for node in self.fronts_of_site(site) {
            if !self.is_up(node) {
                self.start(node);
            }
        }
    }

    /// The recovery phase of a site in the latest agreed state.
    pub fn site_phase(&self, site: usize) -> RecoveryPhase {
        self.sites.as_ref().map_or(RecoveryPhase::Serving, |s| s.phases[site])
    }

    /// Reports a front's opinions of sites, in place of its fleet thread.
    pub(super) fn report_sites(&mut self, node: usize, clocks: Clocks) {
        let Some(sites) = &self.sites else { return };
        let (count, own) = (sites.count, node % sites.count);
        let reached: Vec<usize> = (0..count)
            .filter(|s| *s != own && sites.caches_up[*s] && !sites.blocked_caches.contains(&(own, *s)))
            .collect();
        let warm = sites.caches_up[own];
        let ids = self.ids();
        let Some((member, site_observer)) = self.site_observer(node) else { return };
        for front in member.take_heard_fronts() {
            if let Some(other) = ids.iter().position(|id| *id == front).filter(|n| n % count != own) {
                site_observer.monitor.on_front_heard(
                    SiteId((other % count) as u16),
                    front.0,
                    clocks.monotonic,
                );
            }
        }
        for site in reached {
            site_observer.monitor.on_cache_answered(
                SiteId(site as u16),
                0,
                Timeliness::InTime,
                clocks.monotonic,
            );
        }
        let report = SiteReport {
            opinions: site_observer.monitor.opinions(clocks.monotonic),
            view_revision: site_observer.held_view.view().map(|v| v.revision),
            has_caught_up: true,
            caches_warm: warm,
            is_overloaded: false,
        };
        member.report_sites(report, clocks);
    }

    /// Records which sites truly hear nothing from which others at this moment.
    pub(super) fn record_silence(&mut self) {
        let Some(sites) = &self.sites else { return };
        let count = sites.count;
        let mut silent_pairs = Vec::new();
        for by in 0..count {
            for of in (0..count).filter(|of| *of != by) {
                let caches_answer = sites.caches_up[of] && !sites.blocked_caches.contains(&(by, of));
                let hears = |n: &usize| self.hears_site(*n, of, count);
                if !caches_answer && !self.fronts_of_site(by).iter().any(hears) {
                    silent_pairs.push((by, of));
                }
            }
        }
        let (now, has_leader) = (self.now, self.leader().is_some());
        if let Some(sites) = &mut self.sites {
            match has_leader {
                true => {}
                // Observations are 100 ms apart, so one that closely follows another extends its period.
                false if now - sites.leaderless.1 <= MAX_OBSERVATION_GAP => sites.leaderless.1 = now,
                false => sites.leaderless = (now, now),
            }
            sites.last_silent.extend(silent_pairs.into_iter().map(|pair| (pair, now)));
        }
    }

    /// Whether a front hears any front of a site.
    fn hears_site(&self, node: usize, site: usize, count: usize) -> bool {
        let is_running = |n: usize| self.is_up(n) && !self.is_stalled(n);
        is_running(node)
            && (0..self.fronts()).any(|o| o % count == site && is_running(o) && !self.is_cut(o, node))
    }

    /// Records the site phases that a voter has applied, if they are later than the known ones. A declared loss must
    /// have been a real one for most of the sites that were not lost.
    pub(super) fn record_site_phases(&mut self, node: usize) {
        let (Some(sites), Some(state)) = (&self.sites, self.member(node).and_then(FleetNode::sites)) else {
            return;
        };
        if state.revision() <= sites.revision {
            return;
        }
        let revision = state.revision();
        let after: Vec<RecoveryPhase> = state.sites().values().map(|e| e.phase).collect();
        let now = self.now;
        let mut violations = Vec::new();
        for (of, phase) in after.iter().enumerate() {
            if *phase != RecoveryPhase::Lost || sites.phases[of] == RecoveryPhase::Lost {
                continue;
            }
            let others: Vec<usize> = (0..sites.count)
                .filter(|by| {
                    *by != of && after[*by] != RecoveryPhase::Lost && sites.phases[*by] != RecoveryPhase::Lost
                })
                .collect();
            let since =
                if now - sites.leaderless.1 <= MAX_DECLARATION_DELAY { sites.leaderless.0 } else { now };
            let is_silent = |by: &&usize| {
                sites.last_silent.get(&(**by, of)).is_some_and(|at| at + MAX_DECLARATION_DELAY >= since)
            };
            let silent_count = others.iter().filter(is_silent).count();
            if silent_count < (others.len() / 2 + 1).max(2) {
                let other_count = others.len();
                violations.push(format!(
                    "{now} us: site {of} was declared lost, silent to only {silent_count} of {other_count} others"
                ));
            }
        }
        if let Some(sites) = &mut self.sites {
            (sites.revision, sites.phases) = (revision, after);
        }
        violations.into_iter().for_each(|text| self.record_violation(text));
    }

    /// Requests an operator's override for a site at a front.
    pub fn override_site(&mut self, node: usize, site: usize, lost: bool) -> bool {
        self.request_command(
            node,
            AgreedCommand::Sites(SiteCommand::OverrideByOperator {
                site: SiteId(site as u16),
                lost,
                at_ms: 0,
            }),
        )
    }
}
