//! The name server over UDP: threads for the socket that all senders share, and one thread for the queues of isolated
//! senders.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;

use elmtide::Ms;
use elmtide_dns::answer::{Client, Reaction, Server, Transport};

use super::{both_clocks, DnsContext, STOP_CHECK_INTERVAL};
use crate::edge::in_force::{InForce, Reader};
use crate::process::datagram_listener::{DatagramListener, IsolatedSenders, Isolation, ReleaseTimer};
use crate::process::start_gate::StartGate;
use crate::process::{clock, spawn};

/// Longer than any query that is accepted.
const QUERY_BYTES: usize = 4096;
const ANSWER_BYTES: usize = 4096;

/// Starts the threads of one address: `threads` for the shared socket, one for the isolated senders.
pub(super) fn start(
    listener: DatagramListener,
    threads: usize,
    in_force: &Arc<InForce>,
    shared: &Arc<DnsContext>,
    stop: &Arc<AtomicBool>,
    gate: &StartGate,
) -> io::Result<()> {
    let DatagramListener { shared: socket, isolated } = listener;
    socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
    for _ in 0..threads {
        let responder = Responder::new(in_force, shared);
        let isolation = Isolation::new(isolated.clone());
        let (socket, stop, gate) = (socket.try_clone()?, stop.clone(), gate.clone());
        let run = move || {
            gate.wait();
            serve_shared(&socket, responder, isolation, &stop);
        };
        spawn("dns-udp", run)?;
    }
    let responder = Responder::new(in_force, shared);
    shared.datagrams.watch(&socket, &isolated);
    let (stop, gate) = (stop.clone(), gate.clone());
    let run = move || {
        gate.wait();
        serve_isolated(&isolated, responder, &stop);
    };
    spawn("dns-isolated", run).map(drop)
}

fn serve_shared(socket: &UdpSocket, mut responder: Responder, mut isolation: Isolation, stop: &AtomicBool) {
    let mut bytes = [0; QUERY_BYTES];
    while !stop.load(Relaxed) {
        let (length, from) = match socket.recv_from(&mut bytes) {
            Ok(received) => received,
            // After a timeout `stop` is checked. Any other error concerns a single client, or is a temporary shortage.
            Err(error) => {
                responder.count_failed_receive(&error);
                continue;
            }
        };
        let now = clock::steady_ms();
        let counters = &responder.shared.datagrams;
        counters.received.fetch_add(1, Relaxed);
        let isolated = isolation.observe(from, now);
        if isolated > 0 {
            counters.isolations.fetch_add(isolated as u64, Relaxed);
            responder.shared.log.write(|| format!("dns: {from} is flooding: moved to its own queue"));
        }
        responder.respond(socket, &bytes[..length], from, now);
    }
}

fn serve_isolated(senders: &IsolatedSenders, mut responder: Responder, stop: &AtomicBool) {
    let mut bytes = [0; QUERY_BYTES];
    let mut timer = ReleaseTimer::default();
    while !stop.load(Relaxed) {
        senders.wait(STOP_CHECK_INTERVAL);
        let now = clock::steady_ms();
        senders.receive(&mut bytes, |socket, query, from| {
            responder.shared.datagrams.isolated_received.fetch_add(1, Relaxed);
            responder.respond(socket, query, from, now);
        });
        if timer.release_if_due(senders, now) && !senders.sockets_in_use().is_empty() {
            responder.report_drops();
        }
    }
}

/// Answers queries; each thread applies its own limits.
struct Responder {
    reader: Reader,
    server: Server,
    shared: Arc<DnsContext>,
    answer: Vec<u8>,
}

impl Responder {
    fn new(in_force: &Arc<InForce>, shared: &Arc<DnsContext>) -> Responder {
        let mut reader = in_force.reader();
        let server = shared.server(reader.load().limits);
        Responder { reader, server, shared: shared.clone(), answer: Vec::with_capacity(ANSWER_BYTES) }
    }

    /// Answers one query.
    fn respond(&mut self, socket: &UdpSocket, query: &[u8], from: SocketAddr, now: Ms) {
        let state = self.reader.load();
        let Some(served) = &state.served else { return };
        if *self.server.limits() != state.limits {
            self.server = self.shared.server(state.limits);
        }
        let client = Client { address: from.ip(), transport: Transport::Udp };
        let (server, out) = (&mut self.server, &mut self.answer);
        match catch_unwind(AssertUnwindSafe(|| server.answer(served, client, both_clocks(now), query, out))) {
            Ok(Reaction::Reply) => self.send(socket, from),
            Ok(Reaction::Silence | Reaction::Transfer(_)) => {}
            Err(_) => self.shared.log.write(|| format!("dns: panic while answering a query from {from}")),
        }
    }

    fn send(&self, socket: &UdpSocket, to: SocketAddr) {
        let counters = &self.shared.datagrams;
        let counter = match socket.send_to(&self.answer, to) {
            Ok(_) => &counters.sent,
            Err(_) => &counters.send_failed,
        };
        counter.fetch_add(1, Relaxed);
    }

    fn count_failed_receive(&self, error: &io::Error) {
        if !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted) {
            self.shared.datagrams.receive_failed.fetch_add(1, Relaxed);
        }
    }

    /// Logs the number of datagrams that the system has dropped since the last call, where any sender may have been
    /// affected.
    fn report_drops(&self) {
        let dropped = self.shared.datagrams.refresh_drops();
        if dropped > 0 {
            self.shared
                .log
                .write(|| format!("dns: the system dropped {dropped} datagrams before they were read"));
        }
    }
}
