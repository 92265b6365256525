//! The rules on repeats, cold members, drains and purges, for a single front.

mod common;
use common::*;
use elmtide::*;

#[test]
fn a_request_of_an_unknown_class_gets_its_final_answer_at_once() {
    let mut front = TestFront::new(settings(), member_list());
    let out = front.handle(Event::Request(Request { class: ClassId(9), ..request(1, 1) }));
    assert_eq!(final_answers(&out), 1);
}

#[test]
fn without_members_a_request_is_refused_at_once_with_a_retry_after() {
    let mut front = TestFront::new(settings(), vec![]);
    let out = front.request(1, 1);
    assert!(matches!(out[..], [Action::Refuse { retry_after: Some(t), .. }] if t > 0.0));
}

#[test]
fn every_failing_request_gets_exactly_one_final_answer() {
    let mut front = TestFront::new(settings(), member_list());
    for id in 0..200 {
        let mut answers = final_answers(&front.request(id, u64::from(id)));
        for attempt in 0..8 {
            front.now += 5.0;
            answers += final_answers(&front.reply(id, attempt, Outcome::Error));
        }
        assert_eq!(answers, 1, "request {id}");
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_is_neither_repeated_nor_refused() {
    let settings_of_class = Settings { classes: vec![class_settings(Repeat::Unsafe)], ..settings() };
    let mut front = TestFront::new(settings_of_class.clone(), member_list());
    front.request(1, 1);
    assert!(matches!(front.reply(1, 0, Outcome::Error)[..], [Action::Fail { .. }]));
    front.request(2, 1);
    assert!(first_attempt(&front.reply(2, 0, Outcome::Full)).is_some(), "proven not to have run: sent again");
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_cell_and_window() {
    let keyed = ClassSettings {
        key_scope: KeyScope::Cell,
        key_window: Some(1000.0),
        ..class_settings(Repeat::Keyed)
    };
    for object in 0..50 {
        let mut front =
            TestFront::new(Settings { classes: vec![keyed.clone()], ..settings() }, member_list());
        let first = first_attempt(&front.request(1, object)).unwrap().cache;
        let again = front.reply(1, 0, Outcome::Reset);
        assert_eq!(first_attempt(&again).unwrap().cache.0 % 2, first.0 % 2);
        front.now += 1500.0;
        assert!(matches!(front.reply(1, 1, Outcome::Reset)[..], [Action::Fail { .. }]));
    }
}

/// Without second copies, after an end that only this side observed the server may still be working. A request that may
/// be repeated is refused, so that its client retries; any other fails. After an end that the server reported, another
/// attempt follows.
#[test]
fn without_second_copies_no_attempt_follows_one_that_may_still_run() {
    let only_seen_here = [Outcome::Timeout, Outcome::Cancelled];
    let ended_by_server =
        [Outcome::Full, Outcome::ConnectFailed, Outcome::Moot, Outcome::Reset, Outcome::Error];
    let no_second_copies = Settings { second_copies: false, ..settings() };
    for outcome in only_seen_here {
        let mut front = TestFront::new(no_second_copies.clone(), member_list());
        front.request(1, 1);
        assert!(matches!(front.reply(1, 0, outcome)[..], [Action::Refuse { .. }]), "{outcome:?}");
        let unsafe_class =
            Settings { classes: vec![class_settings(Repeat::Unsafe)], ..no_second_copies.clone() };
        let mut front = TestFront::new(unsafe_class, member_list());
        front.request(1, 1);
        assert!(matches!(front.reply(1, 0, outcome)[..], [Action::Fail { .. }]), "{outcome:?}");
        let mut front = TestFront::new(settings(), member_list());
        front.request(1, 1);
        assert!(first_attempt(&front.reply(1, 0, outcome)).is_some(), "{outcome:?}, with second copies");
    }
    for outcome in ended_by_server {
        let mut front = TestFront::new(no_second_copies.clone(), member_list());
        front.request(1, 1);
        assert!(first_attempt(&front.reply(1, 0, outcome)).is_some(), "{outcome:?}");
    }
    // The same holds if an earlier attempt was ended by the server.
    let mut front = TestFront::new(no_second_copies, member_list());
    front.request(1, 1);
    assert!(first_attempt(&front.reply(1, 0, Outcome::Error)).is_some());
    assert!(matches!(front.reply(1, 1, Outcome::Timeout)[..], [Action::Refuse { .. }]));
}

#[test]
fn without_second_copies_no_two_attempts_are_in_flight() {
    let mut front = TestFront::new(Settings { second_copies: false, ..settings() }, member_list());
    let out = front.request(1, 1);
    let Some(Action::SetTimer { delay, token }) = out.last().cloned() else { panic!() };
    for _ in 0..20 {
        front.now += delay / 10.0;
        assert!(first_attempt(&front.handle(Event::Timer { token })).is_none());
    }
}

#[test]
fn a_draining_member_gets_no_new_work_as_cache_or_source() {
    let mut list = member_list();
    let mut front = TestFront::new(settings(), list.clone());
    list[0].availability = Availability::Draining;
    list[4].availability = Availability::Gone;
    front.handle(Event::List { update: ListUpdate::Delta, entries: vec![list[0], list[4]] });
    for object in 0..300 {
        let to = first_attempt(&front.request(object, u64::from(object))).unwrap();
        front.reply(object, 0, Outcome::Ok);
        assert!(to.cache != MemberId(1) && to.source != MemberId(101) && to.source != MemberId(1));
    }
    // A member that is missing from a complete list is removed.
    front.handle(Event::List { update: ListUpdate::Full, entries: member_list()[2..].to_vec() });
    for object in 300..600 {
        assert!(first_attempt(&front.request(object, u64::from(object))).unwrap().cache.0 > 2);
        front.reply(object, 0, Outcome::Ok);
    }
}

#[test]
fn a_cold_cache_gets_no_more_than_its_budget() {
    let mut list = member_list();
    let mut front = TestFront::new(settings(), list.clone());
    front.now += 10_000.0;
    for (place, cold) in list.iter_mut().take(4).enumerate() {
        cold.started_at = Some(front.now - place as f64);
    }
    front.handle(Event::List { update: ListUpdate::Delta, entries: list[..4].to_vec() });
    let mut work = std::collections::BTreeMap::new();
    for id in 0..4000 {
        front.now += 0.5;
        if let Some(to) = first_attempt(&front.request(id, u64::from(id))) {
            *work.entry(to.cache).or_insert(0.0) += 100.0;
        }
    }
    for (cache, work) in work {
        // At most 2 s at 3 times about 0.3 of 10 transfers.
        assert!(work <= 3.0 * 0.3 * 10.0 * 2000.0, "{cache:?} got {work}");
    }
}

#[test]
fn a_restarted_front_sends_a_cold_member_nothing_for_one_overload_window() {
    let mut list = member_list();
    list[0].started_at = Some(99_000.0);
    let mut router = Router::new(settings(), 1, 100_000.0, &mut Vec::new());
    let mut out = Vec::new();
    router.handle(100_000.0, Event::List { update: ListUpdate::Cached, entries: list }, &mut out);
    for id in 0..300 {
        router.handle(101_000.0, Event::Request(request(id, u64::from(id))), &mut out);
    }
    assert!(out.iter().any(|a| matches!(a, Action::Serve { .. })));
    assert!(!out.iter().any(|a| matches!(a, Action::Serve { cache, .. } if *cache == MemberId(1))));
}

#[test]
fn copies_older_than_a_purge_of_the_object_or_its_group_are_not_accepted() {
    for object in [Some(ObjectId(5)), None] {
        let mut front = TestFront::new(settings(), member_list());
        front.handle(Event::Purged { object, group: PurgeGroup(3), ago: 200.0 });
        for (id, wait) in [(1, 0.0), (2, 600.0), (3, 5000.0)] {
            front.now += wait;
            let made = 100_000.0 - 200.0;
            for part in 0..3 {
                let id = id * 10 + part;
                let out = front.handle(Event::Request(Request { part, ..request(id, 5) }));
                let age = first_attempt(&out).unwrap().max_age.expect("there is a maximum age");
                assert!(age > 0.0 && age <= front.now - made);
                front.reply(id, 0, Outcome::Ok);
            }
        }
        front.now += 60_000.0;
        assert_eq!(
            first_attempt(&front.request(99, 5)).unwrap().max_age,
            None,
            "the purge is forgotten after its retention"
        );
    }
}

/// The event bus names a purged object without its group; the request names both.
#[test]
fn a_purge_of_an_object_applies_whichever_group_the_request_names() {
    let mut front = TestFront::new(settings(), member_list());
    let purge = Event::Purged { object: Some(ObjectId(7)), group: PurgeGroup(0), ago: 100.0 };
    front.handle(purge);
    assert!(first_attempt(&front.request(1, 7)).unwrap().max_age.is_some_and(|age| age < 100.0));
    assert_eq!(first_attempt(&front.request(2, 8)).unwrap().max_age, None, "another object of the group");
}
