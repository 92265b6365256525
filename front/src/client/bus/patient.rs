//! The patient connection: at most one connection that counts as silent stays open and is waited for longer, while others
//! are tried beside it.
//!
//! A silent connection may be broken, and then only another one is answered; or the bus may be slow, and then every other
//! one would be as silent. Waiting on one and trying others hears the bus in both cases.

use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// How long the patient connection may go without a complete event.
const MIN_PATIENCE: Duration = Duration::from_secs(8);
/// It doubles each time that it was not enough: the next answer may be as slow.
const MAX_PATIENCE: Duration = Duration::from_secs(600);

/// The connection in the slot.
#[derive(Debug, Default)]
struct Occupant {
    /// `None` while it is being established.
    stream: Option<Arc<TcpStream>>,
    /// Another connection has been answered, so nothing is waited for on this one.
    is_superseded: bool,
}

#[derive(Debug)]
struct SlotState {
    occupant: Option<Occupant>,
    patience: Duration,
}

/// Holds the patient connection, if there is one.
#[derive(Debug)]
pub struct PatientSlot(Mutex<SlotState>);

impl Default for PatientSlot {
    fn default() -> PatientSlot {
        PatientSlot(Mutex::new(SlotState { occupant: None, patience: MIN_PATIENCE }))
    }
}

impl PatientSlot {
    fn state(&self) -> MutexGuard<'_, SlotState> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Makes a connection the patient one, unless there is one already.
    pub fn try_occupy(self: &Arc<Self>, stream: Option<Arc<TcpStream>>) -> Option<PatientGuard> {
        let mut state = self.state();
        if state.occupant.is_some() {
            return None;
        }
        state.occupant = Some(Occupant { stream, is_superseded: false });
        Some(PatientGuard { slot: self.clone(), patience: state.patience })
    }

    /// A connection has received a complete answer. Whatever the patient one is waiting for has come with it.
    pub fn on_answer(&self) {
        let mut state = self.state();
        state.patience = MIN_PATIENCE;
        if let Some(occupant) = &mut state.occupant {
            occupant.is_superseded = true;
            if let Some(stream) = &occupant.stream {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

/// Held by the patient connection; dropping it frees the slot.
#[derive(Debug)]
pub struct PatientGuard {
    slot: Arc<PatientSlot>,
    patience: Duration,
}

impl PatientGuard {
    /// How long this connection may go without a complete event.
    pub fn patience(&self) -> Duration {
        self.patience
    }

    /// The connection has been established. Returns false if it is not needed any more.
    pub fn set_stream(&self, stream: Arc<TcpStream>) -> bool {
        let mut state = self.slot.state();
        let Some(occupant) = &mut state.occupant else { return false };
        occupant.stream = Some(stream);
        !occupant.is_superseded
    }

    /// Whether another connection has been answered in the meantime.
    pub fn is_superseded(&self) -> bool {
        self.slot.state().occupant.as_ref().is_some_and(|occupant| occupant.is_superseded)
    }

    /// The patience was not enough: the next patient connection has more.
    pub fn record_expiry(&self) {
        let mut state = self.slot.state();
        state.patience = (self.patience * 2).min(MAX_PATIENCE);
    }
}

impl Drop for PatientGuard {
    fn drop(&mut self) {
        self.slot.state().occupant = None;
    }
}

#[cfg(test)]
mod tests;
