//! Encodings of the replicated log that voters send each other and keep on disk.

use elmtide_agreed::log::{Kept, KeptEntry, Persist, Stored, Vote, Voters};
use elmtide_agreed::sessions::Seen;
use elmtide_agreed::voter::first_state;
use elmtide_agreed::wire::Sort;
use elmtide_agreed::{CommandId, Machine, Message, Voter, VoterConfig, VoterId};
use elmtide_golden::GoldenFile;

fn golden(name: &str) -> GoldenFile {
    GoldenFile::new(format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR")))
}

/// A state machine that adds numbers up.
#[derive(Clone, Debug, Default, PartialEq)]
struct Sum(u64);

impl Machine for Sum {
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

fn entries() -> Vec<KeptEntry> {
    let normal = KeptEntry { term: 6, index: 41, data: vec![1, 2, 3], change: None };
    let change = KeptEntry { term: 7, index: 42, data: Vec::new(), change: Some(vec![9, 8]) };
    vec![normal, change]
}

fn snapshot() -> Kept {
    let voters =
        Voters { incoming: vec![VoterId(11), VoterId(12)], outgoing: vec![VoterId(13)], auto_leave: true };
    Kept { index: 300, term: 5, voters, data: vec![0xAA; 20] }
}

#[test]
fn each_kind_of_message_keeps_its_encoding() {
    let mut file = golden("messages.txt");
    let kinds = [
        ("append", Sort::Append),
        ("append_response", Sort::AppendResponse),
        ("vote", Sort::Vote),
        ("vote_response", Sort::VoteResponse),
        ("pre_vote", Sort::PreVote),
        ("pre_vote_response", Sort::PreVoteResponse),
        ("heartbeat", Sort::Heartbeat),
        ("heartbeat_response", Sort::HeartbeatResponse),
        ("snapshot", Sort::Snapshot),
        ("timeout_now", Sort::TimeoutNow),
    ];
    for (name, sort) in kinds {
        let message = Message {
            sort,
            from: VoterId(0x1111_2222_3333_4444),
            to: VoterId(12),
            term: 7,
            log_term: 6,
            index: 40,
            entries: if sort == Sort::Append { entries() } else { Vec::new() },
            commit: 39,
            commit_term: 4,
            snapshot: (sort == Sort::Snapshot).then(snapshot),
            request_snapshot: 38,
            reject: sort == Sort::AppendResponse,
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
    file.value("hard_state", &Vote { term: 7, vote: 11, commit: 42 });
    for (name, entry) in ["entry", "entry_of_a_change"].into_iter().zip(entries()) {
        file.value(name, &entry);
    }
    file.value("snapshot", &snapshot());
    let first = first_state::<Sum>(&[VoterId(12), VoterId(11)]);
    file.value("first_snapshot", &first.snapshot.expect("the first voters begin with a snapshot"));
    file.value("command_id", &CommandId { asker: 3, run: 5, seq: 9 });
    file.check();
}

/// A log of one voter, which commits all that it proposes.
struct SingleVoter {
    voter: Voter<Sum>,
    store: Stored,
    entries: Vec<KeptEntry>,
    compacted: Option<Kept>,
}

impl SingleVoter {
    fn start() -> SingleVoter {
        let mut store = Stored::default();
        store.take(&first_state::<Sum>(&[VoterId(11)]));
        let mut voter = Voter::new(VoterConfig { id: VoterId(11) }, store.clone()).unwrap();
        voter.stand();
        let mut single = SingleVoter { voter, store, entries: Vec::new(), compacted: None };
        single.sync();
        single
    }

    fn sync(&mut self) {
        while let Some(work) = self.voter.work() {
            self.keep(&work.persist.clone());
            let done = self.voter.done(work);
            self.keep(&done.compact);
        }
    }

    fn keep(&mut self, persist: &Persist) {
        self.entries.extend(persist.entries.iter().cloned());
        if let Some((kept, _)) = &persist.compact {
            self.compacted = Some(kept.clone());
        }
        self.store.take(persist);
    }
}

#[test]
fn proposals_and_the_snapshot_with_its_sessions_keep_their_encoding() {
    let mut single = SingleVoter::start();
    for seq in 1..=3 {
        single.voter.propose(Some(CommandId { asker: 4, run: 2, seq }), &(100 + seq)).unwrap();
        single.sync();
    }
    single.voter.propose(None, &7).unwrap();
    single.sync();
    let mut file = golden("log.txt");
    for entry in &single.entries {
        file.value(&format!("entry_{}", entry.index), entry);
    }
    // A change of voters is followed by a snapshot.
    single.voter.change_voters(vec![VoterId(12)], vec![]).unwrap();
    single.sync();
    let change = single.entries.iter().find(|e| e.change.is_some()).expect("an entry of the change");
    file.value("entry_of_a_change", change);
    let snapshot = single.compacted.expect("a snapshot after a change of voters");
    file.value("snapshot", &snapshot);
    file.check();

    let store = Stored { snapshot, ..Stored::default() };
    let voter: Voter<Sum> = Voter::new(VoterConfig { id: VoterId(11) }, store).unwrap();
    assert_eq!(voter.machine(), &Sum(101 + 102 + 103 + 7));
    assert_eq!(voter.seen(CommandId { asker: 4, run: 2, seq: 3 }), Seen::Again(306));
}
