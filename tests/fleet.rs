//! Many routers that do not know of each other: their total effect, and what each learns from few requests.

mod common;

use common::*;
use elmtide::*;

/// Routers of one zone with the same list of servers, each with its own seed.
fn fronts(settings: &Settings, list: &[Listing], count: u32) -> Vec<TestFront> {
    let front = |seed: u32| {
        let mut front = TestFront::new(settings.clone(), Vec::new());
        front.router = Router::new(settings.clone(), u64::from(seed) * 7919, 0.0, &mut Vec::new());
        front.handle(Event::List { update: ListUpdate::Cached, entries: list.to_vec() });
        front
    };
    (0..count).map(front).collect()
}

fn settings_of_zone(count: u32) -> Settings {
    let zone_fronts = vec![0, 0, 0, 0, 0, 0, 0, count];
    Settings { fronts: Some(count * 4), zone_fronts, ..settings() }
}

fn reply_with(front: &mut TestFront, id: u32, outcome: Outcome, latency: Ms, note: Note) -> Vec<Action> {
    let (id, settled) = (RequestId(id), outcome == Outcome::Ok);
    front.handle(Event::Reply { id, attempt: Try(0), outcome, latency, settled, note })
}

/// Origin fetches that take four times as long as usual, among many hits on time.
fn slow_origin_fetches(front: &mut TestFront, fetches: u32) {
    for id in 5000..5000 + fetches * 5 {
        front.now += 120.0;
        front.request(id, u64::from(id));
        let from_origin = id % 5 == 0;
        let (latency, note) = if from_origin { (1200.0, Note::FilledByOrigin) } else { (110.0, Note::Hit) };
        reply_with(front, id, Outcome::Ok, latency, note);
    }
}

/// One of many fronts sees one origin fetch a second, a tenth of its answers. All its answers together would show a
/// slow origin only once it has a queue of seconds.
#[test]
fn a_few_slow_fetches_start_the_origin_guard_and_hits_stay_unaffected() {
    let mut front = TestFront::new(settings_of_zone(25), member_list());
    slow_origin_fetches(&mut front, 4);
    let to = first_attempt(&front.request(1, 7)).unwrap();
    assert!(to.mode.source_holds_only && to.source != to.cache, "the parent is asked only for a held copy");
    // At the usual latency the guard ends.
    for id in 6000..6040 {
        front.now += 300.0;
        front.request(id, u64::from(id));
        reply_with(&mut front, id, Outcome::Ok, 250.0, Note::FilledByOrigin);
    }
    let to = first_attempt(&front.request(2, 8)).unwrap();
    assert!(!to.mode.source_holds_only && to.source != to.cache);
}

/// Total of origin fetches that fronts of one zone have in flight after misses at the parents.
fn guarded_origin_fetches(count: u32, misses: u32, settings: &Settings) -> usize {
    let mut all = 0;
    for mut front in fronts(settings, &member_list(), count) {
        slow_origin_fetches(&mut front, 6);
        for id in 100..100 + misses {
            front.request(id, u64::from(id));
            let held = first_attempt(&reply_with(&mut front, id, Outcome::Miss, 20.0, Note::SourceLacks));
            all += usize::from(held.is_some_and(|to| !to.mode.source_holds_only));
        }
    }
    all
}

/// The capacity of the zone's link is not set, so it is half of four caches' ten transfers, and a fifth of it may go to
/// the origin: four fetches, and some more by chance. A fixed part per front would be hundreds with many fronts.
#[test]
fn the_total_of_guarded_origin_fetches_has_the_same_bound_for_any_number_of_fronts_and_is_never_zero() {
    for count in [1, 3, 25, 100] {
        let out = guarded_origin_fetches(count, 100, &settings_of_zone(count));
        assert!((1..=20).contains(&out), "{out} origin fetches of {count} fronts");
    }
    let unknown = Settings { fronts: None, zone_fronts: vec![], ..settings() };
    let out = guarded_origin_fetches(1, 100, &unknown);
    assert!(
        (1..=20).contains(&out),
        "{out} origin fetches of a front that does not know the number of fronts"
    );
    // Each of ten thousand has a small chance of a fetch, so there are some.
    let out = guarded_origin_fetches(10_000, 3, &settings_of_zone(10_000));
    assert!((1..=20).contains(&out), "{out} origin fetches of ten thousand fronts");
}

