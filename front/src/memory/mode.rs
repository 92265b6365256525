//! Whether this process takes clients: the one state that readiness, the management address, the engine and the client thread
//! read. It goes from starting to serving once; an operator pauses and resumes; SIGTERM ends it for good. Beside that its machine
//! may go out for maintenance: an operator's pause is not undone by its coming back, nor the other way round.
//!
//! A pause, a machine that goes and the end of the process are all a drain: when it began is part of the state, so that how long
//! clients are held is bounded by time. Moments are those of `process::clock::uptime`, which no step of the wall clock moves.

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
    /// `PAUSE`: clients are sent away, the process stays.
    Paused,
    /// SIGTERM: what is open is finished, then the process ends.
    Ending,
}

/// The low bits of the state word say which state it is, the others since when, in microseconds of the uptime.
const STATE_BITS: u32 = 2;
const STATE_MASK: u64 = (1 << STATE_BITS) - 1;

/// A state and the moment at which it was entered, in one word: both are always read together.
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
    /// Since when this front's machine goes out for maintenance, in microseconds of the uptime; 0 while it does not.
    machine_out_since: AtomicU64,
    /// The longest deadline of a class when the process was told to end, in microseconds.
    longest_deadline: AtomicU64,
    /// All that was open at the end has been answered.
    finishing: AtomicBool,
}

impl Mode {
    pub fn state(&self) -> State {
        unpack(self.state.load(Acquire)).0
    }

    /// Enters a state from one of these; false where the state is another.
    fn enter(&self, from: State, to: State, now: Duration) -> bool {
        let change = |word| (unpack(word).0 == from).then(|| pack(to, now));
        self.state.fetch_update(AcqRel, Acquire, change).is_ok()
    }

    /// The process can serve.
    pub fn serves(&self, now: Duration) {
        self.enter(State::Starting, State::Serving, now);
    }

    /// False where there is nothing to pause: still starting, or ending. A second pause does not begin the drain anew.
    pub fn pause(&self, now: Duration) -> bool {
        self.enter(State::Serving, State::Paused, now) || self.state() == State::Paused
    }

    /// False where the process is ending or not yet serving.
    pub fn resume(&self, now: Duration) -> bool {
        self.enter(State::Paused, State::Serving, now) || self.state() == State::Serving
    }

    /// Whether this front's machine goes out for maintenance.
    pub fn machine_goes(&self, goes: bool, now: Duration) {
        if !goes {
            return self.machine_out_since.store(0, Relaxed);
        }
        let keep_first = |since| (since == 0).then(|| micros(now).max(1));
        let _ = self.machine_out_since.fetch_update(Relaxed, Relaxed, keep_first);
    }

    /// By plan, its own or its machine's: no name answer names it, not even where nobody else is left.
    pub fn is_leaving(&self) -> bool {
        self.machine_goes_out() || self.state() == State::Ending
    }

    fn machine_goes_out(&self) -> bool {
        self.machine_out_since.load(Relaxed) != 0
    }

    /// The process is told to end; its classes have this longest deadline.
    pub fn end(&self, now: Duration, longest_deadline: Duration) {
        self.longest_deadline.store(micros(longest_deadline), Relaxed);
        let first = |word| (unpack(word).0 != State::Ending).then(|| pack(State::Ending, now));
        let _ = self.state.fetch_update(AcqRel, Acquire, first);
    }

    /// Ending, with all that was open answered: what still comes is answered too, then all connections are closed.
    pub fn finish(&self) {
        self.finishing.store(true, Relaxed);
    }

    pub fn is_finishing(&self) -> bool {
        self.finishing.load(Relaxed)
    }

    /// Whether readiness says yes.
    pub fn is_ready(&self) -> bool {
        self.state() == State::Serving && !self.machine_goes_out()
    }

    /// Connections are closed as soon as nothing is open on them.
    pub fn sends_away(&self) -> bool {
        matches!(self.state(), State::Paused | State::Ending) || self.machine_goes_out()
    }

    /// How far the drain has come; of several the one that has come furthest.
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

    /// The drains that are under way, each with the time since it began.
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
        let machine = self.machine_out_since.load(Relaxed);
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
