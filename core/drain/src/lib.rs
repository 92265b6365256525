//! The drain of a front: what becomes of new requests, open requests and client connections from the moment at which the
//! front is to release its clients.
//!
//! Invariant: a connection that owes no answer is closed by [`DrainSchedule::release_after`] at the latest, and no request is
//! admitted from [`DrainSchedule::reject_after`] on. It rests on the time since the drain began alone. It does not rest on the
//! client (that it pauses between requests, finishes what it has begun to send, or closes), on the cache nodes (that they
//! answer), or on the wall clock.
//!
//! The crate has no clock and no sockets. The thread that owns the connections asks [`DrainPhase::connection_action`] for each
//! of them; the engine asks [`DrainPhase::admission`] for each request and [`DrainPhase::cuts_off_open_requests`] now and then.

use std::time::Duration;

/// What the platform waits for at most before it kills a process that was told to end, beside its margin.
pub const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// For so long after the order to end requests are still admitted, and connections that have brought nothing kept: the platform
/// goes on sending for 0.6 s.
const SHUTDOWN_ADMISSION: Duration = Duration::from_millis(650);
/// The margins after the counted deadline at which open requests are cut off, and connections closed.
const SHUTDOWN_CUT_OFF_MARGIN: Duration = Duration::from_millis(450);
const SHUTDOWN_RELEASE_MARGIN: Duration = Duration::from_millis(580);

/// When each phase of a drain begins, counted from the beginning of the drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    /// From here on new requests are rejected.
    pub reject_after: Duration,
    /// From here on open requests that may be repeated are answered, and partial ones rejected.
    pub cut_off_after: Duration,
    /// From here on every connection that owes no answer is closed.
    pub release_after: Duration,
}

impl DrainSchedule {
    /// The drain of a front that goes on running.
    ///
    /// Operators allow 4 s in all. Readiness is asked for ten times a second and new connections stop 0.2 s after it says
    /// no, so that a second is enough for most connections to have an idle moment of their own. The rest leaves an admitted
    /// request at least 2 s, and 0.6 s for a front that is short of processor time, and for the last answers to be taken in.
    pub const RELEASE_CLIENTS: DrainSchedule = DrainSchedule {
        reject_after: Duration::from_millis(1000),
        cut_off_after: Duration::from_millis(3000),
        release_after: Duration::from_millis(3400),
    };

    /// The drain of a front that was told to end, by the longest deadline of its classes.
    ///
    /// The platform kills no sooner than the longest deadline, counted as [`MAX_COUNTED_DEADLINE`] where it is longer, and
    /// 0.7 s more. Requests keep coming on open connections for 0.2 s and on new ones for up to 0.6 s.
    pub fn shutdown(longest_deadline: Duration) -> DrainSchedule {
        let counted = longest_deadline.min(MAX_COUNTED_DEADLINE);
        DrainSchedule {
            reject_after: SHUTDOWN_ADMISSION,
            cut_off_after: counted + SHUTDOWN_CUT_OFF_MARGIN,
            release_after: counted + SHUTDOWN_RELEASE_MARGIN,
        }
    }

    /// The phase of a drain that began so long ago; none where the front does not drain.
    pub fn phase(&self, elapsed: Option<Duration>) -> DrainPhase {
        match elapsed {
            None => DrainPhase::NotDraining,
            Some(elapsed) if elapsed < self.reject_after => DrainPhase::Settling,
            Some(elapsed) if elapsed < self.cut_off_after => DrainPhase::Rejecting,
            Some(elapsed) if elapsed < self.release_after => DrainPhase::CuttingOff,
            Some(_) => DrainPhase::Releasing,
        }
    }

    /// The time left until open requests are cut off, for a drain that began so long ago.
    pub fn time_until_cut_off(&self, elapsed: Duration) -> Duration {
        self.cut_off_after.saturating_sub(elapsed)
    }
}

/// How far a drain has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// The front does not drain.
    NotDraining,
    /// Requests are still admitted; a connection is closed in its first idle moment.
    Settling,
    /// New requests are rejected, so that every connection comes to an idle moment.
    Rejecting,
    /// Open requests that may be repeated are answered, and partial ones rejected.
    CuttingOff,
    /// Every connection that owes no answer is closed.
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

    /// Whether the front releases its clients.
    pub fn is_draining(self) -> bool {
        self != DrainPhase::NotDraining
    }

    /// What becomes of a request that has come whole.
    pub fn admission(self) -> Admission {
        match self {
            DrainPhase::NotDraining => Admission::Admit,
            DrainPhase::Settling => Admission::AdmitUntilCutOff,
            DrainPhase::Rejecting | DrainPhase::CuttingOff | DrainPhase::Releasing => Admission::Reject,
        }
    }

    /// Whether open requests that may be repeated are to be answered now.
    pub fn cuts_off_open_requests(self) -> bool {
        self >= DrainPhase::CuttingOff
    }

    /// What is to be done with a client's connection.
    pub fn connection_action(self, connection: ConnectionActivity) -> ConnectionAction {
        // While it is released, a client that begins one request after the other is not answered each time.
        let is_answered = self == DrainPhase::CuttingOff || connection.owes_answer;
        if self.cuts_off_open_requests() && is_answered && connection.partial_requests > 0 {
            return ConnectionAction::RejectPartialRequests;
        }
        if connection.owes_answer {
            return ConnectionAction::Keep;
        }
        let is_idle = connection.partial_requests == 0 && !connection.has_partial_input;
        let has_nothing_to_say = is_idle && !connection.has_unread_input;
        let closes = match self {
            DrainPhase::NotDraining => false,
            // One that has brought nothing may be new: its first request may be on its way.
            DrainPhase::Settling => has_nothing_to_say && connection.has_brought_request,
            DrainPhase::Rejecting | DrainPhase::CuttingOff => has_nothing_to_say,
            DrainPhase::Releasing => true,
        };
        if closes {
            ConnectionAction::Close
        } else {
            ConnectionAction::Keep
        }
    }
}

/// What becomes of a request that has come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is admitted with its own deadline.
    Admit,
    /// It is admitted, and its deadline is no later than the cut-off.
    AdmitUntilCutOff,
    /// It is rejected at once; its client is told when to come back.
    Reject,
}

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionActivity {
    /// A request that has come whole is open, or an answer is not written whole.
    pub owes_answer: bool,
    /// Requests of which a part has come.
    pub partial_requests: usize,
    /// A part of a message has come that belongs to no request yet.
    pub has_partial_input: bool,
    /// Bytes have come that nobody has read.
    pub has_unread_input: bool,
    /// A whole request has come on it.
    pub has_brought_request: bool,
}

/// What is to be done with a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Nothing.
    Keep,
    /// What has come in part is rejected, and nothing more of it is taken in.
    RejectPartialRequests,
    /// The front's side ends.
    Close,
}
