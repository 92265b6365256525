//! Stand-ins for what is around a front, on loopback, each with its faults. All draw from a seed: what one does is
//! decided by it and by what it is asked, not by time. Not part of the program.

#![expect(missing_docs, reason = "not documented in full yet: see docs/ROADMAP.md")]

pub mod bus;
pub mod faults;
pub mod fleet;
pub mod front;
pub mod links;
pub mod node;
pub mod ports;
pub mod resolver;
pub mod shopper;
pub mod tcp_proxy;
pub mod till;
pub mod web_server;

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// A wait for a condition ends in a failure after this: far more than any takes.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until something holds; false where it never does.
pub fn until(mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        if Instant::now() > end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    true
}

/// Listeners on one port of several addresses.
pub fn one_port(ips: &[IpAddr]) -> std::io::Result<Vec<TcpListener>> {
    let mut last = None;
    for _ in 0..64 {
        let mut all: Vec<TcpListener> = Vec::new();
        let mut port = 0;
        for ip in ips {
            match TcpListener::bind(SocketAddr::new(*ip, port)) {
                Ok(listener) => {
                    port = listener.local_addr()?.port();
                    all.push(listener);
                }
                Err(why) => {
                    last = Some(why);
                    break;
                }
            }
        }
        if all.len() == ips.len() {
            return Ok(all);
        }
    }
    Err(last.unwrap_or_else(|| std::io::Error::other("no addresses")))
}
