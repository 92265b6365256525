//! The local quota ledger: leases at the moment of spending, buckets through every change, windows, concurrent units.

use elmtide_budgets::ledger::ReservationOutcome;
use elmtide_budgets::LeaseResponse;
use elmtide_budgets::{
    BudgetId, BudgetKind, Clocks, Epoch, FrontId, HolderId, Incarnation, LeaseHolder, LeaseSettings,
    QuotaLedger, TOTAL,
};
use elmtide_budgets::{Grant, GuaranteedMinimums};
use elmtide_budgets::{PermitSource, Priority, TotalLimit};
use proptest::prelude::*;

const RETRIES: BudgetId = BudgetId { kind: BudgetKind::Retries, resource: 0 };
const COLD: BudgetId = BudgetId { kind: BudgetKind::SlowStartCache, resource: 7 };
const RUNNING: BudgetId = BudgetId { kind: BudgetKind::ShopConcurrency, resource: 3 };
const LEASE: u64 = 1_000_000;

fn settings() -> LeaseSettings {
    LeaseSettings {
        duration: LEASE,
        drift: 0.001,
        slack: 0,
        max_clock_divergence: 20_000,
        max_request_deadline: LEASE,
    }
}

fn at(us: u64) -> Clocks {
    Clocks { monotonic: 10_000_000 + us, wall: 50_000_000 + us }
}

fn ledger() -> QuotaLedger {
    let mut ledger = QuotaLedger::new(settings());
    ledger.configure_budget(RETRIES, TotalLimit { rate: 100.0, burst: 10.0, window: 0 }, at(0));
    ledger.configure_budget(COLD, TotalLimit { rate: 0.0, burst: 400.0, window: 300_000 }, at(0));
    ledger.configure_budget(RUNNING, TotalLimit { rate: 0.0, burst: 10.0, window: 0 }, at(0));
    ledger
}

fn grant(epoch: u64, asked: u64, parts: u32) -> Grant {
    let asked = at(asked);
    let shares = [RETRIES, COLD, RUNNING].map(|budget| (budget, parts)).to_vec();
    Grant { epoch: Epoch(epoch), requested_at: asked, expires_at: asked.monotonic + LEASE, quotas: shares }
}

#[test]
fn a_share_begins_empty_fills_by_its_rate_and_is_over_with_its_lease() {
    let mut ledger = ledger();
    ledger.apply_grant(grant(1, 0, TOTAL / 2), at(1000));
    assert_eq!(ledger.try_acquire(RETRIES, 1.0, Priority::Low, at(2000)), None, "it begins empty");
    let spent =
        (0..200).filter(|_| ledger.try_acquire(RETRIES, 1.0, Priority::Low, at(500_000)).is_some()).count();
    assert_eq!(spent, 5, "half of a burst of ten");
    assert_eq!(ledger.try_acquire(RETRIES, 1.0, Priority::Low, at(521_000)), Some(PermitSource::Lease));
    assert_eq!(
        ledger.try_acquire(RETRIES, 1.0, Priority::Low, at(LEASE)),
        None,
        "the lease is over at that moment"
    );
    ledger.apply_grant(grant(2, LEASE, TOTAL / 2), at(LEASE + 10));
    assert_eq!(
        ledger.try_acquire(RETRIES, 1.0, Priority::Low, at(LEASE + 10)),
        None,
        "what was there is gone with the lease"
    );
}

/// The lease counts from before the ask, however late the answer; and both clocks are looked at.
#[test]
fn late_answers_and_clocks_that_part_give_nothing() {
    let mut late = ledger();
    late.apply_grant(grant(1, 0, TOTAL), at(LEASE + 1));
    assert_eq!(late.lease_expiry(at(LEASE + 1)), None);
    let mut slept = ledger();
    slept.apply_grant(grant(1, 0, TOTAL), at(1000));
    let awake = Clocks { monotonic: at(200_000).monotonic, wall: at(200_000).wall + 21_000 };
    assert!(slept.has_valid_lease(at(200_000)) && !slept.has_valid_lease(awake));
    assert_eq!(slept.try_acquire(RETRIES, 1.0, Priority::Low, awake), None);
    assert!(!slept.has_valid_lease(at(200_000)), "what lapsed does not come back by setting the clock");
}

#[test]
fn a_windows_part_rises_one_span_after_its_grant_and_falls_at_once() {
    let mut ledger = ledger();
    ledger.apply_grant(grant(1, 0, TOTAL / 4), at(1000));
    assert_eq!(ledger.window_fraction(COLD, at(200_000)), 0.0);
    assert_eq!(ledger.window_fraction(COLD, at(301_000)), 0.25);
    ledger.apply_grant(grant(2, 310_000, TOTAL / 2), at(320_000));
    assert_eq!(ledger.window_fraction(COLD, at(330_000)), 0.25);
    // Told the same again, it does not wait anew.
    ledger.apply_grant(grant(2, 500_000, TOTAL / 2), at(510_000));
    assert_eq!(ledger.window_fraction(COLD, at(621_000)), 0.5);
    ledger.apply_grant(grant(3, 630_000, TOTAL / 10), at(640_000));
    assert_eq!(ledger.window_fraction(COLD, at(640_000)), 0.1);
    assert_eq!(ledger.window_fraction(COLD, at(630_000 + LEASE)), 0.0);
}

