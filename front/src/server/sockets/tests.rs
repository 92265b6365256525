//! The clients' connections turn by turn, on real sockets: the test decides what lies in a socket when a turn begins, so
//! that each crossing is forced and none is waited for.

use crossbeam_channel::unbounded;
use elmtide::ClassId;
use elmtide_drain::DrainSchedule;

use rustix::event::Timespec;

use super::*;
use crate::exchange::{Answer, Class, Input, Responder, ServedCopy};
use crate::memory::budget::Budget;
use crate::memory::counters::Counters;

const PATIENCE: Duration = Duration::from_secs(20);

struct Front {
    sockets: Sockets,
    finish: Finish,
    inputs: Receiver<Input>,
    buffer: Vec<u8>,
}

fn record(kind: u8, content: &[u8]) -> Vec<u8> {
    let [c, d] = (content.len() as u16).to_be_bytes();
    [&[1, kind, 0, 1, c, d, 0, 0][..], content].concat()
}

fn request(job: &str, keep: bool) -> Vec<u8> {
    let fields = [
        ("SCRIPT_NAME", "/api/v2/reads"),
        ("HTTP_X_JOB_ID", job),
        ("HTTP_X_ITEM", "7f3a9c21e0b4d655"),
        ("HTTP_X_ALLOW_MS", "800"),
    ];
    let pair = |(n, v): (&str, &str)| [&[n.len() as u8, v.len() as u8], n.as_bytes(), v.as_bytes()].concat();
    let params: Vec<u8> = fields.into_iter().flat_map(pair).collect();
    let begin = record(1, &[0, 1, u8::from(keep), 0, 0, 0, 0, 0]);
    [begin, record(4, &params), record(4, b""), record(5, b"")].concat()
}

impl Front {
    fn start() -> Front {
        let counters = Arc::new(Counters::default());
        let (to, inputs) = unbounded();
        let class = Class {
            name: "reads".into(),
            id: ClassId(0),
            write: false,
            once: false,
            keyed: false,
            deadline: 900.0,
        };
        let intake = Arc::new(Intake::new(vec![class], Budget::new(1 << 20), to, counters.clone()));
        counters.mode.serves(clock::uptime());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (sockets, finish) =
            Sockets::new(listener, Origin::Bound, Clients::new(200), intake).expect("sockets");
        Front { sockets, finish, inputs, buffer: vec![0; READ] }
    }

    fn mode(&self) -> &Mode {
        &self.sockets.intake.counters.mode
    }

    /// All changes of what the connections wait for fail from now on, until the set that is returned is put back.
    fn break_epoll(&mut self) -> OwnedFd {
        let no_epoll = std::fs::File::open("/dev/null").unwrap();
        std::mem::replace(&mut self.sockets.epoll, no_epoll.into())
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.sockets.acceptor.local_addr().unwrap()).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream
    }

    /// How many sockets had something to say.
    fn turn(&mut self) -> usize {
        let mut events: Vec<epoll::Event> = Vec::with_capacity(64);
        let at_once = Timespec { tv_sec: 0, tv_nsec: 2_000_000 };
        epoll::wait(&self.sockets.epoll, spare_capacity(&mut events), Some(&at_once)).unwrap();
        self.sockets.serve(&events, &mut self.buffer);
        events.len()
    }

    /// Turns until something has come of it.
    fn until<T>(&mut self, mut come: impl FnMut(&mut Front) -> Option<T>) -> T {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(come) = come(self) {
                return come;
            }
            assert!(Instant::now() < until, "it never came to that");
            self.turn();
        }
    }

    fn taken(&mut self) -> Responder {
        self.until(|front| match front.inputs.try_recv() {
            Ok(Input::Request(incoming)) => Some(incoming.responder),
            _ => None,
        })
    }

    /// A client that has had one request answered and rests.
    fn resting(&mut self) -> TcpStream {
        let mut client = self.connect();
        client.write_all(&request("00000000000000a1", true)).unwrap();
        self.taken().answer(Answer::Failed);
        self.turn();
        assert!(answered(&mut client).contains("502"));
        client
    }

    /// What has been written is in the socket on this side.
    fn unread(&mut self, bytes: usize) {
        let until = Instant::now() + PATIENCE;
        let lies = |c: &Connection| rustix::io::ioctl_fionread(c.stream()).is_ok_and(|n| n >= bytes as u64);
        while !self.sockets.connections.values().any(lies) {
            assert!(Instant::now() < until, "it never came");
            std::thread::yield_now();
        }
    }
}

