//! Draining: which requests are still admitted, and what happens to open requests at the cut-off.
//!
//! `elmtide-drain` decides; this module carries its decisions out. The phase of a drain is read from the process's
//! mode at each request, by the monotonic clock, so that a resume takes effect at once.

use std::sync::atomic::Ordering::Relaxed;

use elmtide::{Ms, Repeat, RequestId};
use elmtide_cells::Completion;
use elmtide_drain::Admission;

use super::admission::Rejection;
use super::Engine;
use crate::exchange::{Answer, Incoming, Upstream};
use crate::memory::mode::State;
use crate::process::clock;

impl<U: Upstream> Engine<U> {
    /// Returns the request with its deadline limited to the cut-off of a drain, or `None` if it was rejected.
    pub(super) fn admit_in_drain(&self, mut incoming: Incoming) -> Option<Incoming> {
        let mode = &self.counters.mode;
        if !mode.sends_away() {
            return Some(incoming);
        }
        let uptime = clock::uptime();
        match mode.drain_phase(uptime).admission() {
            Admission::Admit => {}
            Admission::AdmitUntilCutOff => {
                let time_left =
                    mode.time_until_cut_off(uptime).map(|time_left| time_left.as_secs_f64() * 1000.0);
                let cut_off = self.now + time_left.unwrap_or(Ms::INFINITY);
                incoming.deadline = incoming.deadline.min(cut_off);
            }
            Admission::Reject => {
                self.counters.drain_rejected.fetch_add(1, Relaxed);
                self.reject_on_arrival(incoming, Rejection::Draining);
                return None;
            }
        }
        Some(incoming)
    }

    /// Answers the requests that are still open once a drain has reached its cut-off. Must be called periodically.
    pub(super) fn cut_off_open_requests(&mut self) {
        let mode = &self.counters.mode;
        if !mode.sends_away() || !mode.drain_phase(clock::uptime()).cuts_off_open_requests() {
            return;
        }
        let process_ends = mode.state() == State::Ending;
        for id in self.exchanges.unanswered_ids() {
            self.cut_off_request(id, process_ends);
        }
    }

    /// Rejects a repeatable request, whatever attempts are in flight. A non-repeatable request is rejected if none of
    /// its attempts was fully written. Otherwise it continues up to its deadline, or fails now if the process stops.
    fn cut_off_request(&mut self, id: RequestId, process_ends: bool) {
        let Some(exchange) = self.exchanges.get(id) else { return };
        let class = self.settings.classes.get(usize::from(exchange.class.0));
        let answer = if class.is_some_and(|class| class.repeat == Repeat::Safe) {
            Answer::Refused { wait_ms: self.retry_after(id) }
        } else {
            self.reject_if_unsent(id);
            if !process_ends || self.exchanges.get(id).is_none_or(|e| e.is_answered()) {
                return;
            }
            Answer::Failed
        };
        let count = match answer {
            Answer::Refused { .. } => &self.counters.refused,
            _ => &self.counters.failed,
        };
        tracing::info!(request = id.0, refused = answer != Answer::Failed, "drain: open request cut off");
        if self.exchanges.answer(id, answer) {
            count.fetch_add(1, Relaxed);
            self.counters.drain_cut_off.fetch_add(1, Relaxed);
        }
        self.release_admission(id, Completion::Failed);
        self.notify_expired(id);
        self.exchanges.settle(id);
    }
}

#[cfg(test)]
mod tests;
