//! The engine's timers: when each is due and what it does.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use elmtide::{Event, Ms, RequestId, Token, Try};

use super::Engine;
use crate::exchange::{AttemptKey, Progress, Upstream};

/// Interval at which idle connections are closed and gauges are updated.
pub(super) const SWEEP_INTERVAL_MS: Ms = 1000.0;
/// Interval at which cells advance their queues and the moves of shops.
pub(super) const CELL_INTERVAL_MS: Ms = 50.0;
/// Interval at which connections with unanswered attempts are checked.
pub(super) const CONNECTION_CHECK_INTERVAL_MS: Ms = 100.0;
/// Interval at which the fleet's thread gets a report.
pub(super) const FLEET_REPORT_INTERVAL_MS: Ms = 100.0;
/// The longest wait for an input. It is limited because the wall clock may be set while the engine waits.
const MAX_WAIT_MICROS: u64 = 1_000_000;

/// What happens when a timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A router's timer: the router's index and the timer's token.
    Router(usize, u64),
    /// An attempt's timeout: request and attempt.
    Attempt(u32, u8),
    /// A request's deadline has passed.
    Deadline(u32),
    /// A request should have been written to a server by now.
    Unsent(u32),
    /// Check connections with unanswered attempts.
    ConnectionCheck,
    /// Close idle connections and update the gauges.
    Sweep,
    /// Advance the cells' queues.
    Cells,
    /// Report to the fleet's thread.
    FleetReport,
}

/// Timers ordered by the time at which they are due.
#[derive(Debug, Default)]
pub(super) struct TimerQueue(BinaryHeap<Reverse<(u64, Timer)>>);

impl TimerQueue {
    /// Adds a timer that is due at this Unix time in milliseconds.
    pub(super) fn schedule(&mut self, at: Ms, timer: Timer) {
        self.0.push(Reverse((to_micros(at), timer)));
    }

    /// How long to wait for the next timer, at most one second.
    pub(super) fn time_until_next(&self, now: Ms) -> Duration {
        let due = self.0.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
        let left = due.saturating_sub(to_micros(now));
        Duration::from_micros(left.min(MAX_WAIT_MICROS))
    }

    /// Removes and returns the next timer that is due.
    pub(super) fn pop_due(&mut self, now: Ms) -> Option<Timer> {
        let Reverse((at, _)) = self.0.peek()?;
        if *at > to_micros(now) {
            return None;
        }
        self.0.pop().map(|Reverse((_, timer))| timer)
    }
}

/// Converts a Unix time in milliseconds to whole microseconds, which can be ordered.
fn to_micros(at: Ms) -> u64 {
    (at * 1000.0).max(0.0) as u64
}

impl<U: Upstream> Engine<U> {
    /// Fires every timer that is due, and those that become due meanwhile.
    pub(super) fn fire_timers(&mut self) {
        loop {
            self.update_clock();
            let Some(timer) = self.timers.pop_due(self.now) else { return };
            self.fire_timer(timer);
            self.finish_ended_attempts();
        }
    }

    fn fire_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Router(router, token) => self.dispatch(router, Event::Timer { token: Token(token) }),
            Timer::Attempt(id, attempt) => {
                let key = AttemptKey { id: RequestId(id), attempt: Try(attempt) };
                self.abandon_attempt(key, Progress::outcome_if_timed_out);
            }
            Timer::Deadline(id) => self.fail_past_deadline(RequestId(id)),
            Timer::Unsent(id) => self.reject_if_unsent(RequestId(id)),
            Timer::Cells => self.advance_cells(),
            Timer::FleetReport => {
                self.report_to_fleet();
                self.update_slow_start_shares();
                self.timers.schedule(self.now + FLEET_REPORT_INTERVAL_MS, Timer::FleetReport);
            }
            Timer::ConnectionCheck => {
                self.upstream.check_connections();
                self.cut_off_open_requests();
                self.close_if_idle();
                self.timers.schedule(self.now + CONNECTION_CHECK_INTERVAL_MS, Timer::ConnectionCheck);
            }
            Timer::Sweep => self.sweep(),
        }
    }

    fn sweep(&mut self) {
        self.update_endpoint_figures();
        self.remove_idle_routers();
        self.upstream.close_idle();
        self.timers.schedule(self.now + SWEEP_INTERVAL_MS, Timer::Sweep);
        let open = self.exchanges.unanswered() as u64;
        self.counters.open.store(open, Relaxed);
    }
}