/// One whole answer.
fn answered(client: &mut TcpStream) -> String {
    let mut text = Vec::new();
    loop {
        let mut head = [0; 8];
        client.read_exact(&mut head).expect("an answer");
        let mut content = vec![0; usize::from(u16::from_be_bytes([head[4], head[5]])) + usize::from(head[6])];
        client.read_exact(&mut content).expect("a whole record");
        text.extend(content);
        if head[1] == 3 {
            return String::from_utf8_lossy(&text).into_owned();
        }
    }
}

/// SIGTERM, and a request that lies unread on a resting connection: it has been taken by a front, and is answered.
#[test]
fn a_request_that_lies_unread_when_clients_are_sent_away_is_taken() {
    let mut front = Front::start();
    let mut client = front.resting();
    let second = request("00000000000000a2", true);
    client.write_all(&second).unwrap();
    front.unread(second.len());
    front.mode().end(clock::uptime(), Duration::from_millis(900));
    front.sockets.drain_connections();
    front.taken().answer(Answer::Failed);
    front.until(|front| front.sockets.connections.is_empty().then_some(()));
    assert!(answered(&mut client).contains("502"));
    assert_eq!(client.read(&mut [0]).unwrap(), 0, "and then it is closed");
}

/// The answer to the one request goes out while the next lies unread: the connection stays until that is answered too.
#[test]
fn an_answer_written_over_an_unread_request_does_not_close_the_connection() {
    let mut front = Front::start();
    let mut client = front.resting();
    client.write_all(&request("00000000000000a2", true)).unwrap();
    let first = front.taken();
    let next = request("00000000000000a3", true);
    front.mode().end(clock::uptime(), Duration::from_millis(900));
    client.write_all(&next).unwrap();
    front.unread(next.len());
    first.answer(Answer::Failed);
    // The answer is written before anything is read.
    let delivery = front.sockets.deliveries.recv_timeout(PATIENCE).unwrap();
    front.sockets.turn(delivery.connection, |connection| {
        connection.conversation.answer(&delivery);
        connection.flush()
    });
    // Both have number 1 on their connection, and the first is over.
    front.taken().answer(Answer::Failed);
    front.until(|front| front.sockets.connections.is_empty().then_some(()));
    assert!(answered(&mut client).contains("502") && answered(&mut client).contains("502"));
}

/// The last answer is larger than its client takes in at once, and more lies unread that nobody will read: no reset takes
/// the rest of the answer away.
#[test]
fn a_close_over_unread_bytes_does_not_cut_the_answer_off() {
    let mut front = Front::start();
    let mut client = front.connect();
    client.write_all(&request("00000000000000a1", false)).unwrap();
    let asked = front.taken();
    let rest = vec![1; 10_000];
    client.write_all(&rest).unwrap();
    front.unread(rest.len());
    let bytes = vec![7; 3_000_000];
    asked.answer(Answer::Served(ServedCopy { bytes, digest: None, client_has_it: false }));
    let delivery = front.sockets.deliveries.recv_timeout(PATIENCE).unwrap();
    front.sockets.turn(delivery.connection, |connection| {
        connection.conversation.answer(&delivery);
        connection.flush()
    });
    // Only writes from here on: what lies unread stays so until our side has ended.
    let mut came = 0;
    let mut chunk = vec![0; 1 << 16];
    while !front.sockets.connections.is_empty() {
        came += client.read(&mut chunk).expect("more of the answer");
        front.sockets.turn(delivery.connection, Connection::flush);
    }
    loop {
        match client.read(&mut chunk).expect("the rest, not a reset") {
            0 => break,
            more => came += more,
        }
        front.turn();
    }
    assert!(came > 3_000_000, "{came}");
    drop(client);
    front.until(|front| front.sockets.lingering.is_empty().then_some(()));
}

/// What breaks the protocol ends its connection; what was said to it before still gets there, whatever else it sent.
#[test]
fn the_answer_before_a_breach_gets_there() {
    let mut front = Front::start();
    let mut client = front.connect();
    let health = [
        record(1, &[0, 1, 1, 0, 0, 0, 0, 0]),
        record(4, b"\x0b\x0aSCRIPT_NAME/-/healthy"),
        record(4, b""),
        record(5, b""),
    ]
    .concat();
    let garbage = vec![0xFF; 200_000];
    client.set_nonblocking(false).unwrap();
    client.write_all(&[health, garbage].concat()).unwrap();
    front.until(|front| (!front.sockets.lingering.is_empty()).then_some(()));
    for _ in 0..10 {
        front.turn();
    }
    assert!(answered(&mut client).contains("200"));
    assert_eq!(client.read(&mut [0]).expect("an end, not a reset"), 0);
}

