//! The coordinator's proposals applied to the replicated state, for given reports of fronts: which sites are declared
//! lost and how they recover. Seeded random schedules of losses, wrong opinions, missing reports and new leaders check
//! the invariants after each turn.

use std::collections::BTreeMap;

use elmtide_budgets::{FrontId, HolderId, Incarnation};
use elmtide_sites::CoordinatorInput;
use elmtide_sites::Reachability;
use elmtide_sites::{
    FailoverCoordinator, FailoverSettings, RecoveryPhase, SiteCommand, SiteId, SiteOpinion, SiteReport,
    SiteState,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const UNREACHABLE: SiteOpinion =
    SiteOpinion { fronts: Reachability::Unreachable, caches: Reachability::Unreachable };
const FRONTS_UNREACHABLE: SiteOpinion =
    SiteOpinion { fronts: Reachability::Unreachable, caches: Reachability::Reachable };
const MICROS_PER_MS: u64 = 1000;
const LEASE_MICROS: u64 = 1000 * MICROS_PER_MS;

/// The sites' replicated state with the leader's coordinator and the reports of all fronts, in simulated time.
struct World {
    state: SiteState,
    coordinator: FailoverCoordinator,
    settings: FailoverSettings,
    /// The report that each front sends; `None` for one that sends none.
    fronts: Vec<Option<SiteReport>>,
    now_ms: u64,
}

impl World {
    fn new(sites: u16, fronts_per_site: u16) -> World {
        let count = sites * fronts_per_site;
        let site_by_front = (0..count).map(|f| (FrontId(u64::from(f)), SiteId(f % sites))).collect();
        let settings = FailoverSettings {
            sites,
            patience_ms: 500,
            max_patience_ms: 4000,
            min_phase_ms: 300,
            site_of_front: site_by_front,
        };
        let mut state = SiteState::default();
        let configuration = SiteCommand::UpdateSites {
            version: 1,
            sites,
            patience_ms: settings.patience_ms,
            max_patience_ms: settings.max_patience_ms,
        };
        state.apply(&configuration).unwrap();
        let report = SiteReport { has_caught_up: true, caches_warm: true, ..SiteReport::default() };
        let fronts = vec![Some(report); usize::from(count)];
        World { state, coordinator: FailoverCoordinator::default(), settings, fronts, now_ms: 10_000 }
    }

    fn fronts_of(&self, site: u16) -> Vec<usize> {
        (0..self.fronts.len()).filter(|f| *f as u16 % self.settings.sites == site).collect()
    }

    fn set_opinion(&mut self, by: u16, of: u16, opinion: SiteOpinion) {
        for front in self.fronts_of(by) {
            if let Some(report) = &mut self.fronts[front] {
                report.opinions.retain(|(site, _)| *site != SiteId(of));
                report.opinions.extend((opinion != SiteOpinion::HEALTHY).then_some((SiteId(of), opinion)));
            }
        }
    }

    /// Runs turns of 50 ms. In each turn the fronts report, and the coordinator's proposals are applied.
    fn run_turns(&mut self, turns: usize) {
        for _ in 0..turns {
            self.now_ms += 50;
            let revision = self.state.revision();
            for (front, report) in self.fronts.iter_mut().enumerate() {
                let holder = HolderId { front: FrontId(front as u64), incarnation: Incarnation(1) };
                if let Some(report) = report {
                    report.view_revision = Some(revision);
                    self.coordinator.on_report(holder, report.clone(), self.now_ms * MICROS_PER_MS);
                }
            }
            let input = CoordinatorInput {
                monotonic: self.now_ms * MICROS_PER_MS,
                wall_ms: self.now_ms,
                lease: LEASE_MICROS,
            };
            for command in self.coordinator.propose(&self.state, &self.settings, &input) {
                let _ = self.state.apply(&command);
            }
        }
    }

    fn phase(&self, site: u16) -> RecoveryPhase {
        self.state.sites()[&SiteId(site)].phase
    }

    fn stop_reports(&mut self, site: u16) {
        for front in self.fronts_of(site) {
            self.fronts[front] = None;
        }
    }

    fn restore_reports(&mut self, site: u16) {
        for front in self.fronts_of(site) {
            self.fronts[front] =
                Some(SiteReport { has_caught_up: true, caches_warm: true, ..SiteReport::default() });
        }
    }
}

#[test]
fn a_site_is_lost_when_most_others_consider_it_lost_for_its_patience() {
    let mut world = World::new(3, 2);
    world.stop_reports(0);
    world.set_opinion(1, 0, UNREACHABLE);
    world.run_turns(40);
    assert_eq!(world.phase(0), RecoveryPhase::Serving, "one site's opinion is not enough");
    world.set_opinion(2, 0, FRONTS_UNREACHABLE);
    world.run_turns(40);
    assert_eq!(world.phase(0), RecoveryPhase::Serving, "its cache nodes answer the other site");
    world.set_opinion(2, 0, UNREACHABLE);
    world.run_turns(5);
    assert_eq!(world.phase(0), RecoveryPhase::Serving, "not held for long enough");
    world.run_turns(8);
    assert_eq!(world.phase(0), RecoveryPhase::Lost);
    assert_eq!([1, 2].map(|s| world.phase(s)), [RecoveryPhase::Serving; 2]);
}

#[test]
fn one_of_a_sites_fronts_does_not_decide_the_sites_opinion() {
    let mut world = World::new(3, 3);
    world.set_opinion(1, 0, UNREACHABLE);
    // Only one front of the third site holds that opinion.
    let dissenter = world.fronts_of(2)[0];
    world.fronts[dissenter].as_mut().unwrap().opinions = vec![(SiteId(0), UNREACHABLE)];
    world.run_turns(60);
    assert_eq!(world.phase(0), RecoveryPhase::Serving);
}

#[test]
fn a_site_whose_fronts_stop_reporting_has_no_opinion() {
    let mut world = World::new(4, 1);
    world.set_opinion(1, 0, UNREACHABLE);
    world.set_opinion(2, 0, UNREACHABLE);
    world.run_turns(4);
    // Both stop before the patience has elapsed, so their opinions end.
    world.stop_reports(1);
    world.stop_reports(2);
    world.run_turns(60);
    assert_eq!(world.phase(0), RecoveryPhase::Serving);
}

/// Each phase waits for its preconditions and its minimum duration. A second loss returns the site to lost without
/// phases in between.
#[test]
fn a_recovery_advances_phase_by_phase_and_a_second_loss_ends_it_at_once() {
    let mut world = World::new(3, 2);
    world.stop_reports(0);
    [1, 2].into_iter().for_each(|by| world.set_opinion(by, 0, UNREACHABLE));
    world.run_turns(30);
    assert_eq!(world.phase(0), RecoveryPhase::Lost);
    [1, 2].into_iter().for_each(|by| world.set_opinion(by, 0, SiteOpinion::HEALTHY));
    world.run_turns(20);
    assert_eq!(world.phase(0), RecoveryPhase::Lost, "its fronts do not report");
    world.restore_reports(0);
    let fronts = world.fronts_of(0);
    let update_reports = |world: &mut World, change: &dyn Fn(&mut SiteReport)| {
        fronts.iter().for_each(|f| change(world.fronts[*f].as_mut().unwrap()));
    };
    update_reports(&mut world, &|s| s.has_caught_up = false);
    world.run_turns(30);
    assert_eq!(world.phase(0), RecoveryPhase::InContact, "it has not received what it missed");
    update_reports(&mut world, &|s| (s.has_caught_up, s.caches_warm) = (true, false));
    world.run_turns(30);
    assert_eq!(world.phase(0), RecoveryPhase::CaughtUp, "its caches are cold");
    update_reports(&mut world, &|s| (s.caches_warm, s.is_overloaded) = (true, true));
    world.run_turns(30);
    assert_eq!(world.phase(0), RecoveryPhase::WarmedUp, "it is overloaded");
    update_reports(&mut world, &|s| s.is_overloaded = false);
    let mut phases = vec![world.phase(0)];
    for _ in 0..40 {
        world.run_turns(1);
        phases.push(world.phase(0));
    }
    phases.dedup();
    assert_eq!(
        phases,
        [
            RecoveryPhase::WarmedUp,
            RecoveryPhase::QuarterTraffic,
            RecoveryPhase::HalfTraffic,
            RecoveryPhase::Serving
        ]
    );
    // A new loss soon after the recovery: declared at once, and with more patience the next time.
    let before = world.state.patience_ms(SiteId(0));
    world.stop_reports(0);
    [1, 2].into_iter().for_each(|by| world.set_opinion(by, 0, UNREACHABLE));
    world.run_turns(60);
    assert_eq!(world.phase(0), RecoveryPhase::Lost);
    assert!(world.state.patience_ms(SiteId(0)) > before);
}

/// Invariants under random schedules, checked after each turn: a site's phase advances by one at a time or falls to
/// lost, and a site is declared lost only with the opinions of two others. Once all sites are healthy, every recovery
/// completes.
#[test]
fn random_schedules_keep_the_invariants_and_every_recovery_completes() {
    for seed in 0..400u64 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (sites, fronts_per_site) = (random.random_range(3..8u16), random.random_range(1..4u16));
        let mut world = World::new(sites, fronts_per_site);
        let mut lost: BTreeMap<u16, bool> = BTreeMap::new();
        for _ in 0..30 {
            let site = random.random_range(0..sites);
            match random.random_range(0..6u8) {
                // A real loss that leaves a majority: all remaining sites observe it.
                0 if lost.len() + 1 < usize::from(sites) / 2 => {
                    lost.insert(site, true);
                    world.stop_reports(site);
                }
                1 => {
                    if lost.remove(&site).is_some() {
                        world.restore_reports(site);
                    }
                }
                2 => world.coordinator = FailoverCoordinator::default(),
                // One site considers all others lost: it is wrong, or its links are cut.
                3 => (0..sites).for_each(|of| {
                    world.set_opinion(site, of, if of == site { SiteOpinion::HEALTHY } else { UNREACHABLE })
                }),
                4 => (0..sites).for_each(|of| world.set_opinion(site, of, SiteOpinion::HEALTHY)),
                _ => {
                    let front = random.random_range(0..world.fronts.len());
                    if let Some(report) = &mut world.fronts[front] {
                        report.is_overloaded = random.random();
                    }
                }
            }
            let dissenters: Vec<u16> = (0..sites)
                .filter(|s| {
                    world
                        .fronts_of(*s)
                        .iter()
                        .any(|f| world.fronts[*f].as_ref().is_some_and(|s| s.opinions.len() > 1))
                })
                .collect();
            for by in (0..sites).filter(|by| !lost.contains_key(by) && !dissenters.contains(by)) {
                for of in (0..sites).filter(|of| *of != by) {
                    world.set_opinion(
                        by,
                        of,
                        if lost.contains_key(&of) { UNREACHABLE } else { SiteOpinion::HEALTHY },
                    );
                }
            }
            for _ in 0..10 {
                let before: Vec<RecoveryPhase> = (0..sites).map(|s| world.phase(s)).collect();
                world.run_turns(1);
                for of in 0..sites {
                    let (old_phase, new_phase) = (before[usize::from(of)], world.phase(of));
                    let is_valid_change = new_phase == old_phase
                        || new_phase == RecoveryPhase::Lost
                        || old_phase.next() == Some(new_phase);
                    assert!(
                        is_valid_change,
                        "seed {seed}: site {of} went from {old_phase:?} to {new_phase:?}"
                    );
                    // One or two dissenters are not enough while the others reach the site.
                    let against = (0..sites).filter(|by| {
                        *by != of && world.state.opinion(SiteId(*by), SiteId(of)).indicates_loss()
                    });
                    let declared = new_phase == RecoveryPhase::Lost && old_phase != RecoveryPhase::Lost;
                    assert!(
                        !declared || against.count() >= 2,
                        "seed {seed}: site {of} declared without enough opinions"
                    );
                }
            }
        }
        // All sites are present, reachable and not overloaded: every recovery completes.
        (0..sites).for_each(|s| world.restore_reports(s));
        world.run_turns(200);
        assert!((0..sites).all(|s| world.phase(s) == RecoveryPhase::Serving), "seed {seed}");
    }
}

/// With one front per site, that front's opinion is the site's. So broken links of two sites lead to a declared loss,
/// which shows that the checks above can fail.
#[test]
fn with_one_front_per_site_a_site_is_lost_when_two_others_cannot_reach_it() {
    let mut world = World::new(3, 1);
    [1, 2].into_iter().for_each(|by| world.set_opinion(by, 0, UNREACHABLE));
    world.run_turns(60);
    assert_eq!(world.phase(0), RecoveryPhase::Lost, "two of three sites that cannot reach it are believed");
}
