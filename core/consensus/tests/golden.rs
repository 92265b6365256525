//! Checks that the encodings of messages between voters and of stored log records do not change.

use elmtide_consensus::message::MessageKind;
use elmtide_consensus::records::{HardState, LogEntry, Snapshot, StorageUpdate, StoredLog, VoterSet};
use elmtide_consensus::sessions::CommandStatus;
use elmtide_consensus::voter::initial_snapshot;
use elmtide_consensus::{CommandId, Message, StateMachine, Voter, VoterId};
use elmtide_golden::GoldenFile;

fn golden(name: &str) -> GoldenFile {
    GoldenFile::new(format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR")))
}

/// A state machine that sums numbers.
#[derive(Clone, Debug, Default, PartialEq)]
struct Sum(u64);

impl StateMachine for Sum {
    type Command = u64;
    type Outcome = u64;

    fn apply(&mut self, command: &u64) -> u64 {
        self.0 += command;
        self.0
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.to_le_bytes().to_vec()
    }

    fn restore(bytes: &[u8]) -> Option<Sum> {
        Some(Sum(u64::from_le_bytes(bytes.try_into().ok()?)))
    }
}

fn entries() -> Vec<LogEntry> {
    let normal = LogEntry { term: 6, index: 41, data: vec![1, 2, 3], voter_change: None };
    let change = LogEntry { term: 7, index: 42, data: Vec::new(), voter_change: Some(vec![9, 8]) };
    vec![normal, change]
}

fn snapshot() -> Snapshot {
    let voters =
        VoterSet { incoming: vec![VoterId(11), VoterId(12)], outgoing: vec![VoterId(13)], auto_leave: true };
    Snapshot { index: 300, term: 5, voters, data: vec![0xAA; 20] }
}

#[test]
fn every_message_kind_keeps_its_encoding() {
    let mut file = golden("messages.txt");
    let kinds = [
        ("append", MessageKind::Append),
        ("append_response", MessageKind::AppendResponse),
        ("vote", MessageKind::Vote),
        ("vote_response", MessageKind::VoteResponse),
        ("pre_vote", MessageKind::PreVote),
        ("pre_vote_response", MessageKind::PreVoteResponse),
        ("heartbeat", MessageKind::Heartbeat),
        ("heartbeat_response", MessageKind::HeartbeatResponse),
        ("snapshot", MessageKind::Snapshot),
        ("timeout_now", MessageKind::TimeoutNow),
    ];
    for (name, kind) in kinds {
        let message = Message {
            kind,
            from: VoterId(0x1111_2222_3333_4444),
            to: VoterId(12),
            term: 7,
            log_term: 6,
            index: 40,
            entries: if kind == MessageKind::Append { entries() } else { Vec::new() },
            commit: 39,
            commit_term: 4,
            snapshot: (kind == MessageKind::Snapshot).then(snapshot),
            request_snapshot: 38,
            reject: kind == MessageKind::AppendResponse,
            reject_hint: 37,
            context: vec![1; 8],
        };
        file.value(name, &message);
    }
    file.check();
}

#[test]
fn stored_records_keep_their_encoding() {
    let mut file = golden("records.txt");
    file.value("hard_state", &HardState { term: 7, vote: 11, commit: 42 });
    for (name, entry) in ["entry", "entry_of_a_change"].into_iter().zip(entries()) {
        file.value(name, &entry);
    }
    file.value("snapshot", &snapshot());
    let initial = initial_snapshot::<Sum>(&[VoterId(12), VoterId(11)]);
    file.value("first_snapshot", &initial.snapshot.expect("the initial store content has a snapshot"));
    file.value("command_id", &CommandId { client: 3, incarnation: 5, sequence: 9 });
    file.check();
}

/// A cluster of one voter, which commits everything that it proposes.
struct SingleVoter {
    voter: Voter<Sum>,
    store: StoredLog,
    entries: Vec<LogEntry>,
    last_compaction_snapshot: Option<Snapshot>,
}

impl SingleVoter {
    fn start() -> SingleVoter {
        let mut store = StoredLog::default();
        store.apply(&initial_snapshot::<Sum>(&[VoterId(11)]));
        let mut voter = Voter::restore(VoterId(11), store.clone()).unwrap();
        voter.campaign();
        let mut single = SingleVoter { voter, store, entries: Vec::new(), last_compaction_snapshot: None };
        single.sync();
        single
    }

    fn sync(&mut self) {
        while let Some(ready) = self.voter.ready() {
            self.write(&ready.update);
            let progress = self.voter.advance(ready);
            self.write(&progress.compaction);
        }
    }

    fn write(&mut self, update: &StorageUpdate) {
        self.entries.extend(update.entries.iter().cloned());
        if let Some(compaction) = &update.compaction {
            self.last_compaction_snapshot = Some(compaction.snapshot.clone());
        }
        self.store.apply(update);
    }
}

#[test]
fn proposals_and_snapshots_with_sessions_keep_their_encoding() {
    let mut single = SingleVoter::start();
    for seq in 1..=3 {
        single
            .voter
            .propose(Some(CommandId { client: 4, incarnation: 2, sequence: seq }), &(100 + seq))
            .unwrap();
        single.sync();
    }
    single.voter.propose(None, &7).unwrap();
    single.sync();
    let mut file = golden("log.txt");
    for entry in &single.entries {
        file.value(&format!("entry_{}", entry.index), entry);
    }
    // A snapshot is taken after every membership change.
    single.voter.change_voters(vec![VoterId(12)], vec![]).unwrap();
    single.sync();
    let change = single
        .entries
        .iter()
        .find(|e| e.voter_change.is_some())
        .expect("a log entry with the membership change");
    file.value("entry_of_a_change", change);
    let snapshot = single.last_compaction_snapshot.expect("a snapshot after the membership change");
    file.value("snapshot", &snapshot);
    file.check();

    let store = StoredLog { snapshot, ..StoredLog::default() };
    let voter: Voter<Sum> = Voter::restore(VoterId(11), store).unwrap();
    assert_eq!(voter.state_machine(), &Sum(101 + 102 + 103 + 7));
    assert_eq!(
        voter.command_status(CommandId { client: 4, incarnation: 2, sequence: 3 }),
        CommandStatus::Duplicate(306)
    );
}
