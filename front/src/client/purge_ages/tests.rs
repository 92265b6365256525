use super::*;

const HOUR_MS: Ms = 3_600_000.0;
/// How far this machine's clock is ahead of the one that stamps purges.
const DIFFERENCES: [Ms; 9] = [-HOUR_MS, -7000.0, -3000.0, -1000.0, 0.0, 1000.0, 3000.0, 7000.0, HOUR_MS];

/// The age by a clock that is ahead; ages below nothing are not given.
fn own_age(age: Ms, difference: Ms) -> Ms {
    (age + difference).max(0.0)
}

/// Whatever the clocks, no purge is taken for older than it is, and where they agree hardly for younger.
#[test]
fn ages_are_never_too_large() {
    for difference in DIFFERENCES {
        let mut ages = PurgeAges::default();
        // Purges of an hour, some of which are told late, and pauses longer than two windows.
        let (mut now, mut step) = (100_000.0, 1_u64);
        while now < 100_000.0 + HOUR_MS {
            step = step.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            now += [500.0, 2000.0, 300_000.0][[0, 0, 0, 0, 1, 1, 1, 2][(step >> 60) as usize & 7]];
            let age = 48.0 + (step >> 40) as f64 % 270.0;
            let own = own_age(age, difference);
            ages.observe(own, now);
            let believed = ages.age(own, None);
            assert!(believed <= age, "{believed} ms instead of {age} at a difference of {difference}");
        }
    }
}

#[test]
fn purges_that_come_together_have_the_ages_between_them() {
    for difference in DIFFERENCES.into_iter().filter(|difference| *difference >= 0.0) {
        let mut ages = PurgeAges::default();
        let known: Vec<Ms> = [5000.0, 800.0, 200.0].map(|age| own_age(age, difference)).into();
        known.iter().for_each(|own| ages.observe(*own, 1000.0));
        let believed: Vec<Ms> = known.iter().map(|own| ages.age(*own, None)).collect();
        assert_eq!(believed, [4800.0, 600.0, 0.0]);
    }
}

/// The clock that stamps purges goes back by an hour: what was told since the bus was last heard is no older.
#[test]
fn a_timestamp_that_can_not_be_right_is_not_believed() {
    let mut ages = PurgeAges::default();
    ages.observe(200.0, 1000.0);
    assert_eq!(ages.age(300.0, Some(900.0)), 100.0);
    ages.observe(HOUR_MS, 2000.0);
    assert_eq!(ages.age(HOUR_MS, Some(900.0)), 0.0);
}

/// Clocks that drift apart by 100 parts in a million for a day do not make ages too large by more than the drift of two
/// windows.
#[test]
fn drifting_clocks_do_not_add_up() {
    let mut ages = PurgeAges::default();
    let drift = 1e-4;
    for second in 0..86_400 {
        let now = f64::from(second) * 1000.0;
        let own = 100.0 + now * drift;
        ages.observe(own, now);
        let believed = ages.age(own, None);
        assert!(believed <= 2.0 * WINDOW_MS * drift, "{believed} ms after {second} s");
    }
}
