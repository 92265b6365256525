//! Floods, the limit of one sender, and wake-ups.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::{Duration, Instant};

use elmtide_fleet::datagram::MAX_DATAGRAMS_PER_MESSAGE;

use super::deferred::{DeferredDatagrams, MAX_DEFERRED};
use super::{DatagramCounters, FleetSocket, MAX_PER_SENDER};

/// More datagrams than any queue of the test can hold.
const FLOOD: usize = 60_000;
/// As many datagrams as the system's queue holds on any machine.
const BURST: usize = 150;

fn socket() -> (FleetSocket, Arc<DatagramCounters>) {
    let counters: Arc<DatagramCounters> = Arc::default();
    let unspecified_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
    (FleetSocket::bind(unspecified_port, counters.clone()).unwrap(), counters)
}

fn sender(to: &FleetSocket) -> UdpSocket {
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    sender.connect(to.local_addr().unwrap()).unwrap();
    sender
}

/// Receives until no further datagram arrives.
fn receive_all(socket: &mut FleetSocket) -> Vec<Vec<u8>> {
    let mut all = Vec::new();
    loop {
        socket.wait(Duration::from_millis(20));
        let received = socket.receive();
        if received.is_empty() {
            return all;
        }
        all.extend(received);
    }
}

/// A flood fills only its sender's queue: what a front sends while the thread does not read is read afterwards.
#[test]
fn a_flood_while_the_thread_does_not_read_drops_no_datagram_of_a_front() {
    let (mut socket, counters) = socket();
    let (flooder, front) = (sender(&socket), sender(&socket));
    (0..1000).for_each(|_| drop(flooder.send(b"flood")));
    receive_all(&mut socket);
    (0..FLOOD).for_each(|_| drop(flooder.send(b"flood")));
    (0..50).for_each(|_| assert_eq!(front.send(b"front").unwrap(), 5));
    let of_front = receive_all(&mut socket).iter().filter(|datagram| *datagram == b"front").count();
    assert_eq!(of_front, 50, "{counters:?}");
    assert_eq!(counters.isolations.load(Relaxed), 1);
}

#[test]
fn one_sender_cannot_take_up_a_whole_receive_call() {
    let (mut socket, _) = socket();
    let (one, other) = (sender(&socket), sender(&socket));
    (0..MAX_PER_SENDER * 2).for_each(|_| drop(one.send(b"one")));
    other.send(b"other").unwrap();
    socket.wait(Duration::from_secs(10));
    let received_datagrams = socket.receive();
    assert_eq!(received_datagrams.len(), MAX_PER_SENDER + 1);
    assert_eq!(received_datagrams.last().unwrap(), b"other");
    assert_eq!(socket.over_limit(), 0);
    socket.wait(Duration::from_secs(10));
    assert_eq!(socket.receive().len(), MAX_PER_SENDER, "the rest comes with the next call");
}

/// Above the limit of one call, the datagrams of a message were dropped: a large snapshot was sent again and again, and
/// lost the same part each time.
#[test]
fn a_long_message_is_received_whole_and_in_order_while_the_thread_does_not_read() {
    let (mut socket, counters) = socket();
    let front = sender(&socket);
    let sent: Vec<Vec<u8>> = (0..BURST).map(|n| [&n.to_le_bytes()[..], &[7; 1000]].concat()).collect();
    sent.iter().for_each(|datagram| assert_eq!(front.send(datagram).unwrap(), datagram.len()));
    assert!(receive_all(&mut socket) == sent, "{counters:?}, {} over the limit", socket.over_limit());
}

#[test]
fn deferred_datagrams_are_bounded_by_sender_and_by_their_number() {
    let mut deferred = DeferredDatagrams::default();
    let address = |port: usize| SocketAddr::from(([127, 0, 0, 1], port as u16));
    let of_one = (0..2 * MAX_DATAGRAMS_PER_MESSAGE).filter(|_| deferred.defer(address(1), b"one")).count();
    assert_eq!(of_one, MAX_DATAGRAMS_PER_MESSAGE);
    let of_others = (0..20_000).filter(|n| deferred.defer(address(2 + n % 1000), b"other")).count();
    assert_eq!(of_one + of_others, MAX_DEFERRED);
    let mut datagrams = Vec::new();
    let released = deferred.release(2, &mut datagrams);
    assert_eq!((released[&address(1)], released[&address(2)]), (2, 2));
    while !deferred.is_empty() {
        deferred.release(MAX_PER_SENDER, &mut datagrams);
    }
    assert_eq!(datagrams.len(), MAX_DEFERRED);
}

#[test]
fn a_waker_ends_the_wait_without_delivering_a_datagram() {
    let (mut socket, counters) = socket();
    let waker = socket.waker().unwrap();
    let started_at = Instant::now();
    waker.wake();
    socket.wait(Duration::from_secs(60));
    assert!(started_at.elapsed() < Duration::from_secs(30));
    assert!(socket.receive().is_empty());
    assert_eq!(counters.received.load(Relaxed), 0);
}
