//! One test for each failure found.

mod common;
use common::*;
use elmtide::*;

#[test]
fn a_failing_cache_is_ejected_and_readmitted_after_it_recovers() {
    let mut front = TestFront::new(settings(), member_list());
    let mut id = 0;
    let mut send_requests = |front: &mut TestFront, failing: bool, n: u32| {
        let mut received = 0;
        for _ in 0..n {
            (id, front.now) = (id + 1, front.now + 10.0);
            let Some(to) = first_attempt(&front.request(id, u64::from(id))) else { continue };
            let bad = failing && to.cache == MemberId(2);
            received += u32::from(to.cache == MemberId(2));
            let next = front.reply(id, 0, if bad { Outcome::Error } else { Outcome::Ok });
            if first_attempt(&next).is_some() {
                front.reply(id, 1, Outcome::Ok);
            }
        }
        received
    };
    assert!(send_requests(&mut front, false, 400) > 50);
    send_requests(&mut front, true, 200);
    let while_broken = send_requests(&mut front, true, 400);
    assert!(while_broken < 20, "{while_broken} requests to a cache that fails all of them");
    send_requests(&mut front, false, 1500);
    assert!(send_requests(&mut front, false, 400) > 50, "not readmitted");
}

#[test]
fn failures_of_a_broken_fill_source_eject_the_source_and_not_the_caches() {
    let mut front = TestFront::new(settings(), member_list());
    let mut used = [0; 2];
    for id in 0..1200 {
        front.now += 10.0;
        let Some(to) = first_attempt(&front.request(id, u64::from(id))) else { continue };
        used[usize::from(id >= 600)] += u32::from(to.source == MemberId(101));
        let bad = to.source == MemberId(101);
        if first_attempt(&front.reply(id, 0, if bad { Outcome::Error } else { Outcome::Ok })).is_some() {
            front.reply(id, 1, Outcome::Ok);
        }
    }
    assert!(used[1] * 4 < used[0].max(60), "{used:?}");
}

#[test]
fn if_every_attempt_fails_no_member_is_ejected_and_retries_are_bounded() {
    let mut front = TestFront::new(settings(), member_list());
    let mut sends = 0;
    for id in 0..1000 {
        front.now += 10.0;
        let mut out = front.request(id, u64::from(id));
        let mut attempt = 0;
        while first_attempt(&out).is_some() {
            sends += 1;
            out = front.reply(id, attempt, Outcome::Error);
            attempt += 1;
        }
    }
    assert!(sends < 1400, "{sends} attempts for 1000 requests");
}

#[test]
fn under_the_link_guard_the_cache_then_its_parent_are_asked_only_for_held_copies() {
    let mut front = TestFront::new(settings(), member_list());
    start_link_guard(&mut front);
    let lookup = first_attempt(&front.request(100, 7)).unwrap();
    assert!(lookup.source == lookup.cache, "a lookup at the cache fills nothing");
    let parent = first_attempt(&front.reply(100, 0, Outcome::Miss)).expect("a miss is sent to the parent");
    assert!(parent.mode.source_holds_only && parent.cache == lookup.cache);
    let last =
        first_attempt(&front.reply(100, 1, Outcome::Miss)).expect("a second miss is sent to the origin");
    assert!(!last.mode.source_holds_only && last.source == parent.source);
}

/// Total of fills that fronts of one zone, all under the link guard, send for 40 misses each.
fn fills_under_link_guard(fronts: u32) -> usize {
    let settings_of_many = Settings {
        fronts: Some(fronts),
        zone_fronts: vec![0, 0, 0, 0, 0, 0, 0, fronts],
        zone_link_kb_per_s: vec![0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 60_000.0],
        ..settings()
    };
    let mut fills = 0;
    for seed in 0..fronts {
        let mut front = TestFront::new(settings_of_many.clone(), member_list());
        front.router = Router::new(settings_of_many.clone(), u64::from(seed), 0.0, &mut Vec::new());
        front.handle(Event::List { update: ListUpdate::Cached, entries: member_list() });
        start_link_guard(&mut front);
        for id in 100..140 {
            if first_attempt(&front.request(id, u64::from(id))).is_some() {
                fills += usize::from(first_attempt(&front.reply(id, 0, Outcome::Miss)).is_some());
            }
        }
    }
    fills
}

#[test]
fn under_the_link_guard_the_total_of_fills_has_the_same_bound_for_few_and_many_fronts() {
    let (few, many) = (fills_under_link_guard(3), fills_under_link_guard(60));
    assert!((20..=80).contains(&few), "{few} fills from 3 fronts");
    assert!((20..=100).contains(&many), "{many} fills from 60 fronts");
}