/// A request comes whole after our side of its connection has ended: it is not sent on, and its client sees the end.
#[test]
fn a_request_read_after_the_close_is_not_sent_on() {
    let mut front = Front::start();
    let mut client = front.resting();
    let (_, connection) = front.sockets.connections.iter().next().unwrap();
    assert!(connection.admitted.client.close_idle());
    let second = request("00000000000000a2", true);
    client.write_all(&second).unwrap();
    front.unread(second.len());
    front.until(|front| front.sockets.connections.is_empty().then_some(()));
    let taken = front.inputs.try_iter().filter(|i| matches!(i, Input::Request(_))).count();
    assert_eq!(taken, 0);
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
    assert_eq!(front.sockets.intake.counters.broken_clients.load(Relaxed), 0, "no fault of the client's");
}

/// A connection with a request open is not closed as an idle one.
#[test]
fn an_open_request_keeps_its_connection() {
    let mut front = Front::start();
    let mut client = front.connect();
    client.write_all(&request("00000000000000a1", true)).unwrap();
    let asked = front.taken();
    let (_, connection) = front.sockets.connections.iter().next().unwrap();
    assert!(!connection.admitted.client.close_idle());
    asked.answer(Answer::Failed);
    front.turn();
    assert!(answered(&mut client).contains("502"));
}

/// The end of the program, with a connection that nobody has accepted yet and a request on it: it is answered before the
/// end is reported.
#[test]
fn at_the_end_what_waits_to_be_accepted_is_answered() {
    let mut front = Front::start();
    let mut late = front.connect();
    late.write_all(&request("00000000000000a1", true)).unwrap();
    front.mode().end(clock::uptime(), Duration::from_millis(900));
    front.mode().finish();
    front.sockets.finish();
    assert!(front.finish.finished.try_recv().is_err(), "one waits to be accepted");
    front.taken().answer(Answer::Failed);
    front.until(|front| front.sockets.connections.is_empty().then_some(()));
    assert!(answered(&mut late).contains("502"));
    assert_eq!(late.read(&mut [0]).unwrap(), 0);
    assert!(front.finish.finished.try_recv().is_err(), "the client's end is still open");
    drop(late);
    front.until(|front| front.finish.finished.try_recv().ok());
}

/// Some clients rest until the front ends them, without having brought anything.
#[test]
fn at_the_end_a_client_that_has_brought_nothing_is_closed_too() {
    let mut front = Front::start();
    let mut rests = front.connect();
    front.until(|front| (!front.sockets.connections.is_empty()).then_some(()));
    front.mode().end(clock::uptime(), Duration::from_millis(900));
    front.turn();
    assert_eq!(front.sockets.connections.len(), 1, "it may have come just before readiness said no");
    front.mode().finish();
    front.turn();
    assert_eq!(rests.read(&mut [0]).unwrap(), 0);
    drop(rests);
    front.until(|front| front.finish.finished.try_recv().ok());
}

/// Clients that break the protocol by hundreds and never close: what is kept for their sake is bounded.
#[test]
fn connections_that_linger_are_bounded() {
    let mut front = Front::start();
    let clients: Vec<TcpStream> = (0..3 * LINGERING)
        .map(|_| {
            let mut client = front.connect();
            client.write_all(&[0xFF; 64]).unwrap();
            front.turn();
            client
        })
        .collect();
    let broken = |front: &mut Front| {
        let counted = front.sockets.intake.counters.broken_clients.load(Relaxed);
        (counted >= clients.len() as u64).then_some(())
    };
    front.until(broken);
    assert!(front.sockets.lingering.len() <= LINGERING);
    drop(clients);
    front.until(|front| front.sockets.lingering.is_empty().then_some(()));
}

