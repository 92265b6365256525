use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use super::{DatagramListener, Isolation, ReleaseTimer, MAX_ISOLATED, RELEASE_INTERVAL_MS};

const BUFFER_BYTES: usize = 512;
/// More datagrams than any of the queues holds.
const FLOOD: usize = 60_000;

fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.local_addr().unwrap()
}

fn listener() -> DatagramListener {
    let listener = DatagramListener::bind(free_address()).unwrap();
    listener.shared.set_nonblocking(true).unwrap();
    listener
}

fn sender(listener: &DatagramListener) -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.connect(listener.shared.local_addr().unwrap()).unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    socket
}

/// Reads the shared socket until it is empty; returns each datagram with its sender.
fn drain_shared(listener: &DatagramListener, isolation: &mut Isolation) -> Vec<(SocketAddr, Vec<u8>)> {
    let mut buffer = [0; BUFFER_BYTES];
    let mut all = Vec::new();
    while let Ok((length, from)) = listener.shared.recv_from(&mut buffer) {
        isolation.observe(from, 0.0);
        all.push((from, buffer[..length].to_vec()));
    }
    all
}

/// Reads the isolated senders' queues until they are empty; returns each datagram with its sender.
fn drain_isolated(listener: &DatagramListener) -> Vec<(SocketAddr, Vec<u8>)> {
    let mut all = Vec::new();
    loop {
        let before = all.len();
        listener.isolated.receive(&mut [0; BUFFER_BYTES], |_, bytes, from| all.push((from, bytes.to_vec())));
        if all.len() == before {
            return all;
        }
    }
}

/// A flood fills only its sender's queue: datagrams that others send while nothing is read are received afterwards.
#[test]
fn a_flood_while_nothing_is_read_drops_no_datagrams_of_other_senders() {
    let listener = listener();
    let mut isolation = Isolation::new(listener.isolated.clone());
    let (flooder, other) = (sender(&listener), sender(&listener));
    (0..1000).for_each(|_| drop(flooder.send(b"flood")));
    drain_shared(&listener, &mut isolation);
    (0..FLOOD).for_each(|_| drop(flooder.send(b"flood")));
    (0..100).for_each(|_| assert_eq!(other.send(b"other").unwrap(), 5));
    let read = drain_shared(&listener, &mut isolation);
    assert_eq!(read, vec![(other.local_addr().unwrap(), b"other".to_vec()); 100]);
    let of_flooder = drain_isolated(&listener);
    assert!(!of_flooder.is_empty());
    assert!(of_flooder.iter().all(|(from, _)| *from == flooder.local_addr().unwrap()));
}

/// An answer to an isolated sender comes from the listener's address, like any other answer.
#[test]
fn an_isolated_sender_is_answered_from_the_same_address() {
    let listener = listener();
    let flooder = sender(&listener);
    assert!(listener.isolated.isolate(flooder.local_addr().unwrap()));
    flooder.send(b"question").unwrap();
    let mut answered = 0;
    listener.isolated.receive(&mut [0; BUFFER_BYTES], |socket, bytes, from| {
        assert_eq!(bytes, b"question");
        socket.send_to(b"answer", from).unwrap();
        answered += 1;
    });
    assert_eq!(answered, 1);
    let mut buffer = [0; BUFFER_BYTES];
    // The socket is connected, so it receives only from the listener's address.
    assert_eq!(flooder.recv(&mut buffer).unwrap(), 6);
}

/// Queues of idle senders are released and given to others, and datagrams still in them are read.
#[test]
fn a_queue_of_an_idle_sender_is_reused_without_losing_datagrams() {
    let listener = listener();
    let mut timer = ReleaseTimer::default();
    for round in 1..4 {
        let senders: Vec<UdpSocket> = (0..MAX_ISOLATED).map(|_| sender(&listener)).collect();
        for one in &senders {
            assert!(listener.isolated.isolate(one.local_addr().unwrap()), "round {round}");
            one.send(b"question").unwrap();
        }
        let now = RELEASE_INTERVAL_MS * f64::from(round);
        assert!(timer.release_if_due(&listener.isolated, now));
        assert!(!timer.release_if_due(&listener.isolated, now + 1.0));
        assert_eq!(drain_isolated(&listener).len(), MAX_ISOLATED);
    }
}

#[test]
fn a_sender_gets_one_queue_and_the_number_of_queues_is_bounded() {
    let listener = listener();
    let senders: Vec<UdpSocket> = (0..=MAX_ISOLATED).map(|_| sender(&listener)).collect();
    let given = senders.iter().filter(|s| listener.isolated.isolate(s.local_addr().unwrap())).count();
    assert_eq!(given, MAX_ISOLATED);
    assert!(!listener.isolated.isolate(senders[0].local_addr().unwrap()));
}

/// The listener's sockets share its address; no other socket can bind it.
#[test]
fn the_address_cannot_be_bound_by_other_sockets() {
    let listener = listener();
    let address = listener.shared.local_addr().unwrap();
    assert_eq!(UdpSocket::bind(address).unwrap_err().kind(), std::io::ErrorKind::AddrInUse);
    assert_eq!(DatagramListener::bind(address).unwrap_err().kind(), std::io::ErrorKind::AddrInUse);
    drop(listener);
    DatagramListener::bind(address).unwrap();
}
