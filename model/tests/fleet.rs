//! The fleet in simulated time: that it divides, and that nothing makes it divide more than there is.

use elmtide_budgets::MinimumRule;
use elmtide_budgets::TotalLimit;
use elmtide_budgets::{BudgetId, BudgetKind};
use elmtide_fleet::node::status::NodeRole;
use elmtide_model::schedule::{play, Rough};
use elmtide_model::{Disk, Net, Setup, World};

const KEY: BudgetId = BudgetId { kind: BudgetKind::Retries, resource: 0 };
const SECOND: u64 = 1_000_000;

fn divided(fronts: usize, seed: u64) -> World {
    let mut world = World::new(Setup::new(fronts, seed));
    for node in 0..fronts {
        world.demand(node, KEY, 50.0);
    }
    assert!(world.until(10 * SECOND, |w| w.leader().is_some()));
    world.run(5 * SECOND);
    world
}

fn clean(world: &mut World) {
    let report = world.report();
    assert!(report.over.is_empty(), "seed {}: {:#?}", report.seed, report.over);
}

#[test]
fn a_new_fleet_begins_a_log_and_divides_what_there_is() {
    let mut world = divided(3, 1);
    let parts: Vec<(u32, u32)> = (0..3).map(|n| world.part(n, KEY)).collect();
    for (share, floor) in &parts {
        assert!((240_000..=280_000).contains(share), "{parts:?}");
        assert_eq!(*floor, 66_666, "{parts:?}");
    }
    let before = world.spent(KEY);
    world.run(10 * SECOND);
    let rate = (world.spent(KEY) - before) / 10.0;
    assert!(rate > 90.0, "{rate} of 100 a second are used");
    clean(&mut world);
}

#[test]
fn demand_moves_the_shares() {
    let mut world = divided(3, 2);
    world.demand(0, KEY, 150.0);
    world.demand(1, KEY, 1.0);
    world.demand(2, KEY, 1.0);
    world.run(6 * SECOND);
    let before = world.spent(KEY);
    world.run(10 * SECOND);
    let rate = (world.spent(KEY) - before) / 10.0;
    assert!(
        rate > 75.0,
        "{rate} of 100 a second are used, shares {:?}",
        (0..3).map(|n| world.part(n, KEY)).collect::<Vec<_>>()
    );
    clean(&mut world);
}

#[test]
fn the_leader_is_killed_and_the_rest_goes_on_within_what_there_is() {
    let mut world = divided(5, 3);
    let leader = world.leader().unwrap();
    world.kill(leader, Disk::Kept);
    assert!(world.until(5 * SECOND, |w| w.leader().is_some_and(|l| l != leader)));
    world.run(5 * SECOND);
    let others: u32 = (0..5).filter(|n| *n != leader).map(|n| world.part(n, KEY).0).sum();
    assert!(others > 700_000, "what the dead one had is used: {others}");
    world.start(leader);
    world.run(4 * SECOND);
    assert!(world.part(leader, KEY).0 > 100_000, "it has its share again: {:?}", world.part(leader, KEY));
    clean(&mut world);
}

#[test]
fn a_front_that_leaves_gives_back_at_once() {
    let mut world = divided(5, 4);
    let leaver = (0..5).find(|n| Some(*n) != world.leader()).unwrap();
    let before: u32 = (0..5).filter(|n| *n != leaver).map(|n| world.part(n, KEY).0).sum();
    world.leave(leaver);
    world.run(SECOND / 2);
    let after: u32 = (0..5).filter(|n| *n != leaver).map(|n| world.part(n, KEY).0).sum();
    assert!(after > before + 100_000, "{before} before, {after} half a second later");
    clean(&mut world);
}

#[test]
fn cut_off_from_all_a_front_goes_on_with_its_floor_and_no_more() {
    let mut world = divided(5, 5);
    let alone = (0..5).find(|n| Some(*n) != world.leader()).unwrap();
    let rest: Vec<usize> = (0..5).filter(|n| *n != alone).collect();
    world.split(&[&[alone], &rest]);
    world.run(3 * SECOND);
    let (share, floor) = world.part(alone, KEY);
    assert_eq!((share, floor), (0, 40_000));
    world.run(3 * SECOND);
    let others: u32 = rest.iter().map(|n| world.part(*n, KEY).0).sum();
    assert!(others > 700_000, "{others}");
    world.heal();
    world.run(3 * SECOND);
    assert!(world.part(alone, KEY).0 > 100_000);
    clean(&mut world);
}