#[test]
fn after_a_table_change_the_former_owner_is_the_first_source() {
    let mut front = TestFront::new(settings(), member_list());
    let before: Vec<_> = (0..300)
        .map(|id| {
            let to = first_attempt(&front.request(id, u64::from(id))).unwrap().cache;
            front.reply(id, 0, Outcome::Ok);
            to
        })
        .collect();
    front.handle(Event::List { update: ListUpdate::Delta, entries: vec![cache(5)] });
    let mut moved = 0;
    for id in 0..300 {
        let to = first_attempt(&front.request(1000 + id, u64::from(id))).unwrap();
        front.reply(1000 + id, 0, Outcome::Ok);
        if to.cache != before[id as usize] {
            moved += 1;
            assert!(to.source == before[id as usize] && to.mode.source_holds_only);
        }
    }
    assert!(moved > 20);
}

#[test]
fn invalid_events_and_numbers_cause_no_panic() {
    let invalid = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 0.0, 1e300];
    for x in invalid {
        let mut config = settings();
        (config.transfer_kb_per_s, config.overload_window, config.cold_duration, config.purge_duration) =
            (Some(x), Some(x), Some(x), Some(x));
        (config.classes[0].target_latency, config.classes[0].target_stretch, config.classes[0].fresh_for) =
            (x, Some(x), Some(x));
        let list =
            member_list().into_iter().map(|l| Listing { weight: x, started_at: Some(x), ..l }).collect();
        let mut front = TestFront::new(config, list);
        front.handle(Event::Purged { object: None, group: PurgeGroup(3), ago: x });
        for id in 0..50 {
            let asked = Request { time_left: x, size_kb: Some(x), ..request(id, 1) };
            let out = front.handle(Event::Request(asked));
            assert!(out.iter().all(|a| !matches!(a, Action::Serve { timeout, .. } if timeout.is_nan())));
            front.handle(Event::Reply {
                id: RequestId(id),
                attempt: Try(0),
                outcome: Outcome::Ok,
                latency: x,
                settled: true,
                note: Note::Absent,
            });
        }
        front.handle(Event::Timer { token: Token(12345) });
        front.handle(Event::Expired { id: RequestId(77) });
        front.reply(88, 3, Outcome::Reset);
    }
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut front = TestFront::new(settings(), member_list());
        let mut all = Vec::new();
        for id in 0..500 {
            front.now += 3.0;
            all.extend(front.request(id, u64::from(id % 40)));
            let outcome = if id % 9 == 0 { Outcome::Full } else { Outcome::Ok };
            all.extend(front.reply(id, 0, outcome));
        }
        all
    };
    assert_eq!(run(), run());
}

/// Fails enough requests to start the link guard, and waits until no member is ejected.
fn start_link_guard(front: &mut TestFront) {
    for id in 5000..5060 {
        front.request(id, u64::from(id));
        (0..7).for_each(|attempt| drop(front.reply(id, attempt, Outcome::Timeout)));
    }
    front.now += 10_000.0;
}

/// Clients can send hundreds of requests that every cache answers with an error. They must end soon, count against no
/// member and not be taken for an overload of the origin.
#[test]
fn requests_that_fail_at_every_cache_cost_few_attempts_and_start_no_guard() {
    let mut front = TestFront::new(settings(), member_list());
    let mut sends = 0;
    for id in 0..600 {
        front.now += 10.0;
        let mut out = front.request(id, u64::from(id));
        for attempt in 0.. {
            if first_attempt(&out).is_none() {
                let tried = if attempt == 1 { "with no retry left" } else { "after two caches" };
                let refused = matches!(out[..], [Action::Refuse { .. }]);
                assert!(attempt <= 2 && refused == (attempt == 1), "request {id} {tried}: {out:?}");
                break;
            }
            sends += 1;
            out = front.reply(id, attempt, if id % 3 == 0 { Outcome::Ok } else { Outcome::Error });
            if id % 3 == 0 {
                break;
            }
        }
    }
    assert!((610..=800).contains(&sends), "{sends} attempts for 400 such requests and 200 others");
    let next = first_attempt(&front.request(1000, 7)).unwrap();
    assert!(next.source != next.cache, "no guard: a miss is filled at once");
    // Broken connections are not evidence against the origin either.
    (2000..2060).for_each(|id| {
        front.request(id, u64::from(id));
        (0..7).for_each(|attempt| drop(front.reply(id, attempt, Outcome::Reset)));
    });
    front.now += 10_000.0;
    let next = first_attempt(&front.request(3000, 7)).unwrap();
    assert!(next.source != next.cache, "no guard");
}

