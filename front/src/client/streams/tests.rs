//! Both orders of every crossing on a connection to a cache node, as values: what no stand-in can force from outside.

use std::time::{Duration, Instant};

use elmtide::{MemberId, RequestId, Try};

use super::*;

const IDLE: Duration = Duration::from_secs(18);
const STALE: Duration = Duration::from_millis(700);

fn key(attempt: u8) -> AttemptKey {
    AttemptKey { id: RequestId(7), attempt: Try(attempt) }
}

fn tag(text: &str) -> Token {
    Token::new(text.as_bytes()).expect("a token")
}

fn opening(tag: &Token, attempt: u8) -> Opening<'_> {
    Opening {
        tag,
        purpose: Purpose::Attempt(key(attempt)),
        room: Room { streams: 4, alone: false },
        tally: None,
        write_by: None,
        guarded: false,
        members: [Some(MemberId(1)), Some(MemberId(2))],
    }
}

fn streams() -> (Streams, Instant) {
    let now = Instant::now();
    (Streams::new(QUIET.0, STALE, now), now)
}

fn is_written(admitted: &Admitted) -> bool {
    matches!(admitted, Admitted::Yes(_))
}

/// The client leaves, or half its time is over, in the instant in which the request is handed to the writer. Either it
/// is taken back and never written, or it is written and not taken back.
#[test]
fn what_is_taken_back_is_not_written_and_what_is_written_is_not_taken_back() {
    let job = tag("a");
    let (mut s, now) = streams();
    let turn = s.open(&opening(&job, 0), now);
    assert!(!s.may_have_run(&job, key(0)));
    assert!(s.withdraw(&job, key(0)));
    assert!(!is_written(&s.admit(&job, Some(turn), now)), "taken back first");

    let (mut s, now) = streams();
    let turn = s.open(&opening(&job, 0), now);
    assert!(is_written(&s.admit(&job, Some(turn), now)));
    assert!(!s.withdraw(&job, key(0)), "written first");
    assert!(s.may_have_run(&job, key(0)));
    assert_eq!(s.give_up(&job, key(0), now), Some(Progress::FullyWritten));
}

/// The bytes of an attempt that was taken back still lie in the writer's queue when the next one of the same request
/// comes to the same connection: only that one's are written, and once.
#[test]
fn the_bytes_of_an_attempt_taken_back_are_not_written_for_the_next_one() {
    let job = tag("a");
    let (mut s, now) = streams();
    let first = s.open(&opening(&job, 0), now);
    assert_eq!(s.give_up(&job, key(0), now), Some(Progress::NotConnected));
    let second = s.open(&opening(&job, 1), now);
    assert_ne!(first, second);
    let written = [first, second].map(|turn| is_written(&s.admit(&job, Some(turn), now)));
    assert_eq!(written, [false, true]);
    assert!(!s.withdraw(&job, key(0)), "nor is the second taken back for the first");
}

/// A node turns a request away and says so a second time some milliseconds late: the second word must not be taken for
/// the answer to the next attempt, which may be running.
#[test]
fn a_second_answer_is_not_taken_for_the_answer_to_the_next_attempt() {
    let job = tag("a");
    let guarded = |attempt| Opening { guarded: true, ..opening(&job, attempt) };
    let (mut s, now) = streams();
    let turn = s.open(&guarded(0), now);
    s.admit(&job, Some(turn), now);
    s.answer_begins(&job);
    assert_eq!(s.answer_ends(&job, now).map(|slot| slot.purpose), Some(Purpose::Attempt(key(0))));
    assert!(!s.accepts(&guarded(1)), "it goes on another connection");
    assert!(s.accepts(&opening(&job, 1)), "what may simply be repeated stays");
    s.answer_begins(&job);
    assert!(s.answer_ends(&job, now).is_none(), "the second answer is nobody's");
    for n in 0..10 * ANSWERED {
        let other = tag(&format!("j{n}"));
        let turn = s.open(&Opening { guarded: true, ..opening(&other, 0) }, now);
        s.admit(&other, Some(turn), now);
        s.answer_ends(&other, now);
    }
    assert!(s.answered.len() <= ANSWERED, "bounded");
}

