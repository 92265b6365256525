//! Tests both orders of every race on a connection to a cache node. Stand-ins cannot force these orders from outside.

use std::time::{Duration, Instant};

use elmtide::{MemberId, RequestId, Try};

use super::*;

const IDLE_TIMEOUT: Duration = Duration::from_secs(18);
const WRITE_DELAY: Duration = Duration::from_millis(700);

fn key(attempt: u8) -> AttemptKey {
    AttemptKey { id: RequestId(7), attempt: Try(attempt) }
}

fn tag(text: &str) -> Token {
    Token::new(text.as_bytes()).expect("a token")
}

fn new_stream(tag: &Token, attempt: u8) -> NewStream<'_> {
    NewStream {
        tag,
        purpose: Purpose::Attempt(key(attempt)),
        sharing: Sharing { max_streams: 4, exclusive: false },
        tally: None,
        write_by: None,
        guarded: false,
        members: [Some(MemberId(1)), Some(MemberId(2))],
    }
}

fn streams() -> (Streams, Instant) {
    let now = Instant::now();
    (Streams::new(MIN_CHECKS_BEFORE_PING, WRITE_DELAY, now), now)
}

fn is_written(decision: &WriteDecision) -> bool {
    matches!(decision, WriteDecision::Write(_))
}

/// The client disconnects, or half its time has passed, at the moment the request is handed to the writer. The
/// request is either withdrawn and never written, or written and not withdrawn.
#[test]
fn a_withdrawn_attempt_is_not_written_and_a_written_one_cannot_be_withdrawn() {
    let job = tag("a");
    let (mut s, now) = streams();
    let id = s.open(&new_stream(&job, 0), now);
    assert!(!s.may_have_run(&job, key(0)));
    assert!(s.withdraw(&job, key(0)));
    assert!(!is_written(&s.begin_write(&job, Some(id), now)), "withdrawn first");

    let (mut s, now) = streams();
    let id = s.open(&new_stream(&job, 0), now);
    assert!(is_written(&s.begin_write(&job, Some(id), now)));
    assert!(!s.withdraw(&job, key(0)), "written first");
    assert!(s.may_have_run(&job, key(0)));
    assert_eq!(s.abandon(&job, key(0), now), Some(Progress::FullyWritten));
}

/// The bytes of a withdrawn attempt are still in the writer's queue when the next attempt of the same request is
/// queued on the same connection: only the bytes of the second attempt are written, and once.
#[test]
fn queued_bytes_of_a_withdrawn_attempt_are_not_written_for_the_next_attempt() {
    let job = tag("a");
    let (mut s, now) = streams();
    let first = s.open(&new_stream(&job, 0), now);
    assert_eq!(s.abandon(&job, key(0), now), Some(Progress::NotConnected));
    let second = s.open(&new_stream(&job, 1), now);
    assert_ne!(first, second);
    let written = [first, second].map(|id| is_written(&s.begin_write(&job, Some(id), now)));
    assert_eq!(written, [false, true]);
    assert!(!s.withdraw(&job, key(0)), "withdrawing the first does not affect the second");
}

/// A node rejects a request and sends the rejection again some milliseconds later: the duplicate must not be matched
/// to the next attempt, which may be running.
#[test]
fn a_duplicate_answer_is_not_matched_to_the_next_attempt() {
    let job = tag("a");
    let guarded = |attempt| NewStream { guarded: true, ..new_stream(&job, attempt) };
    let (mut s, now) = streams();
    let id = s.open(&guarded(0), now);
    s.begin_write(&job, Some(id), now);
    s.answer_started(&job);
    assert_eq!(s.answer_completed(&job, now).map(|stream| stream.purpose), Some(Purpose::Attempt(key(0))));
    assert!(!s.can_accept(&guarded(1)), "it needs another connection");
    assert!(s.can_accept(&new_stream(&job, 1)), "a request that is safe to repeat may use it");
    s.answer_started(&job);
    assert!(s.answer_completed(&job, now).is_none(), "the duplicate belongs to no attempt");
    for n in 0..10 * MAX_ANSWERED_TAGS {
        let other = tag(&format!("j{n}"));
        let id = s.open(&NewStream { guarded: true, ..new_stream(&other, 0) }, now);
        s.begin_write(&other, Some(id), now);
        s.answer_completed(&other, now);
    }
    assert!(s.answered_tags.len() <= MAX_ANSWERED_TAGS, "bounded");
}

