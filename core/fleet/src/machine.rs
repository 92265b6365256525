//! The state that the agreed log makes, of all subsystems together.

use std::collections::BTreeMap;

use elmtide_budgets::CommandRejected;
use elmtide_budgets::{BudgetCommand, BudgetState, FrontId};
use elmtide_consensus::{StateMachine, VoterId};
use elmtide_work::JobId;
use serde::{Deserialize, Serialize};

/// Fronts that have ever had a vote, at most.
const SEATS: usize = 64;

/// One command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    Budgets(BudgetCommand),
    /// A front's vote is that of this store.
    Seat {
        front: FrontId,
        voter: VoterId,
    },
    Work(elmtide_work::Command),
    Sites(elmtide_sites::Command),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Done,
    Refused(CommandRejected),
    NoSeat,
    /// Of a job's command: the job, or why not.
    Work(Result<JobId, elmtide_work::Refused>),
    Sites(Result<(), elmtide_sites::Refused>),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agreed {
    pub budgets: BudgetState,
    pub seats: BTreeMap<FrontId, VoterId>,
    pub work: elmtide_work::State,
    pub sites: elmtide_sites::State,
}

impl Agreed {
    /// Fronts that come and go are the same for all subsystems.
    fn tell_work(&mut self, command: &BudgetCommand) {
        match command {
            BudgetCommand::Join { holder } => self.work.joined(*holder),
            BudgetCommand::Leave { holder } => self.work.left(*holder),
            BudgetCommand::RemoveFront { front } => self.work.forgotten(*front),
            _ => {}
        }
    }
}

impl StateMachine for Agreed {
    type Command = Change;
    type Outcome = Outcome;

    fn apply(&mut self, change: &Change) -> Outcome {
        match change {
            Change::Budgets(command) => match self.budgets.apply(command) {
                Ok(()) => {
                    self.tell_work(command);
                    Outcome::Done
                }
                Err(why) => Outcome::Refused(why),
            },
            Change::Seat { front, .. } if self.seats.len() >= SEATS && !self.seats.contains_key(front) => {
                Outcome::NoSeat
            }
            Change::Seat { front, voter } => {
                self.seats.insert(*front, *voter);
                Outcome::Done
            }
            Change::Work(command) => Outcome::Work(self.work.apply(command)),
            Change::Sites(command) => Outcome::Sites(self.sites.apply(command)),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    fn restore(bytes: &[u8]) -> Option<Agreed> {
        let (budgets, bytes) = postcard::take_from_bytes(bytes).ok()?;
        let (seats, bytes) = postcard::take_from_bytes(bytes).ok()?;
        // Snapshots from before there were jobs end here, and those from before there were sites after them.
        if bytes.is_empty() {
            return Some(Agreed { budgets, seats, ..Agreed::default() });
        }
        let (work, bytes) = postcard::take_from_bytes(bytes).ok()?;
        let sites = if bytes.is_empty() { Default::default() } else { postcard::from_bytes(bytes).ok()? };
        Some(Agreed { budgets, seats, work, sites })
    }
}
