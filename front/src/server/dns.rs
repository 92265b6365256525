//! The authoritative name server's sockets. What is answered is decided in `elmtide_dns`; it names addresses of ours and no
//! others.

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
use crate::process::log::Log;
use crate::process::start_gate::StartGate;
use crate::process::{clock, spawn};

/// So often a waiting thread looks whether it is to stop, and a connection whether its time is up.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A moment of this process's time line by both clocks that a name server needs.
fn at(steady: Ms) -> Now {
    Now { steady, unix_s: clock::wall_s() }
}

/// What the name servers of a process share.
pub struct Shared {
    pub counts: Arc<Counts>,
    /// What becomes of datagrams on the way to and from the name servers.
    pub datagrams: Arc<DatagramCounters>,
    pub log: Log,
    pub seed: u64,
}

impl Shared {
    fn server(&self, limits: Limits) -> Server {
        Server::new(Limiter::new(limits, self.seed), self.counts.clone())
    }
}

/// The sockets of one address, bound and not yet served.
pub struct DnsSockets {
    udp: DatagramListener,
    tcp: TcpListener,
    threads: usize,
}

impl DnsSockets {
    /// Both on one port; with port 0 any that both can have.
    pub fn bind(at: SocketAddr, threads: usize) -> io::Result<DnsSockets> {
        let mut left = 8;
        loop {
            let tcp = TcpListener::bind(at)?;
            match DatagramListener::bind(tcp.local_addr()?) {
                Ok(udp) => return Ok(DnsSockets { udp, tcp, threads }),
                Err(why) if at.port() != 0 || left == 0 => return Err(why),
                Err(_) => left -= 1,
            }
        }
    }

    pub fn at(&self) -> io::Result<SocketAddr> {
        self.tcp.local_addr()
    }

    /// Serves on threads of their own from the moment in which the gate opens; until then, what comes waits in the sockets.
    ///
    /// # Errors
    /// If a thread can't be started. Those that run already end once the gate is open and `stop` is set.
    pub fn start(
        self,
        in_force: &Arc<InForce>,
        shared: &Arc<Shared>,
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