/// A node begins to drain, or a source does, while requests for it wait for a connection.
#[test]
fn what_waits_for_a_node_or_a_source_that_is_lost_is_taken_back_and_nothing_else() {
    let (served, filled, other, out) = (tag("a"), tag("b"), tag("c"), tag("d"));
    let (mut s, now) = streams();
    let turn = s.open(&opening(&out, 3), now);
    s.admit(&out, Some(turn), now);
    s.open(&Opening { members: [Some(MemberId(9)), None], ..opening(&served, 0) }, now);
    s.open(&Opening { members: [Some(MemberId(1)), Some(MemberId(9))], ..opening(&filled, 1) }, now);
    s.open(&opening(&other, 2), now);
    let mut back = s.withdraw_from(&|member| member == MemberId(9));
    back.sort_by_key(|key| key.attempt.0);
    assert_eq!(back, [key(0), key(1)]);
    assert_eq!(s.withdraw_from(&|_| true), [key(2)], "what is written is not had back");
}

/// A repeat decided just before a node's memory of the first attempt ends waits for its connection: it is not written
/// after that.
#[test]
fn a_repeat_is_not_written_after_the_window_for_repeats() {
    let job = tag("a");
    for (late, written) in [(Duration::ZERO, true), (Duration::from_millis(101), false)] {
        let (mut s, now) = streams();
        let by = Some(now + Duration::from_millis(100));
        let turn = s.open(&Opening { write_by: by, ..opening(&job, 1) }, now);
        let admitted = s.admit(&job, Some(turn), now + late);
        assert_eq!(is_written(&admitted), written, "{late:?}: {admitted:?}");
    }
    let (mut s, now) = streams();
    let turn = s.open(&opening(&job, 1), now);
    let stale = s.admit(&job, Some(turn), now + STALE + Duration::from_millis(1));
    assert!(matches!(stale, Admitted::Overdue(Purpose::Attempt(k)) if k == key(1)), "{stale:?}");
}

/// A line that comes byte by byte and does not end keeps nothing open on its connection for long.
#[test]
fn a_line_that_does_not_end_ends_its_connection() {
    let job = tag("a");
    let (mut s, now) = streams();
    let turn = s.open(&opening(&job, 0), now);
    s.admit(&job, Some(turn), now);
    s.line_begins();
    let mut looks: Vec<Look> = (1..=u64::from(STALLED)).map(|reads| s.look(reads, false)).collect();
    assert_eq!(looks.pop(), Some(Look::Shut));
    assert!(looks.iter().all(|look| *look == Look::Leave), "{looks:?}");
    assert_eq!(s.close().collect::<Vec<_>>(), [(Purpose::Attempt(key(0)), Progress::FullyWritten)]);

    // Lines that do end, however many, are no such thing.
    let (mut s, _) = streams();
    for reads in 1..100 {
        s.line_begins();
        assert_eq!(s.look(reads, false), Look::Leave);
    }
}

/// An answer that comes byte by byte and was given up: nothing new waits behind it, and once nothing else is open the
/// connection is closed. One that somebody still waits for may take its time.
#[test]
fn an_answer_that_never_ends_takes_nothing_with_it_once_it_is_given_up() {
    let (job, next) = (tag("a"), tag("b"));
    let (mut s, now) = streams();
    let turn = s.open(&opening(&job, 0), now);
    s.admit(&job, Some(turn), now);
    s.answer_begins(&job);
    for reads in 1..50 {
        assert_eq!(s.look(reads, true), Look::Leave);
    }
    assert!(s.accepts(&opening(&next, 1)), "it is waited for");
    assert_eq!(s.give_up(&job, key(0), now), Some(Progress::PartlyAnswered));
    for reads in 50..50 + u64::from(MUTE) {
        assert!(s.accepts(&opening(&next, 1)), "it may end soon");
        s.look(reads, true);
    }
    assert!(!s.accepts(&opening(&next, 1)), "it does not");
    assert!(s.sweep(IDLE, now), "nothing else is open");
}

/// A request comes to an idle connection in the instant in which that is closed.
#[test]
fn a_request_and_the_close_of_an_idle_connection_do_not_cross() {
    let job = tag("a");
    let (mut s, now) = streams();
    let later = now + IDLE + Duration::from_millis(1);
    assert!(s.sweep(IDLE, later));
    assert!(!s.accepts(&opening(&job, 0)), "closed first: it goes elsewhere");
    assert!(!s.sweep(IDLE, later), "it is closed once");

    let (mut s, now) = streams();
    let turn = s.open(&opening(&job, 0), now);
    assert!(!s.sweep(IDLE, later), "open first: not idle");
    assert!(is_written(&s.admit(&job, Some(turn), now)));
}

