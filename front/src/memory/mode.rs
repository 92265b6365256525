//! Whether this process accepts clients: the state read by readiness, the management address, the engine and the client
//! thread. It changes from starting to serving once; an operator pauses and resumes; SIGTERM ends it permanently.
//! Independently, the machine may be taken out for maintenance: its return does not undo an operator's pause, and a
//! resume does not bring the machine back.
//!
//! A pause, a machine taken out and the end of the process are all drains. The start of a drain is part of the state,
//! so the time for which clients are kept is limited. Times are from `process::clock::uptime`, which steps of the wall
//! clock do not affect.

use std::sync::atomic::{
    AtomicBool, AtomicU64,
    Ordering::{AcqRel, Acquire, Relaxed},
};
use std::time::Duration;

use elmtide_drain::{DrainPhase, DrainSchedule};

/// What the process is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Starting,
    Serving,
    /// After `PAUSE`: clients are redirected, the process keeps running.
    Paused,
    /// After SIGTERM: open requests are finished, then the process exits.
    Ending,
}

/// The low bits of the state word hold the state, the others its start in microseconds of uptime.
const STATE_BITS: u32 = 2;
const STATE_MASK: u64 = (1 << STATE_BITS) - 1;

/// Packs a state and the time it was entered into one word, so that both are read atomically.
fn pack(state: State, since: Duration) -> u64 {
    (micros(since) << STATE_BITS) | state as u64
}

fn unpack(word: u64) -> (State, Duration) {
    let state = match word & STATE_MASK {
        0 => State::Starting,
        1 => State::Serving,
        2 => State::Paused,
        _ => State::Ending,
    };
    (state, Duration::from_micros(word >> STATE_BITS))
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX >> STATE_BITS)
}

/// The state of the process, shared by its threads.
#[derive(Debug, Default)]
pub struct Mode {
    state: AtomicU64,
    /// When this front's machine began to leave for maintenance, in microseconds of uptime; 0 if it is not leaving.
    machine_leaving_since: AtomicU64,
    /// The longest deadline of a class when the process was told to exit, in microseconds.
    longest_deadline: AtomicU64,
    /// All requests open at shutdown have been answered.
    finishing: AtomicBool,
}

impl Mode {
    pub fn state(&self) -> State {
        unpack(self.state.load(Acquire)).0
    }

    /// Changes from one state to another; returns false if the current state is not `from`.
    fn enter(&self, from: State, to: State, now: Duration) -> bool {
        let change = |word| (unpack(word).0 == from).then(|| pack(to, now));
        self.state.fetch_update(AcqRel, Acquire, change).is_ok()
    }

    /// Startup is complete: the process can serve.
    pub fn serves(&self, now: Duration) {
        self.enter(State::Starting, State::Serving, now);
    }

    /// Returns false if the process is starting or ending. A second pause does not restart the drain.
    pub fn pause(&self, now: Duration) -> bool {
        self.enter(State::Serving, State::Paused, now) || self.state() == State::Paused
    }

    /// Returns false if the process is ending or not yet serving.
    pub fn resume(&self, now: Duration) -> bool {
        self.enter(State::Paused, State::Serving, now) || self.state() == State::Serving
    }

    /// Sets whether this front's machine is being taken out for maintenance.
    pub fn machine_goes(&self, goes: bool, now: Duration) {
        if !goes {
            return self.machine_leaving_since.store(0, Relaxed);
        }
        let keep_first = |since| (since == 0).then(|| micros(now).max(1));
        let _ = self.machine_leaving_since.fetch_update(Relaxed, Relaxed, keep_first);
    }

    /// Whether the process or its machine is leaving as planned: DNS answers omit it then, even if no other front is
    /// left.
    pub fn is_leaving(&self) -> bool {
        self.is_machine_leaving() || self.state() == State::Ending
    }

    fn is_machine_leaving(&self) -> bool {
        self.machine_leaving_since.load(Relaxed) != 0
    }

    /// The process is told to exit; `longest_deadline` is the longest of its classes.
    pub fn end(&self, now: Duration, longest_deadline: Duration) {
        self.longest_deadline.store(micros(longest_deadline), Relaxed);
        let first = |word| (unpack(word).0 != State::Ending).then(|| pack(State::Ending, now));
        let _ = self.state.fetch_update(AcqRel, Acquire, first);
    }

    /// All requests open at shutdown are answered: requests that still arrive are answered, then all connections are
    /// closed.
    pub fn finish(&self) {
        self.finishing.store(true, Relaxed);
    }

    pub fn is_finishing(&self) -> bool {
        self.finishing.load(Relaxed)
    }

    /// Whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        self.state() == State::Serving && !self.is_machine_leaving()
    }

    /// Whether connections are closed as soon as no request is open on them.
    pub fn sends_away(&self) -> bool {
        matches!(self.state(), State::Paused | State::Ending) || self.is_machine_leaving()
    }

    /// The phase of the drain; with several drains, the most advanced phase.
    pub fn drain_phase(&self, now: Duration) -> DrainPhase {
        self.drains(now)
            .map(|(schedule, elapsed)| schedule.phase(Some(elapsed)))
            .max()
            .unwrap_or(DrainPhase::NotDraining)
    }

    /// The time left until open requests are cut off by a drain.
    pub fn time_until_cut_off(&self, now: Duration) -> Option<Duration> {
        self.drains(now).map(|(schedule, elapsed)| schedule.time_until_cut_off(elapsed)).min()
    }

    /// The active drains, each with the time since it began.
    fn drains(&self, now: Duration) -> impl Iterator<Item = (DrainSchedule, Duration)> {
        let (state, since) = unpack(self.state.load(Acquire));
        let by_state = match state {
            State::Starting | State::Serving => None,
            State::Paused => Some(DrainSchedule::RELEASE_CLIENTS),
            State::Ending => {
                let longest = Duration::from_micros(self.longest_deadline.load(Relaxed));
                Some(DrainSchedule::shutdown(longest))
            }
        };
        let machine = self.machine_leaving_since.load(Relaxed);
        let by_machine = (machine != 0).then(|| Duration::from_micros(machine));
        let elapsed = move |since: Duration| now.saturating_sub(since);
        by_state
            .map(|schedule| (schedule, elapsed(since)))
            .into_iter()
            .chain(by_machine.map(|since| (DrainSchedule::RELEASE_CLIENTS, elapsed(since))))
    }
}

#[cfg(test)]
mod tests;
