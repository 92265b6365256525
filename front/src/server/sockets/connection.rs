//! One client connection of the event loop: what its socket's events do to its session, and what the loop has to do for
//! it next.

use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;
use std::os::fd::OwnedFd;

use elmtide_drain::ConnectionAction;
use rustix::event::epoll::{self, EventData, EventFlags};

use crate::memory::mode::Mode;
use crate::process::clock;
use crate::server::clients::Admitted;
use crate::server::fastcgi::{ConnectionError, FastCgiSession, MAX_QUEUED_CHUNKS};
use crate::server::output_queue::Written;

/// An open connection of a client.
pub(super) struct Connection {
    pub(super) admitted: Admitted,
    /// Set once the client has violated the protocol: nothing is read from it any more, and the connection ends once
    /// its earlier requests have been answered.
    violation: Option<ConnectionError>,
    pub(super) session: FastCgiSession,
    interest: EventFlags,
}

/// Why a connection ends.
pub(super) enum End {
    /// The client closed it.
    ClosedByClient,
    /// This side closes it after the last answer.
    Finished,
    Failed(ConnectionError),
}

impl From<io::Error> for End {
    fn from(_: io::Error) -> End {
        End::ClosedByClient
    }
}

impl From<ConnectionError> for End {
    fn from(error: ConnectionError) -> End {
        match error {
            ConnectionError::Closed => End::Finished,
            error => End::Failed(error),
        }
    }
}

/// Whether the operation can be retried once the socket is ready again.
pub(super) fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

impl Connection {
    /// A connection that is registered for input.
    pub(super) fn new(admitted: Admitted, session: FastCgiSession) -> Connection {
        Connection { admitted, violation: None, session, interest: EventFlags::IN }
    }

    pub(super) fn stream(&self) -> &TcpStream {
        self.admitted.client.stream()
    }

    /// Handles events of the socket.
    pub(super) fn handle_events(&mut self, events: EventFlags, buffer: &mut [u8]) -> Result<(), End> {
        // A closed connection reports it whether or not its input is wanted. The client has left: what it sent before
        // and is still unread is not taken.
        if events.intersects(EventFlags::HUP | EventFlags::ERR) {
            // Where this side has closed it, what crossed the close is read and discarded, so that nothing is reset.
            return Err(if self.admitted.client.is_closing() { End::Finished } else { End::ClosedByClient });
        }
        let wants_input = self.violation.is_none() && !self.session.has_unhandled_records();
        if events.contains(EventFlags::IN) && wants_input {
            match self.stream().read(buffer) {
                Ok(0) => return Err(End::ClosedByClient),
                Ok(length) => {
                    let received = self.session.receive(&buffer[..length]);
                    self.note_violation(received);
                }
                Err(error) if is_transient(&error) => {}
                Err(_) => return Err(End::ClosedByClient),
            }
        }
        self.flush()
    }

    /// Handles records that were left at an earlier turn.
    pub(super) fn go_on(&mut self) -> Result<(), End> {
        if self.violation.is_none() && self.session.can_go_on() {
            let handled = self.session.handle_records();
            self.note_violation(handled);
        }
        self.flush()
    }

    fn note_violation(&mut self, received: Result<(), ConnectionError>) {
        if let Err(error) = received {
            self.session.stop_receiving();
            self.violation = Some(error);
        }
    }

    /// Writes as much as the client accepts now.
    pub(super) fn flush(&mut self) -> Result<(), End> {
        let client = self.admitted.client.clone();
        let mut stream: &TcpStream = client.stream();
        while !self.session.output.is_empty() {
            if self.session.output.is_at_chunk_start() {
                client.start_write();
            }
            match self.session.output.write_to(&mut stream)? {
                Written::Blocked => break,
                Written::Chunk { is_last } => {
                    client.finish_write();
                    // A connection that the drain closes ends once nothing is open or owed. This is checked as the
                    // answer goes out, not when it was queued, since more input may have arrived meanwhile.
                    if is_last || self.drain_action() == ConnectionAction::Close {
                        return Err(End::Finished);
                    }
                }
            }
        }
        match self.violation.take_if(|_| !self.session.owes_answer()) {
            Some(error) => Err(error.into()),
            None => Ok(()),
        }
    }

    /// What the drain prescribes for the connection now.
    fn drain_action(&self) -> ConnectionAction {
        if !self.mode().sends_away() {
            return ConnectionAction::Keep;
        }
        let phase = self.mode().drain_phase(clock::uptime());
        phase.connection_action(self.session.activity())
    }

    fn mode(&self) -> &Mode {
        self.session.mode()
    }

    /// The events that the connection needs now.
    fn wanted_interest(&self) -> EventFlags {
        let waiting = self.session.output.len();
        let wants_input =
            waiting < MAX_QUEUED_CHUNKS && self.violation.is_none() && !self.session.has_unhandled_records();
        let mut interest = if wants_input { EventFlags::IN } else { EventFlags::empty() };
        if waiting > 0 {
            interest |= EventFlags::OUT;
        }
        interest
    }

    /// Registers the events that the connection needs, if they have changed.
    pub(super) fn register_interest(&mut self, epoll: &OwnedFd, id: u64) -> rustix::io::Result<()> {
        let wanted = self.wanted_interest();
        if wanted != self.interest {
            epoll::modify(epoll, self.stream(), EventData::new_u64(id), wanted)?;
            self.interest = wanted;
        }
        Ok(())
    }
}
