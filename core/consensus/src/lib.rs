//! Replicated state machine over Raft: one log of commands among three or five voters, by the `raft` crate.
//!
//! **Invariant: every voter applies the same commands in the same order, and a command that was submitted twice is applied
//! once.** It rests on a majority of stores that keep what was synced. It does not rest on failure detection or on clocks:
//! ticks only decide how soon a new leader is elected. Without a majority nothing is committed, and every process goes on
//! with what it has.
//!
//! - [`voter`]: one voter, its log and its state machine. [`Voter::ready`] gives what has to be synced before
//!   [`Voter::advance`] gives the messages that depend on it;
//! - [`records`]: what a store keeps;
//! - [`message`]: Raft's messages as types of ours, so that no bytes of a peer reach a protobuf parser;
//! - [`sessions`]: deduplication of commands.
//!
//! | victim \ step | submitted | proposed | synced by a majority | applied | acknowledged |
//! | --- | --- | --- | --- | --- | --- |
//! | leader lost | submitted again to the next one | lost or committed: submitted again, applied once | committed by the next one | as before | outcome repeated from the session |
//! | client lost | - | applied or not, nobody waits | applied | applied | - |
//! | follower lost | - | - | majority of the others | catches up by log or snapshot | - |

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

/// A voter, identified by its store: drawn at random with the store, never 0, never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId(pub u64);

/// The state that the log's commands change. Applying uses neither a clock nor randomness: the result is the same everywhere.
pub trait StateMachine: Default {
    /// One command of the log.
    type Command: Serialize + DeserializeOwned + Clone;
    /// What applying a command gives to whoever submitted it.
    type Outcome: Serialize + DeserializeOwned + Clone + PartialEq + std::fmt::Debug;

    /// Applies one command.
    fn apply(&mut self, command: &Self::Command) -> Self::Outcome;
    /// The whole state as bytes.
    fn snapshot(&self) -> Vec<u8>;
    /// The state from its bytes; `None` if they are no state.
    fn restore(bytes: &[u8]) -> Option<Self>;
}

/// Whether a cluster may have this number of voters: three or five, or one for experiments.
pub fn is_valid_cluster_size(voters: usize) -> bool {
    matches!(voters, 1 | 3 | 5)
}
