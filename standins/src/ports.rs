//! Ports for programs that bind them later, or again after a restart.
//!
//! A port that the system hands out by itself may go to any other socket of the machine while nobody holds it. These ports lie
//! below that range, are handed out once by each test process, and were free for TCP and UDP when they were handed out.

use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::sync::atomic::{AtomicU16, Ordering::Relaxed};
use std::sync::LazyLock;

/// Where Linux says which ports it hands out by itself.
const EPHEMERAL_RANGE: &str = "/proc/sys/net/ipv4/ip_local_port_range";
/// The first such port where the system does not say.
const USUAL_FIRST_EPHEMERAL: u16 = 32_768;
/// Ports below are left to well-known services.
const FIRST_PORT: u16 = 10_240;

/// Where the search of this process stands; it begins anywhere, as other test processes may run beside it.
static NEXT: LazyLock<AtomicU16> =
    LazyLock::new(|| AtomicU16::new(RandomState::new().hash_one("ports") as u16));

/// A port that is free for TCP and UDP at all these addresses.
///
/// # Errors
/// The last error, if there is none.
pub fn free_port(addresses: &[IpAddr]) -> io::Result<u16> {
    let range = reserved_range();
    let mut last_error = io::Error::other("no port is below those that the system hands out by itself");
    for _ in range.clone() {
        let port = range.start + NEXT.fetch_add(1, Relaxed) % range.len() as u16;
        match is_free(addresses, port) {
            Ok(()) => return Ok(port),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

fn reserved_range() -> Range<u16> {
    let told = std::fs::read_to_string(EPHEMERAL_RANGE).unwrap_or_default();
    let first = told.split_whitespace().next().and_then(|word| word.parse().ok());
    FIRST_PORT..first.unwrap_or(USUAL_FIRST_EPHEMERAL)
}

fn is_free(addresses: &[IpAddr], port: u16) -> io::Result<()> {
    for address in addresses {
        let at = SocketAddr::new(*address, port);
        TcpListener::bind(at)?;
        UdpSocket::bind(at)?;
    }
    Ok(())
}
