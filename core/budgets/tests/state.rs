//! The agreed state under any commands in any order, and the division.

use elmtide_budgets::command::MAX_FRONTS;
use elmtide_budgets::division::{divide, Claim};
use elmtide_budgets::{
    BudgetCommand, BudgetId, BudgetKind, BudgetState, Demand, Epoch, FrontId, HolderId, Incarnation, TOTAL,
};
use elmtide_budgets::{CommandRejected, ConfirmedReduction, MinimumRule};
use proptest::prelude::*;

const KEYS: [BudgetId; 3] = [
    BudgetId { kind: BudgetKind::Retries, resource: 0 },
    BudgetId { kind: BudgetKind::SlowStartCache, resource: 7 },
    BudgetId { kind: BudgetKind::SlowStartCache, resource: 8 },
];

fn holder(front: u64, incarnation: u64) -> HolderId {
    HolderId { front: FrontId(front), incarnation: Incarnation(incarnation) }
}

fn list(version: u64, fronts: u64, parts: u32, least: u32) -> BudgetCommand {
    let rule = MinimumRule { set_aside: parts, unit: least };
    BudgetCommand::UpdateFronts {
        version,
        fronts: (1..=fronts).map(FrontId).collect(),
        minimums: vec![(BudgetKind::Retries, rule), (BudgetKind::SlowStartCache, rule)],
        lease: 1_000_000,
    }
}

