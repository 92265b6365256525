//! Attempts from the router's decision to their outcome: sending, filling, abandoning, and the retry budget.

use std::sync::atomic::Ordering::Relaxed;

use elmtide::{Action, Event, MemberId, Ms, Note, Outcome, Repeat, RequestId};
use elmtide_cells::Completion;

use super::budget_client::RETRIES;
use super::timers::Timer;
use super::{priority_if, Engine};
use crate::exchange::{Answer, AttemptKey, AttemptOrder, Progress, SendError, ServedCopy, Upstream};
use crate::memory::exchanges::Exchanges;

/// A retry must be written this long before the idempotency key of the earlier attempt may expire at the node: it needs
/// time to arrive.
const IDEMPOTENCY_KEY_MARGIN_MS: Ms = 5.0;

impl<U: Upstream> Engine<U> {
    /// Gives an event to every router.
    pub(super) fn dispatch_to_all(&mut self, event: &Event) {
        for router in self.routers.indices() {
            self.dispatch(router, event.clone());
        }
    }

    /// Gives a router an event and carries out its actions.
    pub(super) fn dispatch(&mut self, router: usize, event: Event) {
        self.heed_lease_changes();
        let mut actions = std::mem::take(&mut self.actions);
        self.handle_with_retry_budget(router, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(router, action);
        }
        self.actions = actions;
    }

    /// Updates what follows from leases that have begun or expired.
    pub(super) fn heed_lease_changes(&mut self) {
        if self.maintenance.as_ref().is_some_and(|maintenance| maintenance.lease_has_changed()) {
            self.exclude_servers_under_maintenance();
        }
        if self.budgets.as_ref().is_some_and(|budgets| budgets.lease_has_changed()) {
            self.update_slow_start_shares();
        }
    }

    /// Handles an event with retries drawn from the budget shared by all fronts. The router is lent what may be spent
    /// now, and what it used is spent at the same clock reading, before anything is sent.
    pub(super) fn handle_with_retry_budget(
        &mut self,
        router: usize,
        event: Event,
        actions: &mut Vec<Action>,
    ) {
        let Some(router) = self.routers.prepare(router, &self.knowledge, self.now) else { return };
        // No other event starts an attempt.
        let may_start_attempts =
            matches!(event, Event::Request(_) | Event::Reply { .. } | Event::Timer { .. });
        let Some(budgets) = self.budgets.as_mut().filter(|b| may_start_attempts && b.has_budget(RETRIES))
        else {
            return router.handle(self.now, event, actions);
        };
        let lent_retries = budgets.available(RETRIES).floor();
        router.lend_retries(lent_retries);
        router.handle(self.now, event, actions);
        let used = lent_retries - router.lend_retries(0.0);
        if used <= 0.0 && lent_retries >= 1.0 {
            return;
        }
        let must_run_once =
            |id: &RequestId, exchanges: &Exchanges| exchanges.get(*id).is_some_and(|e| e.forwarded.once);
        let find_high_priority = |exchanges: &Exchanges| {
            actions.iter().any(|a| matches!(a, Action::Serve { id, .. } if must_run_once(id, exchanges)))
        };
        let is_high_priority = find_high_priority(&self.exchanges);
        for _ in 0..used as u64 {
            budgets.try_spend(RETRIES, priority_if(is_high_priority));
        }
        // A request that ended after an attempt while the budget was empty would have used one more retry.
        for action in actions.iter() {
            let (Action::Refuse { id, .. } | Action::Fail { id }) = action else { continue };
            let tried = self.exchanges.get(*id).is_some_and(|e| e.has_been_sent());
            if lent_retries < 1.0 && tried {
                let priority = priority_if(must_run_once(id, &self.exchanges));
                budgets.note_unmet_demand(RETRIES, priority);
            }
        }
    }

    /// Carries out one action of a router.
    pub(super) fn carry_out(&mut self, router: usize, action: Action) {
        match action {
            Action::Serve { .. } => self.begin_attempt(router, action),
            Action::Cancel { id, attempt } => {
                let outcome = self.outcomes_of_cancelled();
                self.abandon_attempt(AttemptKey { id, attempt }, outcome)
            }
            Action::Refuse { id, retry_after } => {
                let wait_ms = retry_after.map(|ms| ms.max(0.0) as u64);
                tracing::debug!(request = id.0, wait_ms, "request: rejected by the router");
                self.reject(id, wait_ms);
                self.release_admission(id, Completion::Failed);
            }
            Action::Fail { id } => {
                tracing::debug!(request = id.0, "request: failed by the router");
                if self.exchanges.answer(id, Answer::Failed) {
                    self.counters.failed.fetch_add(1, Relaxed);
                }
                self.release_admission(id, Completion::Failed);
            }
            Action::SetTimer { delay, token } => {
                self.timers.schedule(self.now + delay.max(0.0), Timer::Router(router, token.0));
            }
            Action::Probe { member } => {
                if self.upstream.probe(member) == Err(SendError::NoAddress) {
                    self.unreachable_probes.push_back(member);
                }
            }
            // The event bus is subscribed to from the start.
            Action::Subscribe => {}
        }
    }

