//! Tests of the local quota ledger and the lease holder: lease checks at the moment of spending, buckets across changes
//! of quota, sliding windows, and concurrency.

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
const SLOW_START: BudgetId = BudgetId { kind: BudgetKind::SlowStartCache, resource: 7 };
const CONCURRENCY: BudgetId = BudgetId { kind: BudgetKind::ShopConcurrency, resource: 3 };
const LEASE_US: u64 = 1_000_000;

fn settings() -> LeaseSettings {
    LeaseSettings {
        duration: LEASE_US,
        drift: 0.001,
        slack: 0,
        max_clock_divergence: 20_000,
        max_request_deadline: LEASE_US,
    }
}

fn at(us: u64) -> Clocks {
    Clocks { monotonic: 10_000_000 + us, wall: 50_000_000 + us }
}

fn ledger() -> QuotaLedger {
    let mut ledger = QuotaLedger::new(settings());
    ledger.configure_budget(RETRIES, TotalLimit { rate: 100.0, burst: 10.0, window: 0 }, at(0));
    ledger.configure_budget(SLOW_START, TotalLimit { rate: 0.0, burst: 400.0, window: 300_000 }, at(0));
    ledger.configure_budget(CONCURRENCY, TotalLimit { rate: 0.0, burst: 10.0, window: 0 }, at(0));
    ledger
}

fn grant(epoch: u64, requested_us: u64, parts: u32) -> Grant {
    let requested = at(requested_us);
    let granted = [RETRIES, SLOW_START, CONCURRENCY].map(|budget| (budget, parts)).to_vec();
    Grant {
        epoch: Epoch(epoch),
        requested_at: requested,
        expires_at: requested.monotonic + LEASE_US,
        quotas: granted,
    }
}

#[test]
fn new_quota_starts_empty_fills_at_its_rate_and_is_lost_when_its_lease_expires() {
    let mut ledger = ledger();
    ledger.apply_grant(grant(1, 0, TOTAL / 2), at(1000));
    assert_eq!(ledger.try_acquire(RETRIES, 1.0, Priority::Low, at(2000)), None, "a new quota starts empty");
    let spent =
        (0..200).filter(|_| ledger.try_acquire(RETRIES, 1.0, Priority::Low, at(500_000)).is_some()).count();
    assert_eq!(spent, 5, "half of a burst of ten");
    assert_eq!(ledger.try_acquire(RETRIES, 1.0, Priority::Low, at(521_000)), Some(PermitSource::Lease));
    assert_eq!(
        ledger.try_acquire(RETRIES, 1.0, Priority::Low, at(LEASE_US)),
        None,
        "the lease has expired at exactly this moment"
    );
    ledger.apply_grant(grant(2, LEASE_US, TOTAL / 2), at(LEASE_US + 10));
    assert_eq!(
        ledger.try_acquire(RETRIES, 1.0, Priority::Low, at(LEASE_US + 10)),
        None,
        "the bucket was emptied when the lease expired"
    );
}

/// The lease counts from before the request, however late the response arrives, and must be in force by both clocks:
/// the monotonic clock may stop while the machine sleeps.
#[test]
fn late_responses_and_diverged_clocks_grant_nothing() {
    let mut late = ledger();
    late.apply_grant(grant(1, 0, TOTAL), at(LEASE_US + 1));
    assert_eq!(late.lease_expiry(at(LEASE_US + 1)), None);
    let mut suspended = ledger();
    suspended.apply_grant(grant(1, 0, TOTAL), at(1000));
    let after_suspend = Clocks { monotonic: at(200_000).monotonic, wall: at(200_000).wall + 21_000 };
    assert!(suspended.has_valid_lease(at(200_000)) && !suspended.has_valid_lease(after_suspend));
    assert_eq!(suspended.try_acquire(RETRIES, 1.0, Priority::Low, after_suspend), None);
    assert!(
        !suspended.has_valid_lease(at(200_000)),
        "an expired lease is not restored by setting the clock back"
    );
}

#[test]
fn sliding_window_quota_rises_one_window_after_its_grant_and_falls_immediately() {
    let mut ledger = ledger();
    ledger.apply_grant(grant(1, 0, TOTAL / 4), at(1000));
    assert_eq!(ledger.window_fraction(SLOW_START, at(200_000)), 0.0);
    assert_eq!(ledger.window_fraction(SLOW_START, at(301_000)), 0.25);
    ledger.apply_grant(grant(2, 310_000, TOTAL / 2), at(320_000));
    assert_eq!(ledger.window_fraction(SLOW_START, at(330_000)), 0.25);
    // A repeated grant of the same quota does not restart the wait.
    ledger.apply_grant(grant(2, 500_000, TOTAL / 2), at(510_000));
    assert_eq!(ledger.window_fraction(SLOW_START, at(621_000)), 0.5);
    ledger.apply_grant(grant(3, 630_000, TOTAL / 10), at(640_000));
    assert_eq!(ledger.window_fraction(SLOW_START, at(640_000)), 0.1);
    assert_eq!(ledger.window_fraction(SLOW_START, at(630_000 + LEASE_US)), 0.0);
}

