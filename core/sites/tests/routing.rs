//! Routing of clients: branches receive the fractions that the plan assigns to them, and a client that has returned
//! home stays there while others return.

use elmtide_sites::{plan, Class, FailoverRouting, Layout, Loss, SiteCapacity};
use proptest::prelude::*;

/// Branches with these capacities and these loads of files, and one signup per second each.
fn layout(capacities: &[f64], loads: &[f64]) -> Layout {
    let class = |name: &str, weight: f64, is_required| Class {
        name: name.into(),
        priority_weight: weight,
        work: 1.0,
        fills_per_request: 0.0,
        must_be_served: is_required,
    };
    let branch = |(n, (max_rate, load)): (usize, (&f64, &f64))| SiteCapacity {
        name: format!("s{n}"),
        capacity: *max_rate,
        capacity_per_cache: 0.0,
        load: vec![1.0, *load],
        link_capacity: Vec::new(),
    };
    Layout {
        classes: vec![class("signup", 20.0, true), class("files", 1.0, false)],
        branches: capacities.iter().zip(loads).enumerate().map(branch).collect(),
        hubs: Vec::new(),
        origin_fraction: 1.0,
        origin_capacity: 100.0,
        max_own_loss: 0.02,
    }
}

fn lost(branch: usize) -> Loss {
    Loss { branches: [branch].into(), ..Loss::default() }
}

/// Number of evenly spaced numbers that stand for clients.
const DRAWS: usize = 2000;

fn draws() -> impl Iterator<Item = f64> {
    (0..DRAWS).map(|n| (n as f64 + 0.5) / DRAWS as f64)
}

proptest! {
    #[test]
    fn clients_are_distributed_as_planned(
        rooms in proptest::collection::vec(20.0..200.0f64, 3..6),
        loads in proptest::collection::vec(5.0..100.0f64, 6),
        home_fraction in prop_oneof![Just(0.0), Just(0.25), Just(0.5)],
    ) {
        let layout = layout(&rooms, &loads[..rooms.len()]);
        // If not all signups can be served, the result is an error with the best plan, which is not checked here.
        let Ok(plan_for_loss) = plan(&layout, &lost(0), None) else { return Ok(()) };
        let mut home_fractions = vec![1.0; rooms.len()];
        home_fractions[0] = home_fraction;
        let routing = FailoverRouting::new(&layout, &plan_for_loss, &home_fractions);
        let moved: f64 = plan_for_loss.moves.iter().map(|m| m.rate).sum();
        let mut counts = vec![0.0; rooms.len()];
        for drawn in draws() {
            if let Some(to) = routing.branch(0, drawn) {
                counts[to] += 1.0 / DRAWS as f64;
            }
            for other in 1..rooms.len() {
                prop_assert_eq!(
                    routing.branch(other, drawn),
                    Some(other),
                    "clients of other branches stay there"
                );
            }
        }
        prop_assert!((counts[0] - home_fraction).abs() < 0.01 || moved == 0.0);
        for (to, count) in counts.iter().enumerate().skip(1) {
            let rate: f64 = plan_for_loss.moves.iter().filter(|m| m.to == to).map(|m| m.rate).sum();
            let expected = if moved > 0.0 { rate / moved * (1.0 - home_fraction) } else { 0.0 };
            prop_assert!((count - expected).abs() < 0.01, "{} to {}, {} planned", count, to, expected);
        }
        // Requests that must be served are never rejected, and other branches receive no more than planned for them.
        for drawn in draws().step_by(50) {
            prop_assert!(!routing.rejects(0, 1, 0, drawn));
        }
        for class in 0..2 {
            let served =
                draws().filter(|d| !routing.rejects(0, 1, class, *d)).count() as f64 / DRAWS as f64;
            let moved_of_class: f64 =
                plan_for_loss.moves.iter().filter(|m| m.class == class).map(|m| m.rate).sum();
            let rate = layout.branches[0].load[class] * (1.0 - home_fraction) * served;
            prop_assert!(
                rate <= moved_of_class * 1.01 + 0.1,
                "class {}: {} sent to other branches, {} planned",
                class,
                rate,
                moved_of_class
            );
        }
    }

    /// A client that has returned home stays there in each further phase of the recovery.
    #[test]
    fn no_client_is_displaced_again_while_a_site_recovers(drawn in 0.0..1.0f64) {
        let layout = layout(&[100.0, 100.0, 100.0], &[40.0, 50.0, 60.0]);
        let plan_for_loss = plan(&layout, &lost(0), None).unwrap();
        let mut was_home = false;
        for home_fraction in [0.0, 0.25, 0.5, 1.0] {
            let destination =
                FailoverRouting::new(&layout, &plan_for_loss, &[home_fraction, 1.0, 1.0]).branch(0, drawn);
            prop_assert!(!was_home || destination == Some(0));
            was_home = destination == Some(0);
        }
        prop_assert!(was_home);
    }
}

#[test]
fn without_enough_capacity_the_planned_fraction_of_clients_is_rejected() {
    // 90 requests per second are displaced; the other branches have capacity for 40.
    let layout = layout(&[100.0, 50.0, 50.0], &[89.0, 29.0, 29.0]);
    let plan_for_loss = plan(&layout, &lost(0), None).unwrap();
    let routing = FailoverRouting::new(&layout, &plan_for_loss, &[0.0, 1.0, 1.0]);
    let rejected_fraction = draws().filter(|d| routing.rejects(0, 1, 1, *d)).count() as f64 / DRAWS as f64;
    let planned_fraction: f64 =
        plan_for_loss.rejected.iter().filter(|r| (r.branch, r.class) == (0, 1)).map(|r| r.rate / 89.0).sum();
    assert!(
        (rejected_fraction - planned_fraction).abs() < 0.01 && rejected_fraction > 0.4,
        "{rejected_fraction}, {planned_fraction} planned"
    );
    assert!(draws().all(|d| !routing.rejects(0, 2, 0, d)), "signups are served");
}
