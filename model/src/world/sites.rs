//! SimulatedSites that are lost and return: what fronts report of them, and whether a loss that is declared was one.

use elmtide_budgets::{Clocks, Micros};
use elmtide_fleet::{AgreedCommand, FleetNode};
use elmtide_sites::health_monitor::Timeliness;
use elmtide_sites::{RecoveryPhase, SiteCommand, SiteId, SiteReport};

use super::World;
use crate::setup::Disk;

/// What was silent so long ago may still be declared: the words are held, asked for, and agreed on.
const MAX_DECLARATION_DELAY: Micros = 4_000_000;
/// Looks at who leads that are no further apart than this are of one span.
const MAX_OBSERVATION_GAP: Micros = 300_000;

impl World {
    /// The boxes of a site answer from now on, or do not.
    pub fn boxes(&mut self, site: usize, there: bool) {
        if let Some(sites) = &mut self.sites {
            sites.boxes[site] = there;
        }
    }

    /// Fronts of one site reach the boxes of another, or do not.
    pub fn cut_boxes(&mut self, from: usize, to: usize, cut: bool) {
        if let Some(sites) = &mut self.sites {
            match cut {
                true => sites.cuts.insert((from, to)),
                false => sites.cuts.remove(&(from, to)),
            };
        }
    }

    /// Fronts of a site.
    pub fn of_site(&self, site: usize) -> Vec<usize> {
        let count = self.sites.as_ref().map_or(1, |s| s.count);
        (0..self.fronts()).filter(|n| n % count == site).collect()
    }

    /// All of a site is gone in one moment, or there again.
    pub fn lose_site(&mut self, site: usize) {
        self.boxes(site, false);
        for node in self.of_site(site) {
            self.kill(node, Disk::Kept);
        }
    }

    pub fn bring_site(&mut self, site: usize) {
        self.boxes(site, true);
        for node in self.of_site(site) {
            if !self.is_up(node) {
                self.start(node);
            }
        }
    }

    pub fn standing(&self, site: usize) -> RecoveryPhase {
        self.sites.as_ref().map_or(RecoveryPhase::Serving, |s| s.standing[site])
    }

    /// What a front says of sites, as its fleet's thread would.
    pub(super) fn report_sites(&mut self, node: usize, clocks: Clocks) {
        let Some(sites) = &self.sites else { return };
        let (count, own) = (sites.count, node % sites.count);
        let reached: Vec<usize> =
            (0..count).filter(|s| *s != own && sites.boxes[*s] && !sites.cuts.contains(&(own, *s))).collect();
        let warm = sites.boxes[own];
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
        let said = SiteReport {
            opinions: site_observer.monitor.opinions(clocks.monotonic),
            view_revision: site_observer.holding.view().map(|v| v.revision),
            has_caught_up: true,
            caches_warm: warm,
            is_overloaded: false,
        };
        member.report_sites(said, clocks);
    }

    /// Who truly hears nothing of whom at this moment.
    pub(super) fn record_silence(&mut self) {
        let Some(sites) = &self.sites else { return };
        let count = sites.count;
        let mut silent = Vec::new();
        for by in 0..count {
            for of in (0..count).filter(|of| *of != by) {
                let boxes = sites.boxes[of] && !sites.cuts.contains(&(by, of));
                let heard = |n: &usize| self.hears_any(*n, of, count);
                if !boxes && !self.of_site(by).iter().any(heard) {
                    silent.push((by, of));
                }
            }
        }
        let (now, led) = (self.now, self.leader().is_some());
        if let Some(sites) = &mut self.sites {
            match led {
                true => {}
                // The looks are a tenth of a second apart: one that follows another belongs to its span.
                false if now - sites.unled.1 <= MAX_OBSERVATION_GAP => sites.unled.1 = now,
                false => sites.unled = (now, now),
            }
            sites.silent.extend(silent.into_iter().map(|pair| (pair, now)));
        }
    }

    fn hears_any(&self, node: usize, site: usize, count: usize) -> bool {
        let talks = |n: usize| self.is_up(n) && !self.is_stalled(n);
        talks(node) && (0..self.fronts()).any(|o| o % count == site && talks(o) && !self.is_cut(o, node))
    }

    /// Takes in what a voter has applied, where it is later than what is known: a loss must have been one, for most of the sites that were
    /// not lost.
    pub(super) fn record_site_phases(&mut self, node: usize) {
        let (Some(sites), Some(state)) = (&self.sites, self.member(node).and_then(FleetNode::sites)) else {
            return;
        };
        if state.revision() <= sites.number {
            return;
        }
        let number = state.revision();
        let after: Vec<RecoveryPhase> = state.sites().values().map(|e| e.phase).collect();
        let now = self.now;
        let mut wrong = Vec::new();
        for (of, is) in after.iter().enumerate() {
            if *is != RecoveryPhase::Lost || sites.standing[of] == RecoveryPhase::Lost {
                continue;
            }
            let others: Vec<usize> = (0..sites.count)
                .filter(|by| {
                    *by != of
                        && after[*by] != RecoveryPhase::Lost
                        && sites.standing[*by] != RecoveryPhase::Lost
                })
                .collect();
            let since = if now - sites.unled.1 <= MAX_DECLARATION_DELAY { sites.unled.0 } else { now };
            let silent = |by: &&usize| {
                sites.silent.get(&(**by, of)).is_some_and(|at| at + MAX_DECLARATION_DELAY >= since)
            };
            let words = others.iter().filter(silent).count();
            if words < (others.len() / 2 + 1).max(2) {
                let of_all = others.len();
                wrong.push(format!(
                    "{now} us: site {of} is declared lost, silent to {words} of {of_all} others"
                ));
            }
        }
        if let Some(sites) = &mut self.sites {
            (sites.number, sites.standing) = (number, after);
        }
        wrong.into_iter().for_each(|text| self.breach(text));
    }

    /// An operator's word, asked for at a node.
    pub fn operator(&mut self, node: usize, site: usize, lost: bool) -> bool {
        self.change(
            node,
            AgreedCommand::Sites(SiteCommand::OverrideByOperator {
                site: SiteId(site as u16),
                lost,
                at_ms: 0,
            }),
        )
    }
}
