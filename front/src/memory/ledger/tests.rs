use super::*;

fn key(n: usize) -> Token {
    Token::new(format!("k{n}").as_bytes()).unwrap()
}

fn open() -> Ledger {
    let ledger = closed(1);
    ledger.open();
    ledger
}

fn enter(ledger: &Ledger, n: usize, request: &str, now: Ms) -> Entered {
    ledger.enter(&key(n), ledger.print(&request), now)
}

fn closed(secret: u64) -> Ledger {
    Ledger::new([secret, 2, 3, 4], Longest::new(1000.0))
}

fn served(size: usize) -> Answer {
    Answer::Served(ServedCopy { bytes: vec![b'x'; size], digest: Token::new(b"d1"), client_has_it: false })
}

/// A retry never runs again: it joins the run or receives its result.
#[test]
fn a_key_runs_once_and_retries_get_its_result() {
    let ledger = open();
    let Entered::Run(first) = enter(&ledger, 1, "a", 2000.0) else { panic!("runs") };
    let Entered::Join(second) = enter(&ledger, 1, "a", 2001.0) else { panic!("joins") };
    assert!(matches!(enter(&ledger, 1, "b", 2002.0), Entered::OtherRequest));
    ledger.finish(&key(1), Answer::Failed, 2100.0);
    assert_eq!(first.result.recv().unwrap(), second.result.recv().unwrap());
    assert!(matches!(enter(&ledger, 1, "a", 7900.0), Entered::Repeat(a) if *a == Answer::Failed));
    assert!(matches!(enter(&ledger, 1, "a", 8100.0), Entered::Run(_)), "forgotten after its life");
}

/// Only the last client to leave gets the id of the run to cancel, whether it started the run or joined it; none
/// gets it once the run has ended.
#[test]
fn only_the_last_client_to_leave_gets_the_run_to_cancel() {
    let ledger = open();
    let Entered::Run(first) = enter(&ledger, 1, "a", 2000.0) else { panic!("the first runs it") };
    assert_eq!(ledger.leave(&key(2), &first), None, "no such key");
    ledger.runs(&key(1), RequestId(7));
    let Entered::Join(second) = enter(&ledger, 1, "a", 2001.0) else { panic!("joins") };
    assert_eq!(ledger.leave(&key(1), &first), None, "another waits");
    assert_eq!(ledger.leave(&key(1), &first), None, "and goes on waiting");
    assert_eq!(ledger.leave(&key(1), &second), Some(RequestId(7)));
    // Nothing ran, so it is refused; a client that joined meanwhile gets the refusal, and the key may be used again.
    let Entered::Join(third) = enter(&ledger, 1, "a", 2002.0) else { panic!("still running") };
    ledger.finish(&key(1), Answer::Refused { wait_ms: None }, 2003.0);
    assert_eq!(*third.result.recv().unwrap(), Answer::Refused { wait_ms: None });
    assert_eq!(ledger.leave(&key(1), &third), None);
    assert!(matches!(enter(&ledger, 1, "a", 2004.0), Entered::Run(_)));
}

/// After a reload adds a class with a longer deadline, results of runs that end later are kept for its retries too.
#[test]
fn results_are_kept_for_the_longest_deadline_since_the_start() {
    let ledger = open();
    let run = |n, at| assert!(matches!(enter(&ledger, n, "a", at), Entered::Run(_)));
    run(1, 1000.0);
    ledger.finish(&key(1), served(1), 1000.0);
    ledger.longest.raise(4000.0);
    run(2, 1000.0);
    ledger.finish(&key(2), served(1), 1000.0);
    ledger.longest.raise(500.0);
    assert!(matches!(enter(&ledger, 1, "a", 6999.0), Entered::Repeat(_)));
    run(1, 7000.0);
    assert!(matches!(enter(&ledger, 2, "a", 24_999.0), Entered::Repeat(_)));
    run(2, 25_000.0);
}

/// A refused request has not run, so the next attempt may run.
#[test]
fn a_refused_run_leaves_no_entry() {
    let ledger = open();
    assert!(matches!(enter(&ledger, 1, "a", 2000.0), Entered::Run(_)));
    ledger.finish(&key(1), Answer::Refused { wait_ms: None }, 2001.0);
    assert!(matches!(enter(&ledger, 1, "a", 2002.0), Entered::Run(_)));
}