/// Clients that are refused at the same time must not all return at the same time.
#[test]
fn retry_times_of_refused_clients_are_spread_out() {
    let list = [parent(101), origin(201)];
    let mut waits: Vec<Ms> = Vec::new();
    for mut front in fronts(&settings_of_zone(25), &list, 25) {
        for id in 0..20 {
            let out = front.request(id, u64::from(id));
            let Some(Action::Refuse { retry_after: Some(wait), .. }) = out.first() else { panic!("{out:?}") };
            waits.push(*wait);
        }
    }
    assert!(waits.iter().all(|w| (250.0..=500.0).contains(w)));
    let largest = (0..26).map(|i| 250.0 + 10.0 * f64::from(i));
    let largest = largest.map(|from| waits.iter().filter(|w| (from..from + 10.0).contains(*w)).count()).max();
    assert!(largest < Some(60), "{largest:?} of 500 return within 10 ms");
}

/// Fills at each of two parents, for a hundred misses at each of many fronts under the link guard.
fn guarded_fills(count: u32) -> [usize; 2] {
    // Many zones, whose links together carry far more than one parent's link.
    let per_zone = Some(count.div_ceil(20)).map_or(1, |n| n.max(1));
    let zone_fronts = vec![0, 0, 0, 0, 0, 0, 0, per_zone];
    let settings = Settings { fronts: Some(count), zone_fronts, ..settings() };
    let list: Vec<Listing> = (1..5).map(cache).chain([parent(101), parent(102), origin(201)]).collect();
    let mut fills = [0; 2];
    for mut front in fronts(&settings, &list, count) {
        for id in 5000..5040 {
            front.request(id, u64::from(id));
            (0..6).for_each(|attempt| drop(front.reply(id, attempt, Outcome::Timeout)));
        }
        front.now += 10_000.0;
        for id in 100..200 {
            front.request(id, u64::from(id));
            let fill = first_attempt(&front.reply(id, 0, Outcome::Miss));
            for (place, parent) in [101, 102].into_iter().enumerate() {
                fills[place] += usize::from(fill.as_ref().is_some_and(|to| to.source == MemberId(parent)));
            }
        }
    }
    fills
}

/// After a hub is lost the remaining parents get all fills: here a link of ten transfers serves a hundred fronts.
/// Without a common limit each front sends as many fills as its window permits, and the parent's link delays all of
/// them.
#[test]
fn under_the_link_guard_all_fronts_together_load_a_parent_up_to_its_link_capacity() {
    for count in [1, 3, 100] {
        let fills = guarded_fills(count);
        assert!(
            fills.iter().all(|out| (3..=40).contains(out)),
            "{fills:?} fills at parents of {count} fronts"
        );
    }
}

/// Times at which all fronts together send fills to the only parent, which is cold, for 4000 misses in 4 s.
fn fills_of_cold_parent(count: u32, settings: &Settings) -> Vec<Ms> {
    let start = 100_000.0;
    let cold = Listing { weight: 60.0, started_at: Some(start), ..parent(101) };
    let list = [cache(1), cache(2), cache(3), cold, origin(201)];
    let mut fills = Vec::new();
    for mut front in fronts(settings, &list, count) {
        for id in 0..4000 / count.min(4000) {
            front.now = start + 5000.0 + 4000.0 * f64::from(id) / f64::from(4000 / count.min(4000));
            let to = first_attempt(&front.request(id, u64::from(id)));
            fills.extend(to.filter(|t| t.source == MemberId(101)).map(|_| front.now));
            front.reply(id, 0, Outcome::Ok);
        }
    }
    fills
}

/// For any number of fronts their total stays below what overloads a cold parent, and is a good part of it.
#[test]
fn a_cold_parent_is_warmed_equally_by_one_front_and_by_a_hundred() {
    // After 5 s of 20 its capacity is 0.325 of 60 transfers; twice that for 2 s, in requests of 100 ms of work.
    let limit = 2.0 * 2000.0 * 60.0 * 0.325 / 100.0;
    let numbers = [(1, Some(1)), (3, Some(3)), (100, Some(100)), (1, None)];
    for (count, known_fronts) in numbers {
        let fills = fills_of_cold_parent(count, &Settings { fronts: known_fronts, ..settings() });
        for from in (0..20).map(|i| 105_000.0 + f64::from(i) * 100.0) {
            let fills_in_window =
                fills.iter().filter(|at| (from..from + 2000.0).contains(*at)).count() as f64;
            assert!(
                fills_in_window < limit,
                "{count} fronts: {fills_in_window} fills, and {limit} overload it"
            );
            assert!(
                fills_in_window > limit / 4.0,
                "{count} fronts: {fills_in_window} fills of {limit}: too little of the budget is used"
            );
        }
    }
}
