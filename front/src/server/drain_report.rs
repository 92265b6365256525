//! Logs the progress of a drain: each phase as it begins, with what is still held, and the completion.

use elmtide_drain::DrainPhase;

/// Tracks successive drains and logs each change once.
#[derive(Debug)]
pub struct DrainReport {
    phase: DrainPhase,
    /// The drain has been reported as complete.
    is_complete: bool,
}

impl Default for DrainReport {
    fn default() -> DrainReport {
        DrainReport { phase: DrainPhase::NotDraining, is_complete: false }
    }
}

/// What the client connections of the process hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct HeldConnections {
    connections: usize,
    owing_answers: usize,
    open_requests: usize,
}

impl DrainReport {
    /// Compares the current phase and connections with the last ones. Each connection is given as its number of open
    /// requests and whether it owes an answer.
    pub fn observe(&mut self, phase: DrainPhase, held: impl Iterator<Item = (usize, bool)>) {
        let changed = phase != self.phase;
        if !changed && (!phase.is_draining() || self.is_complete) {
            return;
        }
        let held =
            held.fold(HeldConnections::default(), |sum, (open_requests, owes_answer)| HeldConnections {
                connections: sum.connections + 1,
                owing_answers: sum.owing_answers + usize::from(owes_answer),
                open_requests: sum.open_requests + open_requests,
            });
        if changed {
            self.enter(phase, held);
        }
        let was_complete =
            std::mem::replace(&mut self.is_complete, phase.is_draining() && held.connections == 0);
        if self.is_complete && !was_complete {
            tracing::info!(phase = phase.name(), "drain: no client connections are left");
        }
    }

    fn enter(&mut self, phase: DrainPhase, held: HeldConnections) {
        self.phase = phase;
        let HeldConnections { connections, owing_answers, open_requests } = held;
        let phase = phase.name();
        tracing::info!(phase, connections, owing_answers, open_requests, "drain: phase entered");
    }
}
