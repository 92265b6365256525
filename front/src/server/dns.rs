//! The sockets of the authoritative name server. The answers are decided in `elmtide_dns`; they contain only
//! addresses of this fleet.

mod datagrams;
mod streams;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

use elmtide::Ms;
use elmtide_dns::answer::{Counts, Server};
use elmtide_dns::time::Now;
use elmtide_ratelimit::{Limiter, Limits};

use crate::edge::in_force::InForce;
use crate::process::datagram_counters::DatagramCounters;
use crate::process::datagram_listener::DatagramListener;
use crate::process::log::RateLimitedLog;
use crate::process::start_gate::StartGate;
use crate::process::{clock, spawn};

/// The interval at which blocked threads check whether to stop, and connections are checked for timeouts.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A moment by both clocks that a name server needs.
fn both_clocks(steady: Ms) -> Now {
    Now { steady, unix_s: clock::wall_s() }
}

/// State that all name server threads of the process share.
pub struct DnsContext {
    pub counts: Arc<Counts>,
    /// Counters of datagrams received, sent and dropped.
    pub datagrams: Arc<DatagramCounters>,
    pub log: RateLimitedLog,
    pub seed: u64,
}

impl DnsContext {
    fn server(&self, limits: Limits) -> Server {
        Server::new(Limiter::new(limits, self.seed), self.counts.clone())
    }
}

/// The bound sockets of one address, not served yet.
pub struct DnsSockets {
    udp: DatagramListener,
    tcp: TcpListener,
    threads: usize,
}

impl DnsSockets {
    /// Binds UDP and TCP to the same port; with port 0, to any port that is free for both.
    pub fn bind(at: SocketAddr, threads: usize) -> io::Result<DnsSockets> {
        let mut retries_left = 8;
        loop {
            let tcp = TcpListener::bind(at)?;
            match DatagramListener::bind(tcp.local_addr()?) {
                Ok(udp) => return Ok(DnsSockets { udp, tcp, threads }),
                Err(error) if at.port() != 0 || retries_left == 0 => return Err(error),
                Err(_) => retries_left -= 1,
            }
        }
    }

    /// The address that both sockets are bound to.
    ///
    /// # Errors
    /// As the system call.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.tcp.local_addr()
    }

    /// Starts the threads that serve the sockets once the gate opens; until then, datagrams and connections wait in the
    /// sockets.
    ///
    /// # Errors
    /// If a thread cannot be started. Threads that run already end once the gate is open and `stop` is set.
    pub fn start(
        self,
        in_force: &Arc<InForce>,
        shared: &Arc<DnsContext>,
        stop: &Arc<AtomicBool>,
        gate: &StartGate,
    ) -> io::Result<()> {
        let DnsSockets { udp, tcp, threads } = self;
        let streams = streams::Streams::new(tcp, in_force.clone(), shared.clone())?;
        datagrams::start(udp, threads, in_force, shared, stop, gate)?;
        let (stop, gate) = (stop.clone(), gate.clone());
        let run = move || {
            gate.wait();
            streams.run(&stop);
        };
        spawn("dns-tcp", run).map(drop)
    }
}
