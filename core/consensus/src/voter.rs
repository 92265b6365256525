//! One voter: Raft, its log, and the state machine that the log drives.

use raft::prelude::{ConfChangeV2, Entry, Message as RaftMessage};
use raft::{Config, RawNode, ReadState, SnapshotStatus, StateRole};
use serde::{Deserialize, Serialize};

use crate::convert::{
    entry_from_raft, entry_to_raft, is_voter_change, message_from_raft, message_to_raft, snapshot_from_raft,
    voters_from_raft, VoterChange,
};
use crate::log::{LogPosition, MemoryLog};
use crate::message::{Message, MessageKind, MAX_ENTRY_BYTES};
use crate::ready::{AppliedCommand, Progress, Ready};
use crate::records::{Compaction, HardState, Snapshot, StorageUpdate, StoredLog, VoterSet};
use crate::sessions::{CommandId, CommandStatus, Sessions};
use crate::{StateMachine, VoterId};

/// Ticks without word from a leader before an election.
const ELECTION_TIMEOUT_TICKS: usize = 10;
const HEARTBEAT_INTERVAL_TICKS: usize = 2;
/// Ticks by which the election time-outs of two voters differ, by rank: two never campaign at the same moment for ever.
const ELECTION_TIMEOUT_STEP_TICKS: usize = 4;
/// Entries after which a snapshot is made and the log is cut.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 1024;
/// Entries before the snapshot that are kept for followers that are a little behind.
const RETAINED_ENTRIES: u64 = 128;
/// Bytes that may wait to be committed; further proposals are rejected.
const MAX_UNCOMMITTED_BYTES: u64 = 4 << 20;
const MAX_APPEND_BYTES: u64 = 48 << 10;
const MAX_INFLIGHT_APPENDS: usize = 64;
/// Ticks after which a snapshot that was sent and not acknowledged counts as lost.
const SNAPSHOT_TIMEOUT_TICKS: u64 = 20;

/// Where a voter stands in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It follows a leader, or waits for one.
    Follower,
    /// It asks for votes.
    Candidate,
    /// Elected, and it has committed an entry of its own term: it knows everything that was committed before.
    Leader,
    /// Elected, and it has committed nothing of its own term yet.
    UnconfirmedLeader,
}

/// Why a voter can't be started from its store.
#[derive(Debug, thiserror::Error)]
pub enum RestoreError {
    /// The log has a gap, or does not fit its snapshot.
    #[error("the log in the store has a hole, or does not fit its state")]
    InconsistentLog,
    /// The snapshot is not one of this state machine.
    #[error("the state in the store can't be read")]
    UnreadableSnapshot,
    /// The `raft` crate rejects it.
    #[error(transparent)]
    Raft(#[from] raft::Error),
}

/// Why a proposal was rejected; nothing was written for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// This voter does not lead.
    #[error("this voter is not the leader")]
    NotLeader,
    /// Too much waits to be committed, or the proposal is too large.
    #[error("the log has no room for the proposal")]
    LogFull,
    /// Another change of voters is in progress.
    #[error("a change of voters is in progress")]
    VoterChangeInProgress,
}

#[derive(Serialize, Deserialize)]
struct Proposal<C> {
    id: Option<CommandId>,
    command: C,
}

/// The data of a snapshot.
#[derive(Serialize, Deserialize)]
struct SnapshotData<O> {
    machine: Vec<u8>,
    sessions: Sessions<O>,
}

struct SnapshotInFlight {
    to: VoterId,
    sent_at_tick: u64,
}

struct AcknowledgedRead {
    request: u64,
    /// What has to be applied before the request may be answered.
    commit_index: u64,
}

/// One voter of the replicated log. It does no I/O: messages, ticks and synced storage are inputs.
pub struct Voter<M: StateMachine> {
    id: VoterId,
    node: RawNode<MemoryLog>,
    machine: M,
    sessions: Sessions<M::Outcome>,
    applied: LogPosition,
    ticks: u64,
    snapshots_in_flight: Vec<SnapshotInFlight>,
    /// Acknowledged, but what they may read is not applied yet.
    waiting_reads: Vec<AcknowledgedRead>,
    /// The voters have changed since the last snapshot, which would not admit a new one.
    voters_changed: bool,
}

impl<M: StateMachine> std::fmt::Debug for Voter<M> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Voter({:x}, {:?}, term {})", self.id.0, self.role(), self.term())
    }
}

