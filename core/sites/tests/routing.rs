//! Where clients go: the parts that the plan has, the same client always the same way, those at home staying there while others return.

use elmtide_sites::{plan, Class, FailoverRouting, Layout, Loss, SiteCapacity};
use proptest::prelude::*;

fn layout(rooms: &[f64], loads: &[f64]) -> Layout {
    let class = |name: &str, worth: f64, must| Class {
        name: name.into(),
        priority_weight: worth,
        work: 1.0,
        fills_per_request: 0.0,
        must_be_served: must,
    };
    let branch = |(n, (room, load)): (usize, (&f64, &f64))| SiteCapacity {
        name: format!("s{n}"),
        capacity: *room,
        capacity_per_cache: 0.0,
        load: vec![1.0, *load],
        link_capacity: Vec::new(),
    };
    Layout {
        classes: vec![class("signup", 20.0, true), class("files", 1.0, false)],
        branches: rooms.iter().zip(loads).enumerate().map(branch).collect(),
        hubs: Vec::new(),
        origin_fraction: 1.0,
        origin_capacity: 100.0,
        max_own_loss: 0.02,
    }
}

fn lost(branch: usize) -> Loss {
    Loss { branches: [branch].into(), ..Loss::default() }
}

const DRAWS: usize = 2000;

fn draws() -> impl Iterator<Item = f64> {
    (0..DRAWS).map(|n| (n as f64 + 0.5) / DRAWS as f64)
}

proptest! {
    #[test]
    fn clients_go_where_the_plan_has_them(
        rooms in proptest::collection::vec(20.0..200.0f64, 3..6),
        loads in proptest::collection::vec(5.0..100.0f64, 6),
        home in prop_oneof![Just(0.0), Just(0.25), Just(0.5)],
    ) {
        let layout = layout(&rooms, &loads[..rooms.len()]);
        // Where signups do not fit, the plan is an error that has what can be done.
        let Ok(planned) = plan(&layout, &lost(0), None) else { return Ok(()) };
        let mut homes = vec![1.0; rooms.len()];
        homes[0] = home;
        let directions = FailoverRouting::new(&layout, &planned, &homes);
        let moved: f64 = planned.moves.iter().map(|m| m.rate).sum();
        let mut counts = vec![0.0; rooms.len()];
        for drawn in draws() {
            if let Some(to) = directions.branch(0, drawn) {
                counts[to] += 1.0 / DRAWS as f64;
            }
            for other in 1..rooms.len() {
                prop_assert_eq!(directions.branch(other, drawn), Some(other), "those of others stay");
            }
        }
        prop_assert!((counts[0] - home).abs() < 0.01 || moved == 0.0);
        for (to, count) in counts.iter().enumerate().skip(1) {
            let rate: f64 = planned.moves.iter().filter(|m| m.to == to).map(|m| m.rate).sum();
            let part = if moved > 0.0 { rate / moved * (1.0 - home) } else { 0.0 };
            prop_assert!((count - part).abs() < 0.01, "{} to {}, {} planned", count, to, part);
        }
        // What must be served is refused to nobody, and takers are not asked for more than was planned for them.
        for drawn in draws().step_by(50) {
            prop_assert!(!directions.rejects(0, 1, 0, drawn));
        }
        for class in 0..2 {
            let served = draws().filter(|d| !directions.rejects(0, 1, class, *d)).count() as f64 / DRAWS as f64;
            let taken: f64 = planned.moves.iter().filter(|m| m.class == class).map(|m| m.rate).sum();
            let rate = layout.branches[0].load[class] * (1.0 - home) * served;
            prop_assert!(rate <= taken * 1.01 + 0.1, "class {}: {} asked of takers, {} planned", class, rate, taken);
        }
    }

    /// A client that is back at home stays there at each further step.
    #[test]
    fn nobody_goes_away_again_while_a_site_returns(drawn in 0.0..1.0f64) {
        let layout = layout(&[100.0, 100.0, 100.0], &[40.0, 50.0, 60.0]);
        let planned = plan(&layout, &lost(0), None).unwrap();
        let mut was_home = false;
        for home in [0.0, 0.25, 0.5, 1.0] {
            let at = FailoverRouting::new(&layout, &planned, &[home, 1.0, 1.0]).branch(0, drawn);
            prop_assert!(!was_home || at == Some(0));
            was_home = at == Some(0);
        }
        prop_assert!(was_home);
    }
}

#[test]
fn what_does_not_fit_is_refused_to_whole_clients() {
    // 90 are lost, the others have room for 40.
    let layout = layout(&[100.0, 50.0, 50.0], &[89.0, 29.0, 29.0]);
    let planned = plan(&layout, &lost(0), None).unwrap();
    let directions = FailoverRouting::new(&layout, &planned, &[0.0, 1.0, 1.0]);
    let refused = draws().filter(|d| directions.rejects(0, 1, 1, *d)).count() as f64 / DRAWS as f64;
    let planned: f64 =
        planned.rejected.iter().filter(|r| (r.branch, r.class) == (0, 1)).map(|r| r.rate / 89.0).sum();
    assert!((refused - planned).abs() < 0.01 && refused > 0.4, "{refused}, {planned} planned");
    assert!(draws().all(|d| !directions.rejects(0, 2, 0, d)), "signups are served");
}
