use super::*;

/// A server with capacity for 40 requests: beyond that its latency rises. The limit converges to about 40 from a lower
/// and from a higher initial value.
#[test]
fn the_limit_converges_to_the_capacity() {
    for initial in [4.0, 400.0] {
        let mut limit = ConcurrencyLimit::new((initial, 2.0, 500.0), 2.0);
        let mut now = 0.0;
        // Sets the baseline.
        limit.record(10.0, 1, false, now);
        for _ in 0..20_000 {
            let running = limit.limit();
            let latency = 10.0 * (running / 40.0).max(1.0);
            now += latency / running;
            limit.record(latency, running as usize, false, now);
        }
        assert!((30.0..=100.0).contains(&limit.limit()), "from {initial}: {}", limit.limit());
    }
}

#[test]
fn the_limit_stays_within_its_bounds_for_invalid_latencies_and_times() {
    let mut limit = ConcurrencyLimit::new((8.0, 2.0, 16.0), 2.0);
    for (n, latency) in [f64::NAN, f64::INFINITY, -1.0, 5.0].into_iter().cycle().take(1000).enumerate() {
        limit.record(latency, 100, n % 3 == 0, if n % 7 == 0 { f64::NAN } else { n as f64 });
        assert!((2.0..=16.0).contains(&limit.limit()));
    }
    for n in 0..100 {
        limit.record(5.0, 10, true, 1e6 + f64::from(n) * 100.0);
    }
    assert_eq!(limit.limit(), 2.0, "failures decrease it to the minimum");
}

#[test]
fn the_limit_does_not_grow_while_it_is_not_used() {
    let mut limit = ConcurrencyLimit::new((8.0, 2.0, 100.0), 2.0);
    for n in 0..1000 {
        limit.record(10.0, 1, false, f64::from(n) * 1e5);
    }
    assert_eq!(limit.limit(), 8.0);
}
