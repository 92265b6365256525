//! Loss and recovery of sites: the needed opinions and patience, the phases of a recovery, and a simulated day of
//! ordinary faults without a declared loss.

use elmtide_sites::health_monitor::Timeliness;
use elmtide_sites::opinion::majority_opinion;
use elmtide_sites::{CommandRejected, SiteCommand, SiteState};
use elmtide_sites::{Reachability, SiteHealthMonitor, SiteOpinion};
use elmtide_sites::{RecoveryPhase, SiteId};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const UNREACHABLE: SiteOpinion =
    SiteOpinion { fronts: Reachability::Unreachable, caches: Reachability::Unreachable };
const FRONTS_UNREACHABLE: SiteOpinion =
    SiteOpinion { fronts: Reachability::Unreachable, caches: Reachability::Reachable };

fn state(sites: u16) -> SiteState {
    let mut state = SiteState::default();
    state
        .apply(&SiteCommand::UpdateSites { version: 1, sites, patience_ms: 1000, max_patience_ms: 16_000 })
        .unwrap();
    state
}

fn report_opinions(state: &mut SiteState, by: u16, of: &[(u16, SiteOpinion)], now_ms: u64) {
    let reported = of.iter().map(|(site, opinion)| (SiteId(*site), *opinion)).collect();
    state.apply(&SiteCommand::ReportOpinions { by: SiteId(by), opinions: reported, at_ms: now_ms }).unwrap();
}

fn declare(state: &mut SiteState, site: u16, now_ms: u64) -> Result<(), CommandRejected> {
    let seen_revision = state.sites()[&SiteId(site)].revision;
    state.apply(&SiteCommand::DeclareLost { site: SiteId(site), revision: seen_revision, at_ms: now_ms })
}

fn phase(state: &SiteState, site: u16) -> RecoveryPhase {
    state.sites()[&SiteId(site)].phase
}

fn advance(state: &mut SiteState, site: u16, now_ms: u64) -> Result<(), CommandRejected> {
    let entry = &state.sites()[&SiteId(site)];
    let (seen_revision, to) = (entry.revision, entry.phase.next().unwrap_or(RecoveryPhase::Serving));
    state.apply(&SiteCommand::AdvanceRecovery {
        site: SiteId(site),
        revision: seen_revision,
        to,
        at_ms: now_ms,
    })
}

#[test]
fn a_loss_needs_the_opinions_of_most_sites_for_the_patience() {
    let mut state = state(3);
    report_opinions(&mut state, 1, &[(0, UNREACHABLE)], 0);
    assert_eq!(
        declare(&mut state, 0, 5000),
        Err(CommandRejected::TooFewOpinions { present: 1, needed: 2 }),
        "one site is not enough"
    );
    report_opinions(&mut state, 2, &[(0, FRONTS_UNREACHABLE)], 4000);
    assert!(declare(&mut state, 0, 9000).is_err(), "its cache nodes answer: it serves its own clients");
    report_opinions(&mut state, 2, &[(0, UNREACHABLE)], 10_000);
    assert_eq!(declare(&mut state, 0, 10_400), Err(CommandRejected::PatienceNotElapsed(600)));
    assert!(state.declarable_losses(10_400).is_empty());
    // The patience of a withdrawn opinion starts again.
    report_opinions(&mut state, 2, &[], 10_500);
    report_opinions(&mut state, 2, &[(0, UNREACHABLE)], 10_600);
    assert_eq!(declare(&mut state, 0, 11_100), Err(CommandRejected::PatienceNotElapsed(500)));
    assert_eq!(state.declarable_losses(11_600).len(), 1);
    declare(&mut state, 0, 11_600).unwrap();
    assert_eq!((phase(&state, 0), state.lost()), (RecoveryPhase::Lost, vec![SiteId(0)]));
    assert!(declare(&mut state, 0, 12_000).is_err(), "it is already lost");
}

