//! The five rules, each front alone.

mod common;
use common::*;
use elmtide::*;

#[test]
fn an_unknown_class_is_answered_at_once() {
    let mut front = Front::new(settings(), fleet());
    let out = front.tell(Event::Request(Request { class: ClassId(9), ..request(1, 1) }));
    assert_eq!(finals(&out), 1);
}

#[test]
fn nobody_to_send_to_is_a_prompt_refusal_with_a_retry_after() {
    let mut front = Front::new(settings(), vec![]);
    let out = front.ask(1, 1);
    assert!(matches!(out[..], [Action::Refuse { retry_after: Some(t), .. }] if t > 0.0));
}

#[test]
fn every_failing_request_gets_exactly_one_final_answer() {
    let mut front = Front::new(settings(), fleet());
    for id in 0..200 {
        let mut answers = finals(&front.ask(id, u64::from(id)));
        for attempt in 0..8 {
            front.now += 5.0;
            answers += finals(&front.reply(id, attempt, Outcome::Error));
        }
        assert_eq!(answers, 1, "request {id}");
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_is_neither_repeated_nor_refused() {
    let set = Settings { classes: vec![class(Repeat::Unsafe)], ..settings() };
    let mut front = Front::new(set.clone(), fleet());
    front.ask(1, 1);
    assert!(matches!(front.reply(1, 0, Outcome::Error)[..], [Action::Fail { .. }]));
    front.ask(2, 1);
    assert!(sent(&front.reply(2, 0, Outcome::Full)).is_some(), "proven not to have run: sent again");
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_cell_and_window() {
    let keyed = ClassSettings { key_scope: KeyScope::Cell, key_window: Some(1000.0), ..class(Repeat::Keyed) };
    for object in 0..50 {
        let mut front = Front::new(Settings { classes: vec![keyed.clone()], ..settings() }, fleet());
        let first = sent(&front.ask(1, object)).unwrap().cache;
        let again = front.reply(1, 0, Outcome::Reset);
        assert_eq!(sent(&again).unwrap().cache.0 % 2, first.0 % 2);
        front.now += 1500.0;
        assert!(matches!(front.reply(1, 1, Outcome::Reset)[..], [Action::Fail { .. }]));
    }
}

/// Where second copies are not allowed, an end that only this side has seen is none at the server: what may be repeated is
/// refused, so that its client tries again; what may not fails. An end that the server has told is followed by another attempt.
#[test]
fn no_attempt_follows_one_that_may_still_run_where_second_copies_are_not_allowed() {
    let only_seen_here = [Outcome::Timeout, Outcome::Cancelled];
    let told = [Outcome::Full, Outcome::ConnectFailed, Outcome::Moot, Outcome::Reset, Outcome::Error];
    let alone = Settings { second_copies: false, ..settings() };
    for outcome in only_seen_here {
        let mut front = Front::new(alone.clone(), fleet());
        front.ask(1, 1);
        assert!(matches!(front.reply(1, 0, outcome)[..], [Action::Refuse { .. }]), "{outcome:?}");
        let unsafe_class = Settings { classes: vec![class(Repeat::Unsafe)], ..alone.clone() };
        let mut front = Front::new(unsafe_class, fleet());
        front.ask(1, 1);
        assert!(matches!(front.reply(1, 0, outcome)[..], [Action::Fail { .. }]), "{outcome:?}");
        let mut front = Front::new(settings(), fleet());
        front.ask(1, 1);
        assert!(sent(&front.reply(1, 0, outcome)).is_some(), "{outcome:?}, where they are allowed");
    }
    for outcome in told {
        let mut front = Front::new(alone.clone(), fleet());
        front.ask(1, 1);
        assert!(sent(&front.reply(1, 0, outcome)).is_some(), "{outcome:?}");
    }
    // Nor later, when another attempt before it has been told.
    let mut front = Front::new(alone, fleet());
    front.ask(1, 1);
    assert!(sent(&front.reply(1, 0, Outcome::Error)).is_some());
    assert!(matches!(front.reply(1, 1, Outcome::Timeout)[..], [Action::Refuse { .. }]));
}

#[test]
fn never_two_attempts_out_where_second_copies_are_not_allowed() {
    let mut front = Front::new(Settings { second_copies: false, ..settings() }, fleet());
    let out = front.ask(1, 1);
    let Some(Action::SetTimer { delay, token }) = out.last().cloned() else { panic!() };
    for _ in 0..20 {
        front.now += delay / 10.0;
        assert!(sent(&front.tell(Event::Timer { token })).is_none());
    }
}

#[test]
fn a_draining_member_gets_nothing_new_as_cache_or_source() {
    let mut list = fleet();
    let mut front = Front::new(settings(), list.clone());
    list[0].availability = Availability::Draining;
    list[4].availability = Availability::Gone;
    front.tell(Event::List { news: ListNews::Delta, entries: vec![list[0], list[4]] });
    for object in 0..300 {
        let to = sent(&front.ask(object, u64::from(object))).unwrap();
        front.reply(object, 0, Outcome::Ok);
        assert!(to.cache != MemberId(1) && to.source != MemberId(101) && to.source != MemberId(1));
    }
    // Missing from a whole list means removed.
    front.tell(Event::List { news: ListNews::Full, entries: fleet()[2..].to_vec() });
    for object in 300..600 {
        assert!(sent(&front.ask(object, u64::from(object))).unwrap().cache.0 > 2);
        front.reply(object, 0, Outcome::Ok);
    }
}

#[test]
fn a_cold_cache_gets_no_more_than_its_budget() {
    let mut list = fleet();
    let mut front = Front::new(settings(), list.clone());
    front.now += 10_000.0;
    for (place, cold) in list.iter_mut().take(4).enumerate() {
        cold.born = Some(front.now - place as f64);
    }
    front.tell(Event::List { news: ListNews::Delta, entries: list[..4].to_vec() });
    let mut work = std::collections::BTreeMap::new();
    for id in 0..4000 {
        front.now += 0.5;
        if let Some(to) = sent(&front.ask(id, u64::from(id))) {
            *work.entry(to.cache).or_insert(0.0) += 100.0;
        }
    }
    for (cache, work) in work {
        // 2 s at 3 times about 0.3 of 10 transfers at the most.
        assert!(work <= 3.0 * 0.3 * 10.0 * 2000.0, "{cache:?} got {work}");
    }
}

#[test]
fn a_restarted_front_sends_a_cold_member_nothing_for_one_fall_span() {
    let mut list = fleet();
    list[0].born = Some(99_000.0);
    let mut router = Router::new(settings(), 1, 100_000.0, &mut Vec::new());
    let mut out = Vec::new();
    router.handle(100_000.0, Event::List { news: ListNews::Cached, entries: list }, &mut out);
    for id in 0..300 {
        router.handle(101_000.0, Event::Request(request(id, u64::from(id))), &mut out);
    }
    assert!(out.iter().any(|a| matches!(a, Action::Serve { .. })));
    assert!(!out.iter().any(|a| matches!(a, Action::Serve { cache, .. } if *cache == MemberId(1))));
}

#[test]
fn no_copy_older_than_a_purge_of_the_object_or_of_its_group() {
    for object in [Some(ObjectId(5)), None] {
        let mut front = Front::new(settings(), fleet());
        front.tell(Event::Purged { object, group: PurgeGroup(3), ago: 200.0 });
        for (id, wait) in [(1, 0.0), (2, 600.0), (3, 5000.0)] {
            front.now += wait;
            let made = 100_000.0 - 200.0;
            for part in 0..3 {
                let id = id * 10 + part;
                let out = front.tell(Event::Request(Request { part, ..request(id, 5) }));
                let age = sent(&out).unwrap().max_age.expect("an age is named");
                assert!(age > 0.0 && age <= front.now - made);
                front.reply(id, 0, Outcome::Ok);
            }
        }
        front.now += 60_000.0;
        assert_eq!(sent(&front.ask(99, 5)).unwrap().max_age, None, "the ledger lets go");
    }
}

/// The event bus names a purged object without its group; the request names both.
#[test]
fn a_purge_of_an_object_holds_whatever_group_the_request_names() {
    let mut front = Front::new(settings(), fleet());
    let purge = Event::Purged { object: Some(ObjectId(7)), group: PurgeGroup(0), ago: 100.0 };
    front.tell(purge);
    assert!(sent(&front.ask(1, 7)).unwrap().max_age.is_some_and(|age| age < 100.0));
    assert_eq!(sent(&front.ask(2, 8)).unwrap().max_age, None, "another object of the group");
}