/// The snapshot that the first voters of a cluster begin with: an empty state, and themselves as voters.
pub fn initial_snapshot<M: StateMachine>(voters: &[VoterId]) -> StorageUpdate {
    let mut incoming = voters.to_vec();
    incoming.sort();
    let sessions: Sessions<M::Outcome> = Sessions::default();
    let content = SnapshotData { machine: M::default().snapshot(), sessions };
    let data = postcard::to_allocvec(&content).unwrap_or_default();
    let voters = VoterSet { incoming, ..VoterSet::default() };
    StorageUpdate {
        snapshot: Some(Snapshot { index: 1, term: 1, voters, data }),
        hard_state: Some(HardState { term: 1, vote: 0, commit: 1 }),
        ..StorageUpdate::default()
    }
}

impl<M: StateMachine> Voter<M> {
    /// Starts from what the store has; with an empty one it waits until the others admit it.
    ///
    /// # Errors
    /// If the store's content does not fit together or can't be read.
    pub fn restore(id: VoterId, stored: StoredLog) -> Result<Voter<M>, RestoreError> {
        if !stored.is_consistent() {
            return Err(RestoreError::InconsistentLog);
        }
        let snapshot = &stored.snapshot;
        let (machine, sessions) = decode_snapshot(snapshot).ok_or(RestoreError::UnreadableSnapshot)?;
        let applied = LogPosition { index: snapshot.index, term: snapshot.term };
        let config = raft_config(id, snapshot);
        let no_logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, MemoryLog::new(stored), &no_logger)?;
        Ok(Voter {
            id,
            node,
            machine,
            sessions,
            applied,
            ticks: 0,
            snapshots_in_flight: Vec::new(),
            waiting_reads: Vec::new(),
            voters_changed: false,
        })
    }

    /// Its id.
    pub fn id(&self) -> VoterId {
        self.id
    }

    /// The state up to [`Voter::applied_index`].
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Highest term that it has seen.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// Index of the last command that was applied.
    pub fn applied_index(&self) -> u64 {
        self.applied.index
    }

    /// Whether every entry of its log has been applied.
    pub fn is_idle(&self) -> bool {
        self.node.raft.raft_log.last_index() == self.applied.index
    }

    /// Number of entries that the log holds.
    pub fn log_len(&self) -> usize {
        self.node.store().len()
    }

    /// Its role in its term.
    pub fn role(&self) -> Role {
        match self.node.raft.state {
            StateRole::Follower => Role::Follower,
            StateRole::Candidate | StateRole::PreCandidate => Role::Candidate,
            StateRole::Leader if self.applied.term == self.term() => Role::Leader,
            StateRole::Leader => Role::UnconfirmedLeader,
        }
    }

    /// Who leads, as far as it is known here.
    pub fn leader(&self) -> Option<VoterId> {
        Some(self.node.raft.leader_id).filter(|id| *id != 0).map(VoterId)
    }

    /// The voters of the cluster.
    pub fn voters(&self) -> VoterSet {
        voters_from_raft(&self.node.raft.prs().conf().to_conf_state())
    }

    /// One tick of the clock that decides when a leader is missed.
    pub fn tick(&mut self) {
        self.ticks += 1;
        self.report_lost_snapshots();
        self.node.tick();
    }

    fn report_lost_snapshots(&mut self) {
        let now = self.ticks;
        let is_lost = |sent: &SnapshotInFlight| now - sent.sent_at_tick > SNAPSHOT_TIMEOUT_TICKS;
        let (lost, in_flight): (Vec<_>, Vec<_>) = self.snapshots_in_flight.drain(..).partition(is_lost);
        self.snapshots_in_flight = in_flight;
        for snapshot in lost {
            self.node.report_snapshot(snapshot.to.0, SnapshotStatus::Failure);
        }
    }

    /// Starts an election at once, without waiting for a time-out; for the first voter of a new log.
    pub fn campaign(&mut self) {
        let _ = self.node.campaign();
    }

    /// Takes a peer's message. One for another voter, or that no voter sends, is dropped.
    pub fn on_message(&mut self, message: Message) {
        if message.to != self.id || message.from == self.id {
            return;
        }
        if let Some(message) = message_to_raft(message) {
            let _ = self.node.step(message);
        }
    }

    /// What is known here of a command that was submitted.
    pub fn command_status(&self, id: CommandId) -> CommandStatus<M::Outcome> {
        self.sessions.status(id)
    }

    /// Proposes a command for the log; `id` is `None` for the leader's own proposals, which are not deduplicated.
    ///
    /// # Errors
    /// If this voter does not lead, or the log has no room.
    pub fn propose(&mut self, id: Option<CommandId>, command: &M::Command) -> Result<(), ProposalError> {
        self.require_leadership()?;
        let proposal = Proposal { id, command };
        let data = postcard::to_allocvec(&proposal).map_err(|_| ProposalError::LogFull)?;
        if data.len() > MAX_ENTRY_BYTES {
            return Err(ProposalError::LogFull);
        }
        self.node.propose(Vec::new(), data).map_err(|_| ProposalError::LogFull)
    }

    /// Adds and removes voters in one step, which needs a majority of both sets.
    ///
    /// # Errors
    /// If this voter does not lead, another change is in progress, or the log has no room.
    pub fn change_voters(&mut self, add: Vec<VoterId>, remove: Vec<VoterId>) -> Result<(), ProposalError> {
        self.require_leadership()?;
        if self.node.raft.has_pending_conf() || !self.voters().outgoing.is_empty() {
            return Err(ProposalError::VoterChangeInProgress);
        }
        let change = VoterChange { add, remove };
        let context = postcard::to_allocvec(&change).map_err(|_| ProposalError::LogFull)?;
        self.node.propose_conf_change(context, change.to_raft()).map_err(|_| ProposalError::LogFull)
    }

    fn require_leadership(&self) -> Result<(), ProposalError> {
        if self.node.raft.state == StateRole::Leader {
            Ok(())
        } else {
            Err(ProposalError::NotLeader)
        }
    }

    /// Begins a linearizable read: `request` comes back in [`Progress::acknowledged_reads`] once a majority has acknowledged
    /// this leader and everything that was committed before is applied. It may never come.
    pub fn read_index(&mut self, request: u64) {
        if self.role() == Role::Leader {
            self.node.read_index(request.to_le_bytes().to_vec());
        }
    }

    /// Hands leadership to another voter, as before this machine goes into maintenance.
    pub fn transfer_leadership(&mut self, to: VoterId) {
        self.node.transfer_leader(to.0);
    }

    /// What has to be synced and sent next, if anything.
    pub fn ready(&mut self) -> Option<Ready> {
        if !self.node.has_ready() {
            return None;
        }
        let mut ready = self.node.ready();
        let messages = ready.take_messages();
        let messages = self.convert_outgoing(&messages);
        let snapshot = (!ready.snapshot().is_empty()).then(|| snapshot_from_raft(ready.snapshot()));
        let entries = ready.entries().iter().map(entry_from_raft).collect();
        let hard_state = ready.hs().map(|h| HardState { term: h.term, vote: h.vote, commit: h.commit });
        let synced_state = hard_state.filter(|_| ready.must_sync());
        let update = StorageUpdate { snapshot, entries, hard_state: synced_state, compaction: None };
        Some(Ready { messages, update, hard_state, raft: ready })
    }

    fn convert_outgoing(&mut self, messages: &[RaftMessage]) -> Vec<Message> {
        let messages: Vec<Message> = messages.iter().filter_map(message_from_raft).collect();
        for message in messages.iter().filter(|m| m.kind == MessageKind::Snapshot) {
            self.snapshots_in_flight.retain(|sent| sent.to != message.to);
            self.snapshots_in_flight.push(SnapshotInFlight { to: message.to, sent_at_tick: self.ticks });
        }
        messages
    }

    /// Goes on after [`Ready::update`] was synced.
    pub fn advance(&mut self, ready: Ready) -> Progress<M> {
        let Ready { update, hard_state, mut raft, .. } = ready;
        let mut progress = Progress::default();
        self.note_acknowledged_reads(raft.take_read_states());
        if let Some(snapshot) = update.snapshot {
            self.restore_snapshot(snapshot);
            progress.snapshot_restored = true;
        }
        let log = self.node.mut_store();
        log.append(update.entries.into_iter().map(entry_to_raft).collect());
        if let Some(hard_state) = hard_state {
            log.hard_state = hard_state;
        }
        let messages = raft.take_persisted_messages();
        progress.messages = self.convert_outgoing(&messages);
        self.apply_all(raft.take_committed_entries(), &mut progress.applied);
        self.advance_raft(raft, &mut progress);
        progress.acknowledged_reads = self.take_readable();
        progress.compaction = self.compact();
        progress
    }

    fn advance_raft(&mut self, ready: raft::Ready, progress: &mut Progress<M>) {
        let mut light_ready = self.node.advance(ready);
        if let Some(commit) = light_ready.commit_index() {
            self.node.mut_store().hard_state.commit = commit;
        }
        let messages = light_ready.take_messages();
        progress.messages.extend(self.convert_outgoing(&messages));
        self.apply_all(light_ready.take_committed_entries(), &mut progress.applied);
        self.node.advance_apply();
    }

    fn restore_snapshot(&mut self, snapshot: Snapshot) {
        if let Some((machine, sessions)) = decode_snapshot(&snapshot) {
            self.machine = machine;
            self.sessions = sessions;
        }
        self.applied = LogPosition { index: snapshot.index, term: snapshot.term };
        self.node.mut_store().restore(snapshot);
    }

    fn note_acknowledged_reads(&mut self, states: Vec<ReadState>) {
        for state in states {
            let Ok(request) = state.request_ctx.try_into() else { continue };
            let request = u64::from_le_bytes(request);
            self.waiting_reads.push(AcknowledgedRead { request, commit_index: state.index });
        }
    }

    /// Reads whose commit index has been applied: an answer may use everything that was committed when its read began.
    fn take_readable(&mut self) -> Vec<u64> {
        let applied = self.applied.index;
        let waiting = std::mem::take(&mut self.waiting_reads);
        let (readable, waiting): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|read| read.commit_index <= applied);
        self.waiting_reads = waiting;
        readable.into_iter().map(|read| read.request).collect()
    }

    fn apply_all(&mut self, entries: Vec<Entry>, applied: &mut Vec<AppliedCommand<M>>) {
        for entry in entries {
            self.applied = LogPosition { index: entry.index, term: entry.term };
            if is_voter_change(&entry) {
                self.apply_voter_change(&entry);
            } else {
                applied.extend(self.apply_command(&entry));
            }
        }
    }

    fn apply_voter_change(&mut self, entry: &Entry) {
        // The crate ends a change of two steps by an entry without context.
        let change: VoterChange = postcard::from_bytes(&entry.context).unwrap_or_default();
        let change = if entry.context.is_empty() { ConfChangeV2::default() } else { change.to_raft() };
        let _ = self.node.apply_conf_change(&change);
        self.voters_changed = true;
    }

    fn apply_command(&mut self, entry: &Entry) -> Option<AppliedCommand<M>> {
        if entry.data.is_empty() {
            return None;
        }
        let proposal: Proposal<M::Command> = postcard::from_bytes(&entry.data).ok()?;
        let Proposal { id, command } = proposal;
        let is_new = id.is_none_or(|id| self.sessions.status(id) == CommandStatus::New);
        let outcome = is_new.then(|| self.machine.apply(&command));
        if let (Some(id), Some(outcome)) = (id, &outcome) {
            self.sessions.record(id, outcome.clone());
        }
        Some(AppliedCommand { index: entry.index, id, command, outcome })
    }

    /// Makes a snapshot and cuts the log where that has grown long.
    fn compact(&mut self) -> StorageUpdate {
        let LogPosition { index, term } = self.applied;
        let due = self.node.store().snapshot.index + SNAPSHOT_INTERVAL_ENTRIES;
        if index < due && !self.voters_changed {
            return StorageUpdate::default();
        }
        self.voters_changed = false;
        let content = SnapshotData { machine: self.machine.snapshot(), sessions: self.sessions.clone() };
        let Ok(data) = postcard::to_allocvec(&content) else { return StorageUpdate::default() };
        let snapshot = Snapshot { index, term, voters: self.voters(), data };
        let first_index = index.saturating_sub(RETAINED_ENTRIES) + 1;
        let compaction = Compaction { snapshot, first_index };
        self.node.mut_store().compact(compaction.clone());
        StorageUpdate { compaction: Some(compaction), ..StorageUpdate::default() }
    }
}

