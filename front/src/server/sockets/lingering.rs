//! Connections that this side has shut down: they are read from until their clients close them too. Closing a socket with
//! unread bytes resets it and loses the last answers.

use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use super::connection::is_transient;
use crate::server::clients::Admitted;

/// A connection is read from within these limits of time and bytes.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_LINGER_BYTES: usize = 1 << 20;

/// A connection that this side has shut down: its remaining input is discarded.
pub(super) struct Lingering {
    admitted: Admitted,
    deadline: Instant,
    bytes_left: usize,
}

impl Lingering {
    /// Begins to wait for the client of a connection that has been shut down.
    pub(super) fn new(admitted: Admitted) -> Lingering {
        Lingering { admitted, deadline: Instant::now() + LINGER_TIMEOUT, bytes_left: MAX_LINGER_BYTES }
    }

    /// Whether the client still has time to close its side.
    pub(super) fn has_time(&self, now: Instant) -> bool {
        now < self.deadline
    }

    /// Discards input; false once the connection is finished.
    pub(super) fn discard_input(&mut self, buffer: &mut [u8]) -> bool {
        let mut stream: &TcpStream = self.admitted.client.stream();
        match stream.read(buffer) {
            Ok(0) => false,
            Ok(length) => {
                self.bytes_left = self.bytes_left.saturating_sub(length);
                self.bytes_left > 0
            }
            Err(error) => is_transient(&error),
        }
    }
}
