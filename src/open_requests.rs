//! Open requests and their attempts: what was sent, how each attempt ended, and what that permits next.
//!
//! Whether another attempt may follow depends on how the earlier ones ended. An end that the server reported (an
//! answer, a closed connection) holds for both sides. An end that only this side observed does not: the server may hang
//! or be cut off and still be working.

use crate::interface::*;

/// A request without a final answer, or with attempts that have not ended.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    pub(crate) request: Request,
    /// Sending time of its answer at the full rate.
    pub(crate) work: f64,
    pub(crate) deadline: Ms,
    /// When the answer should come to meet the class's target latency.
    pub(crate) target: Ms,
    pub(crate) attempts: Vec<Attempt>,
    /// Whether it has its final answer.
    pub(crate) done: bool,
    /// Whether the first byte has arrived.
    pub(crate) streaming: bool,
}

impl OpenRequest {
    /// Two caches failed it for no known reason, so the request itself is at fault. Clients can send hundreds of them.
    pub(crate) fn is_faulty(&self) -> bool {
        let first = self.attempts.iter().find(|a| a.ambiguous);
        first.is_some_and(|f| self.attempts.iter().any(|a| a.ambiguous && a.cache != f.cache))
    }
}

/// One attempt: a request sent to one cache.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) cache: MemberId,
    pub(crate) source: MemberId,
    pub(crate) sent_at: Ms,
    pub(crate) lookup: Lookup,
    /// `None` while in flight.
    pub(crate) end: Option<Outcome>,
    /// It ended with an error that does not show its cause.
    pub(crate) ambiguous: bool,
}

impl Attempt {
    /// False only if its end proves that it had no effect.
    pub(crate) fn may_have_run(&self) -> bool {
        let no_effect = [Outcome::Full, Outcome::ConnectFailed, Outcome::Moot, Outcome::Miss];
        self.end.is_none_or(|end| !no_effect.contains(&end))
    }

    /// It ended on this side only: a server that hangs or is cut off does not know that.
    pub(crate) fn may_still_run(&self) -> bool {
        matches!(self.end, Some(Outcome::Timeout | Outcome::Cancelled))
    }

    /// It was a lookup of existing copies and found none: no failure, and the next attempt is not a retry.
    pub(crate) fn missed(&self) -> bool {
        self.end == Some(Outcome::Miss)
            && matches!(self.lookup, Lookup::FormerOwner | Lookup::Cache | Lookup::Parent)
    }
}

/// Where an attempt may get the object from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lookup {
    /// Any copy that the source has or can fetch.
    Any,
    /// Only the copy of a former owner, which may lack the object.
    FormerOwner,
    /// Only the cache's own copy: fills are limited.
    Cache,
    /// Only the parent's own copy: origin fetches are limited.
    Parent,
    /// Any copy; counts as an origin fetch against the limit.
    Origin,
}
