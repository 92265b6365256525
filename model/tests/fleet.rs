//! The fleet in simulated time: fronts share a budget, and under no fault do they share out more than its total.

use elmtide_budgets::MinimumRule;
use elmtide_budgets::TotalLimit;
use elmtide_budgets::{BudgetId, BudgetKind};
use elmtide_fleet::node::status::NodeRole;
use elmtide_model::schedule::{run_budget_faults, FaultMode};
use elmtide_model::{NetworkConditions, Setup, StoreFate, World};

const RETRY_BUDGET: BudgetId = BudgetId { kind: BudgetKind::Retries, resource: 0 };
const SECOND: u64 = 1_000_000;

/// A fleet in which every front has a demand and the shares have settled.
fn started_fleet(fronts: usize, seed: u64) -> World {
    let mut world = World::new(Setup::new(fronts, seed));
    for node in 0..fronts {
        world.set_demand(node, RETRY_BUDGET, 50.0);
    }
    assert!(world.run_until(10 * SECOND, |w| w.leader().is_some()));
    world.run(5 * SECOND);
    world
}

fn assert_no_violations(world: &mut World) {
    let report = world.report();
    assert!(report.violations.is_empty(), "seed {}: {:#?}", report.seed, report.violations);
}

#[test]
fn a_new_fleet_starts_a_log_and_shares_the_whole_budget() {
    let mut world = started_fleet(3, 1);
    let quotas: Vec<(u32, u32)> = (0..3).map(|n| world.quota(n, RETRY_BUDGET)).collect();
    for (share, minimum) in &quotas {
        assert!((240_000..=280_000).contains(share), "{quotas:?}");
        assert_eq!(*minimum, 66_666, "{quotas:?}");
    }
    let before = world.spent(RETRY_BUDGET);
    world.run(10 * SECOND);
    let rate = (world.spent(RETRY_BUDGET) - before) / 10.0;
    assert!(rate > 90.0, "{rate} of 100 a second are used");
    assert_no_violations(&mut world);
}

#[test]
fn demand_moves_the_shares() {
    let mut world = started_fleet(3, 2);
    world.set_demand(0, RETRY_BUDGET, 150.0);
    world.set_demand(1, RETRY_BUDGET, 1.0);
    world.set_demand(2, RETRY_BUDGET, 1.0);
    world.run(6 * SECOND);
    let before = world.spent(RETRY_BUDGET);
    world.run(10 * SECOND);
    let rate = (world.spent(RETRY_BUDGET) - before) / 10.0;
    assert!(
        rate > 75.0,
        "{rate} of 100 a second are used, shares {:?}",
        (0..3).map(|n| world.quota(n, RETRY_BUDGET)).collect::<Vec<_>>()
    );
    assert_no_violations(&mut world);
}

#[test]
fn after_the_leader_is_killed_the_others_use_its_share_within_the_limit() {
    let mut world = started_fleet(5, 3);
    let leader = world.leader().unwrap();
    world.kill(leader, StoreFate::Kept);
    assert!(world.run_until(5 * SECOND, |w| w.leader().is_some_and(|l| l != leader)));
    world.run(5 * SECOND);
    let others: u32 = (0..5).filter(|n| *n != leader).map(|n| world.quota(n, RETRY_BUDGET).0).sum();
    assert!(others > 700_000, "the share of the killed leader is used: {others}");
    world.start(leader);
    world.run(4 * SECOND);
    assert!(
        world.quota(leader, RETRY_BUDGET).0 > 100_000,
        "the restarted front has a share again: {:?}",
        world.quota(leader, RETRY_BUDGET)
    );
    assert_no_violations(&mut world);
}

#[test]
fn a_leaving_front_returns_its_share_at_once() {
    let mut world = started_fleet(5, 4);
    let leaving = (0..5).find(|n| Some(*n) != world.leader()).unwrap();
    let before: u32 = (0..5).filter(|n| *n != leaving).map(|n| world.quota(n, RETRY_BUDGET).0).sum();
    world.leave(leaving);
    world.run(SECOND / 2);
    let after: u32 = (0..5).filter(|n| *n != leaving).map(|n| world.quota(n, RETRY_BUDGET).0).sum();
    assert!(after > before + 100_000, "{before} before, {after} half a second later");
    assert_no_violations(&mut world);
}

#[test]
fn an_isolated_front_keeps_only_its_guaranteed_minimum() {
    let mut world = started_fleet(5, 5);
    let isolated = (0..5).find(|n| Some(*n) != world.leader()).unwrap();
    let rest: Vec<usize> = (0..5).filter(|n| *n != isolated).collect();
    world.partition_network(&[&[isolated], &rest]);
    world.run(3 * SECOND);
    let (share, minimum) = world.quota(isolated, RETRY_BUDGET);
    assert_eq!((share, minimum), (0, 40_000));
    world.run(3 * SECOND);
    let others: u32 = rest.iter().map(|n| world.quota(*n, RETRY_BUDGET).0).sum();
    assert!(others > 700_000, "{others}");
    world.heal_network();
    world.run(3 * SECOND);
    assert!(world.quota(isolated, RETRY_BUDGET).0 > 100_000);
    assert_no_violations(&mut world);
}