#[test]
fn a_site_that_is_cut_off_and_considers_all_others_lost_declares_none() {
    let mut state = state(4);
    report_opinions(&mut state, 3, &[(0, UNREACHABLE), (1, UNREACHABLE), (2, UNREACHABLE)], 0);
    for site in 0..3 {
        assert_eq!(
            declare(&mut state, site, 60_000),
            Err(CommandRejected::TooFewOpinions { present: 1, needed: 2 })
        );
    }
    // The others declare it lost, and its opinions no longer count.
    for by in 0..3 {
        report_opinions(&mut state, by, &[(3, UNREACHABLE)], 1000);
    }
    declare(&mut state, 3, 2000).unwrap();
    report_opinions(&mut state, 0, &[(3, UNREACHABLE), (1, UNREACHABLE)], 2000);
    assert_eq!(declare(&mut state, 1, 9000), Err(CommandRejected::TooFewOpinions { present: 1, needed: 2 }));
}

#[test]
fn a_recovery_advances_phase_by_phase_and_a_second_loss_ends_it_at_once() {
    let mut state = state(3);
    let report_loss = |state: &mut SiteState, now_ms| {
        report_opinions(state, 1, &[(0, UNREACHABLE)], now_ms);
        report_opinions(state, 2, &[(0, UNREACHABLE)], now_ms);
    };
    let report_healthy = |state: &mut SiteState, now_ms| {
        report_opinions(state, 1, &[], now_ms);
        report_opinions(state, 2, &[], now_ms);
    };
    report_loss(&mut state, 0);
    declare(&mut state, 0, 1000).unwrap();
    report_healthy(&mut state, 2000);
    let client_percents = [0, 0, 0, 25, 50, 100];
    for (n, percent) in client_percents.iter().enumerate() {
        advance(&mut state, 0, 3000 + n as u64).unwrap();
        assert_eq!(phase(&state, 0).client_percent(), *percent);
    }
    assert_eq!(phase(&state, 0), RecoveryPhase::Serving);
    assert!(advance(&mut state, 0, 4000).is_err());
    // Another loss soon after the recovery, then one in each phase of a recovery. A loss during a recovery needs no
    // patience, and one after it needs more each time.
    let mut now_ms = 5000;
    let mut patiences_ms = vec![state.patience_ms(SiteId(0))];
    for steps in 1..=5 {
        report_loss(&mut state, now_ms);
        now_ms += state.patience_ms(SiteId(0));
        declare(&mut state, 0, now_ms).unwrap();
        report_healthy(&mut state, now_ms + 1);
        (0..steps).for_each(|_| advance(&mut state, 0, now_ms + 2).unwrap());
        report_loss(&mut state, now_ms + 3);
        declare(&mut state, 0, now_ms + 3).unwrap();
        assert_eq!(phase(&state, 0), RecoveryPhase::Lost, "at once from recovery phase {steps}");
        report_healthy(&mut state, now_ms + 4);
        (0..6).for_each(|_| advance(&mut state, 0, now_ms + 5).unwrap());
        patiences_ms.push(state.patience_ms(SiteId(0)));
        now_ms += 10;
    }
    assert!(
        patiences_ms.windows(2).all(|w| w[0] <= w[1]) && *patiences_ms.last().unwrap() == 16_000,
        "{patiences_ms:?}"
    );
    // After a long time in service the patience is that of a first loss again.
    report_loss(&mut state, now_ms + 100_000);
    declare(&mut state, 0, now_ms + 200_000).unwrap();
    assert_eq!(state.patience_ms(SiteId(0)), 1000);
}

#[test]
fn an_operator_declares_a_site_lost_and_lets_it_recover() {
    let mut state = state(2);
    report_opinions(&mut state, 1, &[(0, UNREACHABLE)], 0);
    assert!(declare(&mut state, 0, 9000).is_err(), "of two sites neither can declare the other");
    state.apply(&SiteCommand::OverrideByOperator { site: SiteId(0), lost: true, at_ms: 9000 }).unwrap();
    assert_eq!(phase(&state, 0), RecoveryPhase::Lost);
    assert_eq!(advance(&mut state, 0, 9100), Err(CommandRejected::DeclaredByOperator));
    state.apply(&SiteCommand::OverrideByOperator { site: SiteId(0), lost: false, at_ms: 9200 }).unwrap();
    advance(&mut state, 0, 9300).unwrap();
    assert_eq!(phase(&state, 0), RecoveryPhase::InContact);
    let other = SiteCommand::OverrideByOperator { site: SiteId(7), lost: true, at_ms: 0 };
    assert_eq!(state.apply(&other), Err(CommandRejected::UnknownSite(SiteId(7))));
}

