//! Conversions between this crate's records and messages and the protobuf types of the `raft` crate.

use raft::prelude as pb;
use raft::prelude::{
    ConfChangeSingle, ConfChangeTransition, ConfChangeType, ConfChangeV2, ConfState, EntryType, MessageType,
};
use serde::{Deserialize, Serialize};

use crate::message::{Message, MessageKind};
use crate::records::{LogEntry, Snapshot, VoterSet};
use crate::VoterId;

pub(crate) fn voters_from_raft(state: &ConfState) -> VoterSet {
    let ids = |ids: &[u64]| ids.iter().copied().map(VoterId).collect();
    VoterSet {
        incoming: ids(&state.voters),
        outgoing: ids(&state.voters_outgoing),
        auto_leave: state.auto_leave,
    }
}

pub(crate) fn voters_to_raft(voters: &VoterSet) -> ConfState {
    let ids = |ids: &[VoterId]| ids.iter().map(|id| id.0).collect::<Vec<u64>>();
    ConfState {
        voters: ids(&voters.incoming),
        voters_outgoing: ids(&voters.outgoing),
        auto_leave: voters.auto_leave,
        ..ConfState::default()
    }
}

pub(crate) fn snapshot_from_raft(snapshot: &pb::Snapshot) -> Snapshot {
    let metadata = snapshot.get_metadata();
    Snapshot {
        index: metadata.index,
        term: metadata.term,
        voters: voters_from_raft(metadata.get_conf_state()),
        data: snapshot.data.to_vec(),
    }
}

pub(crate) fn snapshot_to_raft(snapshot: Snapshot) -> pb::Snapshot {
    let mut converted = pb::Snapshot { data: snapshot.data.into(), ..pb::Snapshot::default() };
    let metadata = converted.mut_metadata();
    metadata.index = snapshot.index;
    metadata.term = snapshot.term;
    *metadata.mut_conf_state() = voters_to_raft(&snapshot.voters);
    converted
}

pub(crate) fn is_voter_change(entry: &pb::Entry) -> bool {
    entry.get_entry_type() != EntryType::EntryNormal
}

pub(crate) fn entry_from_raft(entry: &pb::Entry) -> LogEntry {
    let voter_change = is_voter_change(entry).then(|| entry.context.to_vec());
    let data = if voter_change.is_some() { Vec::new() } else { entry.data.to_vec() };
    LogEntry { term: entry.term, index: entry.index, data, voter_change }
}

pub(crate) fn entry_to_raft(entry: LogEntry) -> pb::Entry {
    let mut converted =
        pb::Entry { term: entry.term, index: entry.index, data: entry.data.into(), ..pb::Entry::default() };
    if let Some(change) = entry.voter_change {
        converted.set_entry_type(EntryType::EntryConfChangeV2);
        converted.context = change.into();
    }
    converted
}

/// A membership change, encoded as the context of its log entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VoterChange {
    pub add: Vec<VoterId>,
    pub remove: Vec<VoterId>,
}

impl VoterChange {
    pub(crate) fn to_raft(&self) -> ConfChangeV2 {
        let single = |kind, id: &VoterId| {
            let mut single = ConfChangeSingle::default();
            single.set_change_type(kind);
            single.node_id = id.0;
            single
        };
        let added = self.add.iter().map(|id| single(ConfChangeType::AddNode, id));
        let removed = self.remove.iter().map(|id| single(ConfChangeType::RemoveNode, id));
        let mut converted = ConfChangeV2::default();
        converted.set_transition(ConfChangeTransition::Auto);
        converted.set_changes(added.chain(removed).collect::<Vec<_>>().into());
        converted
    }
}

/// The message kinds that voters exchange, each with its type in the `raft` crate.
const MESSAGE_KINDS: [(MessageKind, MessageType); 10] = [
    (MessageKind::Append, MessageType::MsgAppend),
    (MessageKind::AppendResponse, MessageType::MsgAppendResponse),
    (MessageKind::Vote, MessageType::MsgRequestVote),
    (MessageKind::VoteResponse, MessageType::MsgRequestVoteResponse),
    (MessageKind::PreVote, MessageType::MsgRequestPreVote),
    (MessageKind::PreVoteResponse, MessageType::MsgRequestPreVoteResponse),
    (MessageKind::Heartbeat, MessageType::MsgHeartbeat),
    (MessageKind::HeartbeatResponse, MessageType::MsgHeartbeatResponse),
    (MessageKind::Snapshot, MessageType::MsgSnapshot),
    (MessageKind::TimeoutNow, MessageType::MsgTimeoutNow),
];

fn kind_from_raft(message_type: MessageType) -> Option<MessageKind> {
    MESSAGE_KINDS.iter().find(|(_, raft)| *raft == message_type).map(|(kind, _)| *kind)
}

fn kind_to_raft(kind: MessageKind) -> Option<MessageType> {
    MESSAGE_KINDS.iter().find(|(own_kind, _)| *own_kind == kind).map(|(_, raft)| *raft)
}

/// Converts a message of the `raft` crate for sending; `None` for kinds that are local to the process.
pub(crate) fn message_from_raft(message: &pb::Message) -> Option<Message> {
    let kind = kind_from_raft(message.get_msg_type())?;
    let snapshot = (kind == MessageKind::Snapshot).then(|| snapshot_from_raft(message.get_snapshot()));
    Some(Message {
        kind,
        from: VoterId(message.from),
        to: VoterId(message.to),
        term: message.term,
        log_term: message.log_term,
        index: message.index,
        entries: message.entries.iter().map(entry_from_raft).collect(),
        commit: message.commit,
        commit_term: message.commit_term,
        snapshot,
        request_snapshot: message.request_snapshot,
        reject: message.reject,
        reject_hint: message.reject_hint,
        context: message.context.to_vec(),
    })
}

/// Converts a received message for the `raft` crate; `None` for a malformed message, which no correct voter sends.
pub(crate) fn message_to_raft(message: Message) -> Option<pb::Message> {
    if !message.is_well_formed() {
        return None;
    }
    let mut converted = pb::Message::default();
    converted.set_msg_type(kind_to_raft(message.kind)?);
    converted.from = message.from.0;
    converted.to = message.to.0;
    converted.term = message.term;
    converted.log_term = message.log_term;
    converted.index = message.index;
    converted.entries = message.entries.into_iter().map(entry_to_raft).collect::<Vec<_>>().into();
    converted.commit = message.commit;
    converted.commit_term = message.commit_term;
    if let Some(snapshot) = message.snapshot {
        converted.set_snapshot(snapshot_to_raft(snapshot));
    }
    converted.request_snapshot = message.request_snapshot;
    converted.reject = message.reject;
    converted.reject_hint = message.reject_hint;
    converted.context = message.context.into();
    Some(converted)
}
