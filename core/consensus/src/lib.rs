//! Replicated state machine over Raft: one command log replicated to three or five voters, using the `raft` crate.
//!
//! **Invariant: every voter applies the same commands in the same order, and a command that is submitted twice is
//! applied once.** This assumes that a majority of the stores keep what was synced. It depends neither on failure
//! detection nor on clocks: ticks only determine how soon a new leader is elected. Without a majority nothing is
//! committed, and every process continues with the state it has.
//!
//! - [`voter`]: one voter with its log and its state machine. [`Voter::ready`] returns what has to be synced before
//!   [`Voter::advance`] returns the messages that depend on it;
//! - [`records`]: the data that a store persists;
//! - [`message`]: Raft's messages as types of this crate, so that no bytes from a peer reach a protobuf parser;
//! - [`sessions`]: deduplication of commands.
//!
//! What happens to a command when a process fails, by the step that the command has reached:
//!
//! | failed process | submitted | proposed | synced by a majority | applied | acknowledged |
//! | --- | --- | --- | --- | --- | --- |
//! | leader | resubmitted to the next leader | lost or committed: resubmitted, applied once | committed by the next leader | same as synced | outcome returned again from the session |
//! | client | - | applied or not, nobody waits for it | applied | applied | - |
//! | follower | - | - | majority formed by the other voters | catches up from the log or a snapshot | - |

#![warn(clippy::needless_pass_by_value, clippy::too_many_lines, clippy::fn_params_excessive_bools)]

mod convert;
mod log;
pub mod message;
pub mod ready;
pub mod records;
pub mod sessions;
pub mod voter;

pub use message::Message;
pub use ready::{AppliedCommand, Progress, Ready};
pub use sessions::{CommandId, Sessions};
pub use voter::{ProposalError, RestoreError, Role, Voter};

use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// Identifies a voter by its store: a random id, drawn when the store is created, never 0 and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId(pub u64);

/// The state that the log's commands change. It must be deterministic: applying uses neither a clock nor randomness, so
/// that every voter gets the same result.
pub trait StateMachine: Default {
    /// A command in the log.
    type Command: Serialize + DeserializeOwned + Clone;
    /// The result of applying a command, returned to its submitter.
    type Outcome: Serialize + DeserializeOwned + Clone + PartialEq + std::fmt::Debug;

    /// Applies one command and returns its outcome.
    fn apply(&mut self, command: &Self::Command) -> Self::Outcome;
    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;
    /// Decodes a state from the bytes of [`StateMachine::snapshot`]; `None` if they are invalid.
    fn restore(bytes: &[u8]) -> Option<Self>;
}

/// Whether a cluster may have this number of voters: three or five, or one for testing.
pub fn is_valid_cluster_size(voters: usize) -> bool {
    matches!(voters, 1 | 3 | 5)
}
