//! The order of answers, and what is given back of them.

use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

use super::*;
use crate::memory::counters::Counters;
use crate::server::clients::{Client, Clients, Protocol};
use crate::wire::fastcgi::{ProtocolStatus, STDOUT};

const BODY_BYTES: usize = 200_000;
/// Header and content of the largest record that is written.
const LARGEST_RECORD: usize = 16 * 1024;

/// A client that takes a number of bytes.
struct Reader {
    taken: Vec<u8>,
    room: usize,
}

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.room == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        let length = bytes.len().min(self.room);
        self.taken.extend_from_slice(&bytes[..length]);
        self.room -= length;
        Ok(length)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn client() -> Arc<Client> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let admitted = Clients::new(10, 0).admit(stream, Protocol::FastCgi).unwrap();
    admitted.client.clone()
}

fn end_of(id: u16) -> Vec<u8> {
    let mut end = Vec::new();
    fastcgi::write_end_request(&mut end, id, 0, ProtocolStatus::RequestComplete);
    end
}

fn answer(client: &Arc<Client>, id: u16) -> EncodedAnswer {
    let mut bytes = Vec::new();
    fastcgi::write_stdout(&mut bytes, id, b"head", &vec![7; BODY_BYTES]);
    bytes.extend(end_of(id));
    let mut incomplete_end = Vec::new();
    fastcgi::write_record(&mut incomplete_end, STDOUT, id, b"");
    incomplete_end.extend(end_of(id));
    let substitute = Some(Substitute { answer: end_of(id), end: incomplete_end });
    let open_guard = client.open_request(&Arc::new(Counters::default())).unwrap();
    EncodedAnswer { bytes, is_last: false, substitute, open_guard }
}

/// The ids whose END_REQUEST came, and the bytes of STDOUT before each.
fn ends(mut bytes: &[u8]) -> Vec<(u16, usize)> {
    let (mut ends, mut stdout) = (Vec::new(), 0);
    while let Some((record, length)) = fastcgi::parse_record(bytes).unwrap() {
        match record.kind {
            fastcgi::END_REQUEST => ends.push((record.id, std::mem::take(&mut stdout))),
            _ => stdout += record.content.len(),
        }
        bytes = &bytes[length..];
    }
    assert!(bytes.is_empty(), "only whole records are written");
    ends
}

fn write_all(queue: &mut OutputQueue, reader: &mut Reader) {
    reader.room = usize::MAX;
    while !queue.is_empty() {
        queue.write_to(reader).unwrap();
    }
}

/// Guards against answers of a client that does not read taking memory without bound: all that is shed keeps an end.
#[test]
fn answers_are_shed_from_the_last_and_each_keeps_its_end() {
    let (client, mut queue) = (client(), OutputQueue::default());
    let mut reader = Reader { taken: Vec::new(), room: 70_000 };
    (1..=3).for_each(|id| queue.push_answer(answer(&client, id)));
    assert_eq!(queue.write_to(&mut reader).unwrap(), Written::Blocked);
    let whole = queue.bytes();
    assert!(queue.shed() && queue.bytes() < whole - BODY_BYTES + 100);
    assert!(queue.shed() && queue.bytes() < whole - 2 * BODY_BYTES + 200);
    assert!(queue.shed(), "the rest of the one whose write has begun");
    assert!(queue.bytes() < 90_000, "what is written and one record is left: {}", queue.bytes());
    assert!(!queue.shed(), "nothing is left to shed");
    write_all(&mut queue, &mut reader);
    let ends = ends(&reader.taken);
    assert_eq!(ends.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [1, 2, 3]);
    assert!((65_000..BODY_BYTES).contains(&ends[0].1), "the first is incomplete: {}", ends[0].1);
    assert_eq!(queue.bytes(), 0);
}

/// Whatever has been written when an answer is shed, its records stay whole.
#[test]
fn an_answer_is_cut_at_the_end_of_a_record() {
    let client = client();
    for room in (1..BODY_BYTES + 200).step_by(997) {
        let (mut queue, mut reader) = (OutputQueue::default(), Reader { taken: Vec::new(), room });
        queue.push_answer(answer(&client, 9));
        queue.write_to(&mut reader).unwrap();
        queue.shed();
        write_all(&mut queue, &mut reader);
        assert_eq!(ends(&reader.taken).len(), 1, "written when it was shed: {room}");
    }
}

#[test]
fn small_responses_are_written_together_and_count() {
    let mut queue = OutputQueue::default();
    (0..100).for_each(|_| queue.push_response(false, |out| fastcgi::write_unknown_type(out, 77)));
    assert_eq!((queue.len(), queue.bytes()), (1, 1600));
}

/// Guards against a client that stops reading near an answer's end keeping the whole answer in memory.
#[test]
fn what_a_client_has_taken_of_an_answer_takes_no_memory() {
    for room in [1, 10_000, 70_000, 150_000, BODY_BYTES] {
        for sheds in [false, true] {
            let (client, mut queue) = (client(), OutputQueue::default());
            let mut reader = Reader { taken: Vec::new(), room };
            queue.push_answer(answer(&client, 1));
            queue.push_answer(answer(&client, 2));
            assert_eq!(queue.write_to(&mut reader).unwrap(), Written::Blocked);
            let before = queue.bytes();
            let released = queue.release_written();
            assert_eq!(queue.bytes(), before - released);
            assert!(released + LARGEST_RECORD >= room, "{released} of {room} bytes released");
            assert!(!queue.is_at_chunk_start(), "an answer that has begun stays begun");
            if sheds {
                assert!(queue.shed(), "the answer that is not begun");
                queue.shed();
                assert!(queue.bytes() < 2 * LARGEST_RECORD, "{} bytes are kept", queue.bytes());
            }
            write_all(&mut queue, &mut reader);
            let ends = ends(&reader.taken);
            assert_eq!(ends.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [1, 2]);
            assert!(sheds || ends.iter().all(|(_, stdout)| *stdout == BODY_BYTES + 4), "{ends:?}");
        }
    }
}