#[test]
fn a_stalled_leader_is_replaced_and_what_it_hands_out_later_counts_for_nothing() {
    let mut world = divided(5, 6);
    let leader = world.leader().unwrap();
    world.stall(leader, 8 * SECOND);
    assert!(world.until(5 * SECOND, |w| w.leader().is_some_and(|l| l != leader)));
    world.run(10 * SECOND);
    clean(&mut world);
}

#[test]
fn voters_without_their_store_or_with_an_old_one_come_back_as_new_ones() {
    let mut world = divided(3, 7);
    let victim = (0..3).find(|n| Some(*n) != world.leader()).unwrap();
    world.copy_store(victim);
    world.kill(victim, Disk::Lost);
    world.run(SECOND);
    world.start(victim);
    world.run(6 * SECOND);
    assert_eq!(world.status(victim).unwrap().role, NodeRole::Follower);
    assert!(world.part(victim, KEY).0 > 100_000);
    // A copy from before: it is found out by the others, who have seen a later run.
    world.kill(victim, Disk::Kept);
    world.kill(victim, Disk::Yesterday);
    world.start(victim);
    world.run(8 * SECOND);
    assert!(world
        .said
        .iter()
        .any(|(_, n, e)| *n == victim && matches!(e, elmtide_fleet::Event::StoreStale { .. })));
    assert_eq!(world.status(victim).unwrap().role, NodeRole::Follower);
    clean(&mut world);
}

#[test]
fn a_full_disk_ends_a_vote_and_nothing_else() {
    let mut world = divided(3, 8);
    let victim = (0..3).find(|n| Some(*n) != world.leader()).unwrap();
    world.fill_disk(victim, true);
    // Something has to be synced: a front comes and goes.
    let other = (0..3).find(|n| *n != victim && Some(*n) != world.leader()).unwrap();
    world.demand(other, KEY, 1.0);
    world.run(6 * SECOND);
    assert!(
        world.status(victim).unwrap().role == NodeRole::Failed,
        "{:?}",
        world.status(victim).unwrap().role.name()
    );
    assert!(world.part(victim, KEY).0 > 0, "it goes on holding a share");
    clean(&mut world);
}

#[test]
fn bad_links_cost_little() {
    let mut world = divided(5, 9);
    world.net(Net { loss: 0.1, double: 0.1, delay: (1_000, 50_000) });
    world.run(3 * SECOND);
    let before = world.spent(KEY);
    world.run(20 * SECOND);
    let rate = (world.spent(KEY) - before) / 20.0;
    assert!(rate > 70.0, "{rate} of 100 a second are used");
    clean(&mut world);
}

#[test]
fn one_seed_is_one_run() {
    let run = |seed| {
        let mut world = divided(4, seed);
        world.run(SECOND);
        world.hash()
    };
    assert_eq!(run(11), run(11));
    assert_ne!(run(11), run(12));
}

#[test]
fn drawn_faults_break_nothing_and_a_breach_on_purpose_is_found() {
    for seed in 0..60 {
        let report = play(seed, 20, Rough::Stated);
        assert!(report.over.is_empty(), "seed {seed}: {:#?}", report.over);
    }
    let found = (0..6).filter(|seed| !play(*seed, 20, Rough::Breach).over.is_empty()).count();
    assert!(found >= 2, "found in {found} of 6");
}

/// A hundred of three hundred fronts are gone in one instant: what they had is used again after a lease, and nothing is ever above the whole.
#[test]
fn a_hundred_of_three_hundred_vanish_at_once() {
    let mut setup = Setup::new(300, 31);
    setup.budgets = vec![(KEY, TotalLimit { rate: 1500.0, burst: 1500.0, window: SECOND })];
    setup.floors = vec![(BudgetKind::Retries, MinimumRule { set_aside: 100_000, unit: 667 })];
    let mut world = World::new(setup);
    for node in 0..300 {
        world.demand(node, KEY, 10.0);
    }
    assert!(world.until(10 * SECOND, |w| w.leader().is_some()));
    world.run(6 * SECOND);
    let used = |world: &mut World| {
        let before = world.spent(KEY);
        world.run(2 * SECOND);
        (world.spent(KEY) - before) / 2.0
    };
    let before = used(&mut world);
    // The voters stay: with a majority of them gone nothing is divided anew.
    (200..300).for_each(|node| world.kill(node, Disk::Kept));
    world.run(3 * SECOND);
    let after = used(&mut world);
    println!("{before:.0} of 1500 a second before, {after:.0} from 3 s after it");
    assert!(before > 1200.0 && after > 1200.0, "{before} before, {after} after");
    clean(&mut world);
}