/// A request is taken, and what its client sends behind it breaks the protocol: nothing more is read, the request has its answer,
/// however long that takes, and only then the connection ends, without a reset, and is counted once.
#[test]
fn a_breach_behind_a_request_does_not_take_its_answer() {
    let mut front = Front::start();
    let mut client = front.connect();
    let garbage = vec![0xFF; 300_000];
    client.write_all(&[request("00000000000000a1", true), garbage].concat()).unwrap();
    let asked = front.taken();
    front.unread(1);
    assert_eq!((0..20).map(|_| front.turn()).sum::<usize>(), 0, "what lies unread keeps nobody busy");
    let broken = |front: &Front| front.sockets.intake.counters.broken_clients.load(Relaxed);
    assert_eq!((front.sockets.connections.len(), broken(&front)), (1, 0), "it is owed an answer");
    let left = front.inputs.try_iter().filter(|i| matches!(i, Input::Abandoned(_))).count();
    assert_eq!(left, 0, "nor is the request given up");
    asked.answer(Answer::Failed);
    front.until(|front| front.sockets.connections.is_empty().then_some(()));
    assert_eq!(broken(&front), 1);
    assert!(answered(&mut client).contains("502"));
    for _ in 0..100 {
        front.turn();
    }
    assert_eq!(client.read(&mut [0]).expect("an end, not a reset"), 0);
}

/// A client that has broken the protocol and goes while it is owed an answer: its request is given up.
#[test]
fn a_client_that_goes_after_a_breach_is_not_waited_for() {
    let mut front = Front::start();
    let mut client = front.connect();
    client.write_all(&[request("00000000000000a1", true), vec![0xFF; 64]].concat()).unwrap();
    let asked = front.taken();
    front.turn();
    drop(client);
    asked.answer(Answer::Failed);
    front.until(|front| {
        (front.sockets.connections.is_empty() && front.sockets.lingering.is_empty()).then_some(())
    });
}

/// How long the front has been draining.
fn drain_for(front: &Front, elapsed: Duration) {
    assert!(front.mode().pause(clock::uptime() - elapsed));
}

const SCHEDULE: DrainSchedule = DrainSchedule::RELEASE_CLIENTS;

/// A request that lies unread when new ones are rejected is still read, and has its answer before the connection is closed.
#[test]
fn a_request_unread_when_the_drain_rejects_is_answered_before_the_close() {
    let mut front = Front::start();
    let mut client = front.resting();
    let second = request("00000000000000a2", true);
    client.write_all(&second).unwrap();
    front.unread(second.len());
    drain_for(&front, SCHEDULE.reject_after);
    front.sockets.drain_connections();
    assert_eq!(front.sockets.connections.len(), 1, "not closed over what lies unread");
    front.taken().answer(Answer::Refused { wait_ms: Some(7) });
    front.until(|front| front.sockets.connections.is_empty().then_some(()));
    assert!(answered(&mut client).contains("X-Wait-Ms: 7"));
    assert_eq!(client.read(&mut [0]).unwrap(), 0, "and then it is closed");
}

/// A new connection has its first request served as long as requests are admitted, and is closed unasked afterwards.
#[test]
fn a_connection_that_has_brought_nothing_is_closed_once_requests_are_rejected() {
    let mut front = Front::start();
    let mut client = front.connect();
    front.until(|front| (front.sockets.connections.len() == 1).then_some(()));
    drain_for(&front, Duration::ZERO);
    front.turn();
    assert_eq!(front.sockets.connections.len(), 1, "its first request may be on its way");
    assert!(front.mode().resume(clock::uptime()));
    drain_for(&front, SCHEDULE.reject_after);
    front.turn();
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
}

/// At the cut-off a half-sent request is rejected by the protocol's status, the rest of it is dropped, and the connection ends
/// without a reset.
#[test]
fn a_half_sent_request_is_rejected_at_the_cut_off() {
    let mut front = Front::start();
    let mut client = front.resting();
    let whole = request("00000000000000a2", true);
    let (begun, rest) = whole.split_at(whole.len() - 12);
    client.write_all(begun).unwrap();
    front.until(|front| {
        front
            .sockets
            .connections
            .values()
            .any(|c| c.conversation.activity().partial_requests == 1)
            .then_some(())
    });
    drain_for(&front, SCHEDULE.reject_after);
    front.turn();
    assert_eq!(front.sockets.connections.len(), 1, "the rest may come");
    assert!(front.mode().resume(clock::uptime()));
    drain_for(&front, SCHEDULE.cut_off_after);
    front.until(|front| front.sockets.connections.is_empty().then_some(()));
    client.write_all(rest).unwrap();
    front.turn();
    let mut end = [0; 16];
    client.read_exact(&mut end).expect("an answer, not a reset");
    const PROTOCOL_STATUS: usize = 12;
    assert_eq!((end[1], end[PROTOCOL_STATUS]), (3, 2), "END_REQUEST, overloaded");
    assert_eq!(client.read(&mut [0]).expect("an end, not a reset"), 0);
    let taken = front.inputs.try_iter().filter(|i| matches!(i, Input::Request(_))).count();
    assert_eq!(taken, 0);
}

