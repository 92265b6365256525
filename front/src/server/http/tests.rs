//! Memory of answers that wait for the threads of their clients.

use super::*;
use crate::exchange::ServedCopy;

const ANSWER_BYTES: usize = 100_000;
const MAX_ANSWER_BYTES: usize = 1_000_000;

/// Guards against answers piling up while the threads of their clients get no processor time.
#[test]
fn answers_that_no_thread_has_taken_yet_stay_within_their_memory() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let admitted = Clients::new(10, MAX_ANSWER_BYTES).admit(stream, Protocol::Http).unwrap();
    let counters = Counters::default();
    let give = |may_be_repeated| {
        let copy = ServedCopy { bytes: vec![7; ANSWER_BYTES], digest: None, client_has_it: false };
        HeldAnswer::reserve(Answer::Served(copy), &admitted.client, may_be_repeated, &counters)
    };
    let held: Vec<HeldAnswer> = (0..100).map(|_| give(true)).collect();
    let bytes: usize = held.iter().map(|held| held.answer.body_bytes()).sum();
    assert!((ANSWER_BYTES..=MAX_ANSWER_BYTES).contains(&bytes), "{bytes} bytes wait");
    let is_refused = |held: &&HeldAnswer| matches!(*held.answer, Answer::Refused { wait_ms: Some(_) });
    assert_eq!(held.iter().filter(is_refused).count(), 100 - bytes / ANSWER_BYTES);
    assert_eq!(counters.answers_shed.load(Relaxed) as usize, 100 - bytes / ANSWER_BYTES);
    assert_eq!(*give(false).answer, Answer::Failed, "what must not run twice is not said to be harmless");
    drop(held);
    assert_eq!(give(true).answer.body_bytes(), ANSWER_BYTES, "the memory is free again");
}