/// A node or a source begins to drain while requests for it wait for a connection.
#[test]
fn only_unwritten_attempts_of_a_lost_node_or_source_are_withdrawn() {
    let (served, filled, other, out) = (tag("a"), tag("b"), tag("c"), tag("d"));
    let (mut s, now) = streams();
    let id = s.open(&new_stream(&out, 3), now);
    s.begin_write(&out, Some(id), now);
    s.open(&NewStream { members: [Some(MemberId(9)), None], ..new_stream(&served, 0) }, now);
    s.open(&NewStream { members: [Some(MemberId(1)), Some(MemberId(9))], ..new_stream(&filled, 1) }, now);
    s.open(&new_stream(&other, 2), now);
    let mut withdrawn = s.withdraw_from(&|member| member == MemberId(9));
    withdrawn.sort_by_key(|key| key.attempt.0);
    assert_eq!(withdrawn, [key(0), key(1)]);
    assert_eq!(s.withdraw_from(&|_| true), [key(2)], "written attempts are not withdrawn");
}

/// A retry that was decided just before the node forgets the first attempt waits for its connection: it must not be
/// written after that.
#[test]
fn a_retry_is_not_written_after_its_write_deadline() {
    let job = tag("a");
    for (delay, expected) in [(Duration::ZERO, true), (Duration::from_millis(101), false)] {
        let (mut s, now) = streams();
        let deadline = Some(now + Duration::from_millis(100));
        let id = s.open(&NewStream { write_by: deadline, ..new_stream(&job, 1) }, now);
        let decision = s.begin_write(&job, Some(id), now + delay);
        assert_eq!(is_written(&decision), expected, "{delay:?}: {decision:?}");
    }
    let (mut s, now) = streams();
    let id = s.open(&new_stream(&job, 1), now);
    let expired = s.begin_write(&job, Some(id), now + WRITE_DELAY + Duration::from_millis(1));
    assert!(matches!(expired, WriteDecision::Expired(Purpose::Attempt(k)) if k == key(1)), "{expired:?}");
}

/// A line that arrives byte by byte and never ends must not keep the requests on its connection open for long.
#[test]
fn a_line_that_never_ends_closes_the_connection() {
    let job = tag("a");
    let (mut s, now) = streams();
    let id = s.open(&new_stream(&job, 0), now);
    s.begin_write(&job, Some(id), now);
    s.line_started();
    let mut results: Vec<CheckResult> =
        (1..=u64::from(MAX_STALLED_CHECKS)).map(|reads| s.check(reads, false)).collect();
    assert_eq!(results.pop(), Some(CheckResult::Close));
    assert!(results.iter().all(|result| *result == CheckResult::Keep), "{results:?}");
    assert_eq!(s.close().collect::<Vec<_>>(), [(Purpose::Attempt(key(0)), Progress::FullyWritten)]);

    // Any number of complete lines is fine.
    let (mut s, _) = streams();
    for reads in 1..100 {
        s.line_started();
        assert_eq!(s.check(reads, false), CheckResult::Keep);
    }
}

/// An answer that arrives byte by byte is abandoned: no new request waits behind it, and the connection closes once
/// nothing else is open. An answer that is still awaited may take its time.
#[test]
fn an_abandoned_answer_that_never_ends_blocks_new_attempts_and_the_connection_closes() {
    let (job, next) = (tag("a"), tag("b"));
    let (mut s, now) = streams();
    let id = s.open(&new_stream(&job, 0), now);
    s.begin_write(&job, Some(id), now);
    s.answer_started(&job);
    for reads in 1..50 {
        assert_eq!(s.check(reads, true), CheckResult::Keep);
    }
    assert!(s.can_accept(&new_stream(&next, 1)), "its answer is still awaited");
    assert_eq!(s.abandon(&job, key(0), now), Some(Progress::PartlyAnswered));
    for reads in 50..50 + u64::from(MAX_SILENT_CHECKS) {
        assert!(s.can_accept(&new_stream(&next, 1)), "it may end soon");
        s.check(reads, true);
    }
    assert!(!s.can_accept(&new_stream(&next, 1)), "it did not end");
    assert!(s.close_if_idle(IDLE_TIMEOUT, now), "nothing else is open");
}

/// A request arrives at the moment an idle connection is closed.
#[test]
fn a_request_never_opens_on_a_connection_that_was_closed_as_idle() {
    let job = tag("a");
    let (mut s, now) = streams();
    let later = now + IDLE_TIMEOUT + Duration::from_millis(1);
    assert!(s.close_if_idle(IDLE_TIMEOUT, later));
    assert!(!s.can_accept(&new_stream(&job, 0)), "closed first: the request needs another connection");
    assert!(!s.close_if_idle(IDLE_TIMEOUT, later), "it is already closed");

    let (mut s, now) = streams();
    let id = s.open(&new_stream(&job, 0), now);
    assert!(!s.close_if_idle(IDLE_TIMEOUT, later), "open first: not idle");
    assert!(is_written(&s.begin_write(&job, Some(id), now)));
}

