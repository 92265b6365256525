//! One voter: a Raft node, its log, and the state machine that applies the log.

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

/// Election timeout: ticks without a message from a leader before an election.
const ELECTION_TIMEOUT_TICKS: usize = 10;
const HEARTBEAT_INTERVAL_TICKS: usize = 2;
/// Difference between the election timeouts of two voters of adjacent rank, so that two voters cannot keep campaigning
/// at the same moment.
const ELECTION_TIMEOUT_STEP_TICKS: usize = 4;
/// Number of applied entries after which a snapshot is taken and the log is compacted.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 1024;
/// Number of entries before the snapshot that are retained for followers that lag slightly.
const RETAINED_ENTRIES: u64 = 128;
/// Maximum size of uncommitted proposals; further ones are rejected.
const MAX_UNCOMMITTED_BYTES: u64 = 4 << 20;
const MAX_APPEND_BYTES: u64 = 48 << 10;
const MAX_INFLIGHT_APPENDS: usize = 64;
/// Ticks after which a snapshot that was sent but not acknowledged is considered lost.
const SNAPSHOT_TIMEOUT_TICKS: u64 = 20;

/// The role of a voter in its current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It follows a leader or waits for one.
    Follower,
    /// It is requesting votes.
    Candidate,
    /// Elected, and it has applied an entry of its own term: it knows everything that was committed before.
    Leader,
    /// Elected, but it has not applied any entry of its own term yet.
    UnconfirmedLeader,
}

/// Why a voter cannot be started from its store.
#[derive(Debug, thiserror::Error)]
pub enum RestoreError {
    /// The log has a gap or does not match its snapshot.
    #[error("the stored log has a gap or does not match its snapshot")]
    InconsistentLog,
    /// The snapshot is not a valid encoding of this state machine.
    #[error("the stored snapshot cannot be decoded")]
    UnreadableSnapshot,
    /// The `raft` crate rejected the stored state.
    #[error(transparent)]
    Raft(#[from] raft::Error),
}

/// Why a proposal was rejected. Nothing was written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// This voter is not the leader.
    #[error("this voter is not the leader")]
    NotLeader,
    /// There is too much uncommitted data, or the proposal is too large.
    #[error("the proposal is too large or too much is uncommitted")]
    LogFull,
    /// Another membership change is in progress.
    #[error("another membership change is in progress")]
    VoterChangeInProgress,
}

#[derive(Serialize, Deserialize)]
struct Proposal<C> {
    id: Option<CommandId>,
    command: C,
}

/// The decoded form of [`Snapshot::data`].
#[derive(Serialize, Deserialize)]
struct SnapshotData<O> {
    state_machine: Vec<u8>,
    sessions: Sessions<O>,
}

struct SnapshotInFlight {
    to: VoterId,
    sent_at_tick: u64,
}

struct AcknowledgedRead {
    request: u64,
    /// The log must be applied up to this index before the request may be answered.
    commit_index: u64,
}

/// One voter of the replicated log. It performs no I/O: messages, ticks and completed syncs are its inputs.
pub struct Voter<M: StateMachine> {
    id: VoterId,
    node: RawNode<MemoryLog>,
    state_machine: M,
    sessions: Sessions<M::Outcome>,
    applied: LogPosition,
    ticks: u64,
    snapshots_in_flight: Vec<SnapshotInFlight>,
    /// Reads acknowledged by a majority whose commit index is not applied yet.
    unapplied_reads: Vec<AcknowledgedRead>,
    /// Whether the voters have changed since the last snapshot. A snapshot from before the change would not let a newly
    /// added voter join.
    voters_changed: bool,
}

impl<M: StateMachine> std::fmt::Debug for Voter<M> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Voter({:x}, {:?}, term {})", self.id.0, self.role(), self.term())
    }
}

/// The initial store snapshot_data of a new cluster's voters: a snapshot of the empty state with these voters.
pub fn initial_snapshot<M: StateMachine>(voters: &[VoterId]) -> StorageUpdate {
    let mut incoming = voters.to_vec();
    incoming.sort();
    let sessions: Sessions<M::Outcome> = Sessions::default();
    let snapshot_data = SnapshotData { state_machine: M::default().snapshot(), sessions };
    let data = postcard::to_allocvec(&snapshot_data).unwrap_or_default();
    let voters = VoterSet { incoming, ..VoterSet::default() };
    StorageUpdate {
        snapshot: Some(Snapshot { index: 1, term: 1, voters, data }),
        hard_state: Some(HardState { term: 1, vote: 0, commit: 1 }),
        ..StorageUpdate::default()
    }
}

