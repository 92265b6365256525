//! The sockets with which a name server queries the state of other fronts and notifies its secondaries.

use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::time::Duration;

use elmtide::Ms;
use elmtide_dns::notify::{Ended, Notifier};
use elmtide_dns::peers::Peers;
use elmtide_dns::time::Now;
use elmtide_steering::Steering;
use rustix::event::{poll, PollFd, PollFlags, Timespec};

use crate::process::clock;

/// UDP sockets for queries to other fronts and for notifications to secondaries.
pub struct PeerSockets {
    v4: UdpSocket,
    v6: Option<UdpSocket>,
}

impl PeerSockets {
    /// # Errors
    /// If the IPv4 socket can't be created.
    pub fn bind() -> std::io::Result<PeerSockets> {
        let v4 = UdpSocket::bind("127.0.0.1:0")?;
        v4.set_nonblocking(true)?;
        let v6 = UdpSocket::bind("[::1]:0").ok();
        if let Some(v6) = &v6 {
            v6.set_nonblocking(true)?;
        }
        Ok(PeerSockets { v4, v6 })
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        let socket = match to.ip() {
            IpAddr::V4(_) => Some(&self.v4),
            IpAddr::V6(_) => self.v6.as_ref(),
        };
        // A query or notification lost here is sent again.
        if let Some(socket) = socket {
            let _ = socket.send_to(bytes, to);
        }
    }

    /// Processes received datagrams and sends the queries and notifications that are due.
    pub fn turn(
        &self,
        peers: &mut Option<Peers>,
        steering: &mut Option<Steering>,
        notifier: &mut Option<Notifier>,
        now: Ms,
    ) {
        let mut bytes = [0; 2048];
        let times = Now { steady: now, unix_s: clock::wall_s() };
        for socket in [Some(&self.v4), self.v6.as_ref()].into_iter().flatten() {
            for _ in 0..64 {
                let Ok((got, from)) = socket.recv_from(&mut bytes) else { break };
                let said = &bytes[..got];
                if let Some((front, condition)) = peers.as_mut().and_then(|p| p.received(from, said)) {
                    if let Some(steering) = steering {
                        steering.report(front, condition, now);
                    }
                } else if let Some(ended) = notifier.as_mut().and_then(|n| n.received(from, said, times)) {
                    report_end(ended);
                }
            }
        }
        while let Some((to, bytes)) = peers.as_mut().and_then(|p| p.poll(now)) {
            self.send(to, &bytes);
        }
        while let Some(next) = notifier.as_mut().and_then(|n| n.poll(times)) {
            match next {
                Ok((to, bytes)) => self.send(to, &bytes),
                Err(ended) => report_end(ended),
            }
        }
    }

    /// Waits until a datagram arrives or the timeout expires.
    pub fn wait(&self, timeout: Duration) {
        let sockets = [Some(&self.v4), self.v6.as_ref()];
        let mut fds: Vec<PollFd<'_>> =
            sockets.into_iter().flatten().map(|s| PollFd::new(s, PollFlags::IN)).collect();
        let timeout = Timespec { tv_sec: 0, tv_nsec: i64::from(timeout.subsec_nanos()) };
        let _ = poll(&mut fds, Some(&timeout));
    }
}

/// Logs the result of a notification to a secondary.
fn report_end(ended: Ended) {
    match ended {
        Ended::Heard(_) => {}
        Ended::Declined(at, code) => eprintln!("notify: {at} declines with code {}", code.0),
        Ended::Silent(at) => {
            eprintln!("notify: {at} does not answer; it learns of the change by itself, later")
        }
    }
}
