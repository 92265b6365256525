use super::*;

/// A server with room for 40: latency rises over it. The limit settles about there, from above and below.
#[test]
fn it_finds_the_room() {
    for start in [4.0, 400.0] {
        let mut limit = Concurrency::new((start, 2.0, 500.0), 2.0);
        let mut now = 0.0;
        // Learn the rest.
        limit.back(10.0, 1, false, now);
        for _ in 0..20_000 {
            let running = limit.limit();
            let latency = 10.0 * (running / 40.0).max(1.0);
            now += latency / running;
            limit.back(latency, running as usize, false, now);
        }
        assert!((30.0..=100.0).contains(&limit.limit()), "from {start}: {}", limit.limit());
    }
}

#[test]
fn it_is_bounded_and_takes_no_nonsense() {
    let mut limit = Concurrency::new((8.0, 2.0, 16.0), 2.0);
    for (n, latency) in [f64::NAN, f64::INFINITY, -1.0, 5.0].into_iter().cycle().take(1000).enumerate() {
        limit.back(latency, 100, n % 3 == 0, if n % 7 == 0 { f64::NAN } else { n as f64 });
        assert!((2.0..=16.0).contains(&limit.limit()));
    }
    for n in 0..100 {
        limit.back(5.0, 10, true, 1e6 + f64::from(n) * 100.0);
    }
    assert_eq!(limit.limit(), 2.0, "lost ones bring it down to the least");
}

/// Nothing is earned by idleness.
#[test]
fn idle_time_earns_nothing() {
    let mut limit = Concurrency::new((8.0, 2.0, 100.0), 2.0);
    for n in 0..1000 {
        limit.back(10.0, 1, false, f64::from(n) * 1e5);
    }
    assert_eq!(limit.limit(), 8.0);
}