impl<M: StateMachine> Voter<M> {
    /// Creates a voter from its stored log. With an empty log it waits until the other voters add it.
    ///
    /// # Errors
    /// If the stored log is inconsistent or its snapshot cannot be decoded.
    pub fn restore(id: VoterId, stored: StoredLog) -> Result<Voter<M>, RestoreError> {
        if !stored.is_consistent() {
            return Err(RestoreError::InconsistentLog);
        }
        let snapshot = &stored.snapshot;
        let (state_machine, sessions) = decode_snapshot(snapshot).ok_or(RestoreError::UnreadableSnapshot)?;
        let applied = LogPosition { index: snapshot.index, term: snapshot.term };
        let config = raft_config(id, snapshot);
        let silent_logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, MemoryLog::new(stored), &silent_logger)?;
        Ok(Voter {
            id,
            node,
            state_machine,
            sessions,
            applied,
            ticks: 0,
            snapshots_in_flight: Vec::new(),
            unapplied_reads: Vec::new(),
            voters_changed: false,
        })
    }

    /// The id of this voter.
    pub fn id(&self) -> VoterId {
        self.id
    }

    /// The state machine, as of [`Voter::applied_index`].
    pub fn state_machine(&self) -> &M {
        &self.state_machine
    }

    /// The highest term that it has seen.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// Index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        self.applied.index
    }

    /// Whether every entry of the log has been applied.
    pub fn is_fully_applied(&self) -> bool {
        self.node.raft.raft_log.last_index() == self.applied.index
    }

    /// Number of entries in the log.
    pub fn log_len(&self) -> usize {
        self.node.store().len()
    }

    /// The voter's role in its current term.
    pub fn role(&self) -> Role {
        match self.node.raft.state {
            StateRole::Follower => Role::Follower,
            StateRole::Candidate | StateRole::PreCandidate => Role::Candidate,
            StateRole::Leader if self.applied.term == self.term() => Role::Leader,
            StateRole::Leader => Role::UnconfirmedLeader,
        }
    }

    /// The current leader, if this voter knows it.
    pub fn leader(&self) -> Option<VoterId> {
        Some(self.node.raft.leader_id).filter(|id| *id != 0).map(VoterId)
    }

    /// The current voters of the cluster.
    pub fn voters(&self) -> VoterSet {
        voters_from_raft(&self.node.raft.prs().conf().to_conf_state())
    }

    /// Advances the logical clock of elections and heartbeats by one tick.
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

    /// Starts an election without waiting for the election timeout; used by the first voter of a new log.
    pub fn campaign(&mut self) {
        let _ = self.node.campaign();
    }

    /// Handles a message from a peer. A malformed message, or one for another voter, is dropped.
    pub fn on_message(&mut self, message: Message) {
        if message.to != self.id || message.from == self.id {
            return;
        }
        if let Some(message) = message_to_raft(message) {
            let _ = self.node.step(message);
        }
    }

    /// Whether this voter has already applied the command.
    pub fn command_status(&self, id: CommandId) -> CommandStatus<M::Outcome> {
        self.sessions.status(id)
    }

    /// Proposes a command. `id` is `None` for the leader's own proposals, which are not deduplicated.
    ///
    /// # Errors
    /// If this voter is not the leader, the command is too large, or there is too much uncommitted data.
    pub fn propose(&mut self, id: Option<CommandId>, command: &M::Command) -> Result<(), ProposalError> {
        self.require_leadership()?;
        let proposal = Proposal { id, command };
        let data = postcard::to_allocvec(&proposal).map_err(|_| ProposalError::LogFull)?;
        if data.len() > MAX_ENTRY_BYTES {
            return Err(ProposalError::LogFull);
        }
        self.node.propose(Vec::new(), data).map_err(|_| ProposalError::LogFull)
    }

    /// Proposes to add and remove voters in one change, which needs a majority of both the old and the new voters.
    ///
    /// # Errors
    /// If this voter is not the leader, another change is in progress, or there is too much uncommitted data.
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

    /// Starts a linearizable read: `request` is returned in [`Progress::acknowledged_reads`] once a majority has
    /// confirmed this leader and everything that was committed before the call is applied. It is not guaranteed to be
    /// returned.
    pub fn read_index(&mut self, request: u64) {
        if self.role() == Role::Leader {
            self.node.read_index(request.to_le_bytes().to_vec());
        }
    }

    /// Starts a transfer of leadership to another voter, for example before maintenance of this machine.
    pub fn transfer_leadership(&mut self, to: VoterId) {
        self.node.transfer_leader(to.0);
    }

    /// Returns what has to be synced and sent next, if anything.
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
        let hard_state_to_sync = hard_state.filter(|_| ready.must_sync());
        let update = StorageUpdate { snapshot, entries, hard_state: hard_state_to_sync, compaction: None };
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

    /// Continues after [`Ready::update`] has been synced.
    pub fn advance(&mut self, ready: Ready) -> Progress<M> {
        let Ready { update, hard_state, mut raft, .. } = ready;
        let mut progress = Progress::default();
        self.queue_acknowledged_reads(raft.take_read_states());
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
        self.apply_entries(raft.take_committed_entries(), &mut progress.applied);
        self.advance_raft(raft, &mut progress);
        progress.acknowledged_reads = self.take_answerable_reads();
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
        self.apply_entries(light_ready.take_committed_entries(), &mut progress.applied);
        self.node.advance_apply();
    }

    fn restore_snapshot(&mut self, snapshot: Snapshot) {
        if let Some((state_machine, sessions)) = decode_snapshot(&snapshot) {
            self.state_machine = state_machine;
            self.sessions = sessions;
        }
        self.applied = LogPosition { index: snapshot.index, term: snapshot.term };
        self.node.mut_store().restore(snapshot);
    }

    fn queue_acknowledged_reads(&mut self, states: Vec<ReadState>) {
        for state in states {
            let Ok(request) = state.request_ctx.try_into() else { continue };
            let request = u64::from_le_bytes(request);
            self.unapplied_reads.push(AcknowledgedRead { request, commit_index: state.index });
        }
    }

    /// Takes the reads whose commit index has been applied, so that an answer sees everything that was committed when
    /// its read started.
    fn take_answerable_reads(&mut self) -> Vec<u64> {
        let applied = self.applied.index;
        let waiting = std::mem::take(&mut self.unapplied_reads);
        let (answerable, waiting): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|read| read.commit_index <= applied);
        self.unapplied_reads = waiting;
        answerable.into_iter().map(|read| read.request).collect()
    }

    fn apply_entries(&mut self, entries: Vec<Entry>, applied: &mut Vec<AppliedCommand<M>>) {
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
        // The `raft` crate leaves a joint configuration by an entry without context.
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
        let outcome = is_new.then(|| self.state_machine.apply(&command));
        if let (Some(id), Some(outcome)) = (id, &outcome) {
            self.sessions.record(id, outcome.clone());
        }
        Some(AppliedCommand { index: entry.index, id, command, outcome })
    }

    /// Takes a snapshot and compacts the log if it has grown long or the voters have changed.
    fn compact(&mut self) -> StorageUpdate {
        let LogPosition { index, term } = self.applied;
        let next_snapshot_index = self.node.store().snapshot.index + SNAPSHOT_INTERVAL_ENTRIES;
        if index < next_snapshot_index && !self.voters_changed {
            return StorageUpdate::default();
        }
        self.voters_changed = false;
        let snapshot_data =
            SnapshotData { state_machine: self.state_machine.snapshot(), sessions: self.sessions.clone() };
        let Ok(data) = postcard::to_allocvec(&snapshot_data) else { return StorageUpdate::default() };
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
    let snapshot_data: SnapshotData<M::Outcome> = postcard::from_bytes(&snapshot.data).ok()?;
    Some((M::restore(&snapshot_data.state_machine)?, snapshot_data.sessions))
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
        // The crate draws the timeout at random from this range. A single value keeps simulations reproducible.
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
