//! Requests from arrival to their final answer: admission, rejection, and release of the resources they hold.

use std::sync::atomic::Ordering::Relaxed;

use elmtide::{Event, Ms, Outcome, Request, RequestId};
use elmtide_cells::{Arrival, CellIx, Completion, Decision, RefusalReason};

use super::timers::{Timer, CELL_INTERVAL_MS};
use super::{priority_if, Engine};
use crate::exchange::{Answer, AttemptKey, Incoming, Upstream};
use crate::process::jitter_fraction;

/// A request that has not been fully written to a node by this fraction of its time is rejected: the client learns
/// early that nothing has run, and still has time to act on it.
const UNSENT_DEADLINE_FRACTION: f64 = 0.45;
/// Smallest fraction of the longest retry-after time that is sent with the engine's own rejections; the decision module
/// uses the same fraction.
const MIN_RETRY_AFTER_FRACTION: f64 = 0.6;
/// This long after a deadline the engine fails the request itself, whatever the decision module does.
const DEADLINE_BACKSTOP_MS: Ms = 15.0;

/// Why a request is rejected on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    /// The front drains: it is paused, it is stopping, or its machine goes into maintenance.
    Draining,
    /// The maximum number of requests is open.
    TooManyOpen,
    /// The shop's quota of the fleet's budget is exhausted.
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
    /// Admits or rejects a new request, and gives it to a router or a cell's queue.
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
            write: false, // the class says whether it is a write
        };
        let (deadline, shop, once) = (incoming.deadline, incoming.shop, incoming.forwarded.once);
        let priority = priority_if(once);
        if self.budgets.as_mut().is_some_and(|b| !b.admit_shop_request(request.id, shop, priority)) {
            return self.reject_on_arrival(incoming, Rejection::ShopBudget);
        }
        let transfer_rate = self.settings.transfer_kb_per_s;
        let work = incoming.size_kb.zip(transfer_rate).map(|(kb, transfer_rate)| kb / transfer_rate * 1000.0);
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
            let current_router = self.current_router;
            if let Some(exchange) = self.exchanges.get_mut(id) {
                exchange.router = current_router;
            }
            return self.dispatch(current_router, Event::Request(request));
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

    /// Carries out the cells' decisions on requests that waited in their queues.
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

    /// Gives a request that waited to its cell's router, with its remaining time.
    pub(super) fn start_in_cell(&mut self, id: RequestId, cell: CellIx) {
        let Some(cells) = &mut self.cells else { return };
        let Some((mut request, shop)) = cells.waiting.remove(&id) else { return };
        let router = cells.router(cell, shop);
        let Some(exchange) = self.exchanges.get_mut(id) else { return };
        exchange.router = router;
        request.time_left = exchange.deadline - self.now;
        self.dispatch(router, Event::Request(request));
    }

    /// Advances the cells' queues and moves, and logs every change of a move.
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

    /// Rejects a request at once, before any resource is held for it.
    pub(super) fn reject_on_arrival(&self, incoming: Incoming, why: Rejection) {
        let Incoming { id, forwarded, responder, .. } = incoming;
        let wait_ms = self.retry_after(id);
        tracing::debug!(
            request = id.0,
            job = forwarded.job.as_str(),
            class = &*forwarded.class_name,
            why = why.name(),
            wait_ms,
            "request: rejected on arrival"
        );
        self.counters.refused.fetch_add(1, Relaxed);
        responder.answer(Answer::Refused { wait_ms });
    }

    /// The retry-after time of the engine's own rejections, spread over clients so that they don't return together.
    pub(super) fn retry_after(&self, id: RequestId) -> Option<u64> {
        let fraction = MIN_RETRY_AFTER_FRACTION
            + (1.0 - MIN_RETRY_AFTER_FRACTION) * jitter_fraction(self.seed, u64::from(id.0));
        self.max_retry_after_ms.map(|ms| (ms as f64 * fraction) as u64)
    }

    /// Answers an open request with a rejection and counts it.
    pub(super) fn reject(&mut self, id: RequestId, wait_ms: Option<u64>) {
        if self.exchanges.answer(id, Answer::Refused { wait_ms }) {
            self.counters.refused.fetch_add(1, Relaxed);
        }
    }

    /// Rejects a request that its cell refused, and counts the reason.
    pub(super) fn reject_by_cell(&mut self, id: RequestId, reason: RefusalReason, retry_after: Ms) {
        if let Some(cells) = &mut self.cells {
            cells.waiting.remove(&id);
        }
        self.counters.by_cell[reason as usize].fetch_add(1, Relaxed);
        self.reject(id, Some(retry_after.max(1.0) as u64));
    }

    /// Releases what an answered request holds: unwritten attempts are withdrawn, its budget and its place in the cell
    /// are freed.
    pub(super) fn release_admission(&mut self, id: RequestId, ended: Completion) {
        let now = self.now;
        // Done even where the settings forbid cancelling: a withdrawn attempt never reaches the node, so nothing is
        // cancelled there.
        let upstream = &mut self.upstream;
        let in_flight = self.exchanges.get(id).into_iter().flat_map(|e| e.out());
        let withdrawn =
            in_flight.map(|attempt| AttemptKey { id, attempt }).filter(|key| upstream.withdraw(*key));
        self.ended_attempts.extend(withdrawn.map(|key| (key, Outcome::Cancelled)));
        if let Some(budgets) = &mut self.budgets {
            budgets.end_request(id);
        }
        if let Some(cells) = &mut self.cells {
            cells.waiting.remove(&id);
            cells.cells.end(id.0, ended, now);
            self.apply_cell_decisions();
        }
    }

    /// Handles a client that left before its answer.
    pub(super) fn abandon_request(&mut self, id: RequestId) {
        let is_unsent = self.withdraw_if_unsent(id);
        let Some(exchange) = self.exchanges.get_mut(id) else { return };
        if exchange.abandon(is_unsent) {
            self.counters.abandoned.fetch_add(1, Relaxed);
        }
        self.release_admission(id, Completion::Abandoned);
        self.notify_expired(id);
        self.exchanges.settle(id);
    }

    /// Tells the request's router that the request needs no more attempts.
    pub(super) fn notify_expired(&mut self, id: RequestId) {
        self.dispatch(self.exchanges.router(id), Event::Expired { id });
    }

    /// Withdraws the attempts of a request of which nothing can have run; true if nothing runs from now on either.
    fn withdraw_if_unsent(&mut self, id: RequestId) -> bool {
        let Some(exchange) = self.exchanges.get(id) else { return false };
        let upstream = &mut self.upstream;
        let in_flight: Vec<AttemptKey> = exchange.out().map(|attempt| AttemptKey { id, attempt }).collect();
        if exchange.may_have_run || in_flight.iter().any(|key| upstream.may_have_run(*key)) {
            return false;
        }
        let total = in_flight.len();
        let withdrawn: Vec<AttemptKey> =
            in_flight.into_iter().filter(|key| upstream.withdraw(*key)).collect();
        let is_unsent = withdrawn.len() == total;
        self.ended_attempts.extend(withdrawn.into_iter().map(|key| (key, Outcome::Cancelled)));
        is_unsent
    }

    /// Rejects a request none of whose attempts has been fully written to a node; any other request continues.
    pub(super) fn reject_if_unsent(&mut self, id: RequestId) {
        if self.exchanges.get(id).is_none_or(|exchange| exchange.is_answered()) {
            return;
        }
        // Withdraw first, then tell the client that nothing has run. In the other order an attempt could be written in
        // between, and the request would run twice when the client retries.
        if !self.withdraw_if_unsent(id) {
            return;
        }
        let wait_ms = self.retry_after(id);
        self.exchanges.answer(id, Answer::Refused { wait_ms });
        self.counters.refused.fetch_add(1, Relaxed);
        self.release_admission(id, Completion::Failed);
        self.notify_expired(id);
        self.exchanges.settle(id);
    }

    /// Fails a request that is still unanswered after its deadline.
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