fn decode_snapshot<M: StateMachine>(snapshot: &Snapshot) -> Option<(M, Sessions<M::Outcome>)> {
    if snapshot.index == 0 {
        return Some((M::default(), Sessions::default()));
    }
    let content: SnapshotData<M::Outcome> = postcard::from_bytes(&snapshot.data).ok()?;
    Some((M::restore(&content.machine)?, content.sessions))
}

fn raft_config(id: VoterId, snapshot: &Snapshot) -> Config {
    let mut voters = snapshot.voters.incoming.clone();
    voters.sort();
    let rank = voters.iter().position(|voter| *voter == id).unwrap_or(voters.len());
    let election_timeout = ELECTION_TIMEOUT_TICKS + rank * ELECTION_TIMEOUT_STEP_TICKS;
    Config {
        id: id.0,
        election_tick: ELECTION_TIMEOUT_TICKS,
        heartbeat_tick: HEARTBEAT_INTERVAL_TICKS,
        // The crate draws from this range: with one value in it, two runs of a seed are the same.
        min_election_tick: election_timeout,
        max_election_tick: election_timeout + 1,
        applied: snapshot.index,
        max_size_per_msg: MAX_APPEND_BYTES,
        max_inflight_msgs: MAX_INFLIGHT_APPENDS,
        check_quorum: true,
        pre_vote: true,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        ..Config::default()
    }
}