/// A lost parent fails dozens of requests that were on their way to it, and fails them late. This must start no guard,
/// which would limit fills through the other parent.
#[test]
fn the_loss_of_one_parent_starts_no_guard_for_the_other() {
    let mut front = TestFront::new(settings(), member_list());
    let lost = |id: u32, attempt: u8| {
        let (id, attempt, note) = (RequestId(id), Try(attempt), Note::SourceLost);
        let (outcome, latency, settled) = (Outcome::Full, 800.0, false);
        Event::Reply { id, attempt, outcome, latency, settled, note }
    };
    // Requests in flight to the parent when it is lost; they fail within a second.
    let doomed: Vec<u32> = (0..120)
        .filter(|id| {
            first_attempt(&front.request(*id, u64::from(*id))).is_some_and(|to| to.source == MemberId(101))
        })
        .collect();
    front.now += 800.0;
    for id in doomed {
        front.now += 5.0;
        front.handle(lost(id, 0));
    }
    let next = first_attempt(&front.request(1000, 7)).unwrap();
    assert!(
        next.source == MemberId(102) && next.source != next.cache,
        "the other parent fills a miss at once"
    );
}

#[test]
fn under_the_link_guard_a_write_is_not_looked_up_at_a_parent_that_cannot_hold_it() {
    let mut front = TestFront::new(settings(), member_list());
    start_link_guard(&mut front);
    let out = front.handle(Event::Request(Request { write: true, ..request(1, 7) }));
    assert!(!first_attempt(&out).unwrap().mode.source_holds_only);
}

#[test]
fn requests_follow_the_caches_of_a_zone_down_to_one_to_none_and_back() {
    let mut front = TestFront::new(settings(), member_list());
    let gone = |id| Listing { availability: Availability::Gone, ..cache(id) };
    front.handle(Event::List { update: ListUpdate::Delta, entries: vec![gone(1), gone(2), gone(3)] });
    assert_eq!(first_attempt(&front.request(1, 1)).unwrap().cache, MemberId(4));
    front.handle(Event::List { update: ListUpdate::Delta, entries: vec![gone(4)] });
    assert_eq!(final_answers(&front.request(2, 1)), 1);
    front.handle(Event::List { update: ListUpdate::Delta, entries: vec![cache(2)] });
    assert_eq!(first_attempt(&front.request(3, 1)).unwrap().cache, MemberId(2));
}

#[test]
fn without_parents_the_origin_fills_and_without_an_origin_only_held_copies_are_served() {
    let all = member_list();
    let mut front = TestFront::new(settings(), [&all[..4], &all[6..]].concat());
    assert_eq!(first_attempt(&front.request(1, 1)).unwrap().source, MemberId(201));
    let mut front = TestFront::new(settings(), all[..4].to_vec());
    let to = first_attempt(&front.request(1, 1)).unwrap();
    assert_eq!(to.source, to.cache);
}

#[test]
fn fills_through_a_cold_parent_stay_within_its_budget() {
    let mut list = member_list();
    let mut front = TestFront::new(settings(), list.clone());
    front.now += 10_000.0;
    list[4].started_at = Some(front.now);
    front.handle(Event::List { update: ListUpdate::Delta, entries: vec![list[4]] });
    let mut work = 0.0;
    for id in 0..4000 {
        front.now += 0.5;
        if first_attempt(&front.request(id, u64::from(id))).is_some_and(|to| to.source == MemberId(101)) {
            work += 100.0;
        }
        front.reply(id, 0, Outcome::Ok);
    }
    // At most 2 s at 2 times about 0.2 of 10 transfers, shared by two fronts.
    assert!(work > 0.0 && work <= 2.0 * 0.2 * 10.0 * 2000.0 / 2.0, "{work}");
}

#[test]
fn under_overload_large_requests_are_refused_before_small_ones() {
    let mut front = TestFront::new(settings(), member_list());
    let mut refused = [0, 0];
    for id in 0..600 {
        let size_kb = Some(if id % 2 == 0 { 2000.0 } else { 50.0 });
        let asked = Request { size_kb, ..request(id, u64::from(id)) };
        refused[(id % 2) as usize] += final_answers(&front.handle(Event::Request(asked)));
    }
    assert!(refused[0] > refused[1] + 50, "{refused:?}");
}

#[test]
fn without_sizes_a_class_with_fast_answers_is_not_treated_as_large() {
    let mut accepted = [0, 0];
    for (learned, accepted) in accepted.iter_mut().enumerate() {
        let mut front = TestFront::new(Settings { transfer_kb_per_s: None, ..settings() }, member_list());
        let ask = |front: &mut TestFront, id: u32| {
            let asked = Request { size_kb: None, ..request(id, u64::from(id)) };
            first_attempt(&front.handle(Event::Request(asked))).is_some()
        };
        for id in 0..if learned == 1 { 400 } else { 0 } {
            front.now += 50.0;
            ask(&mut front, id);
            front.reply(id, 0, Outcome::Ok);
        }
        *accepted = (1000..1400).filter(|id| ask(&mut front, *id)).count();
    }
    assert!(accepted[1] > accepted[0] + 20, "{accepted:?}");
}

