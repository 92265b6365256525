//! The response rate limiter under floods, many client networks and clock jumps.

use elmtide_ratelimit::*;
use proptest::prelude::*;

fn limits() -> Limits {
    Limits { answers: 10.0, nxdomains: 5.0, errors: 5.0, all: 0.0, burst_s: 1.0, slip: 2, places: 1024 }
}

/// How many of `count` answers are sent.
fn sent(limiter: &mut Limiter, network: u64, kind: Kind, count: usize, now: Ms) -> usize {
    (0..count).filter(|n| limiter.check(network, kind, *n as u64, now) == Verdict::Send).count()
}

/// A flood of names that do not exist uses up only the bucket of its own network for that kind of answer.
#[test]
fn a_flood_limits_only_its_own_network_and_kind() {
    let mut limiter = Limiter::new(limits(), 1);
    assert_eq!(sent(&mut limiter, 7, Kind::NxDomain, 100_000, 0.0), 5);
    assert_eq!(limiter.check(8, Kind::NxDomain, 0, 0.0), Verdict::Send);
    assert_eq!(limiter.check(7, Kind::Answer, 3, 0.0), Verdict::Send);
    assert_eq!(sent(&mut limiter, 7, Kind::NxDomain, 100, 1000.0), 5, "a second adds the tokens of a second");
}

#[test]
fn with_a_slip_of_two_every_second_answer_over_the_limit_slips() {
    let mut limiter = Limiter::new(limits(), 1);
    sent(&mut limiter, 7, Kind::Error, 5, 0.0);
    let next: Vec<Verdict> = (0..4).map(|_| limiter.check(7, Kind::Error, 0, 0.0)).collect();
    assert_eq!(next, [Verdict::Drop, Verdict::Slip, Verdict::Drop, Verdict::Slip]);
    let mut without_slip = Limiter::new(Limits { slip: 0, ..limits() }, 1);
    sent(&mut without_slip, 7, Kind::Error, 5, 0.0);
    assert!((0..10).all(|_| without_slip.check(7, Kind::Error, 0, 0.0) == Verdict::Drop));
}

/// An idle network has at most the burst; a clock that jumps back or ahead adds nothing to it.
#[test]
fn clock_jumps_give_at_most_one_burst() {
    let mut limiter = Limiter::new(limits(), 1);
    assert_eq!(sent(&mut limiter, 7, Kind::NxDomain, 50, 1e12), 5);
    assert_eq!(sent(&mut limiter, 7, Kind::NxDomain, 50, 0.0), 0, "set back");
    assert_eq!(sent(&mut limiter, 7, Kind::NxDomain, 50, 1e12 + 1e9), 5, "far ahead");
    assert_eq!(sent(&mut limiter, 7, Kind::NxDomain, 50, f64::NAN), 0, "not a number");
}

/// A million networks use a small table within a second. A network that keeps flooding keeps its empty bucket, since a
/// new one replaces the fullest bucket of its set.
#[test]
fn many_networks_do_not_reset_the_limit_of_an_active_one() {
    let mut limiter = Limiter::new(limits(), 9);
    let mut sent = 0;
    for n in 0..1_000_000u64 {
        let now = n as f64 / 1000.0;
        limiter.check(1000 + n, Kind::NxDomain, 0, now);
        sent += usize::from(limiter.check(7, Kind::NxDomain, 0, now) == Verdict::Send);
    }
    // One second at 5 per second and one burst of 5, despite a million other networks.
    assert!((9..=10).contains(&sent), "{sent}");
}

#[test]
fn the_limit_of_all_kinds_counts_them_together() {
    let mut limiter = Limiter::new(Limits { all: 8.0, ..limits() }, 1);
    let count = sent(&mut limiter, 7, Kind::Answer, 20, 0.0) + sent(&mut limiter, 7, Kind::NxDomain, 20, 0.0);
    assert_eq!(count, 8);
}

#[test]
fn values_out_of_range_are_refused() {
    assert!(limits().check().is_ok());
    let bad = [
        Limits { answers: f64::NAN, ..limits() },
        Limits { errors: -1.0, ..limits() },
        Limits { burst_s: 0.0, ..limits() },
        Limits { places: 1 << 30, ..limits() },
    ];
    assert!(bad.iter().all(|l| l.check().is_err()));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// No sequence of queries and times gets a network more than its burst and its rate.
    #[test]
    fn never_more_than_the_rate(seed: u64, gaps in prop::collection::vec(0.0f64..400.0, 1..300)) {
        let mut limiter = Limiter::new(limits(), seed);
        let (mut now, mut sent) = (0.0, 0u32);
        for gap in gaps {
            now += gap;
            sent += u32::from(limiter.check(7, Kind::NxDomain, 0, now) == Verdict::Send);
        }
        prop_assert!(f64::from(sent) <= 5.0 + now / 1000.0 * 5.0 + 1.0);
    }
}