#[test]
fn the_monitor_distinguishes_unreachable_fronts_and_late_or_missing_answers() {
    let mut monitor = SiteHealthMonitor::new(1_000_000, [SiteId(1)], 0);
    assert_eq!(monitor.opinion(SiteId(1), 900_000), SiteOpinion::HEALTHY, "the timeout has not passed yet");
    assert_eq!(monitor.opinion(SiteId(1), 1_000_000), UNREACHABLE);
    let observe = |monitor: &mut SiteHealthMonitor, fronts: &[u64], caches: &[(u64, bool)], now| {
        fronts.iter().for_each(|f| monitor.on_front_heard(SiteId(1), *f, now));
        for (cache, late) in caches {
            let timeliness = if *late { Timeliness::Late } else { Timeliness::InTime };
            monitor.on_cache_answered(SiteId(1), *cache, timeliness, now);
        }
        monitor.opinion(SiteId(1), now)
    };
    let opinion = |fronts, cache_nodes| SiteOpinion { fronts, caches: cache_nodes };
    let all: [(u64, bool); 2] = [(1, false), (2, false)];
    assert_eq!(observe(&mut monitor, &[1, 2], &all, 2_000_000), SiteOpinion::HEALTHY);
    assert_eq!(
        observe(&mut monitor, &[1], &all, 4_000_000),
        opinion(Reachability::Degraded, Reachability::Reachable),
        "one front is silent"
    );
    assert_eq!(
        observe(&mut monitor, &[1, 2], &[(1, false)], 6_000_000),
        opinion(Reachability::Reachable, Reachability::Degraded),
        "half of the cache nodes answer"
    );
    assert_eq!(
        observe(&mut monitor, &[1, 2], &[(1, true), (2, true)], 8_000_000),
        opinion(Reachability::Reachable, Reachability::Degraded),
        "the answers are late"
    );
    assert_eq!(
        observe(&mut monitor, &[], &all, 10_000_000),
        FRONTS_UNREACHABLE,
        "only its cache nodes answer"
    );
    assert_eq!(monitor.opinions(12_000_000), [(SiteId(1), UNREACHABLE)]);
    assert_eq!(
        majority_opinion(&[UNREACHABLE, SiteOpinion::HEALTHY]),
        SiteOpinion::HEALTHY,
        "a tie goes to the healthier opinion"
    );
    assert_eq!(majority_opinion(&[UNREACHABLE, UNREACHABLE, SiteOpinion::HEALTHY]), UNREACHABLE);
}

