//! The sockets by which a name server asks the other fronts how they are, and notifies its secondaries.

use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::time::Duration;

use elmtide::Ms;
use elmtide_dns::notify::{Ended, Notifier};
use elmtide_dns::peers::Peers;
use elmtide_dns::time::Now;
use elmtide_steering::Steering;
use rustix::event::{poll, PollFd, PollFlags, Timespec};

use crate::process::clock;

/// By which other fronts are asked and secondaries told.
pub struct PeerSockets {
    v4: UdpSocket,
    v6: Option<UdpSocket>,
}

impl PeerSockets {
    /// # Errors
    /// If no socket is to be had.
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
        // What is lost here is asked again.
        if let Some(socket) = socket {
            let _ = socket.send_to(bytes, to);
        }
    }

    /// Takes in what has come, and sends what is due.
    pub fn turn(
        &self,
        peers: &mut Option<Peers>,
        steering: &mut Option<Steering>,
        notifier: &mut Option<Notifier>,
        now: Ms,
    ) {
        let mut bytes = [0; 2048];
        let both = Now { steady: now, unix_s: clock::wall_s() };
        for socket in [Some(&self.v4), self.v6.as_ref()].into_iter().flatten() {
            for _ in 0..64 {
                let Ok((got, from)) = socket.recv_from(&mut bytes) else { break };
                let said = &bytes[..got];
                if let Some((front, condition)) = peers.as_mut().and_then(|p| p.received(from, said)) {
                    if let Some(steering) = steering {
                        steering.report(front, condition, now);
                    }
                } else if let Some(ended) = notifier.as_mut().and_then(|n| n.received(from, said, both)) {
                    report_end(ended);
                }
            }
        }
        while let Some((to, bytes)) = peers.as_mut().and_then(|p| p.poll(now)) {
            self.send(to, &bytes);
        }
        while let Some(next) = notifier.as_mut().and_then(|n| n.poll(both)) {
            match next {
                Ok((to, bytes)) => self.send(to, &bytes),
                Err(ended) => report_end(ended),
            }
        }
    }

    /// Until something comes, or so long.
    pub fn wait(&self, most: Duration) {
        let sockets = [Some(&self.v4), self.v6.as_ref()];
        let mut fds: Vec<PollFd<'_>> =
            sockets.into_iter().flatten().map(|s| PollFd::new(s, PollFlags::IN)).collect();
        let most = Timespec { tv_sec: 0, tv_nsec: i64::from(most.subsec_nanos()) };
        let _ = poll(&mut fds, Some(&most));
    }
}

/// Logs how a notice to a secondary ended.
fn report_end(ended: Ended) {
    match ended {
        Ended::Heard(_) => {}
        Ended::Declined(at, code) => eprintln!("notify: {at} declines with code {}", code.0),
        Ended::Silent(at) => {
            eprintln!("notify: {at} does not answer; it learns of the change by itself, later")
        }
    }
}
