//! How to react to a failed socket call, by the errors that Linux documents for it. All sockets of the program use
//! this.

use std::io::{self, ErrorKind};

use rustix::io::Errno;

/// The call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `socket` or `bind` to a local address.
    Bind,
    /// `accept`.
    Accept,
    /// `socket` or `connect` to a peer.
    Connect,
    /// `recv` of a datagram.
    ReceiveDatagram,
}

/// The reaction to a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remedy {
    /// Repeat the call at once: it was interrupted, or the error belonged to a single connection that no longer exists.
    RetryNow,
    /// Repeat the call when the socket is ready.
    WaitUntilReady,
    /// Repeat the call after a pause: this machine is short of a resource, or an address is temporarily in use.
    BackOff,
    /// Drop the connection: its peer or the network path failed.
    DropConnection,
    /// Do not retry: the socket or the call is invalid and would fail every time.
    GiveUp,
}

/// Errors that mean that this machine is short of descriptors or memory.
const SHORTAGE_ERRORS: [Errno; 4] = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
/// Errors of the connection to be accepted: Linux returns its pending network errors as errors of `accept`.
const ACCEPTED_CONNECTION_ERRORS: [Errno; 10] = [
    Errno::CONNABORTED,
    Errno::PERM,
    Errno::PROTO,
    Errno::NETDOWN,
    Errno::NOPROTOOPT,
    Errno::HOSTDOWN,
    Errno::NONET,
    Errno::HOSTUNREACH,
    Errno::OPNOTSUPP,
    Errno::NETUNREACH,
];
/// Errors of a local address that another socket may release, or that an interface may get, a moment later.
const UNAVAILABLE_ADDRESS_ERRORS: [Errno; 2] = [Errno::ADDRINUSE, Errno::ADDRNOTAVAIL];
/// Errors of `connect` caused by the peer or the network path to it. EADDRNOTAVAIL means that no local port is left for
/// this peer, or that its address is invalid.
const PEER_ERRORS: [Errno; 6] = [
    Errno::CONNREFUSED,
    Errno::CONNRESET,
    Errno::TIMEDOUT,
    Errno::HOSTUNREACH,
    Errno::NETUNREACH,
    Errno::ADDRNOTAVAIL,
];

/// Errors of earlier sends that a datagram socket reports later: nothing listens at the destination, or it is
/// unreachable.
const EARLIER_DATAGRAM_ERRORS: [Errno; 5] =
    [Errno::CONNREFUSED, Errno::HOSTUNREACH, Errno::NETUNREACH, Errno::HOSTDOWN, Errno::NETDOWN];

/// The reaction to a failed call.
pub fn remedy(call: Call, error: &io::Error) -> Remedy {
    if error.kind() == ErrorKind::Interrupted {
        return Remedy::RetryNow;
    }
    // Timeouts of the standard library have a kind but no error number.
    let Some(errno) = Errno::from_io_error(error) else {
        return match error.kind() {
            ErrorKind::TimedOut => Remedy::DropConnection,
            _ => Remedy::GiveUp,
        };
    };
    if SHORTAGE_ERRORS.contains(&errno) {
        return Remedy::BackOff;
    }
    match call {
        Call::Accept if errno == Errno::AGAIN => Remedy::WaitUntilReady,
        Call::Accept if ACCEPTED_CONNECTION_ERRORS.contains(&errno) => Remedy::RetryNow,
        Call::Bind if UNAVAILABLE_ADDRESS_ERRORS.contains(&errno) => Remedy::BackOff,
        // The routing cache is full.
        Call::Connect if errno == Errno::AGAIN => Remedy::BackOff,
        Call::Connect if PEER_ERRORS.contains(&errno) => Remedy::DropConnection,
        Call::ReceiveDatagram if errno == Errno::AGAIN => Remedy::WaitUntilReady,
        Call::ReceiveDatagram if EARLIER_DATAGRAM_ERRORS.contains(&errno) => Remedy::RetryNow,
        Call::Bind | Call::Accept | Call::Connect | Call::ReceiveDatagram => Remedy::GiveUp,
    }
}

#[cfg(test)]
mod tests;
