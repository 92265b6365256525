//! Whether this process takes clients: the one state that readiness, the management address and the client thread
//! read. It goes from starting to serving once; an operator pauses and resumes; SIGTERM ends it for good.

use std::sync::atomic::{AtomicU8, Ordering::Relaxed};

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
pub struct Mode(AtomicU8);

impl Mode {
    pub fn state(&self) -> State {
        match self.0.load(Relaxed) {
            0 => State::Starting,
            1 => State::Serving,
            2 => State::Paused,
            _ => State::Ending,
        }
    }

    fn set(&self, state: State) {
        self.0.store(state as u8, Relaxed);
    }

    /// The process can serve.
    pub fn serves(&self) {
        let _ = self.0.compare_exchange(State::Starting as u8, State::Serving as u8, Relaxed, Relaxed);
    }

    /// False where there is nothing to pause: still starting, or ending.
    pub fn pause(&self) -> bool {
        let from = State::Serving as u8;
        let paused = self.0.compare_exchange(from, State::Paused as u8, Relaxed, Relaxed);
        paused.is_ok() || self.state() == State::Paused
    }

    /// False where the process is ending or not yet serving.
    pub fn resume(&self) -> bool {
        let from = State::Paused as u8;
        let resumed = self.0.compare_exchange(from, State::Serving as u8, Relaxed, Relaxed);
        resumed.is_ok() || self.state() == State::Serving
    }

    pub fn end(&self) {
        self.set(State::Ending);
    }

    /// Whether readiness says yes.
    pub fn is_ready(&self) -> bool {
        self.state() == State::Serving
    }

    /// Connections are closed as soon as nothing is open on them.
    pub fn sends_away(&self) -> bool {
        matches!(self.state(), State::Paused | State::Ending)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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