fn command() -> impl Strategy<Value = BudgetCommand> {
    let holders = (1u64..5, 1u64..4).prop_map(|(f, i)| holder(f, i));
    let budget = (0usize..3).prop_map(|k| KEYS[k]);
    let change = (holders.clone(), budget.clone(), 0u32..=TOTAL);
    let share = (holders.clone(), budget, 0u64..60)
        .prop_map(|(holder, budget, n)| ConfirmedReduction::Quota { holder, budget, epoch: Epoch(n) });
    let floor = (1u64..5, 0u64..60).prop_map(|(f, n)| ConfirmedReduction::Minimum {
        front: FrontId(f),
        kind: BudgetKind::Retries,
        epoch: Epoch(n),
    });
    prop_oneof![
        1 => (1u64..9, 0u64..5, 0u32..=TOTAL, 1u32..400_000).prop_map(|(v, f, p, l)| list(v, f, p, l)),
        2 => holders.clone().prop_map(|holder| BudgetCommand::Join { holder }),
        1 => holders.clone().prop_map(|holder| BudgetCommand::Leave { holder }),
        4 => prop::collection::vec(change, 1..4).prop_map(|changes| BudgetCommand::Allocate { changes }),
        4 => prop::collection::vec(prop_oneof![share, floor], 1..4).prop_map(|reductions| BudgetCommand::ConfirmReductions { reductions }),
        1 => (holders, 0u64..60).prop_map(|(holder, n)| BudgetCommand::ExpireLease { holder, epoch: Epoch(n) }),
        1 => (1u64..5).prop_map(|f| BudgetCommand::RemoveFront { front: FrontId(f) }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    /// Whatever command is applied: committed quotas never sum to more than the total, what a holder is granted is committed,
    /// a reduction that is not confirmed stays committed, and epochs only rise.
    #[test]
    fn committed_quotas_never_sum_to_more_than_the_total(commands in prop::collection::vec(command(), 1..60)) {
        let mut state = BudgetState::default();
        for command in commands {
            let before = state.clone();
            let _ = state.apply(&command);
            prop_assert_eq!(state.check_invariant(), Ok(()));
            for holder in before.holders() {
                let now = state.account(holder.id.front).and_then(|a| a.holders.get(&holder.id.incarnation));
                prop_assert!(now.is_none_or(|n| n.epoch >= holder.state.epoch));
                let releases = matches!(command, BudgetCommand::ConfirmReductions { .. } | BudgetCommand::Leave { .. }
                    | BudgetCommand::ExpireLease { .. } | BudgetCommand::RemoveFront { .. });
                for (budget, quota) in holder.state.quotas.iter().filter(|_| !releases) {
                    let committed = now.and_then(|n| n.quotas.get(budget)).map_or(0, |q| q.committed);
                    prop_assert!(committed >= quota.committed, "{:?} took {:?} away unheard", command, budget);
                }
            }
        }
    }

    /// The parts never sum to more than there is room for; nobody who asks for more gets more than an equal one, and
    /// who wants less than its fair part gets it.
    #[test]
    fn division_is_max_min(room in 0u32..=TOTAL, wants in prop::collection::vec((0u32..800_000, 0u32..800_000), 1..12)) {
        let wants: Vec<Claim> = wants.into_iter().map(|(high, low)| Claim {
            weight: 1.0, demand: Demand { high, low, unit: 1, refill_ms: 0 }, current: 0, holds_fresh_unit: false, waited: 0,
        }).collect();
        let parts = divide(room, &wants);
        let sum: u64 = parts.iter().map(|p| u64::from(*p)).sum();
        prop_assert!(sum <= u64::from(room));
        prop_assert!(sum + wants.len() as u64 >= u64::from(room), "{} of {} is left", u64::from(room) - sum, room);
        let fair = f64::from(room) / wants.len() as f64;
        for (want, part) in wants.iter().zip(&parts) {
            let high = f64::from(want.demand.high);
            prop_assert!(f64::from(*part) + 1.0 >= high.min(fair).floor(), "{} of {}", part, high);
        }
        for (a, pa) in wants.iter().zip(&parts) {
            for (b, pb) in wants.iter().zip(&parts) {
                let more = a.demand.high >= b.demand.high
                    && u64::from(a.demand.high) + u64::from(a.demand.low) >= u64::from(b.demand.high) + u64::from(b.demand.low);
                prop_assert!(!more || pa + 1 >= *pb, "{:?} {} {:?} {}", a, pa, b, pb);
            }
        }
    }

    /// Where there are fewer units than fronts, whole units are given, as many as there are wants or units.
    #[test]
    fn few_units_go_round_whole(units in 1u32..40, fronts in 41usize..300, wanting in 0usize..300) {
        let least = TOTAL / 40;
        let wants: Vec<Claim> = (0..fronts).map(|i| Claim {
            weight: 1.0,
            demand: Demand { high: 0, low: if i < wanting { 3 * least } else { 0 }, unit: least, refill_ms: 0 },
            current: 0, holds_fresh_unit: false, waited: i as u64,
        }).collect();
        let parts = divide(units * least, &wants);
        let given: u32 = parts.iter().sum::<u32>() / least;
        let wanted = (wanting.min(fronts) as u32) * 3;
        if wanting.min(fronts) as u32 > units {
            prop_assert!(parts.iter().all(|p| p % least == 0));
            prop_assert_eq!(given, units);
            prop_assert!(parts.iter().all(|p| *p <= least), "one each before anyone has two");
        } else if wanted > 0 {
            prop_assert!(given + 1 >= units.min(wanted), "{} of {}", given, units);
        }
    }
}

fn with_two() -> BudgetState {
    let mut state = BudgetState::default();
    state.apply(&list(1, 2, 200_000, 1)).unwrap();
    state.apply(&BudgetCommand::Join { holder: holder(1, 1) }).unwrap();
    state.apply(&BudgetCommand::Join { holder: holder(2, 1) }).unwrap();
    state
}

fn divide_to(state: &mut BudgetState, changes: &[(HolderId, u32)]) {
    let changes = changes.iter().map(|(h, p)| (*h, KEYS[0], *p)).collect();
    state.apply(&BudgetCommand::Allocate { changes }).unwrap();
}

fn told(state: &BudgetState, h: HolderId) -> (u32, u32, Epoch) {
    let share = state
        .account(h.front)
        .and_then(|a| a.holders.get(&h.incarnation))
        .and_then(|r| r.quotas.get(&KEYS[0]));
    share.map_or((0, 0, Epoch(0)), |s| (s.committed, s.granted(), s.epoch))
}

/// Shrink first, hear of it, then grow.
#[test]
fn what_one_loses_the_other_gets_only_once_it_is_settled() {
    let mut state = with_two();
    let (one, two) = (holder(1, 1), holder(2, 1));
    divide_to(&mut state, &[(one, 800_000)]);
    assert_eq!(told(&state, one).0, 800_000);
    divide_to(&mut state, &[(one, 300_000), (two, 500_000)]);
    assert_eq!((told(&state, one).1, told(&state, two).0), (300_000, 0));
    let epoch = told(&state, one).2;
    let wrong = ConfirmedReduction::Quota { holder: one, budget: KEYS[0], epoch: Epoch(epoch.0 - 1) };
    state.apply(&BudgetCommand::ConfirmReductions { reductions: vec![wrong] }).unwrap();
    assert_eq!(told(&state, one).0, 800_000, "an older epoch settles nothing");
    state
        .apply(&BudgetCommand::ConfirmReductions {
            reductions: vec![ConfirmedReduction::Quota { holder: one, budget: KEYS[0], epoch }],
        })
        .unwrap();
    divide_to(&mut state, &[(two, 500_000)]);
    assert_eq!((told(&state, one).0, told(&state, two).0), (300_000, 500_000));
}

/// A front that comes back under its name has nothing of its earlier run, which stays counted.
#[test]
fn an_earlier_run_stays_counted_and_never_comes_back() {
    let mut state = with_two();
    divide_to(&mut state, &[(holder(1, 1), 600_000)]);
    state.apply(&BudgetCommand::Join { holder: holder(1, 5) }).unwrap();
    divide_to(&mut state, &[(holder(1, 5), 600_000)]);
    assert_eq!((told(&state, holder(1, 1)).0, told(&state, holder(1, 5)).0), (600_000, 200_000));
    assert!(state.current_holder(holder(1, 1)).is_none());
    assert_eq!(state.apply(&BudgetCommand::Join { holder: holder(1, 4) }), Err(CommandRejected::Superseded));
    let last = state.account(FrontId(1)).unwrap().holders[&Incarnation(1)].epoch;
    state.apply(&BudgetCommand::ExpireLease { holder: holder(1, 1), epoch: last }).unwrap();
    divide_to(&mut state, &[(holder(1, 5), 600_000)]);
    assert_eq!(told(&state, holder(1, 5)).0, 600_000);
}

/// A lapse that was proposed before something changed does nothing.
#[test]
fn a_lapse_of_an_older_number_does_nothing() {
    let mut state = with_two();
    divide_to(&mut state, &[(holder(1, 1), 100_000)]);
    let last = state.current_holder(holder(1, 1)).unwrap().epoch;
    divide_to(&mut state, &[(holder(1, 1), 200_000)]);
    assert_eq!(
        state.apply(&BudgetCommand::ExpireLease { holder: holder(1, 1), epoch: last }),
        Err(CommandRejected::StaleEpoch)
    );
    assert_eq!(told(&state, holder(1, 1)).0, 200_000);
}

/// GuaranteedMinimums shrink first as well: a third front has one only when both others have said that they use less.
#[test]
fn floors_change_by_shrink_first() {
    let mut state = with_two();
    let floor = |state: &BudgetState, f: u64| {
        state
            .account(FrontId(f))
            .and_then(|a| a.minimums.get(&BudgetKind::Retries))
            .map_or((0, 0), |c| (c.committed, c.granted()))
    };
    assert_eq!(floor(&state, 1), (100_000, 100_000));
    state.apply(&list(2, 4, 200_000, 1)).unwrap();
    assert_eq!((floor(&state, 1), floor(&state, 3)), ((100_000, 50_000), (0, 0)));
    let settle = |state: &mut BudgetState, f: u64| {
        let epoch = state.account(FrontId(f)).unwrap().minimums[&BudgetKind::Retries].epoch;
        let reductions =
            vec![ConfirmedReduction::Minimum { front: FrontId(f), kind: BudgetKind::Retries, epoch }];
        state.apply(&BudgetCommand::ConfirmReductions { reductions }).unwrap();
    };
    settle(&mut state, 1);
    assert_eq!(floor(&state, 3).1 + floor(&state, 4).1, 50_000);
    // The second is cut off, and is taken out of the list: it keeps what it has until somebody knows better.
    state.apply(&list(3, 1, 200_000, 1)).unwrap();
    assert_eq!(floor(&state, 2), (100_000, 0));
    assert!(floor(&state, 1).1 <= 100_000);
    assert_eq!(
        state.apply(&BudgetCommand::RemoveFront { front: FrontId(1) }),
        Err(CommandRejected::FrontStillListed)
    );
    state.apply(&BudgetCommand::RemoveFront { front: FrontId(2) }).unwrap();
    for f in [3, 4] {
        settle(&mut state, f);
    }
    assert_eq!(floor(&state, 1), (200_000, 200_000));
}

#[test]
fn lists_are_bounded_and_only_newer_ones_count() {
    let mut state = with_two();
    assert_eq!(state.apply(&list(1, 4, 0, 1)), Err(CommandRejected::StaleFrontList));
    assert_eq!(state.apply(&list(2, MAX_FRONTS as u64 + 1, 0, 1)), Err(CommandRejected::LimitExceeded));
    assert_eq!(
        state.apply(&BudgetCommand::Join { holder: holder(9, 1) }),
        Err(CommandRejected::UnknownFront)
    );
    // GuaranteedMinimums too small to be of use are had by some.
    state.apply(&list(3, 10, 200_000, 50_000)).unwrap();
    let some = state
        .accounts()
        .values()
        .filter(|a| a.minimums.get(&BudgetKind::Retries).is_some_and(|f| f.target > 0));
    assert_eq!(some.count(), 4);
}
