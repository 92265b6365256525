//! The drain of a front: how new requests, open requests and client connections are handled while the front releases
//! its clients.
//!
//! Invariant: from [`DrainSchedule::reject_after`] on no request is admitted, and a connection without a pending response
//! is closed by [`DrainSchedule::release_after`]. This depends only on the time since the drain began. It does not
//! depend on the client (pausing between requests, completing a partial request, or closing), on the cache nodes
//! (answering), or on the wall clock.
//!
//! The crate has no clock and no sockets. The thread that owns the connections calls [`DrainPhase::connection_action`]
//! for each of them; the engine calls [`DrainPhase::admission`] for each request and
//! [`DrainPhase::cuts_off_open_requests`] periodically.

use std::time::Duration;

/// The longest request deadline that the platform takes into account when it decides how long to wait before it kills a
/// process that it has told to shut down.
pub const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// How long after the shutdown order requests are still admitted, and connections without a request kept open: the
/// platform continues to send for 0.6 s.
const SHUTDOWN_ADMISSION: Duration = Duration::from_millis(650);
/// How long after the counted deadline open requests are cut off.
const SHUTDOWN_CUT_OFF_MARGIN: Duration = Duration::from_millis(450);
/// How long after the counted deadline connections are closed.
const SHUTDOWN_RELEASE_MARGIN: Duration = Duration::from_millis(580);

/// When each phase of a drain begins, as the time since the drain began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    /// From this time new requests are rejected.
    pub reject_after: Duration,
    /// From this time open requests that are safe to repeat are answered early, and partial ones are rejected.
    pub cut_off_after: Duration,
    /// From this time every connection without a pending response is closed.
    pub release_after: Duration,
}

impl DrainSchedule {
    /// The schedule for a front that keeps running.
    ///
    /// Operators allow 4 s in total. Readiness is polled ten times a second and new connections stop 0.2 s after the
    /// front is reported not ready, so one second is enough for most connections to become idle on their own. The rest
    /// leaves an admitted request at least 2 s, and 0.6 s of reserve for a front short of CPU time and for clients to
    /// read the last responses.
    pub const RELEASE_CLIENTS: DrainSchedule = DrainSchedule {
        reject_after: Duration::from_millis(1000),
        cut_off_after: Duration::from_millis(3000),
        release_after: Duration::from_millis(3400),
    };

    /// The schedule for a front that was told to shut down, from the longest deadline of its request classes.
    ///
    /// The platform kills the process no sooner than 0.7 s after the longest deadline, of which it counts no more than
    /// [`MAX_COUNTED_DEADLINE`]. Requests continue to arrive on open connections for 0.2 s and on new ones for up to
    /// 0.6 s.
    pub fn shutdown(longest_deadline: Duration) -> DrainSchedule {
        let counted = longest_deadline.min(MAX_COUNTED_DEADLINE);
        DrainSchedule {
            reject_after: SHUTDOWN_ADMISSION,
            cut_off_after: counted + SHUTDOWN_CUT_OFF_MARGIN,
            release_after: counted + SHUTDOWN_RELEASE_MARGIN,
        }
    }

    /// The phase at the given time since the drain began; `None` is a front that does not drain.
    pub fn phase(&self, elapsed: Option<Duration>) -> DrainPhase {
        match elapsed {
            None => DrainPhase::NotDraining,
            Some(elapsed) if elapsed < self.reject_after => DrainPhase::Settling,
            Some(elapsed) if elapsed < self.cut_off_after => DrainPhase::Rejecting,
            Some(elapsed) if elapsed < self.release_after => DrainPhase::CuttingOff,
            Some(_) => DrainPhase::Releasing,
        }
    }

    /// The time left until open requests are cut off, at the given time since the drain began.
    pub fn time_until_cut_off(&self, elapsed: Duration) -> Duration {
        self.cut_off_after.saturating_sub(elapsed)
    }
}

/// The phase of a drain, in order of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// The front does not drain.
    NotDraining,
    /// Requests are still admitted; a connection that has had a request is closed as soon as it is idle.
    Settling,
    /// New requests are rejected, so that every connection becomes idle.
    Rejecting,
    /// Open requests that are safe to repeat are answered early, and partial ones are rejected.
    CuttingOff,
    /// Every connection without a pending response is closed.
    Releasing,
}

impl DrainPhase {
    /// The name of the phase in logs.
    pub fn name(self) -> &'static str {
        match self {
            DrainPhase::NotDraining => "not_draining",
            DrainPhase::Settling => "settling",
            DrainPhase::Rejecting => "rejecting",
            DrainPhase::CuttingOff => "cutting_off",
            DrainPhase::Releasing => "releasing",
        }
    }

    /// Whether the front is releasing its clients.
    pub fn is_draining(self) -> bool {
        self != DrainPhase::NotDraining
    }

    /// How to handle a completely received request.
    pub fn admission(self) -> Admission {
        match self {
            DrainPhase::NotDraining => Admission::Admit,
            DrainPhase::Settling => Admission::AdmitUntilCutOff,
            DrainPhase::Rejecting | DrainPhase::CuttingOff | DrainPhase::Releasing => Admission::Reject,
        }
    }

    /// Whether open requests that are safe to repeat are to be answered now.
    pub fn cuts_off_open_requests(self) -> bool {
        self >= DrainPhase::CuttingOff
    }

    /// How to handle a client's connection.
    pub fn connection_action(self, connection: ConnectionActivity) -> ConnectionAction {
        // In the release phase, a client that keeps starting new requests is not sent a rejection for each one.
        let sends_rejection = self == DrainPhase::CuttingOff || connection.has_pending_response;
        if self.cuts_off_open_requests() && sends_rejection && connection.partial_requests > 0 {
            return ConnectionAction::RejectPartialRequests;
        }
        if connection.has_pending_response {
            return ConnectionAction::Keep;
        }
        let is_idle = connection.partial_requests == 0 && !connection.has_partial_input;
        let is_silent = is_idle && !connection.has_unread_input;
        let should_close = match self {
            DrainPhase::NotDraining => false,
            // A connection without a request may be new, with its first request still in flight.
            DrainPhase::Settling => is_silent && connection.has_received_request,
            DrainPhase::Rejecting | DrainPhase::CuttingOff => is_silent,
            DrainPhase::Releasing => true,
        };
        if should_close {
            ConnectionAction::Close
        } else {
            ConnectionAction::Keep
        }
    }
}

/// How a completely received request is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is admitted with its own deadline.
    Admit,
    /// It is admitted, and its deadline is no later than the cut-off.
    AdmitUntilCutOff,
    /// It is rejected at once, and the client is told when to retry.
    Reject,
}

/// The activity of a client's connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionActivity {
    /// A completely received request is open, or a response is not completely written.
    pub has_pending_response: bool,
    /// The number of requests that are only partially received.
    pub partial_requests: usize,
    /// A partial message was received that belongs to no request yet.
    pub has_partial_input: bool,
    /// Bytes have arrived that were not read yet.
    pub has_unread_input: bool,
    /// A complete request was received on it.
    pub has_received_request: bool,
}

/// How a client's connection is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// It stays open.
    Keep,
    /// Its partial requests are rejected, and no more of them is read.
    RejectPartialRequests,
    /// The front closes its side.
    Close,
}
