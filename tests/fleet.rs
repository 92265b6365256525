//! What a hundred routers do together, none knowing of the others, and what each learns from few requests.

mod common;

use common::*;
use elmtide::*;

/// So many routers of one location, each with its own seed, told the same list.
fn fronts(settings: &Settings, list: &[Listing], count: u32) -> Vec<Front> {
    let front = |seed: u32| {
        let mut front = Front::new(settings.clone(), Vec::new());
        front.router = Router::new(settings.clone(), u64::from(seed) * 7919, 0.0, &mut Vec::new());
        front.tell(Event::List { news: ListNews::Cached, entries: list.to_vec() });
        front
    };
    (0..count).map(front).collect()
}

fn of_location(count: u32) -> Settings {
    let zone_fronts = vec![0, 0, 0, 0, 0, 0, 0, count];
    Settings { fronts: Some(count * 4), zone_fronts, ..settings() }
}

fn told(front: &mut Front, id: u32, outcome: Outcome, latency: Ms, note: Note) -> Vec<Action> {
    let (id, settled) = (RequestId(id), outcome == Outcome::Ok);
    front.tell(Event::Reply { id, attempt: Try(0), outcome, latency, settled, note })
}

/// Fetches from the origin that wait four times as long as usual, among many hits that are in time.
fn slow_origin(front: &mut Front, fetches: u32) {
    for id in 5000..5000 + fetches * 5 {
        front.now += 120.0;
        front.ask(id, u64::from(id));
        let far = id % 5 == 0;
        let (latency, note) = if far { (1200.0, Note::FilledByOrigin) } else { (110.0, Note::Hit) };
        told(front, id, Outcome::Ok, latency, note);
    }
}

/// A front of many sees an origin fetch a second, one answer in ten: what all its answers are like says nothing of
/// the origin until it has a queue of seconds.
#[test]
fn a_slow_origin_is_shielded_after_a_few_fetches_and_hits_are_not_looked_for() {
    let mut front = Front::new(of_location(25), fleet());
    slow_origin(&mut front, 4);
    let to = sent(&front.ask(1, 7)).unwrap();
    assert!(to.mode.source_holds_only && to.source != to.cache, "the parent is asked for what it holds");
    // Back to the usual: the shield is taken away.
    for id in 6000..6040 {
        front.now += 300.0;
        front.ask(id, u64::from(id));
        told(&mut front, id, Outcome::Ok, 250.0, Note::FilledByOrigin);
    }
    let to = sent(&front.ask(2, 8)).unwrap();
    assert!(!to.mode.source_holds_only && to.source != to.cache);
}

/// Origin fetches that all fronts of a location have out, each with so many misses that no parent holds.
fn fetches_out(count: u32, misses: u32, settings: &Settings) -> usize {
    let mut all = 0;
    for mut front in fronts(settings, &fleet(), count) {
        slow_origin(&mut front, 6);
        for id in 100..100 + misses {
            front.ask(id, u64::from(id));
            let held = sent(&told(&mut front, id, Outcome::Miss, 20.0, Note::SourceLacks));
            all += usize::from(held.is_some_and(|to| !to.mode.source_holds_only));
        }
    }
    all
}

/// Links in are not told here. Four caches of ten transfers, half of that in, a fifth of it to the origin: four, and
/// some for chance. A fixed part for each front, however many there are, is hundreds.
#[test]
fn origin_fetches_of_all_fronts_are_bounded_alike_for_few_and_many_and_never_none() {
    for count in [1, 3, 25, 100] {
        let out = fetches_out(count, 100, &of_location(count));
        assert!((1..=20).contains(&out), "{out} origin fetches of {count} fronts");
    }
    let unknown = Settings { fronts: None, zone_fronts: vec![], ..settings() };
    let out = fetches_out(1, 100, &unknown);
    assert!((1..=20).contains(&out), "{out} of one that knows no number");
    // Of ten thousand each has a small chance, and some of them take it.
    let out = fetches_out(10_000, 3, &of_location(10_000));
    assert!((1..=20).contains(&out), "{out} of ten thousand fronts");
}

