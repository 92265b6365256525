//! The drain of a front, judged by what its clients saw: after an operator's `PAUSE` no connection may be held idle or with
//! a recent request past the limit, and every request has one answer, before its deadline.
//!
//! It does not look at anything that the front says of itself.

use std::fmt;

use crate::Ms;

/// A drained front holds no client longer than this after the call.
pub const DRAIN_LIMIT_MS: Ms = 4000.0;
/// A connection may be held past the limit only with requests that are at least this old.
pub const RECENT_REQUEST_MS: Ms = 2000.0;
/// A request that crosses the close of its connection so closely is sent again by its client.
pub const CLOSE_CROSSING_MS: Ms = 50.0;
/// All time limits on sockets are this much longer.
pub const SOCKET_SLACK_MS: Ms = 50.0;

/// One request, as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Names it in a breach.
    pub job: u64,
    /// When its last byte had been written.
    pub written: Ms,
    /// When its client stops waiting.
    pub deadline: Ms,
    /// When it ended at its client, and whether by an answer.
    pub end: Option<(Ms, RequestOutcome)>,
    /// Answers that came after the first.
    pub extra_answers: u32,
}

/// How a request ended at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A whole final answer.
    Answered,
    /// The client gave it up: no answer is owed.
    GivenUp,
    /// Its connection ended first.
    ConnectionLost,
}

/// One connection, as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientConnection {
    /// When it was established.
    pub opened: Ms,
    /// When it ended.
    pub ended: Option<Ms>,
    /// The requests on it.
    pub requests: Vec<ClientRequest>,
}

/// What was broken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Breach {
    /// A connection was held with nothing open on it.
    HeldIdle {
        /// When the connection was established.
        opened: Ms,
    },
    /// A connection was held with a recent request open on it.
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
        /// By so much.
        by: Ms,
    },
    /// A request was answered twice.
    SecondAnswer {
        /// The request.
        job: u64,
    },
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Breach::HeldIdle { opened } => write!(f, "held idle: the connection opened at {opened:.0} ms"),
            Breach::HeldWithRecentRequest { job, age } => {
                write!(f, "held with request {job:016x}, {age:.0} ms old at the limit")
            }
            Breach::Lost { job } => write!(f, "request {job:016x} had no answer"),
            Breach::Late { job, by } => {
                write!(f, "request {job:016x} answered {by:.0} ms after its deadline")
            }
            Breach::SecondAnswer { job } => write!(f, "request {job:016x} answered twice"),
        }
    }
}

/// The connections that were held past the limit of a drain that began at this moment and lasted at least as long.
pub fn check_drain(began: Ms, connections: &[ClientConnection]) -> Vec<Breach> {
    let limit = began + DRAIN_LIMIT_MS;
    connections.iter().filter_map(|connection| held_past(limit, connection)).collect()
}

fn held_past(limit: Ms, connection: &ClientConnection) -> Option<Breach> {
    let is_held = connection.opened < limit && connection.ended.is_none_or(|at| at > limit + SOCKET_SLACK_MS);
    if !is_held {
        return None;
    }
    let ended_by = |request: &ClientRequest, at: Ms| request.end.is_some_and(|(end, _)| end <= at);
    let written = connection.requests.iter().filter(|r| r.written <= limit);
    let open: Vec<&ClientRequest> = written.filter(|r| !ended_by(r, limit + SOCKET_SLACK_MS)).collect();
    if open.is_empty() {
        return Some(Breach::HeldIdle { opened: connection.opened });
    }
    let recent = open.iter().find(|r| limit - r.written < RECENT_REQUEST_MS)?;
    Some(Breach::HeldWithRecentRequest { job: recent.job, age: limit - recent.written })
}

/// Requests without an answer, with a late one, or with two. To be called when no request is expected to be open any more.
pub fn check_answers(connections: &[ClientConnection]) -> Vec<Breach> {
    connections.iter().flat_map(|c| c.requests.iter().flat_map(|r| check_answer(c, r))).collect()
}

fn check_answer(connection: &ClientConnection, request: &ClientRequest) -> Vec<Breach> {
    let job = request.job;
    let mut breaches = Vec::new();
    match request.end {
        None => breaches.push(Breach::Lost { job }),
        Some((at, RequestOutcome::Answered)) => {
            let by = at - request.deadline - SOCKET_SLACK_MS;
            if by > 0.0 {
                breaches.push(Breach::Late { job, by });
            }
        }
        Some((_, RequestOutcome::GivenUp)) => {}
        Some((at, RequestOutcome::ConnectionLost)) => {
            let ended = connection.ended.unwrap_or(at);
            if ended - request.written > CLOSE_CROSSING_MS {
                breaches.push(Breach::Lost { job });
            }
        }
    }
    if request.extra_answers > 0 {
        breaches.push(Breach::SecondAnswer { job });
    }
    breaches
}