/// The node resets the connection before, during and after the write of a request, and in the middle of its answer.
#[test]
fn closing_reports_the_progress_of_each_request() {
    let tags: Vec<Token> = ["a", "b", "c", "d"].map(tag).to_vec();
    let (mut s, now) = streams();
    let ids: Vec<StreamId> = (0..4).map(|n| s.open(&new_stream(&tags[n], n as u8), now)).collect();
    for n in 1..4 {
        s.begin_write(&tags[n], Some(ids[n]), now);
    }
    s.mark_partly_written(&tags[1]);
    s.answer_started(&tags[3]);
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
    assert!(matches!(s.begin_write(&tags[0], Some(ids[0]), now), WriteDecision::Closed));
}

/// A request that must not be lost to another request's malformed answer has its connection to itself.
#[test]
fn an_exclusive_request_shares_its_connection_with_no_other() {
    let (exclusive, other) = (tag("a"), tag("b"));
    let once =
        NewStream { sharing: Sharing { max_streams: 4, exclusive: true }, ..new_stream(&exclusive, 0) };
    let (mut s, now) = streams();
    s.open(&new_stream(&other, 1), now);
    assert!(!s.can_accept(&once));
    let (mut s, now) = streams();
    s.open(&once, now);
    assert!(!s.can_accept(&new_stream(&other, 1)));
    assert!(s.withdraw(&exclusive, key(0)));
    assert!(s.can_accept(&new_stream(&other, 1)));
}

/// Half a line has arrived on an idle connection: a new request would end with it, and a request that is unsafe to
/// repeat would be lost.
#[test]
fn no_unsafe_request_opens_while_an_answer_that_nobody_awaits_is_read() {
    let (a, b) = (tag("a"), tag("b"));
    let guarded = |tag| NewStream { guarded: true, ..new_stream(tag, 1) };
    let (mut s, now) = streams();
    assert!(s.can_accept(&new_stream(&a, 0)) && s.can_accept(&guarded(&a)));
    s.line_started();
    assert!(
        !s.can_accept(&new_stream(&a, 0)) && !s.can_accept(&guarded(&a)),
        "half a line on an idle connection"
    );
    // A duplicate answer to a completed request: its body has not arrived yet.
    s.answer_started(&a);
    assert!(!s.can_accept(&guarded(&b)));
    assert!(s.answer_completed(&a, now).is_none());
    assert!(
        s.can_accept(&new_stream(&b, 0)) && s.can_accept(&guarded(&b)),
        "the answer is complete, so the connection is usable"
    );

    // The answer to an open request arrives in pieces: other requests may join the connection, but not those that are
    // unsafe to repeat.
    let id = s.open(&new_stream(&a, 0), now);
    assert!(is_written(&s.begin_write(&a, Some(id), now)));
    s.line_started();
    assert!(s.can_accept(&new_stream(&b, 0)) && !s.can_accept(&guarded(&b)));
    s.answer_started(&a);
    assert!(s.can_accept(&new_stream(&b, 0)) && !s.can_accept(&guarded(&b)));
    assert_eq!(s.abandon(&a, key(0), now), Some(Progress::PartlyAnswered));
    assert!(!s.can_accept(&guarded(&b)), "also after it was abandoned");
}

/// The time that an attempt may wait to be written depends on the settings: also where purges are binding at once,
/// and where the settings give no grace period.
#[test]
fn an_unwritten_request_expires_before_a_later_purge_or_drain_is_binding() {
    let ms = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
    assert_eq!(max_write_delay([Some(2000.0), Some(1000.0)]), ms(700.0));
    assert_eq!(max_write_delay([Some(300.0), Some(1000.0)]), ms(210.0));
    assert_eq!(max_write_delay([Some(1500.0), Some(1200.0)]), ms(700.0));
    assert_eq!(max_write_delay([None, None]), ms(700.0));
    for odd in [0.0, -5.0] {
        assert_eq!(max_write_delay([Some(odd), None]), ms(40.0), "{odd}");
    }
    assert_eq!(max_write_delay([Some(f64::NAN), Some(f64::INFINITY)]), ms(700.0));
    let (job, now) = (tag("a"), Instant::now());
    let mut s = Streams::new(MIN_CHECKS_BEFORE_PING, ms(210.0), now);
    let id = s.open(&new_stream(&job, 0), now);
    assert!(matches!(s.begin_write(&job, Some(id), now + ms(211.0)), WriteDecision::Expired(_)));
}