#[test]
fn it_refuses_while_it_is_closed_and_when_it_is_full_but_still_knows_what_it_holds() {
    let ledger = closed(1);
    assert!(matches!(enter(&ledger, 0, "a", 999.0), Entered::Refuse));
    ledger.open();
    for n in 0..MAX_ENTRIES {
        assert!(matches!(enter(&ledger, n, "a", 1000.0), Entered::Run(_)));
    }
    assert!(matches!(enter(&ledger, MAX_ENTRIES, "a", 1000.0), Entered::Refuse));
    assert!(matches!(enter(&ledger, 7, "a", 1000.0), Entered::Join(_)));
}

/// The next process repeats ended runs, fails requests that may have run, runs those that never did, and rejects
/// another request with a used key, although its own hash keys were different.
#[test]
fn the_next_process_knows_what_this_one_ran() {
    let old = open();
    for n in 1..=4 {
        assert!(matches!(enter(&old, n, "a", 2000.0), Entered::Run(_)));
    }
    old.finish(&key(1), served(64), 2100.0);
    old.finish(&key(2), Answer::Refused { wait_ms: None }, 2100.0);
    old.finish(&key(4), served(MAX_SEALED_RESULT_BYTES + 1), 2200.0);
    let sealed = old.seal(2300.0);
    assert!(matches!(enter(&old, 9, "a", 2301.0), Entered::Refuse), "a sealed ledger takes nothing");
    old.open();
    assert!(matches!(enter(&old, 9, "a", 2301.0), Entered::Refuse), "nor after");
    let new = closed(7);
    assert_eq!(new.take_over(sealed, 2400.0), Ok(3));
    assert!(matches!(enter(&new, 1, "a", 2500.0), Entered::Repeat(a) if *a == served(64)));
    assert!(matches!(enter(&new, 1, "b", 2500.0), Entered::OtherRequest));
    assert!(matches!(enter(&new, 2, "a", 2500.0), Entered::Run(_)), "it never ran");
    assert!(matches!(enter(&new, 3, "a", 2500.0), Entered::Repeat(a) if *a == Answer::Failed));
    assert!(matches!(enter(&new, 4, "a", 2500.0), Entered::Repeat(a) if *a == Answer::Failed));
    assert!(matches!(enter(&new, 1, "a", 8150.0), Entered::Run(_)), "lives are not begun anew");
}

/// Sealed content that no ledger can have written is rejected without effect.
#[test]
fn invalid_sealed_content_is_rejected() {
    let entry = |n: usize, left| SealedEntry {
        key: format!("k{n}"),
        fingerprint: Fingerprint(1, 2),
        left,
        outcome: SealedOutcome::Uncertain,
    };
    let sealed = |at, entries| Sealed { at, hash_keys: [(1, 2), (3, 4)], entries };
    let long = SealedOutcome::Served {
        bytes: vec![0; MAX_SEALED_RESULT_BYTES + 1],
        digest: None,
        client_has_it: false,
    };
    let cases = [
        (NotUsed::Dated, sealed(3001.0, vec![])),
        (NotUsed::Dated, sealed(3000.0 - 6001.0, vec![])),
        (NotUsed::Dated, sealed(f64::NAN, vec![])),
        (NotUsed::Foreign, sealed(2000.0, vec![entry(1, f64::NAN)])),
        (NotUsed::Foreign, sealed(2000.0, vec![entry(1, 6001.0)])),
        (NotUsed::Foreign, sealed(2000.0, vec![entry(1, 5.0), entry(1, 5.0)])),
        (NotUsed::Foreign, sealed(2000.0, vec![entry(1, 5.0), entry(2, 4.0)])),
        (NotUsed::Foreign, sealed(2000.0, (0..=MAX_ENTRIES).map(|n| entry(n, 5.0)).collect())),
        (NotUsed::Foreign, sealed(2000.0, vec![SealedEntry { key: "a b".into(), ..entry(1, 5.0) }])),
        (NotUsed::Foreign, sealed(2000.0, vec![SealedEntry { outcome: long, ..entry(1, 5.0) }])),
    ];
    let ledger = closed(1);
    for (why, sealed) in cases {
        assert_eq!(ledger.take_over(sealed, 3000.0), Err(why));
        assert!(matches!(enter(&ledger, 1, "a", 3000.0), Entered::Refuse));
    }
    ledger.open();
    assert_eq!(ledger.take_over(sealed(2000.0, vec![]), 3000.0), Err(NotUsed::Late));
}
