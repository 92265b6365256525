//! The table of exchanges that are open or still have attempts out.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use elmtide::{ClassId, MemberId, Ms, RequestId, Try};

use crate::exchange::{Answer, ForwardedRequest, Incoming, Responder, Token};

/// Exchanges held at most; the bytes of their bodies have a budget of their own.
const MOST: usize = 1024;

#[derive(Debug)]
pub struct Exchange {
    pub deadline: Ms,
    pub forwarded: Arc<ForwardedRequest>,
    pub(crate) responder: Option<Responder>,
    /// For each attempt when it was sent, while it is out.
    pub(crate) attempts: Vec<Option<Ms>>,
    /// For each attempt the cache node that it went to.
    targets: Vec<MemberId>,
    /// Attempts whose misses are filled from elsewhere, and from where; noted where machines go out for work.
    sources: Vec<(Try, MemberId)>,
    /// One of those that have ended was written whole.
    pub may_have_run: bool,
    /// When the first of those that have ended and may have run was sent.
    ran_since: Option<Ms>,
    pub class: ClassId,
    /// The router that decides on it.
    pub router: usize,
    /// Milliseconds of sending at full pace, where its size is told.
    pub work: Option<Ms>,
}

impl Exchange {
    pub fn new(incoming: Incoming) -> Exchange {
        let Incoming { deadline, forwarded, responder, class, .. } = incoming;
        Exchange {
            ran_since: None,
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

    /// Gives the final answer; false if there has been one.
    pub fn answer(&mut self, answer: Answer) -> bool {
        let responder = self.responder.take();
        responder.map(|to| to.answer(answer)).is_some()
    }

    /// The client has left; false if the exchange was over.
    pub fn abandon(&mut self) -> bool {
        self.responder.take().map(Responder::discard).is_some()
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

    /// Whether an attempt is out to this member, or one that is filled from it.
    fn is_open_at(&self, member: MemberId) -> bool {
        let fills = |attempt: Try| self.sources.iter().any(|(of, from)| *of == attempt && *from == member);
        self.out().any(|attempt| self.targets.get(usize::from(attempt.0)) == Some(&member) || fills(attempt))
    }

    /// It has had an attempt.
    pub fn has_been_sent(&self) -> bool {
        !self.attempts.is_empty()
    }

    pub fn is_out(&self, attempt: Try) -> bool {
        self.attempts.get(usize::from(attempt.0)).is_some_and(Option::is_some)
    }

    /// The attempts that are out.
    pub fn out(&self) -> impl Iterator<Item = Try> + '_ {
        let out = self.attempts.iter().enumerate().filter(|(_, sent)| sent.is_some());
        out.map(|(place, _)| Try(place as u8))
    }

    /// An attempt that was sent at this moment has ended and may have run.
    pub fn ran(&mut self, sent: Ms) {
        self.ran_since = Some(self.ran_since.map_or(sent, |first| first.min(sent)));
    }

    /// When the first attempt was sent that has run, as far as is known.
    pub fn first_run(&self) -> Option<Ms> {
        let out = self.attempts.iter().flatten().copied();
        self.ran_since.into_iter().chain(out).min_by(Ms::total_cmp)
    }

    /// When the attempt was sent and to whom, if it was out: each has one end.
    pub fn end_attempt(&mut self, attempt: Try) -> Option<(Ms, MemberId)> {
        let place = usize::from(attempt.0);
        let sent = self.attempts.get_mut(place).and_then(Option::take)?;
        Some((sent, self.targets[place]))
    }
}

#[derive(Debug, Default)]
pub struct Exchanges {
    open: HashMap<RequestId, Exchange>,
    jobs: HashSet<Token>,
}

impl Exchanges {
    pub fn is_full(&self) -> bool {
        self.open.len() >= MOST
    }

    /// False where the request's id is that of another that is open: cache nodes could not tell the two apart,
    /// and the answer to one could be given to the other.
    pub fn open(&mut self, incoming: Incoming) -> Result<(), Incoming> {
        if !self.jobs.insert(incoming.forwarded.job.clone()) {
            return Err(incoming);
        }
        self.open.insert(incoming.id, Exchange::new(incoming));
        Ok(())
    }

    /// The router of an exchange; the first for one that is not there.
    pub fn router(&self, id: RequestId) -> usize {
        self.open.get(&id).map_or(0, |e| e.router)
    }

    pub fn get(&self, id: RequestId) -> Option<&Exchange> {
        self.open.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Exchange> {
        self.open.get_mut(&id)
    }

    /// Gives the final answer of an exchange; false if there has been one.
    pub fn answer(&mut self, id: RequestId, answer: Answer) -> bool {
        let answered = self.open.get_mut(&id).is_some_and(|e| e.answer(answer));
        self.settle(id);
        answered
    }

    /// Forgets an exchange that is answered and has no attempt out.
    pub fn settle(&mut self, id: RequestId) {
        let over = |e: &Exchange| e.is_answered() && e.attempts.iter().all(Option::is_none);
        if self.open.get(&id).is_some_and(over) {
            if let Some(exchange) = self.open.remove(&id) {
                self.jobs.remove(&exchange.forwarded.job);
            }
        }
    }

    /// The routers that decide on what is held.
    pub fn routers(&self) -> impl Iterator<Item = usize> + '_ {
        self.open.values().map(|e| e.router)
    }

    pub fn is_open_at(&self, member: MemberId) -> bool {
        self.open.values().any(|e| e.is_open_at(member))
    }

    /// The requests that have no answer yet, in the order in which they came.
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
