//! Open requests and their attempts: what has been sent, how each attempt ended, and what that allows next.
//!
//! Whether another attempt may follow rests on how the earlier ones ended. An end that the server has told (an answer, a
//! connection that it ended) is one for both sides; an end that only this side has seen is none at a server that hangs or is cut
//! off.

use crate::interface::*;

/// A request that has no final answer yet, or attempts that have not come back.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    pub(crate) request: Request,
    pub(crate) work: f64,
    pub(crate) deadline: Ms,
    pub(crate) aim_at: Ms,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) done: bool,
    pub(crate) streaming: bool,
}

impl OpenRequest {
    /// Fails wherever it is tried: the fault is its own. Clients can send such requests by hundreds.
    pub(crate) fn is_unusable(&self) -> bool {
        let first = self.attempts.iter().find(|a| a.doubtful);
        first.is_some_and(|f| self.attempts.iter().any(|a| a.doubtful && a.cache != f.cache))
    }
}

/// One sending of a request to a cache.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) cache: MemberId,
    pub(crate) source: MemberId,
    pub(crate) sent: Ms,
    pub(crate) ask: Ask,
    /// None while it is out.
    pub(crate) end: Option<Outcome>,
    /// An error that tells nothing of its cause.
    pub(crate) doubtful: bool,
}

impl Attempt {
    pub(crate) fn may_have_run(&self) -> bool {
        let proof = [Outcome::Full, Outcome::ConnectFailed, Outcome::Moot, Outcome::Miss];
        self.end.is_none_or(|end| !proof.contains(&end))
    }

    /// It ended on this side only: where the server hangs or is cut off it has not heard of that.
    pub(crate) fn may_still_run(&self) -> bool {
        matches!(self.end, Some(Outcome::Timeout | Outcome::Cancelled))
    }

    /// It only looked for what is held, and found nothing: no failure, and what follows is no repeat.
    pub(crate) fn missed(&self) -> bool {
        self.end == Some(Outcome::Miss) && matches!(self.ask, Ask::Former | Ask::Look | Ask::Held)
    }
}

/// What an attempt asks its source for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ask {
    /// Whatever it has or can get.
    Anything,
    /// Only what a former owner holds; it may well lack the object.
    Former,
    /// Only what the cache holds: fills are guarded.
    Look,
    /// Only what a parent holds: the way to the origin is guarded.
    Held,
    /// An origin fetch that is counted, under guard.
    Origin,
}
