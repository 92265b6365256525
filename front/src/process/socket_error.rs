//! What a failed call on a socket calls for, by the errors that Linux documents for it. Every socket of the program goes by this.

use std::io::{self, ErrorKind};

use rustix::io::Errno;

/// The call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `socket` or `bind` of an address of our own.
    Bind,
    /// `accept`.
    Accept,
    /// `socket` or `connect` to a peer.
    Connect,
    /// `recv` of a datagram.
    ReceiveDatagram,
}

/// What is to be done about a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remedy {
    /// The same call again: it was interrupted, or its error was that of one connection, which has gone.
    RetryNow,
    /// The call again when the socket is ready.
    WaitUntilReady,
    /// The call again after a pause: this machine is short of something, or an address is in use for a while.
    BackOff,
    /// The connection is of no use, for a reason of its peer or of the way there.
    DropConnection,
    /// The call fails each time: the socket, or what was asked of it, is wrong.
    GiveUp,
}

/// Errors that say that this machine is short of descriptors or memory.
const SHORTAGES: [Errno; 4] = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
/// Errors of the connection that was to be accepted: Linux passes its pending network errors on as errors of `accept`.
const ERRORS_OF_THE_ACCEPTED: [Errno; 10] = [
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
/// Errors of an address of our own that another socket may give up, or an interface may get, a moment later.
const ADDRESS_UNAVAILABLE: [Errno; 2] = [Errno::ADDRINUSE, Errno::ADDRNOTAVAIL];
/// Errors of `connect` whose cause is the peer, or the way to it: EADDRNOTAVAIL says that no port is left for this very peer, or
/// that its address is none.
const ERRORS_OF_THE_PEER: [Errno; 6] = [
    Errno::CONNREFUSED,
    Errno::CONNRESET,
    Errno::TIMEDOUT,
    Errno::HOSTUNREACH,
    Errno::NETUNREACH,
    Errno::ADDRNOTAVAIL,
];

/// Errors that a datagram socket passes on of what it has sent before: nobody listens there, or there is no way.
const ERRORS_OF_EARLIER_DATAGRAMS: [Errno; 5] =
    [Errno::CONNREFUSED, Errno::HOSTUNREACH, Errno::NETUNREACH, Errno::HOSTDOWN, Errno::NETDOWN];

/// What a failed call calls for.
pub fn remedy(call: Call, error: &io::Error) -> Remedy {
    if error.kind() == ErrorKind::Interrupted {
        return Remedy::RetryNow;
    }
    // The standard library's own time limits have a kind and no number.
    let Some(errno) = Errno::from_io_error(error) else {
        return match error.kind() {
            ErrorKind::TimedOut => Remedy::DropConnection,
            _ => Remedy::GiveUp,
        };
    };
    if SHORTAGES.contains(&errno) {
        return Remedy::BackOff;
    }
    match call {
        Call::Accept if errno == Errno::AGAIN => Remedy::WaitUntilReady,
        Call::Accept if ERRORS_OF_THE_ACCEPTED.contains(&errno) => Remedy::RetryNow,
        Call::Bind if ADDRESS_UNAVAILABLE.contains(&errno) => Remedy::BackOff,
        // No entry is left in the routing cache.
        Call::Connect if errno == Errno::AGAIN => Remedy::BackOff,
        Call::Connect if ERRORS_OF_THE_PEER.contains(&errno) => Remedy::DropConnection,
        Call::ReceiveDatagram if errno == Errno::AGAIN => Remedy::WaitUntilReady,
        Call::ReceiveDatagram if ERRORS_OF_EARLIER_DATAGRAMS.contains(&errno) => Remedy::RetryNow,
        Call::Bind | Call::Accept | Call::Connect | Call::ReceiveDatagram => Remedy::GiveUp,
    }
}

#[cfg(test)]
mod tests;