#[test]
fn a_stalled_leader_is_replaced_and_its_later_grants_have_no_effect() {
    let mut world = started_fleet(5, 6);
    let leader = world.leader().unwrap();
    world.stall(leader, 8 * SECOND);
    assert!(world.run_until(5 * SECOND, |w| w.leader().is_some_and(|l| l != leader)));
    world.run(10 * SECOND);
    assert_no_violations(&mut world);
}

#[test]
fn voters_with_a_lost_or_old_store_return_as_new_voters() {
    let mut world = started_fleet(3, 7);
    let victim = (0..3).find(|n| Some(*n) != world.leader()).unwrap();
    world.snapshot_store(victim);
    world.kill(victim, StoreFate::Lost);
    world.run(SECOND);
    world.start(victim);
    world.run(6 * SECOND);
    assert_eq!(world.status(victim).unwrap().role, NodeRole::Follower);
    assert!(world.quota(victim, RETRY_BUDGET).0 > 100_000);
    // The other fronts have seen a later run, so they recognize the earlier copy as stale.
    world.kill(victim, StoreFate::Kept);
    world.kill(victim, StoreFate::RolledBack);
    world.start(victim);
    world.run(8 * SECOND);
    assert!(world
        .events
        .iter()
        .any(|(_, n, e)| *n == victim && matches!(e, elmtide_fleet::Event::StoreStale { .. })));
    assert_eq!(world.status(victim).unwrap().role, NodeRole::Follower);
    assert_no_violations(&mut world);
}

#[test]
fn a_full_disk_ends_only_the_voter_role() {
    let mut world = started_fleet(3, 8);
    let victim = (0..3).find(|n| Some(*n) != world.leader()).unwrap();
    world.set_disk_full(victim, true);
    // Changes the demand of another front, so that something has to be synced.
    let other = (0..3).find(|n| *n != victim && Some(*n) != world.leader()).unwrap();
    world.set_demand(other, RETRY_BUDGET, 1.0);
    world.run(6 * SECOND);
    assert!(
        world.status(victim).unwrap().role == NodeRole::Failed,
        "{:?}",
        world.status(victim).unwrap().role.name()
    );
    assert!(world.quota(victim, RETRY_BUDGET).0 > 0, "it keeps its share");
    assert_no_violations(&mut world);
}

#[test]
fn loss_and_delay_reduce_the_use_of_a_budget_only_a_little() {
    let mut world = started_fleet(5, 9);
    world.set_network(NetworkConditions { loss: 0.1, duplication: 0.1, delay: (1_000, 50_000) });
    world.run(3 * SECOND);
    let before = world.spent(RETRY_BUDGET);
    world.run(20 * SECOND);
    let rate = (world.spent(RETRY_BUDGET) - before) / 20.0;
    assert!(rate > 70.0, "{rate} of 100 a second are used");
    assert_no_violations(&mut world);
}

#[test]
fn runs_of_one_seed_are_identical() {
    let run = |seed| {
        let mut world = started_fleet(4, seed);
        world.run(SECOND);
        world.hash()
    };
    assert_eq!(run(11), run(11));
    assert_ne!(run(11), run(12));
}

#[test]
fn random_faults_cause_no_violation_and_a_deliberate_one_is_found() {
    for seed in 0..60 {
        let report = run_budget_faults(seed, 20, FaultMode::Tolerated);
        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
    }
    let found = (0..6)
        .filter(|seed| !run_budget_faults(*seed, 20, FaultMode::LeaseViolation).violations.is_empty())
        .count();
    assert!(found >= 2, "found in {found} of 6");
}

/// When 100 of 300 fronts are lost at once, their shares are used again after a lease, and the total is never exceeded.
#[test]
fn the_shares_of_a_hundred_lost_fronts_of_three_hundred_are_used_again() {
    let mut setup = Setup::new(300, 31);
    setup.budgets = vec![(RETRY_BUDGET, TotalLimit { rate: 1500.0, burst: 1500.0, window: SECOND })];
    setup.minimums = vec![(BudgetKind::Retries, MinimumRule { set_aside: 100_000, unit: 667 })];
    let mut world = World::new(setup);
    for node in 0..300 {
        world.set_demand(node, RETRY_BUDGET, 10.0);
    }
    assert!(world.run_until(10 * SECOND, |w| w.leader().is_some()));
    world.run(6 * SECOND);
    let used = |world: &mut World| {
        let before = world.spent(RETRY_BUDGET);
        world.run(2 * SECOND);
        (world.spent(RETRY_BUDGET) - before) / 2.0
    };
    let before = used(&mut world);
    // The voters stay up, because without a majority of them no new shares are granted.
    (200..300).for_each(|node| world.kill(node, StoreFate::Kept));
    world.run(3 * SECOND);
    let after = used(&mut world);
    println!("{before:.0} of 1500 a second before, {after:.0} from 3 s after it");
    assert!(before > 1200.0 && after > 1200.0, "{before} before, {after} after");
    assert_no_violations(&mut world);
}