    /// Whether a request of this router may fill a miss from the shared parents or origin. A write is never cached: it
    /// must run at its source and is not limited here.
    pub(super) fn may_fill_in_cell(&mut self, router: usize, write: bool) -> bool {
        let now = self.now;
        let Some(cells) = self.cells.as_mut().filter(|_| !write) else { return true };
        cells.cell(router).is_none_or(|cell| cells.cells.may_fill(cell, now))
    }

    /// The source, if the budgets shared by all fronts allow a fill from it. A write is no fill, since it is never
    /// cached and must run at its source.
    pub(super) fn reserve_fill(
        &mut self,
        key: AttemptKey,
        cache: MemberId,
        source: Option<MemberId>,
        write: bool,
    ) -> Option<MemberId> {
        let Some(budgets) = &mut self.budgets else { return source };
        let work = self.exchanges.get(key.id).and_then(|e| e.work);
        budgets.note_work_sent(source.is_some_and(|s| s != cache), work, priority_if(write));
        let fill_source = source.filter(|_| !write);
        let Some(kind) = fill_source.map(|source| self.knowledge.endpoints.kind(source)) else {
            return source;
        };
        let from_origin = kind.is_some() && kind == self.settings.origin_kind;
        source.filter(|_| budgets.try_reserve_fill(key, from_origin, priority_if(write)))
    }

    /// Sends the attempt that the router has decided on.
    fn begin_attempt(&mut self, router: usize, action: Action) {
        let Action::Serve { id, cache, source, rank, max_age, mode, timeout } = action else { return };
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(id) else { return };
        let class = self.settings.classes.get(usize::from(exchange.class.0));
        let guarded = class.is_none_or(|class| class.repeat != Repeat::Safe);
        let key_window =
            class.filter(|class| class.repeat == Repeat::Keyed).and_then(|class| class.key_window);
        let key_expires =
            exchange.first_run().zip(key_window).map(|(first_sent, window)| first_sent + window);
        let write_by = key_expires.map(|at| at - IDEMPOTENCY_KEY_MARGIN_MS);
        let attempt = exchange.begin_attempt(now, cache);
        let key = AttemptKey { id, attempt };
        let forwarded = exchange.forwarded.clone();
        let timeout = timeout.min(exchange.deadline - now);
        if timeout <= 0.0 {
            self.ended_attempts.push_back((key, Outcome::Moot));
            return;
        }
        self.timers.schedule(now + timeout, Timer::Attempt(id.0, attempt.0));
        self.counters.sent.fetch_add(1, Relaxed);
        let may_fill = self.may_fill_in_cell(router, forwarded.write);
        let source = Some(source).filter(|source| *source != cache && may_fill);
        let source = self.reserve_fill(key, cache, source, forwarded.write);
        self.note_servers_in_use(key, cache, source);
        tracing::debug!(
            request = id.0,
            attempt = attempt.0,
            job = forwarded.job.as_str(),
            server = cache.0,
            source = source.map(|source| source.0),
            timeout_ms = timeout,
            "attempt: begun"
        );
        let order =
            AttemptOrder { key, forwarded, cache, source, rank, max_age, mode, timeout, write_by, guarded };
        if let Err(error) = self.upstream.send(&order) {
            tracing::debug!(request = id.0, attempt = attempt.0, %error, "attempt: not sent");
            self.ended_attempts.push_back((key, error.outcome()));
        }
    }

    /// Records which servers an attempt uses, for maintenance.
    fn note_servers_in_use(&mut self, key: AttemptKey, cache: MemberId, source: Option<MemberId>) {
        let Some(maintenance) = &mut self.maintenance else { return };
        let exchange = self.exchanges.get_mut(key.id);
        let work = exchange.as_ref().and_then(|exchange| exchange.work);
        if let (Some(exchange), Some(source)) = (exchange, source) {
            exchange.fills_from(key.attempt, source);
        }
        let servers: Vec<MemberId> = [Some(cache), source].into_iter().flatten().collect();
        maintenance.note_work_sent(&servers, work);
    }

