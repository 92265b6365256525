//! Checks the drain of a front by what its clients saw. After an operator's `PAUSE` no connection may be held past the
//! limit while it is idle or has a recent request, and every request gets one answer before its deadline.
//!
//! Nothing that the front reports about itself is used.

use std::fmt;

use crate::Ms;

/// Maximum time in milliseconds for which a front may hold client connections after the call to drain.
pub const DRAIN_LIMIT_MS: Ms = 4000.0;
/// Minimum age in milliseconds of the requests for which a connection may be held past the limit.
pub const RECENT_REQUEST_MS: Ms = 2000.0;
/// A client sends a request again if it wrote it at most this many milliseconds before its connection was closed.
pub const CLOSE_CROSSING_MS: Ms = 50.0;
/// Tolerance in milliseconds that is added to all time limits observed at sockets.
pub const SOCKET_SLACK_MS: Ms = 50.0;

/// One request as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Identifies the request in a violation.
    pub job: u64,
    /// Time at which its last byte had been written.
    pub written: Ms,
    /// Time at which its client stops waiting.
    pub deadline: Ms,
    /// Time and manner of its end at the client, if it has ended.
    pub end: Option<(Ms, RequestOutcome)>,
    /// Number of answers after the first.
    pub extra_answers: u32,
}

/// How a request ended at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// By a complete final answer.
    Answered,
    /// The client gave the request up, so no answer is due.
    GivenUp,
    /// Its connection ended before an answer.
    ConnectionLost,
}

/// One connection as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientConnection {
    /// Time at which it was established.
    pub opened: Ms,
    /// Time at which it ended, if it has.
    pub ended: Option<Ms>,
    /// The requests on it.
    pub requests: Vec<ClientRequest>,
}

/// A violation of the rules for a drain or for answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Violation {
    /// A connection without an open request was held past the limit.
    HeldIdle {
        /// Time at which the connection was established.
        opened: Ms,
    },
    /// A connection with a recent open request was held past the limit.
    HeldWithRecentRequest {
        /// The request.
        job: u64,
        /// Its age at the limit.
        age: Ms,
    },
    /// A request had no answer.
    Lost {
        /// The request.
        job: u64,
    },
    /// A request was answered after its deadline.
    Late {
        /// The request.
        job: u64,
        /// Time past the deadline, after tolerance.
        by: Ms,
    },
    /// A request was answered twice.
    SecondAnswer {
        /// The request.
        job: u64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::HeldIdle { opened } => write!(f, "held idle: the connection opened at {opened:.0} ms"),
            Violation::HeldWithRecentRequest { job, age } => {
                write!(f, "held with request {job:016x}, {age:.0} ms old at the limit")
            }
            Violation::Lost { job } => write!(f, "request {job:016x} had no answer"),
            Violation::Late { job, by } => {
                write!(f, "request {job:016x} answered {by:.0} ms after its deadline")
            }
            Violation::SecondAnswer { job } => write!(f, "request {job:016x} answered twice"),
        }
    }
}

/// Finds the connections that were held past the limit of a drain that began at `drain_started` and lasted at least
/// until the limit.
pub fn check_drain(drain_started: Ms, connections: &[ClientConnection]) -> Vec<Violation> {
    let limit = drain_started + DRAIN_LIMIT_MS;
    connections.iter().filter_map(|connection| check_held_connection(limit, connection)).collect()
}

/// Checks one connection against the time at which it must have been closed.
fn check_held_connection(limit: Ms, connection: &ClientConnection) -> Option<Violation> {
    let is_held = connection.opened < limit && connection.ended.is_none_or(|at| at > limit + SOCKET_SLACK_MS);
    if !is_held {
        return None;
    }
    let ended_by = |request: &ClientRequest, at: Ms| request.end.is_some_and(|(end, _)| end <= at);
    let written = connection.requests.iter().filter(|r| r.written <= limit);
    let open: Vec<&ClientRequest> = written.filter(|r| !ended_by(r, limit + SOCKET_SLACK_MS)).collect();
    if open.is_empty() {
        return Some(Violation::HeldIdle { opened: connection.opened });
    }
    let recent = open.iter().find(|r| limit - r.written < RECENT_REQUEST_MS)?;
    Some(Violation::HeldWithRecentRequest { job: recent.job, age: limit - recent.written })
}

/// Finds requests without an answer, with a late one or with several. To be called once no request should still be
/// open.
pub fn check_answers(connections: &[ClientConnection]) -> Vec<Violation> {
    connections.iter().flat_map(|c| c.requests.iter().flat_map(|r| check_answer(c, r))).collect()
}

fn check_answer(connection: &ClientConnection, request: &ClientRequest) -> Vec<Violation> {
    let job = request.job;
    let mut violations = Vec::new();
    match request.end {
        None => violations.push(Violation::Lost { job }),
        Some((at, RequestOutcome::Answered)) => {
            let by = at - request.deadline - SOCKET_SLACK_MS;
            if by > 0.0 {
                violations.push(Violation::Late { job, by });
            }
        }
        Some((_, RequestOutcome::GivenUp)) => {}
        Some((at, RequestOutcome::ConnectionLost)) => {
            let ended = connection.ended.unwrap_or(at);
            if ended - request.written > CLOSE_CROSSING_MS {
                violations.push(Violation::Lost { job });
            }
        }
    }
    if request.extra_answers > 0 {
        violations.push(Violation::SecondAnswer { job });
    }
    violations
}
