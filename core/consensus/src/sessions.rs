//! Client sessions, which ensure that a command is applied once however often it is submitted.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Identifies a command. A client has at most one command in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandId {
    /// The client that submits it.
    pub client: u64,
    /// The client's incarnation.
    pub incarnation: u64,
    /// Sequence number of the command within that incarnation, starting at 1.
    pub sequence: u64,
}

impl CommandId {
    fn incarnation_and_sequence(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }
}

/// Maximum number of clients with a session; commands of further clients are not applied.
pub const MAX_SESSIONS: usize = 2048;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Session<O> {
    incarnation: u64,
    sequence: u64,
    outcome: O,
}

/// The last applied command of each client, with its outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sessions<O>(BTreeMap<u64, Session<O>>);

impl<O> Default for Sessions<O> {
    fn default() -> Self {
        Sessions(BTreeMap::new())
    }
}

/// Whether a command has already been applied, according to its client's session.
#[derive(Debug, PartialEq, Eq)]
pub enum CommandStatus<O> {
    /// It has not been applied.
    New,
    /// It was applied, with this outcome.
    Duplicate(O),
    /// A later command of this client was applied, or the maximum number of sessions is reached.
    Stale,
}

impl<O: Clone> Sessions<O> {
    /// Looks up whether a command has been applied.
    pub fn status(&self, id: CommandId) -> CommandStatus<O> {
        let Some(session) = self.0.get(&id.client) else {
            let has_room = self.0.len() < MAX_SESSIONS;
            return if has_room { CommandStatus::New } else { CommandStatus::Stale };
        };
        match id.incarnation_and_sequence().cmp(&(session.incarnation, session.sequence)) {
            Ordering::Greater => CommandStatus::New,
            Ordering::Equal => CommandStatus::Duplicate(session.outcome.clone()),
            Ordering::Less => CommandStatus::Stale,
        }
    }

    /// Records the outcome of an applied command.
    pub fn record(&mut self, id: CommandId, outcome: O) {
        let session = Session { incarnation: id.incarnation, sequence: id.sequence, outcome };
        self.0.insert(id.client, session);
    }
}