/// Guards against a holder that confirms a reduction while more units are running than the reduced quota allows.
#[test]
fn reduction_is_confirmable_only_once_enough_running_units_have_ended() {
    let mut ledger = ledger();
    ledger.apply_grant(grant(1, 0, TOTAL / 2), at(1000));
    assert_eq!((0..9).filter(|_| ledger.begin_running(CONCURRENCY, Priority::Low, at(2000))).count(), 5);
    assert_eq!(ledger.confirmable_epoch(at(2000)), Some(Epoch(1)));
    ledger.apply_grant(grant(2, 3000, TOTAL / 5), at(4000));
    assert_eq!(ledger.confirmable_epoch(at(4000)), None);
    assert!(!ledger.begin_running(CONCURRENCY, Priority::Low, at(4000)));
    (0..3).for_each(|_| ledger.end_running(CONCURRENCY));
    assert_eq!(ledger.confirmable_epoch(at(5000)), Some(Epoch(2)));
}

#[test]
fn minimums_need_no_lease_and_minimums_of_an_older_epoch_are_ignored() {
    let mut ledger = ledger();
    let minimums_at = |epoch, parts| GuaranteedMinimums {
        epoch: Epoch(epoch),
        minimums: vec![(BudgetKind::Retries, parts)],
    };
    ledger.apply_minimums(minimums_at(2, TOTAL / 5), at(0));
    assert_eq!(
        ledger.try_acquire(RETRIES, 1.0, Priority::Low, at(5_000_000)),
        Some(PermitSource::GuaranteedMinimum)
    );
    ledger.apply_minimums(minimums_at(1, TOTAL), at(5_000_000));
    assert_eq!(ledger.available(RETRIES, at(9_000_000)), 2.0);
}

/// A response is accepted once, only for a request of this incarnation, and only if no newer epoch was granted before.
#[test]
fn responses_are_accepted_once_for_requests_of_this_incarnation_and_not_after_a_newer_epoch() {
    let holder = HolderId { front: FrontId(1), incarnation: Incarnation(4) };
    let mut holder_side = LeaseHolder::new(holder, settings(), 100, Epoch(0));
    let response = |holder, request_number, epoch| LeaseResponse {
        holder,
        request_id: request_number,
        epoch: Epoch(epoch),
        quotas: vec![(RETRIES, 5)],
        minimums_epoch: Epoch(0),
        minimums: vec![],
        duration: LEASE_US,
        front_list_version: 1,
    };
    let first = holder_side.request(&[], at(0)).request_id;
    let second = holder_side.request(&[], at(100)).request_id;
    let earlier_incarnation = HolderId { incarnation: Incarnation(3), ..holder };
    assert!(holder_side.on_response(&response(earlier_incarnation, first, 9), at(200)).grant.is_none());
    assert!(
        holder_side.on_response(&response(holder, 7, 9), at(200)).grant.is_none(),
        "no such request was sent"
    );
    assert!(holder_side.on_response(&response(holder, second, 9), at(200)).grant.is_some());
    assert!(
        holder_side.on_response(&response(holder, second, 9), at(200)).grant.is_none(),
        "duplicate response"
    );
    assert!(
        holder_side.on_response(&response(holder, first, 8), at(200)).grant.is_none(),
        "older than the current grant"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    /// Divides the budget anew; every front receives its new quota at once.
    Divide(Vec<u32>),
    Take(usize),
    Reserve(usize),
    /// Resolves the oldest reservation of a front as used or unused.
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

    /// Three fronts whose quotas never sum to more than the total. Guards against spending more than rate·t + burst in
    /// any window across quota changes, expired leases, restarts and reservations.
    #[test]
    fn spending_in_any_window_never_exceeds_rate_and_burst(steps in prop::collection::vec(step(), 1..200)) {
        let total = TotalLimit { rate: 100.0, burst: 10.0, window: 0 };
        let mut ledgers: Vec<QuotaLedger> = (0..3).map(|_| ledger()).collect();
        let mut reserved = vec![Vec::new(); 3];
        let (mut now, mut epoch, mut spent) = (0u64, 0u64, Vec::new());
        for step in steps {
            match step {
                Step::Wait(duration_us) => now += duration_us,
                Step::Divide(weights) => {
                    epoch += 1;
                    let weight_sum: u64 = weights.iter().map(|w| u64::from(*w)).sum::<u64>().max(1);
                    for (ledger, weight) in ledgers.iter_mut().zip(&weights) {
                        let quota = (u64::from(*weight) * u64::from(TOTAL)
                            / weight_sum.max(u64::from(TOTAL))) as u32;
                        ledger.apply_grant(grant(epoch, now, quota), at(now));
                    }
                }
                Step::Take(front) => {
                    if ledgers[front].try_acquire(RETRIES, 1.0, Priority::Low, at(now)).is_some() {
                        spent.push(now);
                    }
                }
                Step::Reserve(front) => {
                    if let Some(reservation) = ledgers[front].reserve(RETRIES, Priority::Low, at(now)) {
                        reserved[front].push((now, reservation));
                    }
                }
                Step::Resolve(front, used) => {
                    if !reserved[front].is_empty() {
                        let (taken_at, reservation) = reserved[front].remove(0);
                        let outcome =
                            if used { ReservationOutcome::Used } else { ReservationOutcome::Unused };
                        ledgers[front].resolve(RETRIES, reservation, outcome, at(now));
                        if used {
                            spent.push(taken_at);
                        }
                    }
                }
                Step::Restart(front) => {
                    ledgers[front] = ledger();
                    // A unit reserved before the restart may have been used.
                    spent.extend(reserved[front].drain(..).map(|(taken_at, _)| taken_at));
                }
            }
        }
        spent.sort_unstable();
        for (i, from) in spent.iter().enumerate() {
            for (count, to) in spent[i..].iter().enumerate() {
                let allowed = total.rate * (to - from) as f64 / 1e6 + total.burst;
                prop_assert!((count + 1) as f64 <= allowed + 1e-6, "{} from {} to {}", count + 1, from, to);
            }
        }
    }
}