/// The holder does not say that it uses less while more runs than that.
#[test]
fn what_runs_is_given_back_with_its_end() {
    let mut ledger = ledger();
    ledger.apply_grant(grant(1, 0, TOTAL / 2), at(1000));
    assert_eq!((0..9).filter(|_| ledger.begin_running(RUNNING, Priority::Low, at(2000))).count(), 5);
    assert_eq!(ledger.confirmable_epoch(at(2000)), Some(Epoch(1)));
    ledger.apply_grant(grant(2, 3000, TOTAL / 5), at(4000));
    assert_eq!(ledger.confirmable_epoch(at(4000)), None);
    assert!(!ledger.begin_running(RUNNING, Priority::Low, at(4000)));
    (0..3).for_each(|_| ledger.end_running(RUNNING));
    assert_eq!(ledger.confirmable_epoch(at(5000)), Some(Epoch(2)));
}

#[test]
fn floors_need_no_lease_and_an_older_one_changes_nothing() {
    let mut ledger = ledger();
    let floors = |epoch, parts| GuaranteedMinimums {
        epoch: Epoch(epoch),
        minimums: vec![(BudgetKind::Retries, parts)],
    };
    ledger.apply_minimums(floors(2, TOTAL / 5), at(0));
    assert_eq!(
        ledger.try_acquire(RETRIES, 1.0, Priority::Low, at(5_000_000)),
        Some(PermitSource::GuaranteedMinimum)
    );
    ledger.apply_minimums(floors(1, TOTAL), at(5_000_000));
    assert_eq!(ledger.available(RETRIES, at(9_000_000)), 2.0);
}

/// An answer counts for one ask of this run, once, and not if something newer was told.
#[test]
fn answers_are_for_asks_of_this_run_in_their_order() {
    let holder = HolderId { front: FrontId(1), incarnation: Incarnation(4) };
    let mut holder_side = LeaseHolder::new(holder, settings(), 100, Epoch(0));
    let answer = |holder, ask, epoch| LeaseResponse {
        holder,
        request_id: ask,
        epoch: Epoch(epoch),
        quotas: vec![(RETRIES, 5)],
        minimums_epoch: Epoch(0),
        minimums: vec![],
        duration: LEASE,
        front_list_version: 1,
    };
    let first = holder_side.request(&[], at(0)).request_id;
    let second = holder_side.request(&[], at(100)).request_id;
    let earlier_run = HolderId { incarnation: Incarnation(3), ..holder };
    assert!(holder_side.on_response(&answer(earlier_run, first, 9), at(200)).grant.is_none());
    assert!(holder_side.on_response(&answer(holder, 7, 9), at(200)).grant.is_none(), "nobody asked that");
    assert!(holder_side.on_response(&answer(holder, second, 9), at(200)).grant.is_some());
    assert!(holder_side.on_response(&answer(holder, second, 9), at(200)).grant.is_none(), "doubled");
    assert!(
        holder_side.on_response(&answer(holder, first, 8), at(200)).grant.is_none(),
        "older than what is held"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    /// Divides anew: each front is told its part, at once or not at all.
    Divide(Vec<u32>),
    Take(usize),
    Reserve(usize),
    /// The oldest reservation of a front turns out to be used, or not.
    Resolve(usize, bool),
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u64..120_000).prop_map(Step::Wait),
        2 => prop::collection::vec(0u32..=TOTAL, 3).prop_map(Step::Divide),
        8 => (0usize..3).prop_map(Step::Take),
        4 => (0usize..3).prop_map(Step::Reserve),
        4 => (0usize..3, any::<bool>()).prop_map(|(f, used)| Step::Resolve(f, used)),
        1 => (0usize..3).prop_map(Step::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, ..ProptestConfig::default() })]

    /// Three fronts whose parts never sum to more than the whole: in no window is more spent than rate·t + burst, through every
    /// change, lapse, restart and reservation.
    #[test]
    fn no_window_holds_more_than_the_whole(steps in prop::collection::vec(step(), 1..200)) {
        let whole = TotalLimit { rate: 100.0, burst: 10.0, window: 0 };
        let mut ledgers: Vec<QuotaLedger> = (0..3).map(|_| ledger()).collect();
        let mut reserved = vec![Vec::new(); 3];
        let (mut now, mut epoch, mut spent) = (0u64, 0u64, Vec::new());
        for step in steps {
            match step {
                Step::Wait(span) => now += span,
                Step::Divide(wishes) => {
                    epoch += 1;
                    let sum: u64 = wishes.iter().map(|w| u64::from(*w)).sum::<u64>().max(1);
                    for (ledger, wish) in ledgers.iter_mut().zip(&wishes) {
                        let part = (u64::from(*wish) * u64::from(TOTAL) / sum.max(u64::from(TOTAL))) as u32;
                        ledger.apply_grant(grant(epoch, now, part), at(now));
                    }
                }
                Step::Take(front) => {
                    if ledgers[front].try_acquire(RETRIES, 1.0, Priority::Low, at(now)).is_some() {
                        spent.push(now);
                    }
                }
                Step::Reserve(front) => {
                    if let Some(taken) = ledgers[front].reserve(RETRIES, Priority::Low, at(now)) {
                        reserved[front].push((now, taken));
                    }
                }
                Step::Resolve(front, used) => {
                    if !reserved[front].is_empty() {
                        let (since, taken) = reserved[front].remove(0);
                        let outcome = if used { ReservationOutcome::Used } else { ReservationOutcome::Unused };
                        ledgers[front].resolve(RETRIES, taken, outcome, at(now));
                        if used {
                            spent.push(since);
                        }
                    }
                }
                Step::Restart(front) => {
                    ledgers[front] = ledger();
                    // What was reserved may have been used.
                    spent.extend(reserved[front].drain(..).map(|(since, _)| since));
                }
            }
        }
        spent.sort_unstable();
        for (i, from) in spent.iter().enumerate() {
            for (count, to) in spent[i..].iter().enumerate() {
                let may = whole.rate * (to - from) as f64 / 1e6 + whole.burst;
                prop_assert!((count + 1) as f64 <= may + 1e-6, "{} from {} to {}", count + 1, from, to);
            }
        }
    }
}
