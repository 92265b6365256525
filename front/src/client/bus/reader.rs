//! Reads the bus on one connection after another is closed, until one fails.

use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use super::answer::{AfterAnswer, Connection, OnSilence, ReadError};
use super::patient::PatientGuard;
use super::BusFollower;

/// Limits connecting, except for the patient connection, and each write.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The system asks four times more in this time.
const PATIENT_CONNECT_TIMEOUT: Duration = Duration::from_secs(16);

/// Why reading ended without a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// After a complete answer.
    ConnectionClosed,
    EngineStopped,
}

/// One connection to the bus.
pub struct Reader<'a> {
    follower: &'a Arc<BusFollower>,
    addr: SocketAddr,
    stream: RefCell<Option<Arc<TcpStream>>>,
    /// Held once this is the patient connection; another thread goes on with new ones then.
    patient: RefCell<Option<PatientGuard>>,
}

impl<'a> Reader<'a> {
    pub fn new(follower: &'a Arc<BusFollower>, addr: SocketAddr) -> Reader<'a> {
        Reader { follower, addr, stream: RefCell::default(), patient: RefCell::default() }
    }

    /// Connects, and reads answers until the connection ends. The patient connection ends with its first answer.
    pub fn read_events(&self) -> Result<ReadEnd, ReadError> {
        let stream = Arc::new(self.connect().map_err(ReadError::Connect)?);
        if !self.follower.bus.register(self.addr, &stream) {
            return Err(ReadError::AddressChanged);
        }
        self.stream.replace(Some(stream.clone()));
        let patience = match &*self.patient.borrow() {
            Some(guard) if !guard.set_stream(stream.clone()) => return Ok(ReadEnd::ConnectionClosed),
            guard => guard.as_ref().map(PatientGuard::patience),
        };
        let host = self.addr.to_string();
        let mut connection = Connection::new(&stream, host, &self.follower.applier, self, patience);
        loop {
            let after = connection.read_events()?;
            self.follower.on_answer();
            match after {
                AfterAnswer::EngineStopped => return Ok(ReadEnd::EngineStopped),
                AfterAnswer::KeepAlive if !self.has_handed_over() => {}
                AfterAnswer::KeepAlive | AfterAnswer::Close => return Ok(ReadEnd::ConnectionClosed),
            }
        }
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let first = TcpStream::connect_timeout(&self.addr, CONNECT_TIMEOUT);
        let stream = match first {
            Err(e) if e.kind() == ErrorKind::TimedOut => {
                self.on_silence().ok_or(e)?;
                TcpStream::connect_timeout(&self.addr, PATIENT_CONNECT_TIMEOUT)?
            }
            first => first?,
        };
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(CONNECT_TIMEOUT))?;
        Ok(stream)
    }

    /// Whether another thread goes on with new connections.
    pub fn has_handed_over(&self) -> bool {
        self.patient.borrow().is_some()
    }

    /// Reports how the patient connection ended.
    pub fn report_end(&self, result: &Result<ReadEnd, ReadError>) {
        let is_superseded = self.patient.borrow().as_ref().is_some_and(PatientGuard::is_superseded);
        let has_moved = self.follower.bus.current() != self.addr;
        if let Some(failure) = result.as_ref().err().filter(|_| !is_superseded && !has_moved) {
            eprintln!("bus: {failure}, on a connection that was waited for beside others");
        }
    }
}

impl OnSilence for Reader<'_> {
    /// The first connection that counts as silent becomes the patient one.
    fn on_silence(&self) -> Option<Duration> {
        if let Some(guard) = &*self.patient.borrow() {
            guard.record_expiry();
            return None;
        }
        let guard = self.follower.patient.try_occupy(self.stream.borrow().clone())?;
        // Without a thread for other connections this one can't be waited for.
        self.follower.clone().start_successor(self.addr).ok()?;
        let patience = guard.patience();
        self.patient.replace(Some(guard));
        Some(patience)
    }
}