/// Simulates 24 hours of five sites with two fronts each: bursts with 20 % of the messages lost, and single fronts,
/// cache nodes or links between two sites down for minutes. No site is declared lost. Then a site really fails and is
/// declared lost within 2 s.
#[test]
fn a_day_of_ordinary_faults_declares_no_loss_and_a_real_loss_is_declared_in_time() {
    let mut random = ChaCha8Rng::seed_from_u64(23);
    let (sites, step_ms) = (5u16, 100u64);
    let mut state = state(sites);
    let ids = |site: u16| (0..sites).filter(move |s| *s != site).map(SiteId);
    // One monitor stands for all fronts of a site: the leader uses the opinion of their majority.
    let mut monitors: Vec<SiteHealthMonitor> =
        (0..sites).map(|s| SiteHealthMonitor::new(700_000, ids(s), 0)).collect();
    let mut reported: Vec<Vec<(SiteId, SiteOpinion)>> = vec![Vec::new(); usize::from(sites)];
    let mut outages: Vec<(u16, u64, u64)> = Vec::new();
    let mut broken_links: Vec<(u16, u16, u64)> = Vec::new();
    let mut high_loss_until = 0u64;
    let day_ms = 24 * 3600 * 1000u64;
    let mut declared_after_ms = None;
    let mut now_ms = 0;
    while declared_after_ms.is_none() && now_ms < day_ms + 10_000 {
        now_ms += step_ms;
        let is_site_lost = now_ms > day_ms;
        if random.random::<f64>() < 0.0005 {
            high_loss_until = now_ms + random.random_range(1_000..60_000);
        }
        if random.random::<f64>() < 0.0003 {
            outages.push((
                random.random_range(0..sites),
                random.random_range(0..6),
                now_ms + random.random_range(5_000..300_000),
            ));
        }
        if random.random::<f64>() < 0.0002 {
            broken_links.push((
                random.random_range(0..sites),
                random.random_range(0..sites),
                now_ms + random.random_range(500..120_000),
            ));
        }
        outages.retain(|(.., until)| now_ms < *until);
        // At most one machine and one link are down at a time.
        outages.truncate(1);
        broken_links.retain(|(.., until)| now_ms < *until);
        broken_links.truncate(1);
        let loss_probability = if now_ms < high_loss_until { 0.2 } else { 0.01 };
        for by in 0..sites {
            for of in (0..sites).filter(|of| *of != by) {
                let is_broken =
                    broken_links.iter().any(|(a, b, _)| (*a, *b) == (by, of) || (*b, *a) == (by, of));
                if is_broken || (is_site_lost && (of == 2 || by == 2)) {
                    continue;
                }
                for machine in 0..6u64 {
                    let is_down = outages.iter().any(|(site, m, _)| (*site, *m) == (of, machine));
                    if is_down || random.random::<f64>() < loss_probability {
                        continue;
                    }
                    match machine {
                        0 | 1 => monitors[usize::from(by)].on_front_heard(SiteId(of), machine, now_ms * 1000),
                        _ => monitors[usize::from(by)].on_cache_answered(
                            SiteId(of),
                            machine,
                            Timeliness::InTime,
                            now_ms * 1000,
                        ),
                    }
                }
            }
            let opinions = monitors[usize::from(by)].opinions(now_ms * 1000);
            if opinions != reported[usize::from(by)] && !(is_site_lost && by == 2) {
                state
                    .apply(&SiteCommand::ReportOpinions {
                        by: SiteId(by),
                        opinions: opinions.clone(),
                        at_ms: now_ms,
                    })
                    .unwrap();
                reported[usize::from(by)] = opinions;
            }
        }
        for command in state.declarable_losses(now_ms) {
            assert!(is_site_lost, "declared at {now_ms} ms: {command:?}");
            state.apply(&command).unwrap();
            declared_after_ms = Some(now_ms - day_ms);
        }
    }
    let elapsed_ms = declared_after_ms.expect("the real loss is declared");
    println!("declared {elapsed_ms} ms after the loss");
    assert!(elapsed_ms <= 2000 && phase(&state, 2) == RecoveryPhase::Lost, "{elapsed_ms} ms");
}

proptest! {
    /// For all sequences of opinions and proposals: no site is lost without the opinions of two sites, revisions never
    /// decrease, and a recovery skips no phase.
    #[test]
    fn no_commands_declare_a_site_lost_by_one_opinion(
        steps in prop::collection::vec((0..5u16, 0..5u16, 0..5u8, 0..3000u64), 1..200),
    ) {
        let mut state = state(5);
        let mut now_ms = 0;
        for (by, of, kind, elapsed) in steps {
            now_ms += elapsed;
            let before = state.clone();
            let seen_revision = state.sites()[&SiteId(of)].revision;
            let command = match kind {
                0 | 1 => SiteCommand::ReportOpinions {
                    by: SiteId(by),
                    opinions: vec![(SiteId(of), UNREACHABLE)],
                    at_ms: now_ms,
                },
                2 => SiteCommand::ReportOpinions { by: SiteId(by), opinions: vec![], at_ms: now_ms },
                3 => SiteCommand::DeclareLost { site: SiteId(of), revision: seen_revision, at_ms: now_ms },
                _ => SiteCommand::AdvanceRecovery {
                    site: SiteId(of),
                    revision: seen_revision,
                    to: phase(&state, of).next().unwrap_or(RecoveryPhase::Serving),
                    at_ms: now_ms,
                },
            };
            let result = state.apply(&command);
            prop_assert!(state.revision() >= before.revision());
            for site in 0..5 {
                let (old_phase, new_phase) = (phase(&before, site), phase(&state, site));
                if old_phase != new_phase && new_phase == RecoveryPhase::Lost {
                    let opinions = (0..5)
                        .filter(|by| {
                            *by != site && before.opinion(SiteId(*by), SiteId(site)).indicates_loss()
                        })
                        .count();
                    prop_assert!(opinions >= 2 && result.is_ok(), "{opinions} opinions");
                } else if old_phase != new_phase {
                    prop_assert_eq!(old_phase.next(), Some(new_phase));
                }
            }
        }
    }
}