/// The node resets the connection before, while and after a request is written, and in its answer.
#[test]
fn an_end_says_how_far_each_request_had_come() {
    let tags: Vec<Token> = ["a", "b", "c", "d"].map(tag).to_vec();
    let (mut s, now) = streams();
    let turns: Vec<Turn> = (0..4).map(|n| s.open(&opening(&tags[n], n as u8), now)).collect();
    for n in 1..4 {
        s.admit(&tags[n], Some(turns[n]), now);
    }
    s.fell_short(&tags[1]);
    s.answer_begins(&tags[3]);
    let mut ends: Vec<(u8, Progress)> = s
        .close()
        .map(|(purpose, progress)| match purpose {
            Purpose::Attempt(key) => (key.attempt.0, progress),
            other => panic!("{other:?}"),
        })
        .collect();
    ends.sort_by_key(|end| end.0);
    use Progress::*;
    assert_eq!(ends, [(0, NotConnected), (1, PartlyWritten), (2, FullyWritten), (3, PartlyAnswered)]);
    assert!(matches!(s.admit(&tags[0], Some(turns[0]), now), Admitted::Closed));
}

/// What must not be broken by another's answer goes out alone, and nothing joins it.
#[test]
fn what_goes_alone_shares_its_connection_with_nothing() {
    let (alone, other) = (tag("a"), tag("b"));
    let once = Opening { room: Room { streams: 4, alone: true }, ..opening(&alone, 0) };
    let (mut s, now) = streams();
    s.open(&opening(&other, 1), now);
    assert!(!s.accepts(&once));
    let (mut s, now) = streams();
    s.open(&once, now);
    assert!(!s.accepts(&opening(&other, 1)));
    assert!(s.withdraw(&alone, key(0)));
    assert!(s.accepts(&opening(&other, 1)));
}

/// Half a line has come on an idle connection: what opens now would end with it, and what may not be repeated would be lost.
#[test]
fn nothing_new_opens_in_the_middle_of_what_nobody_waits_for() {
    let (a, b) = (tag("a"), tag("b"));
    let guarded = |tag| Opening { guarded: true, ..opening(tag, 1) };
    let (mut s, now) = streams();
    assert!(s.accepts(&opening(&a, 0)) && s.accepts(&guarded(&a)));
    s.line_begins();
    assert!(!s.accepts(&opening(&a, 0)) && !s.accepts(&guarded(&a)), "half a line, and nothing is open");
    // A second answer, to what has ended: its bytes are still to come.
    s.answer_begins(&a);
    assert!(!s.accepts(&guarded(&b)));
    assert!(s.answer_ends(&a, now).is_none());
    assert!(s.accepts(&opening(&b, 0)) && s.accepts(&guarded(&b)), "it is whole, and the connection of use");

    // The answer to what is open comes in pieces: others may come beside it, but nothing that may not be repeated.
    let turn = s.open(&opening(&a, 0), now);
    assert!(is_written(&s.admit(&a, Some(turn), now)));
    s.line_begins();
    assert!(s.accepts(&opening(&b, 0)) && !s.accepts(&guarded(&b)));
    s.answer_begins(&a);
    assert!(s.accepts(&opening(&b, 0)) && !s.accepts(&guarded(&b)));
    assert_eq!(s.give_up(&a, key(0), now), Some(Progress::PartlyAnswered));
    assert!(!s.accepts(&guarded(&b)), "nor once nobody waits for it");
}

/// How long an attempt waits to be written goes by the settings: one that purges bind at once, and one that says nothing.
#[test]
fn what_waits_is_stale_before_what_is_told_binds() {
    let ms = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
    assert_eq!(stale([Some(2000.0), Some(1000.0)]), ms(700.0));
    assert_eq!(stale([Some(300.0), Some(1000.0)]), ms(210.0));
    assert_eq!(stale([Some(1500.0), Some(1200.0)]), ms(700.0));
    assert_eq!(stale([None, None]), ms(700.0));
    for odd in [0.0, -5.0] {
        assert_eq!(stale([Some(odd), None]), ms(40.0), "{odd}");
    }
    assert_eq!(stale([Some(f64::NAN), Some(f64::INFINITY)]), ms(700.0));
    let (job, now) = (tag("a"), Instant::now());
    let mut s = Streams::new(QUIET.0, ms(210.0), now);
    let turn = s.open(&opening(&job, 0), now);
    assert!(matches!(s.admit(&job, Some(turn), now + ms(211.0)), Admitted::Overdue(_)));
}
