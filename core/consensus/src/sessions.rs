//! Client sessions: a command is applied once, however often it is submitted.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Identifies a command. A client has one command in progress at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandId {
    /// Who submits it.
    pub client: u64,
    /// In which of the client's incarnations.
    pub incarnation: u64,
    /// Number of the command within that incarnation, from 1.
    pub sequence: u64,
}

impl CommandId {
    fn position(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }
}

/// Most clients that are remembered; commands of further ones are not applied.
pub const MAX_SESSIONS: usize = 2048;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Session<O> {
    incarnation: u64,
    sequence: u64,
    outcome: O,
}

/// The last command of each client, with its outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sessions<O>(BTreeMap<u64, Session<O>>);

impl<O> Default for Sessions<O> {
    fn default() -> Self {
        Sessions(BTreeMap::new())
    }
}

/// What a session knows of a command.
#[derive(Debug, PartialEq, Eq)]
pub enum CommandStatus<O> {
    /// It has not been applied.
    New,
    /// It was applied, with this outcome.
    Duplicate(O),
    /// A later command of this client was applied, or there is no room for another client.
    Stale,
}

impl<O: Clone> Sessions<O> {
    /// What is known of a command.
    pub fn status(&self, id: CommandId) -> CommandStatus<O> {
        let Some(session) = self.0.get(&id.client) else {
            let has_room = self.0.len() < MAX_SESSIONS;
            return if has_room { CommandStatus::New } else { CommandStatus::Stale };
        };
        match id.position().cmp(&(session.incarnation, session.sequence)) {
            Ordering::Greater => CommandStatus::New,
            Ordering::Equal => CommandStatus::Duplicate(session.outcome.clone()),
            Ordering::Less => CommandStatus::Stale,
        }
    }

    /// Records that a command was applied.
    pub fn record(&mut self, id: CommandId, outcome: O) {
        let session = Session { incarnation: id.incarnation, sequence: id.sequence, outcome };
        self.0.insert(id.client, session);
    }
}
