//! Requests from their arrival to their one final answer: admission, rejection, and the release of what they held.

use std::sync::atomic::Ordering::Relaxed;

use elmtide::{Event, Ms, Outcome, Request, RequestId};
use elmtide_cells::{Arrival, CellIx, Completion, Decision, RefusalReason};

use super::timers::{Timer, CELL_INTERVAL_MS};
use super::{priority_if, Engine};
use crate::exchange::{Answer, AttemptKey, Incoming, Upstream};
use crate::process::part;

/// By this part of its time a request has been written whole to some node, or it is refused: told early that nothing
/// has run, a client can still do something about it.
const UNSENT_DEADLINE_FRACTION: f64 = 0.45;
/// Least part of the longest wait that is told to those refused here, as the module does.
const MIN_RETRY_AFTER_FRACTION: f64 = 0.6;
/// After this long past a deadline the engine answers by itself, whatever the module does.
const DEADLINE_BACKSTOP_MS: Ms = 15.0;

/// Why a request is rejected as soon as it has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    /// The front drains: paused, ending, or its machine goes out.
    Draining,
    /// As many requests are open as may be.
    TooManyOpen,
    /// Its shop's part of the fleet's budget is spent.
    ShopBudget,
}

impl Rejection {
    /// The name of the reason in logs.
    fn name(self) -> &'static str {
        match self {
            Rejection::Draining => "draining",
            Rejection::TooManyOpen => "too_many_open",
            Rejection::ShopBudget => "shop_budget",
        }
    }
}

impl<U: Upstream> Engine<U> {
    pub(super) fn admit(&mut self, incoming: Incoming) {
        self.counters.taken.fetch_add(1, Relaxed);
        let Some(incoming) = self.admit_in_drain(incoming) else { return };
        let time_left = incoming.deadline - self.now;
        if self.exchanges.is_full() {
            return self.reject_on_arrival(incoming, Rejection::TooManyOpen);
        }
        let request = Request {
            id: incoming.id,
            class: incoming.class,
            object: incoming.object,
            part: incoming.part,
            group: incoming.group,
            time_left,
            size_kb: incoming.size_kb,
            write: false, // the class tells
        };
        let (deadline, shop, once) = (incoming.deadline, incoming.shop, incoming.passed.once);
        let priority = priority_if(once);
        if self.budgets.as_mut().is_some_and(|b| !b.admit_shop_request(request.id, shop, priority)) {
            return self.reject_on_arrival(incoming, Rejection::ShopBudget);
        }
        let pace = self.settings.transfer_kb_per_s;
        let work = incoming.size_kb.zip(pace).map(|(kb, pace)| kb / pace * 1000.0);
        if let Err(incoming) = self.exchanges.open(incoming) {
            self.counters.failed.fetch_add(1, Relaxed);
            if let Some(budgets) = &mut self.budgets {
                budgets.end_request(request.id);
            }
            return incoming.responder.answer(Answer::Failed);
        }
        if let Some(exchange) = self.exchanges.get_mut(request.id) {
            exchange.work = work;
        }
        self.timers.schedule(deadline + DEADLINE_BACKSTOP_MS, Timer::Deadline(request.id.0));
        self.timers.schedule(self.now + time_left * UNSENT_DEADLINE_FRACTION, Timer::Unsent(request.id.0));
        let (now, id) = (self.now, request.id);
        let Some(cells) = &mut self.cells else {
            let current = self.current;
            if let Some(exchange) = self.exchanges.get_mut(id) {
                exchange.router = current;
            }
            return self.dispatch(current, Event::Request(request));
        };
        let object = request.object.0;
        let decision = cells.cells.admit(Arrival { id: id.0, shop, object, once, cost: 1.0, deadline }, now);
        cells.waiting.insert(id, (request, shop));
        match decision {
            Decision::Start { cell, .. } => self.start_in_cell(id, cell),
            Decision::Refuse { reason, retry_after, .. } => self.reject_by_cell(id, reason, retry_after),
            Decision::Wait => {}
        }
        self.apply_cell_decisions();
    }

    /// Carries out what the cells have decided of requests that waited.
    pub(super) fn apply_cell_decisions(&mut self) {
        while let Some(decision) = self.cells.as_mut().and_then(|c| c.cells.poll()) {
            match decision {
                Decision::Start { id, cell } => self.start_in_cell(RequestId(id), cell),
                Decision::Refuse { id, retry_after, reason } => {
                    self.reject_by_cell(RequestId(id), reason, retry_after)
                }
                Decision::Wait => {}
            }
        }
    }

    /// A request that waited goes to its cell's router, with the time that it has left.
    pub(super) fn start_in_cell(&mut self, id: RequestId, cell: CellIx) {
        let Some(cells) = &mut self.cells else { return };
        let Some((mut request, shop)) = cells.waiting.remove(&id) else { return };
        let router = cells.router(cell, shop);
        let Some(exchange) = self.exchanges.get_mut(id) else { return };
        exchange.router = router;
        request.time_left = exchange.deadline - self.now;
        self.dispatch(router, Event::Request(request));
    }