    /// The outcome of an attempt whose connection this side has closed. Where second copies are forbidden, an attempt
    /// that may have run counts as still running.
    pub(super) fn outcome_of_abandoned(&self, progress: Progress) -> Outcome {
        if self.settings.second_copies {
            progress.outcome_if_broken()
        } else {
            progress.outcome_if_timed_out()
        }
    }

    /// The outcome of a cancelled attempt. Where second copies are forbidden, an attempt that was not fully written is
    /// reported differently, since another may follow it.
    fn outcomes_of_cancelled(&self) -> fn(Progress) -> Outcome {
        if self.settings.second_copies {
            return |_| Outcome::Cancelled;
        }
        |progress| if progress.may_have_run() { Outcome::Cancelled } else { Outcome::Moot }
    }

    /// Abandons an attempt that is in flight; its outcome depends on how far it had come.
    pub(super) fn abandon_attempt(&mut self, key: AttemptKey, outcome: impl FnOnce(Progress) -> Outcome) {
        let is_in_flight = self.exchanges.get_mut(key.id).is_some_and(|e| e.is_out(key.attempt));
        if let Some(progress) = is_in_flight.then(|| self.upstream.abandon(key)).flatten() {
            self.ended_attempts.push_back((key, outcome(progress)));
        }
    }

    /// Processes the end of an attempt, whether a connection or the engine detected it.
    pub(super) fn finish_attempt(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
        note: Note,
        copy: Option<ServedCopy>,
    ) {
        let Some(exchange) = self.exchanges.get_mut(key.id) else { return };
        let Some((sent, to)) = exchange.end_attempt(key.attempt) else { return };
        let mut served = false;
        exchange.may_have_run |= !matches!(outcome, Outcome::ConnectFailed | Outcome::Moot);
        let not_run_outcomes = [Outcome::ConnectFailed, Outcome::Moot, Outcome::Full, Outcome::Miss];
        if !not_run_outcomes.contains(&outcome) {
            exchange.ran(sent);
        }
        self.upstream.attempt_ended(key);
        if outcome == Outcome::Ok {
            let copy = copy.unwrap_or(ServedCopy { bytes: Vec::new(), digest: None, client_has_it: false });
            if exchange.answer(Answer::Served(copy)) {
                self.counters.served.fetch_add(1, Relaxed);
                served = true;
            }
        }
        let router = exchange.router;
        let (id, attempt) = (key.id, key.attempt);
        tracing::debug!(request = id.0, attempt = attempt.0, server = to.0, ?outcome, "attempt: ended");
        self.counters.outcome(outcome);
        self.failing.heard(to, outcome);
        if let Some(maintenance) = self.maintenance.as_mut().filter(|_| outcome == Outcome::Ok) {
            maintenance.note_success(to);
        }
        let settled = exchange.is_answered();
        let latency = self.now - sent;
        self.note_cell_fill(router, note);
        if let Some(budgets) = &mut self.budgets {
            // Without a note, a served attempt or one with an unknown outcome counts as a fill.
            let not_filled =
                matches!(outcome, Outcome::ConnectFailed | Outcome::Moot | Outcome::Miss | Outcome::Full);
            let was_cached = matches!(note, Note::Hit | Note::Stale | Note::Joined);
            budgets.resolve_fill(key, !(not_filled || was_cached), !matches!(note, Note::Filled));
        }
        self.dispatch(router, Event::Reply { id, attempt, outcome, latency, settled, note });
        if served {
            self.release_admission(id, Completion::Served);
        }
        self.exchanges.settle(id);
    }

    /// Records that a miss was filled from the shared parents or origin.
    pub(super) fn note_cell_fill(&mut self, router: usize, note: Note) {
        let now = self.now;
        let Some(cells) = self.cells.as_mut().filter(|_| matches!(note, Note::Filled | Note::FilledByOrigin))
        else {
            return;
        };
        if let Some(cell) = cells.cell(router) {
            cells.cells.record_fill(cell, now);
        }
    }

    /// Processes the attempts and probes that the engine ended itself.
    pub(super) fn finish_ended_attempts(&mut self) {
        while let Some(member) = self.unreachable_probes.pop_front() {
            self.dispatch_to_all(&Event::Probed { member, outcome: Outcome::ConnectFailed, latency: 0.0 });
        }
        while let Some((key, outcome)) = self.ended_attempts.pop_front() {
            self.finish_attempt(key, outcome, Note::Absent, None);
        }
    }
}
