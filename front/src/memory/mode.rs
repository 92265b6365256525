//! Whether this process takes clients: the one state that readiness, the management address and the client thread
//! read. It goes from starting to serving once; an operator pauses and resumes; SIGTERM ends it for good. Beside that its machine may
//! go out for work: an operator's pause is not undone by its coming back, nor the other way round.

use std::sync::atomic::{AtomicBool, AtomicU8, Ordering::Relaxed};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Starting,
    Serving,
    /// `PAUSE`: clients are sent away, the process stays.
    Paused,
    /// SIGTERM: what is open is finished, then the process ends.
    Ending,
}

#[derive(Debug, Default)]
pub struct Mode {
    state: AtomicU8,
    /// This front's machine goes out for work.
    goes: AtomicBool,
    /// All that was open at the end has been answered.
    finishing: AtomicBool,
}

impl Mode {
    pub fn state(&self) -> State {
        match self.state.load(Relaxed) {
            0 => State::Starting,
            1 => State::Serving,
            2 => State::Paused,
            _ => State::Ending,
        }
    }

    fn set(&self, state: State) {
        self.state.store(state as u8, Relaxed);
    }

    /// The process can serve.
    pub fn serves(&self) {
        let _ = self.state.compare_exchange(State::Starting as u8, State::Serving as u8, Relaxed, Relaxed);
    }

    /// False where there is nothing to pause: still starting, or ending.
    pub fn pause(&self) -> bool {
        let from = State::Serving as u8;
        let paused = self.state.compare_exchange(from, State::Paused as u8, Relaxed, Relaxed);
        paused.is_ok() || self.state() == State::Paused
    }

    /// False where the process is ending or not yet serving.
    pub fn resume(&self) -> bool {
        let from = State::Paused as u8;
        let resumed = self.state.compare_exchange(from, State::Serving as u8, Relaxed, Relaxed);
        resumed.is_ok() || self.state() == State::Serving
    }

    /// Whether this front's machine goes out for work.
    pub fn machine_goes(&self, goes: bool) {
        self.goes.store(goes, Relaxed);
    }

    /// By plan, its own or its machine's: no name answer names it, not even where nobody else is left.
    pub fn is_leaving(&self) -> bool {
        self.goes.load(Relaxed) || self.state() == State::Ending
    }

    pub fn end(&self) {
        self.set(State::Ending);
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
        self.state() == State::Serving && !self.goes.load(Relaxed)
    }

    /// Connections are closed as soon as nothing is open on them.
    pub fn sends_away(&self) -> bool {
        matches!(self.state(), State::Paused | State::Ending) || self.goes.load(Relaxed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_machine_that_comes_back_does_not_undo_an_operators_pause() {
        let mode = Mode::default();
        mode.serves();
        mode.machine_goes(true);
        assert!(!mode.is_ready() && mode.sends_away() && mode.is_leaving());
        assert!(mode.pause());
        mode.machine_goes(false);
        assert!(!mode.is_ready() && mode.sends_away() && !mode.is_leaving());
        assert!(mode.resume() && mode.is_ready());
        mode.machine_goes(true);
        assert!(mode.resume() && !mode.is_ready(), "nor does an operator bring a machine back");
    }

    #[test]
    fn pause_and_resume_only_while_serving_and_ending_is_for_good() {
        let mode = Mode::default();
        assert!(!mode.pause() && !mode.is_ready());
        mode.serves();
        assert!(mode.is_ready() && !mode.sends_away());
        assert!(mode.pause() && mode.pause());
        assert!(!mode.is_ready() && mode.sends_away());
        mode.serves();
        assert_eq!(mode.state(), State::Paused, "a start does not undo a pause");
        assert!(mode.resume() && mode.is_ready());
        mode.end();
        assert!(!mode.resume() && !mode.pause() && mode.sends_away());
    }
}