/// A client that begins one request after the other is released in the end, whatever it brings.
#[test]
fn a_client_that_never_ends_what_it_begins_is_released() {
    let mut front = Front::start();
    let mut client = front.resting();
    let whole = request("00000000000000a2", true);
    client.write_all(&whole[..20]).unwrap();
    front.until(|front| {
        front
            .sockets
            .connections
            .values()
            .any(|c| {
                !c.conversation.activity().has_unread_input && c.conversation.activity().has_partial_input
            })
            .then_some(())
    });
    drain_for(&front, SCHEDULE.cut_off_after);
    front.turn();
    client.write_all(&[1]).unwrap();
    front.turn();
    assert!(front.mode().resume(clock::uptime()));
    drain_for(&front, SCHEDULE.release_after);
    front.turn();
    assert!(front.sockets.connections.is_empty());
}

/// A client takes a large answer in slowly: the rejection of its next request goes ahead of the answers that wait.
#[test]
fn a_rejection_goes_ahead_of_answers_that_have_not_begun_to_be_written() {
    let mut front = Front::start();
    let mut client = front.connect();
    let ids = [1u8, 2, 3];
    for id in ids {
        let mut bytes = request(&format!("00000000000000a{id}"), true);
        number_records(&mut bytes, id);
        client.write_all(&bytes).unwrap();
    }
    let (first, second, third) = (front.taken(), front.taken(), front.taken());
    let copy =
        || Answer::Served(ServedCopy { bytes: vec![7; 8_000_000], digest: None, client_has_it: false });
    first.answer(copy());
    second.answer(copy());
    third.answer(Answer::Refused { wait_ms: None });
    front.until(|front| front.sockets.deliveries.is_empty().then_some(()));
    let ends = read_ends(client);
    let order: Vec<u8> = ids.iter().map(|_| front.until(|_| ends.try_recv().ok())).collect();
    assert_eq!(order, [1, 3, 2]);
}

/// Gives all records of a request this number.
fn number_records(bytes: &mut [u8], id: u8) {
    let mut at = 0;
    while at < bytes.len() {
        bytes[at + 3] = id;
        at += 8 + usize::from(u16::from_be_bytes([bytes[at + 4], bytes[at + 5]]));
    }
}

/// Reads on a thread of its own; the numbers of the requests in the order in which they end.
fn read_ends(mut client: TcpStream) -> Receiver<u8> {
    let (to, ends) = unbounded();
    std::thread::spawn(move || {
        let mut head = [0; 8];
        while client.read_exact(&mut head).is_ok() {
            let rest = usize::from(u16::from_be_bytes([head[4], head[5]])) + usize::from(head[6]);
            if client.read_exact(&mut vec![0; rest]).is_err() || (head[1] == 3 && to.send(head[3]).is_err()) {
                return;
            }
        }
    });
    ends
}

/// `epoll_ctl` fails for a while under an open request whose answer is longer than the socket takes: the connection stays, and
/// the answer is whole once the calls succeed again.
#[test]
fn a_failing_registration_loses_no_answer() {
    const LENGTH: usize = 8 << 20;
    let mut front = Front::start();
    let mut client = front.connect();
    client.write_all(&request("00000000000000a1", true)).unwrap();
    let responder = front.taken();
    let epoll = front.break_epoll();
    let copy = ServedCopy { bytes: vec![b'x'; LENGTH], digest: None, client_has_it: false };
    responder.answer(Answer::Served(copy));
    // The thread of the sockets takes the delivery, and can't ask to be told when the socket takes more.
    front.sockets.serve(&[], &mut [0; READ]);
    assert_eq!(front.sockets.connections.len(), 1, "it stays");
    assert_eq!(front.sockets.unregistered.len(), 1);
    front.sockets.serve(&[], &mut [0; READ]);
    assert_eq!(front.sockets.unregistered.len(), 1, "and is tried again");
    front.sockets.epoll = epoll;
    let reader = std::thread::spawn(move || {
        let mut length = 0;
        let mut buffer = vec![0; 1 << 16];
        while length < LENGTH {
            length += client.read(&mut buffer).unwrap();
        }
    });
    front.until(|_| reader.is_finished().then_some(()));
    reader.join().unwrap();
    assert!(front.sockets.unregistered.is_empty());
}
