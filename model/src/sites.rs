//! Sites in simulated time: which are truly there, what fronts see of them, and whether a loss that is declared was one.

use std::collections::{BTreeMap, BTreeSet};

use elmtide_budgets::{Clocks, Micros};
use elmtide_fleet::{AgreedCommand, FleetNode};
use elmtide_sites::health_monitor::Timeliness;
use elmtide_sites::{FailoverSettings, HeldSiteView, RecoveryPhase, SiteCommand, SiteHealthMonitor, SiteId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::world::{Disk, Net, Report, Setup, World};

/// A front's silence, and the patience with a site, as the file's defaults.
const SILENCE: Micros = 800_000;
const PATIENCE: u64 = 600;
const CEILING: u64 = 20_000;
const PACE: u64 = 1_000;
/// What was silent so long ago may still be declared: the words are held, asked for, and agreed on.
const LATE: Micros = 4_000_000;
/// Looks at who leads that are no further apart than this are of one span.
const LOOKS: Micros = 300_000;

/// The sites of a world: a front is of the site of its number, modulo the count.
#[derive(Clone, Debug)]
pub struct Sites {
    pub count: usize,
    /// Whether the boxes of a site answer.
    pub boxes: Vec<bool>,
    /// Sites that do not reach the boxes of another one.
    cuts: BTreeSet<(usize, usize)>,
    /// The last moment at which a site could hear nothing at all of another one.
    silent: BTreeMap<(usize, usize), Micros>,
    /// As the latest that any voter has applied.
    pub standing: Vec<RecoveryPhase>,
    number: u64,
    /// The last span in which nobody led, from and to: a declaration that a leader could not get agreed on then is carried out after it.
    unled: (Micros, Micros),
}

impl Sites {
    pub fn new(count: usize) -> Sites {
        let (boxes, standing) = (vec![true; count], vec![RecoveryPhase::Serving; count]);
        Sites {
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

pub fn rules(setup: &Setup, ids: &[elmtide_budgets::FrontId]) -> Option<FailoverSettings> {
    let count = setup.sites?;
    let fronts = ids.iter().enumerate().map(|(n, id)| (*id, SiteId((n % count) as u16))).collect();
    Some(FailoverSettings {
        sites: count as u16,
        patience_ms: PATIENCE,
        max_patience_ms: CEILING,
        min_phase_ms: PACE,
        site_of_front: fronts,
    })
}

/// What one front sees of sites, and was told.
#[derive(Clone, Debug)]
pub struct Looker {
    watcher: SiteHealthMonitor,
    pub holding: HeldSiteView,
}

impl Looker {
    pub fn new(count: usize, own: usize, now: Micros) -> Looker {
        let others = (0..count).filter(|s| *s != own).map(|s| SiteId(s as u16));
        Looker { watcher: SiteHealthMonitor::new(SILENCE, others, now), holding: HeldSiteView::default() }
    }
}

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
    pub(crate) fn say_sites(&mut self, node: usize, clocks: Clocks) {
        let Some(sites) = &self.sites else { return };
        let (count, own) = (sites.count, node % sites.count);
        let reached: Vec<usize> =
            (0..count).filter(|s| *s != own && sites.boxes[*s] && !sites.cuts.contains(&(own, *s))).collect();
        let warm = sites.boxes[own];
        let ids = self.ids();
        let Some((member, looker)) = self.looker(node) else { return };
        for front in member.take_heard_fronts() {
            if let Some(other) = ids.iter().position(|id| *id == front).filter(|n| n % count != own) {
                looker.watcher.on_front_heard(SiteId((other % count) as u16), front.0, clocks.monotonic);
            }
        }
        for site in reached {
            looker.watcher.on_cache_answered(SiteId(site as u16), 0, Timeliness::InTime, clocks.monotonic);
        }
        let said = elmtide_sites::SiteReport {
            opinions: looker.watcher.opinions(clocks.monotonic),
            view_revision: looker.holding.view().map(|v| v.revision),
            has_caught_up: true,
            caches_warm: warm,
            is_overloaded: false,
        };
        member.report_sites(said, clocks);
    }

    /// Who truly hears nothing of whom at this moment.
    pub(crate) fn look_at_sites(&mut self) {
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
                false if now - sites.unled.1 <= LOOKS => sites.unled.1 = now,
                false => sites.unled = (now, now),
            }
            sites.silent.extend(silent.into_iter().map(|pair| (pair, now)));
        }
    }

    fn hears_any(&self, node: usize, site: usize, count: usize) -> bool {
        let talks = |n: usize| self.is_up(n) && !self.stands_still(n);
        talks(node) && (0..self.fronts()).any(|o| o % count == site && talks(o) && !self.is_cut(o, node))
    }

    /// Takes in what a voter has applied, where it is later than what is known: a loss must have been one, for most of the sites that were
    /// not lost.
    pub(crate) fn keep_sites(&mut self, node: usize) {
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
            let since = if now - sites.unled.1 <= LATE { sites.unled.0 } else { now };
            let silent = |by: &&usize| sites.silent.get(&(**by, of)).is_some_and(|at| at + LATE >= since);
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

/// Plays `steps` faults on sites that come and go, then heals all, and waits for every return to end.
pub fn play_sites(seed: u64, steps: usize) -> Report {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x51fe5);
    let count = random.random_range(3..=6usize);
    let fronts = count * random.random_range(1..=2usize);
    let mut world = World::new(Setup { sites: Some(count), ..Setup::new(fronts, seed) });
    world.run(5_000_000);
    for _ in 0..steps {
        let site = random.random_range(0..count);
        let other = (site + random.random_range(1..count)) % count;
        match random.random_range(0..9u8) {
            0 | 1 => world.lose_site(site),
            2 | 3 => world.bring_site(site),
            // Cut off, with boxes that others reach, or not.
            4 => {
                let (one, rest): (Vec<usize>, Vec<usize>) = (0..fronts).partition(|n| n % count == site);
                world.split(&[&one, &rest]);
                if random.random() {
                    (0..count).filter(|by| *by != site).for_each(|by| world.cut_boxes(by, site, true));
                }
            }
            5 => world.cut_boxes(site, other, true),
            6 => {
                world.heal();
                (0..count).for_each(|by| (0..count).for_each(|of| world.cut_boxes(by, of, false)));
            }
            7 => world.net(Net { loss: random.random::<f64>() * 0.2, double: 0.1, delay: (1_000, 60_000) }),
            _ => {
                let node = random.random_range(0..fronts);
                match random.random_range(0..4u8) {
                    0 => world.stall(node, random.random_range(100_000..3_000_000)),
                    1 => world.set_wall(node, random.random_range(-5_000_000..5_000_000)),
                    2 => world.sleep(node, random.random_range(100_000..2_000_000)),
                    _ => {
                        world.kill(node, Disk::Kept);
                        world.start(node);
                    }
                }
            }
        }
        world.run(random.random_range(200_000..3_000_000));
    }
    world.heal();
    world.net(Net::default());
    for site in 0..count {
        (0..count).for_each(|by| world.cut_boxes(by, site, false));
        world.bring_site(site);
    }
    let back = |w: &World| (0..count).all(|s| w.standing(s) == RecoveryPhase::Serving);
    if !world.until(90_000_000, back) {
        let left: Vec<RecoveryPhase> = (0..count).map(|s| world.standing(s)).collect();
        world.breach(format!("not all sites are back after 90 s: {left:?}"));
    }
    world.report()
}
