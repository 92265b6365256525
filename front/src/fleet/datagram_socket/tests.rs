//! Floods, the limit of one sender, and wake-ups.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{DatagramCounters, FleetSocket, MAX_PER_SENDER};

/// More datagrams than any queue of the test can hold.
const FLOOD: usize = 60_000;

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
    assert_eq!(socket.over_limit(), MAX_PER_SENDER as u64);
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
