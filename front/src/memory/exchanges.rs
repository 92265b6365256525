//! The table of exchanges that are unanswered or still have attempts in flight.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use elmtide::{ClassId, MemberId, Ms, RequestId, Try};

use crate::exchange::{Answer, ForwardedRequest, Incoming, Responder, Token};

/// Maximum number of exchanges; the bytes of their bodies have a separate budget.
const MAX_EXCHANGES: usize = 1024;

/// A request of a client and its attempts.
#[derive(Debug)]
pub struct Exchange {
    pub deadline: Ms,
    pub forwarded: Arc<ForwardedRequest>,
    pub(crate) responder: Option<Responder>,
    /// The send time of each attempt while it is in flight, `None` afterwards.
    pub(crate) attempts: Vec<Option<Ms>>,
    /// The cache node of each attempt.
    targets: Vec<MemberId>,
    /// The source from which the misses of an attempt are filled; recorded where machines are taken out for
    /// maintenance.
    sources: Vec<(Try, MemberId)>,
    /// An ended attempt was written completely.
    pub may_have_run: bool,
    /// The earliest send time of the ended attempts that may have run.
    first_ended_run: Option<Ms>,
    pub class: ClassId,
    /// The router that decides on it.
    pub router: usize,
    /// Milliseconds of sending at full rate, where the size is known.
    pub work: Option<Ms>,
}

impl Exchange {
    pub fn new(incoming: Incoming) -> Exchange {
        let Incoming { deadline, forwarded, responder, class, .. } = incoming;
        Exchange {
            first_ended_run: None,
            class,
            deadline,
            forwarded,
            responder: Some(responder),
            attempts: Vec::new(),
            targets: Vec::new(),
            sources: Vec::new(),
            may_have_run: false,
            router: 0,
            work: None,
        }
    }

    /// Sends the final answer; returns false if one was sent already.
    pub fn answer(&mut self, answer: Answer) -> bool {
        let responder = self.responder.take();
        responder.map(|to| to.answer(answer)).is_some()
    }

    /// The client has left; `is_unsent` if nothing of the request has been sent. Returns false if the exchange was already
    /// answered.
    pub fn abandon(&mut self, is_unsent: bool) -> bool {
        let Some(responder) = self.responder.take() else { return false };
        match is_unsent {
            true => responder.discard_unsent(),
            false => responder.discard(),
        }
        true
    }

    pub fn is_answered(&self) -> bool {
        self.responder.is_none()
    }

    pub fn begin_attempt(&mut self, now: Ms, to: MemberId) -> Try {
        self.attempts.push(Some(now));
        self.targets.push(to);
        Try((self.attempts.len() - 1) as u8)
    }

    pub fn fills_from(&mut self, attempt: Try, source: MemberId) {
        self.sources.push((attempt, source));
    }

    /// Whether an attempt is in flight to this member, or to a node that fills from it.
    fn is_open_at(&self, member: MemberId) -> bool {
        let fills = |attempt: Try| self.sources.iter().any(|(of, from)| *of == attempt && *from == member);
        self.out().any(|attempt| self.targets.get(usize::from(attempt.0)) == Some(&member) || fills(attempt))
    }

    /// Whether an attempt has been started.
    pub fn has_been_sent(&self) -> bool {
        !self.attempts.is_empty()
    }

    pub fn is_out(&self, attempt: Try) -> bool {
        self.attempts.get(usize::from(attempt.0)).is_some_and(Option::is_some)
    }

    /// The attempts in flight.
    pub fn out(&self) -> impl Iterator<Item = Try> + '_ {
        let out = self.attempts.iter().enumerate().filter(|(_, sent)| sent.is_some());
        out.map(|(index, _)| Try(index as u8))
    }

    /// Records that an attempt sent at this time has ended and may have run.
    pub fn ran(&mut self, sent: Ms) {
        self.first_ended_run = Some(self.first_ended_run.map_or(sent, |first| first.min(sent)));
    }

    /// The earliest send time of the attempts that may have run or are in flight.
    pub fn first_run(&self) -> Option<Ms> {
        let out = self.attempts.iter().flatten().copied();
        self.first_ended_run.into_iter().chain(out).min_by(Ms::total_cmp)
    }

    /// Ends an attempt; returns its send time and cache node, or `None` if it has ended before.
    pub fn end_attempt(&mut self, attempt: Try) -> Option<(Ms, MemberId)> {
        let index = usize::from(attempt.0);
        let sent = self.attempts.get_mut(index).and_then(Option::take)?;
        Some((sent, self.targets[index]))
    }
}

/// All exchanges by request id, with their job ids.
#[derive(Debug, Default)]
pub struct Exchanges {
    open: HashMap<RequestId, Exchange>,
    jobs: HashSet<Token>,
}

impl Exchanges {
    /// Whether no request and no attempt is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Whether no more may be opened.
    pub fn is_full(&self) -> bool {
        self.open.len() >= MAX_EXCHANGES
    }

    /// Fails where an open exchange has the same job id: cache nodes could not tell the two apart, and the answer
    /// to one could be given to the other.
    pub fn open(&mut self, incoming: Incoming) -> Result<(), Incoming> {
        if !self.jobs.insert(incoming.forwarded.job.clone()) {
            return Err(incoming);
        }
        self.open.insert(incoming.id, Exchange::new(incoming));
        Ok(())
    }

    /// The router of an exchange; the first router if the exchange is unknown.
    pub fn router(&self, id: RequestId) -> usize {
        self.open.get(&id).map_or(0, |e| e.router)
    }

    pub fn get(&self, id: RequestId) -> Option<&Exchange> {
        self.open.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Exchange> {
        self.open.get_mut(&id)
    }

    /// Sends the final answer of an exchange; returns false if one was sent already.
    pub fn answer(&mut self, id: RequestId, answer: Answer) -> bool {
        let answered = self.open.get_mut(&id).is_some_and(|e| e.answer(answer));
        self.settle(id);
        answered
    }

    /// Removes an exchange that is answered and has no attempt in flight.
    pub fn settle(&mut self, id: RequestId) {
        let over = |e: &Exchange| e.is_answered() && e.attempts.iter().all(Option::is_none);
        if self.open.get(&id).is_some_and(over) {
            if let Some(exchange) = self.open.remove(&id) {
                self.jobs.remove(&exchange.forwarded.job);
            }
        }
    }

    /// The router of each exchange.
    pub fn routers(&self) -> impl Iterator<Item = usize> + '_ {
        self.open.values().map(|e| e.router)
    }

    pub fn is_open_at(&self, member: MemberId) -> bool {
        self.open.values().any(|e| e.is_open_at(member))
    }

    /// The unanswered requests in order of arrival.
    pub fn unanswered_ids(&self) -> Vec<RequestId> {
        let open = self.open.iter().filter(|(_, exchange)| !exchange.is_answered());
        let mut ids: Vec<RequestId> = open.map(|(id, _)| *id).collect();
        ids.sort_unstable_by_key(|id| id.0);
        ids
    }

    pub fn unanswered(&self) -> usize {
        self.open.values().filter(|e| !e.is_answered()).count()
    }
}
