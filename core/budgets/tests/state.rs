//! Tests of the replicated budget state under arbitrary commands, and of the division of budgets.

use elmtide_budgets::command::MAX_FRONTS;
use elmtide_budgets::division::{divide, Claim};
use elmtide_budgets::{
    BudgetCommand, BudgetId, BudgetKind, BudgetState, Demand, Epoch, FrontId, HolderId, Incarnation, TOTAL,
};
use elmtide_budgets::{CommandRejected, ConfirmedReduction, MinimumRule};
use proptest::prelude::*;

const BUDGETS: [BudgetId; 3] = [
    BudgetId { kind: BudgetKind::Retries, resource: 0 },
    BudgetId { kind: BudgetKind::SlowStartCache, resource: 7 },
    BudgetId { kind: BudgetKind::SlowStartCache, resource: 8 },
];

fn holder(front: u64, incarnation: u64) -> HolderId {
    HolderId { front: FrontId(front), incarnation: Incarnation(incarnation) }
}

fn update_fronts(version: u64, fronts: u64, share: u32, min_unit: u32) -> BudgetCommand {
    let rule = MinimumRule { set_aside: share, unit: min_unit };
    BudgetCommand::UpdateFronts {
        version,
        fronts: (1..=fronts).map(FrontId).collect(),
        minimums: vec![(BudgetKind::Retries, rule), (BudgetKind::SlowStartCache, rule)],
        lease: 1_000_000,
    }
}