#[test]
fn the_decision_module_stays_within_its_line_limits() {
    let text = include_str!("../src/logic.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 940, "{lines} lines that are not blank");
    for (place, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too long", place + 1);
    }
    assert!(text.lines().take(3).any(|l| l.contains("src/interface.rs")));
}

#[test]
fn requests_for_a_hot_object_are_refused_once_its_caches_are_full() {
    let mut front = TestFront::new(settings(), member_list());
    let sends = (1..=1000).filter(|id| first_attempt(&front.request(*id, 7)).is_some()).count();
    // Three caches of ten fair transfers each; an answer on time permits at most four times that.
    assert!((30..=120).contains(&sends), "{sends} of 1000 requests for one object were sent");
}

#[test]
fn two_hundred_fronts_together_warm_a_cold_parent_without_overloading_it() {
    let (fronts, start) = (200, 100_000.0);
    let cold = Listing { weight: 60.0, started_at: Some(start), ..parent(101) };
    let settings_of_many = Settings { fronts: Some(fronts), ..settings() };
    let mut fills = Vec::new();
    for seed in 0..u64::from(fronts) {
        let mut front = TestFront::new(settings_of_many.clone(), member_list());
        front.router = Router::new(settings_of_many.clone(), seed * 7919, 0.0, &mut Vec::new());
        // The only parent is cold, so it gets all objects.
        let list = vec![cache(1), cache(2), cache(3), cold, origin(201)];
        front.handle(Event::List { update: ListUpdate::Cached, entries: list });
        for id in 0..200 {
            front.now = start + 5000.0 + f64::from(id) * 20.0;
            let to = first_attempt(&front.request(id, u64::from(id)));
            fills.extend(to.filter(|t| t.source == MemberId(101)).map(|_| front.now));
            front.reply(id, 0, Outcome::Ok);
        }
    }
    // After 5 s of 20 its capacity is a third of 60 transfers; in 2 s, twice that is 2 x 2000 x 60 x 0.325 ms of work.
    let most = 2.0 * 2000.0 * 60.0 * 0.325 / 100.0;
    for from in (0..20).map(|i| start + 5000.0 + f64::from(i) * 100.0) {
        let asked = fills.iter().filter(|at| (from..from + 2000.0).contains(*at)).count() as f64;
        assert!(asked < most, "{asked} fills, and {most} overload it");
        assert!(asked > most / 8.0, "{asked} fills of {most}: it is not warmed");
    }
}

/// Three of five parents are at a hub that is lost, so requests to them fail late. A front of many sees only a few of
/// these failures. It must eject all three and not take the failures for an overload of the remaining paths.
#[test]
fn all_parents_of_a_lost_hub_are_ejected_and_no_guard_starts() {
    let list: Vec<Listing> = (1..5).map(cache).chain((101..106).map(parent)).chain([origin(201)]).collect();
    let mut front = TestFront::new(settings(), list);
    let lost = |id: MemberId| (101..104).contains(&id.0);
    let mut late_requests = 0;
    for id in 0..160 {
        front.now += 10.0;
        let Some(to) = first_attempt(&front.request(id, u64::from(id))) else { continue };
        if lost(to.source) {
            late_requests += u32::from(id >= 80);
            let id = RequestId(id);
            let (outcome, latency, note) = (Outcome::Full, 900.0, Note::SourceLost);
            front.handle(Event::Reply { id, attempt: Try(0), outcome, latency, settled: false, note });
        } else {
            front.reply(id, 0, Outcome::Ok);
        }
    }
    assert!(late_requests == 0, "{late_requests} of the last 80 requests still went to the lost hub");
    let next = (1000..1040).filter_map(|id| first_attempt(&front.request(id, u64::from(id))));
    assert!(next.filter(|to| to.source == to.cache).count() == 0, "the link guard is active");
}

/// Writes are few and valuable, run at the origin and leave no copy, so the fill window does not limit them.
#[test]
fn under_the_link_guard_a_write_is_not_held_back_by_the_fill_window() {
    let write = ClassSettings { write: true, ..class_settings(Repeat::Unsafe) };
    let settings_of_many =
        Settings { classes: vec![class_settings(Repeat::Safe), write], fronts: Some(100), ..settings() };
    let mut front = TestFront::new(settings_of_many, member_list());
    start_link_guard(&mut front);
    for id in 100..130 {
        let class = ClassId(1);
        let out = front.handle(Event::Request(Request { class, ..request(id, u64::from(id)) }));
        assert!(first_attempt(&out).is_some(), "write {id}: {out:?}");
    }
}
