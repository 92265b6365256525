//! The log of purges, over drawn purges in simulated time: it may refuse more than was purged, and never less.

mod common;

use std::collections::BTreeMap;

use common::Random;
use elmtide::*;

const PURGE_DURATION_MS: Ms = 6000.0;
const SEEDS: u64 = 100;
const STEPS: u64 = 12_000;

fn log() -> PurgeLog {
    PurgeLog::new(&Settings { purge_duration: Some(PURGE_DURATION_MS), ..Settings::default() })
}

/// Plays purges of so many objects, and returns how many answers of the log were later than the last purge.
fn play(seed: u64, objects: u64) -> usize {
    let mut random = Random(seed);
    let (mut log, mut last) = (log(), BTreeMap::new());
    let (mut now, mut later) = (100_000.0, 0);
    for step in 0..STEPS {
        now += random.next(30) as f64 / 10.0;
        let object = ObjectId(random.next(objects));
        // A purge may be told late, and one that is known already again.
        let at = now - [0.0, 0.0, 40.0, 5000.0][random.next(4) as usize];
        log.record(Some(object), PurgeGroup(0), at, now);
        last.entry(object).and_modify(|known: &mut Ms| *known = known.max(at)).or_insert(at);
        let asked = ObjectId(random.next(objects));
        let expected = last.get(&asked).copied().filter(|at| now - at <= PURGE_DURATION_MS);
        let known = log.last(asked, PurgeGroup(0), now);
        assert!(known >= expected, "seed {seed}, step {step}: {known:?} known, {expected:?} purged");
        later += usize::from(expected.is_some() && known > expected);
        assert!(log.len() <= PurgeLog::MAX_KEYS, "seed {seed}, step {step}: {} kept", log.len());
    }
    later
}

/// Guards against forgetting purges where there are more than are kept one by one.
#[test]
fn no_purge_is_forgotten_before_all_caches_have_dropped_the_copies() {
    let later: usize = (0..SEEDS).map(|seed| play(seed, [500, 8000, 1 << 40][seed as usize % 3])).sum();
    assert!(later > 0, "no run has filled the log");
}

#[test]
fn purges_of_few_objects_are_kept_one_by_one() {
    assert_eq!(play(1, 500), 0);
}

#[test]
fn a_purge_of_a_group_concerns_its_objects_only() {
    let mut log = log();
    log.record(None, PurgeGroup(3), 1000.0, 1000.0);
    assert_eq!(log.last(ObjectId(7), PurgeGroup(3), 1100.0), Some(1000.0));
    assert_eq!(log.last(ObjectId(7), PurgeGroup(4), 1100.0), None);
    assert_eq!(log.last(ObjectId(7), PurgeGroup(3), 1000.0 + 2.0 * PURGE_DURATION_MS), None, "it is over");
}