/// Those refused in one moment are not told the same moment to come back.
#[test]
fn refused_clients_are_sent_back_over_a_span() {
    let list = [parent(101), origin(201)];
    let mut waits: Vec<Ms> = Vec::new();
    for mut front in fronts(&of_location(25), &list, 25) {
        for id in 0..20 {
            let out = front.ask(id, u64::from(id));
            let Some(Action::Refuse { retry_after: Some(wait), .. }) = out.first() else { panic!("{out:?}") };
            waits.push(*wait);
        }
    }
    assert!(waits.iter().all(|w| (250.0..=500.0).contains(w)));
    let most = (0..26).map(|i| 250.0 + 10.0 * f64::from(i));
    let most = most.map(|from| waits.iter().filter(|w| (from..from + 10.0).contains(*w)).count()).max();
    assert!(most < Some(60), "{most:?} of 500 come back within 10 ms");
}

/// Fills that fronts under strain have out at each of two parents, with a hundred misses each.
fn drawn(count: u32) -> [usize; 2] {
    // Many locations, so that their links in are far more than what one parent's link bears.
    let near = Some(count.div_ceil(20)).map_or(1, |n| n.max(1));
    let zone_fronts = vec![0, 0, 0, 0, 0, 0, 0, near];
    let settings = Settings { fronts: Some(count), zone_fronts, ..settings() };
    let list: Vec<Listing> = (1..5).map(cache).chain([parent(101), parent(102), origin(201)]).collect();
    let mut at = [0; 2];
    for mut front in fronts(&settings, &list, count) {
        for id in 5000..5040 {
            front.ask(id, u64::from(id));
            (0..6).for_each(|attempt| drop(front.reply(id, attempt, Outcome::Timeout)));
        }
        front.now += 10_000.0;
        for id in 100..200 {
            front.ask(id, u64::from(id));
            let fill = sent(&front.reply(id, 0, Outcome::Miss));
            for (place, parent) in [101, 102].into_iter().enumerate() {
                at[place] += usize::from(fill.as_ref().is_some_and(|to| to.source == MemberId(parent)));
            }
        }
    }
    at
}

/// After a hub is lost the parents that are left are asked for all: one by a link of ten transfers, by a hundred fronts.
/// Without a bound each front has a window full of fills out, and the parent's link makes all of them late.
#[test]
fn under_strain_all_fronts_draw_on_a_parent_as_far_as_its_link_bears() {
    for count in [1, 3, 100] {
        let at = drawn(count);
        assert!(at.iter().all(|out| (3..=40).contains(out)), "{at:?} fills at parents of {count} fronts");
    }
}

/// Work sent to a cold parent, the only one, by so many fronts that have 20 misses a second together each second.
fn warmed(count: u32, settings: &Settings) -> Vec<Ms> {
    let start = 100_000.0;
    let cold = Listing { weight: 60.0, born: Some(start), ..parent(101) };
    let list = [cache(1), cache(2), cache(3), cold, origin(201)];
    let mut fills = Vec::new();
    for mut front in fronts(settings, &list, count) {
        for id in 0..4000 / count.min(4000) {
            front.now = start + 5000.0 + 4000.0 * f64::from(id) / f64::from(4000 / count.min(4000));
            let to = sent(&front.ask(id, u64::from(id)));
            fills.extend(to.filter(|t| t.source == MemberId(101)).map(|_| front.now));
            front.reply(id, 0, Outcome::Ok);
        }
    }
    fills
}

/// The sum over all fronts stays under what pushes a cold parent over, and is a good part of it, however many they are.
#[test]
fn a_cold_parent_is_warmed_alike_by_one_front_and_by_a_hundred() {
    // At 5 s of 20 it gives 0.325 of 60 transfers; 2 s and twice that, in requests of 100 ms of work.
    let most = 2.0 * 2000.0 * 60.0 * 0.325 / 100.0;
    let numbers = [(1, Some(1)), (3, Some(3)), (100, Some(100)), (1, None)];
    for (count, told) in numbers {
        let fills = warmed(count, &Settings { fronts: told, ..settings() });
        for from in (0..20).map(|i| 105_000.0 + f64::from(i) * 100.0) {
            let asked = fills.iter().filter(|at| (from..from + 2000.0).contains(*at)).count() as f64;
            assert!(asked < most, "{count} fronts: {asked} fills of {most} that push it over");
            assert!(asked > most / 4.0, "{count} fronts: {asked} of {most}: hardly any of it is used");
        }
    }
}