fn command() -> impl Strategy<Value = BudgetCommand> {
    let holders = (1u64..5, 1u64..4).prop_map(|(front, i)| holder(front, i));
    let budget = (0usize..3).prop_map(|i| BUDGETS[i]);
    let change = (holders.clone(), budget.clone(), 0u32..=TOTAL);
    let quota = (holders.clone(), budget, 0u64..60)
        .prop_map(|(holder, budget, n)| ConfirmedReduction::Quota { holder, budget, epoch: Epoch(n) });
    let minimum = (1u64..5, 0u64..60).prop_map(|(f, n)| ConfirmedReduction::Minimum {
        front: FrontId(f),
        kind: BudgetKind::Retries,
        epoch: Epoch(n),
    });
    prop_oneof![
        1 => (1u64..9, 0u64..5, 0u32..=TOTAL, 1u32..400_000)
            .prop_map(|(v, f, s, u)| update_fronts(v, f, s, u)),
        2 => holders.clone().prop_map(|holder| BudgetCommand::Join { holder }),
        1 => holders.clone().prop_map(|holder| BudgetCommand::Leave { holder }),
        4 => prop::collection::vec(change, 1..4).prop_map(|changes| BudgetCommand::Allocate { changes }),
        4 => prop::collection::vec(prop_oneof![quota, minimum], 1..4)
            .prop_map(|reductions| BudgetCommand::ConfirmReductions { reductions }),
        1 => (holders, 0u64..60)
            .prop_map(|(holder, n)| BudgetCommand::ExpireLease { holder, epoch: Epoch(n) }),
        1 => (1u64..5).prop_map(|f| BudgetCommand::RemoveFront { front: FrontId(f) }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    /// Applies arbitrary commands. Committed quotas never sum to more than the total, granted quotas are
    /// committed, unconfirmed reductions stay committed, and epochs never decrease.
    #[test]
    fn committed_quotas_never_sum_to_more_than_the_total(
        commands in prop::collection::vec(command(), 1..60)
    ) {
        let mut state = BudgetState::default();
        for command in commands {
            let before = state.clone();
            let _ = state.apply(&command);
            prop_assert_eq!(state.check_invariant(), Ok(()));
            for holder in before.holders() {
                let now = state.account(holder.id.front).and_then(|a| a.holders.get(&holder.id.incarnation));
                prop_assert!(now.is_none_or(|n| n.epoch >= holder.state.epoch));
                let may_release = matches!(
                    command,
                    BudgetCommand::ConfirmReductions { .. }
                        | BudgetCommand::Leave { .. }
                        | BudgetCommand::ExpireLease { .. }
                        | BudgetCommand::RemoveFront { .. }
                );
                for (budget, quota) in holder.state.quotas.iter().filter(|_| !may_release) {
                    let committed = now.and_then(|n| n.quotas.get(budget)).map_or(0, |q| q.committed);
                    prop_assert!(
                        committed >= quota.committed,
                        "{:?} released {:?} without a confirmation",
                        command,
                        budget
                    );
                }
            }
        }
    }

    /// The parts never sum to more than what is available and, except for rounding, leave nothing. High-priority
    /// demand is met up to an even share, and a claim with at least the demand of another gets at least its part.
    #[test]
    fn division_is_max_min_fair(
        available in 0u32..=TOTAL,
        claims in prop::collection::vec((0u32..800_000, 0u32..800_000), 1..12)
    ) {
        let claims: Vec<Claim> = claims.into_iter().map(|(high, low)| Claim {
            weight: 1.0,
            demand: Demand { high, low, unit: 1, refill_ms: 0 },
            current: 0,
            has_unexpired_turn: false,
            waited_us: 0,
        }).collect();
        let parts = divide(available, &claims);
        let sum: u64 = parts.iter().map(|p| u64::from(*p)).sum();
        prop_assert!(sum <= u64::from(available));
        prop_assert!(
            sum + claims.len() as u64 >= u64::from(available),
            "{} of {} are left undivided",
            u64::from(available) - sum,
            available
        );
        let fair = f64::from(available) / claims.len() as f64;
        for (claim, part) in claims.iter().zip(&parts) {
            let high = f64::from(claim.demand.high);
            prop_assert!(f64::from(*part) + 1.0 >= high.min(fair).floor(), "{} of {}", part, high);
        }
        for (a, pa) in claims.iter().zip(&parts) {
            for (b, pb) in claims.iter().zip(&parts) {
                let has_at_least_its_demand = a.demand.high >= b.demand.high
                    && u64::from(a.demand.high) + u64::from(a.demand.low)
                        >= u64::from(b.demand.high) + u64::from(b.demand.low);
                prop_assert!(!has_at_least_its_demand || pa + 1 >= *pb, "{:?} {} {:?} {}", a, pa, b, pb);
            }
        }
    }

    /// With fewer units than fronts, whole units are given, as many as are available or needed, and no front gets a
    /// second one before every front with demand has one.
    #[test]
    fn scarce_budget_is_divided_in_whole_units(
        units in 1u32..40,
        fronts in 41usize..300,
        holders_with_demand in 0usize..300
    ) {
        let min_unit = TOTAL / 40;
        let claims: Vec<Claim> = (0..fronts).map(|i| Claim {
            weight: 1.0,
            demand: Demand {
                high: 0,
                low: if i < holders_with_demand { 3 * min_unit } else { 0 },
                unit: min_unit,
                refill_ms: 0,
            },
            current: 0,
            has_unexpired_turn: false,
            waited_us: i as u64,
        }).collect();
        let parts = divide(units * min_unit, &claims);
        let given_units: u32 = parts.iter().sum::<u32>() / min_unit;
        let units_in_demand = (holders_with_demand.min(fronts) as u32) * 3;
        if holders_with_demand.min(fronts) as u32 > units {
            prop_assert!(parts.iter().all(|p| p % min_unit == 0));
            prop_assert_eq!(given_units, units);
            prop_assert!(
                parts.iter().all(|p| *p <= min_unit),
                "a holder has two units while another has none"
            );
        } else if units_in_demand > 0 {
            prop_assert!(given_units + 1 >= units.min(units_in_demand), "{} of {}", given_units, units);
        }
    }
}

fn state_with_two_fronts() -> BudgetState {
    let mut state = BudgetState::default();
    state.apply(&update_fronts(1, 2, 200_000, 1)).unwrap();
    state.apply(&BudgetCommand::Join { holder: holder(1, 1) }).unwrap();
    state.apply(&BudgetCommand::Join { holder: holder(2, 1) }).unwrap();
    state
}

fn allocate(state: &mut BudgetState, changes: &[(HolderId, u32)]) {
    let changes = changes.iter().map(|(h, p)| (*h, BUDGETS[0], *p)).collect();
    state.apply(&BudgetCommand::Allocate { changes }).unwrap();
}

/// The committed quota, the granted quota and the epoch of a holder's first budget.
fn allocation(state: &BudgetState, holder: HolderId) -> (u32, u32, Epoch) {
    let quota = state
        .account(holder.front)
        .and_then(|a| a.holders.get(&holder.incarnation))
        .and_then(|holder_state| holder_state.quotas.get(&BUDGETS[0]));
    quota.map_or((0, 0, Epoch(0)), |q| (q.committed, q.granted(), q.epoch))
}

/// Guards against giving a quota away before its holder has confirmed that it uses less.
#[test]
fn reduced_quota_goes_to_another_holder_only_after_confirmation() {
    let mut state = state_with_two_fronts();
    let (one, two) = (holder(1, 1), holder(2, 1));
    allocate(&mut state, &[(one, 800_000)]);
    assert_eq!(allocation(&state, one).0, 800_000);
    allocate(&mut state, &[(one, 300_000), (two, 500_000)]);
    assert_eq!((allocation(&state, one).1, allocation(&state, two).0), (300_000, 0));
    let epoch = allocation(&state, one).2;
    let outdated = ConfirmedReduction::Quota { holder: one, budget: BUDGETS[0], epoch: Epoch(epoch.0 - 1) };
    state.apply(&BudgetCommand::ConfirmReductions { reductions: vec![outdated] }).unwrap();
    assert_eq!(allocation(&state, one).0, 800_000, "a confirmation of an older epoch releases nothing");
    state
        .apply(&BudgetCommand::ConfirmReductions {
            reductions: vec![ConfirmedReduction::Quota { holder: one, budget: BUDGETS[0], epoch }],
        })
        .unwrap();
    allocate(&mut state, &[(two, 500_000)]);
    assert_eq!((allocation(&state, one).0, allocation(&state, two).0), (300_000, 500_000));
}

/// A restarted front does not take over the quotas of its earlier incarnation, which stay committed until its lease has
/// expired: the earlier process may still be spending them.
#[test]
fn earlier_incarnation_stays_committed_until_expiry_and_cannot_rejoin() {
    let mut state = state_with_two_fronts();
    allocate(&mut state, &[(holder(1, 1), 600_000)]);
    state.apply(&BudgetCommand::Join { holder: holder(1, 5) }).unwrap();
    allocate(&mut state, &[(holder(1, 5), 600_000)]);
    assert_eq!((allocation(&state, holder(1, 1)).0, allocation(&state, holder(1, 5)).0), (600_000, 200_000));
    assert!(state.current_holder(holder(1, 1)).is_none());
    assert_eq!(state.apply(&BudgetCommand::Join { holder: holder(1, 4) }), Err(CommandRejected::Superseded));
    let last_epoch = state.account(FrontId(1)).unwrap().holders[&Incarnation(1)].epoch;
    state.apply(&BudgetCommand::ExpireLease { holder: holder(1, 1), epoch: last_epoch }).unwrap();
    allocate(&mut state, &[(holder(1, 5), 600_000)]);
    assert_eq!(allocation(&state, holder(1, 5)).0, 600_000);
}

/// An expiry proposed before a change of the holder's quotas must not release the new quotas.
#[test]
fn expiry_with_an_older_epoch_is_rejected() {
    let mut state = state_with_two_fronts();
    allocate(&mut state, &[(holder(1, 1), 100_000)]);
    let last_epoch = state.current_holder(holder(1, 1)).unwrap().epoch;
    allocate(&mut state, &[(holder(1, 1), 200_000)]);
    assert_eq!(
        state.apply(&BudgetCommand::ExpireLease { holder: holder(1, 1), epoch: last_epoch }),
        Err(CommandRejected::StaleEpoch)
    );
    assert_eq!(allocation(&state, holder(1, 1)).0, 200_000);
}

/// Minimums of existing fronts are reduced before new fronts get theirs: a new front gets a minimum only from what
/// earlier fronts have confirmed that they no longer use.
#[test]
fn minimums_are_reduced_and_confirmed_before_others_rise() {
    let mut state = state_with_two_fronts();
    let minimum = |state: &BudgetState, f: u64| {
        state
            .account(FrontId(f))
            .and_then(|a| a.minimums.get(&BudgetKind::Retries))
            .map_or((0, 0), |c| (c.committed, c.granted()))
    };
    assert_eq!(minimum(&state, 1), (100_000, 100_000));
    state.apply(&update_fronts(2, 4, 200_000, 1)).unwrap();
    assert_eq!((minimum(&state, 1), minimum(&state, 3)), ((100_000, 50_000), (0, 0)));
    let confirm = |state: &mut BudgetState, f: u64| {
        let epoch = state.account(FrontId(f)).unwrap().minimums[&BudgetKind::Retries].epoch;
        let reductions =
            vec![ConfirmedReduction::Minimum { front: FrontId(f), kind: BudgetKind::Retries, epoch }];
        state.apply(&BudgetCommand::ConfirmReductions { reductions }).unwrap();
    };
    confirm(&mut state, 1);
    assert_eq!(minimum(&state, 3).1 + minimum(&state, 4).1, 50_000);
    // The second front is unreachable and removed from the list: its minimum stays committed until `RemoveFront`.
    state.apply(&update_fronts(3, 1, 200_000, 1)).unwrap();
    assert_eq!(minimum(&state, 2), (100_000, 0));
    assert!(minimum(&state, 1).1 <= 100_000);
    assert_eq!(
        state.apply(&BudgetCommand::RemoveFront { front: FrontId(1) }),
        Err(CommandRejected::FrontStillListed)
    );
    state.apply(&BudgetCommand::RemoveFront { front: FrontId(2) }).unwrap();
    for f in [3, 4] {
        confirm(&mut state, f);
    }
    assert_eq!(minimum(&state, 1), (200_000, 200_000));
}

#[test]
fn front_lists_are_limited_in_length_and_need_a_higher_version() {
    let mut state = state_with_two_fronts();
    assert_eq!(state.apply(&update_fronts(1, 4, 0, 1)), Err(CommandRejected::StaleFrontList));
    assert_eq!(
        state.apply(&update_fronts(2, MAX_FRONTS as u64 + 1, 0, 1)),
        Err(CommandRejected::LimitExceeded)
    );
    assert_eq!(
        state.apply(&BudgetCommand::Join { holder: holder(9, 1) }),
        Err(CommandRejected::UnknownFront)
    );
    // An even division would be below the smallest useful minimum: only some of the fronts get one.
    state.apply(&update_fronts(3, 10, 200_000, 50_000)).unwrap();
    let with_minimum = state
        .accounts()
        .values()
        .filter(|a| a.minimums.get(&BudgetKind::Retries).is_some_and(|f| f.target > 0));
    assert_eq!(with_minimum.count(), 4);
}