    pub(super) fn advance_cells(&mut self) {
        let now = self.now;
        let Some(cells) = &mut self.cells else { return };
        if cells.cells.advance(now) {
            for m in cells.cells.moves() {
                eprintln!("cells: a shop moves from {} to {}: {:?}", m.from.0, m.to.0, m.step);
            }
        }
        self.timers.schedule(now + CELL_INTERVAL_MS, Timer::Cells);
        self.apply_cell_decisions();
    }

    /// Rejects a request of which nothing is held yet, at once.
    pub(super) fn reject_on_arrival(&self, incoming: Incoming, why: Rejection) {
        let Incoming { id, passed, responder, .. } = incoming;
        let wait_ms = self.retry_after(id);
        tracing::debug!(
            request = id.0,
            job = passed.job.as_str(),
            class = &*passed.class_name,
            why = why.name(),
            wait_ms,
            "request: rejected on arrival"
        );
        self.counters.refused.fetch_add(1, Relaxed);
        responder.answer(Answer::Refused { wait_ms });
    }

    /// When to come back, told to one whom the engine refuses by itself.
    pub(super) fn retry_after(&self, id: RequestId) -> Option<u64> {
        let spread =
            MIN_RETRY_AFTER_FRACTION + (1.0 - MIN_RETRY_AFTER_FRACTION) * part(self.seed, u64::from(id.0));
        self.wait_ms.map(|ms| (ms as f64 * spread) as u64)
    }

    pub(super) fn reject(&mut self, id: RequestId, wait_ms: Option<u64>) {
        if self.exchanges.answer(id, Answer::Refused { wait_ms }) {
            self.counters.refused.fetch_add(1, Relaxed);
        }
    }

    pub(super) fn reject_by_cell(&mut self, id: RequestId, reason: RefusalReason, retry_after: Ms) {
        if let Some(cells) = &mut self.cells {
            cells.waiting.remove(&id);
        }
        self.counters.by_cell[reason as usize].fetch_add(1, Relaxed);
        self.reject(id, Some(retry_after.max(1.0) as u64));
    }

    /// A request has had its final answer: nothing more of it is sent on, and its place in the cell is free.
    pub(super) fn release_admission(&mut self, id: RequestId, ended: Completion) {
        let now = self.now;
        // Also where the settings allow no calling off: this is none, since the node never hears of it.
        let upstream = &mut self.upstream;
        let out = self.exchanges.get(id).into_iter().flat_map(|e| e.out());
        let back = out.map(|attempt| AttemptKey { id, attempt }).filter(|key| upstream.withdraw(*key));
        self.ended.extend(back.map(|key| (key, Outcome::Cancelled)));
        if let Some(budgets) = &mut self.budgets {
            budgets.end_request(id);
        }
        if let Some(cells) = &mut self.cells {
            cells.waiting.remove(&id);
            cells.cells.end(id.0, ended, now);
            self.apply_cell_decisions();
        }
    }

    /// The client has left before its answer.
    pub(super) fn abandon_request(&mut self, id: RequestId) {
        let Some(exchange) = self.exchanges.get_mut(id) else { return };
        if exchange.abandon() {
            self.counters.abandoned.fetch_add(1, Relaxed);
        }
        self.release_admission(id, Completion::Abandoned);
        self.notify_expired(id);
        self.exchanges.settle(id);
    }

    pub(super) fn notify_expired(&mut self, id: RequestId) {
        self.dispatch(self.exchanges.router(id), Event::Expired { id });
    }

    /// Refuses a request of which nothing has been written to a node; one of which something has goes on.
    pub(super) fn reject_if_unsent(&mut self, id: RequestId) {
        let Some(exchange) = self.exchanges.get_mut(id) else { return };
        let upstream = &mut self.upstream;
        let out: Vec<AttemptKey> = exchange.out().map(|attempt| AttemptKey { id, attempt }).collect();
        if exchange.is_answered()
            || exchange.may_have_run
            || out.iter().any(|key| upstream.may_have_run(*key))
        {
            return;
        }
        // First it is taken back, then the client is told that nothing has run: the other way round it could be
        // written in between, and run again when the client tries again.
        let all = out.len();
        let back: Vec<AttemptKey> = out.into_iter().filter(|key| upstream.withdraw(*key)).collect();
        let unsent = back.len() == all;
        self.ended.extend(back.into_iter().map(|key| (key, Outcome::Cancelled)));
        if !unsent {
            return;
        }
        let wait_ms = self.retry_after(id);
        self.exchanges.answer(id, Answer::Refused { wait_ms });
        self.counters.refused.fetch_add(1, Relaxed);
        self.release_admission(id, Completion::Failed);
        self.notify_expired(id);
        self.exchanges.settle(id);
    }

    pub(super) fn fail_past_deadline(&mut self, id: RequestId) {
        if self.exchanges.answer(id, Answer::Failed) {
            eprintln!("request {} was still open past its deadline: failed", id.0);
            self.counters.failed.fetch_add(1, Relaxed);
            self.release_admission(id, Completion::Failed);
            self.notify_expired(id);
            self.exchanges.settle(id);
        }
    }
}
