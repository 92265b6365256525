//! Simulates voters in memory. Depending on a seed, the network loses, duplicates, delays and reorders messages, and
//! voters lose power between any two steps. All voters must apply the same commands in the same order, each once.

use std::collections::{BTreeMap, VecDeque};

use elmtide_consensus::records::StoredLog;
use elmtide_consensus::voter::{initial_snapshot, ProposalError};
use elmtide_consensus::{CommandId, Message, Role, StateMachine, Voter, VoterId};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A state machine that lists the commands in the order in which they were applied.
#[derive(Clone, Debug, Default, PartialEq)]
struct CommandList(Vec<u64>);

impl StateMachine for CommandList {
    type Command = u64;
    type Outcome = u64;

    fn apply(&mut self, command: &u64) -> u64 {
        self.0.push(*command);
        self.0.len() as u64
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.iter().flat_map(|n| n.to_le_bytes()).collect()
    }

    fn restore(bytes: &[u8]) -> Option<CommandList> {
        let number = |c: &[u8]| Some(u64::from_le_bytes(c.try_into().ok()?));
        bytes.chunks(8).map(number).collect::<Option<Vec<u64>>>().map(CommandList)
    }
}

struct Cluster {
    random: ChaCha8Rng,
    stores: BTreeMap<VoterId, StoredLog>,
    voters: BTreeMap<VoterId, Voter<CommandList>>,
    network: VecDeque<Message>,
    loss_rate: f64,
    duplication_rate: f64,
    /// Probability that a voter loses power at each point of a step where it can.
    crash_rate: f64,
    isolated: Vec<VoterId>,
    trace: Vec<String>,
    acknowledged_reads: Vec<u64>,
    last_append: Option<Message>,
}

fn id(n: u64) -> VoterId {
    VoterId(n)
}

impl Cluster {
    fn new(seed: u64, voters: &[u64]) -> Cluster {
        let ids: Vec<VoterId> = voters.iter().map(|n| id(*n)).collect();
        let mut cluster = Cluster {
            random: ChaCha8Rng::seed_from_u64(seed),
            stores: BTreeMap::new(),
            voters: BTreeMap::new(),
            network: VecDeque::new(),
            loss_rate: 0.0,
            duplication_rate: 0.0,
            crash_rate: 0.0,
            isolated: Vec::new(),
            trace: Vec::new(),
            acknowledged_reads: Vec::new(),
            last_append: None,
        };
        for voter in &ids {
            let mut stored = StoredLog::default();
            stored.apply(&initial_snapshot::<CommandList>(&ids));
            cluster.stores.insert(*voter, stored);
            cluster.start(*voter);
        }
        cluster
    }

    fn start(&mut self, voter: VoterId) {
        let stored = self.stores.entry(voter).or_default().clone();
        self.voters.insert(voter, Voter::restore(voter, stored).unwrap());
    }

    fn happens(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random::<f64>() < probability
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            if !message.entries.is_empty() {
                self.last_append = Some(message.clone());
            }
            if self.happens(self.loss_rate) {
                continue;
            }
            if self.happens(self.duplication_rate) {
                self.network.push_back(message.clone());
            }
            self.network.push_back(message);
        }
    }

    /// Processes all pending work of a voter, which may lose power before or after its store has synced.
    fn run_ready(&mut self, voter: VoterId) {
        loop {
            let Some(ready) = self.voters.get_mut(&voter).and_then(|v| v.ready()) else { return };
            self.send(ready.messages.clone());
            if self.happens(self.crash_rate) {
                return self.start(voter);
            }
            self.stores.get_mut(&voter).unwrap().apply(&ready.update);
            if self.happens(self.crash_rate) {
                return self.start(voter);
            }
            let progress = self.voters.get_mut(&voter).unwrap().advance(ready);
            self.send(progress.messages);
            self.acknowledged_reads.extend(progress.acknowledged_reads);
            self.stores.get_mut(&voter).unwrap().apply(&progress.compaction);
        }
    }

    fn step(&mut self) {
        let ids: Vec<VoterId> = self.voters.keys().copied().collect();
        for voter in &ids {
            self.voters.get_mut(voter).unwrap().tick();
            self.run_ready(*voter);
        }
        // Messages arrive in any order. Isolated voters neither send nor receive.
        for _ in 0..self.network.len().min(200) {
            let position = self.random.random_range(0..self.network.len());
            let message = self.network.remove(position).unwrap();
            if self.isolated.contains(&message.from) || self.isolated.contains(&message.to) {
                continue;
            }
            let to = message.to;
            if let Some(voter) = self.voters.get_mut(&to) {
                voter.on_message(message);
                self.run_ready(to);
            }
        }
        self.trace
            .push(format!("{:?}", self.voters.values().map(|v| (v.term(), v.role())).collect::<Vec<_>>()));
    }

    fn leader(&self) -> Option<VoterId> {
        self.voters.values().filter(|v| v.role() == Role::Leader).max_by_key(|v| v.term()).map(|v| v.id())
    }

    fn wait_for_leader(&mut self) -> VoterId {
        for _ in 0..500 {
            self.step();
            if let Some(leader) = self.leader().filter(|l| !self.isolated.contains(l)) {
                return leader;
            }
        }
        panic!("no leader was elected within 500 steps");
    }

    /// Submits a command repeatedly until a majority of the voters has applied it.
    fn submit_until_applied(&mut self, seq: u64, value: u64) {
        let command = CommandId { client: 7, incarnation: 1, sequence: seq };
        for _ in 0..2000 {
            let has_applied = |v: &Voter<CommandList>| {
                matches!(v.command_status(command), elmtide_consensus::sessions::CommandStatus::Duplicate(_))
            };
            if self.voters.values().filter(|v| has_applied(v)).count() * 2 > self.voters.len() {
                return;
            }
            if let Some(leader) = self.leader() {
                let _ = self.voters.get_mut(&leader).unwrap().propose(Some(command), &value);
                self.run_ready(leader);
            }
            self.step();
        }
        panic!("command {seq} was not applied by a majority within 2000 steps");
    }

    fn heal_and_catch_up(&mut self) {
        (self.loss_rate, self.duplication_rate, self.crash_rate) = (0.0, 0.0, 0.0);
        self.isolated.clear();
        for _ in 0..200 {
            self.step();
        }
    }

    fn applied_commands(&self) -> Vec<&Vec<u64>> {
        self.voters.values().map(|v| &v.state_machine().0).collect()
    }
}

#[test]
fn commands_are_applied_once_and_in_one_order_despite_message_loss_duplication_and_power_loss() {
    for seed in 0..40 {
        let mut cluster = Cluster::new(seed, &[11, 22, 33]);
        cluster.wait_for_leader();
        (cluster.loss_rate, cluster.duplication_rate, cluster.crash_rate) = (0.1, 0.1, 0.01);
        for seq in 1..=30 {
            cluster.submit_until_applied(seq, 1000 + seq);
        }
        cluster.heal_and_catch_up();
        let expected: Vec<u64> = (1..=30).map(|n| 1000 + n).collect();
        for list in cluster.applied_commands() {
            assert_eq!(list, &expected, "seed {seed}");
        }
    }
}

/// The `raft` crate randomizes election timeouts by default. The voters configure fixed ones, so that two runs with the
/// same seed are identical step by step.
#[test]
fn runs_with_the_same_seed_are_identical() {
    let run = |seed| {
        let mut cluster = Cluster::new(seed, &[1, 2, 3, 4, 5]);
        cluster.loss_rate = 0.2;
        for _ in 0..300 {
            cluster.step();
        }
        cluster.trace
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5), run(6));
}

/// Without a majority nothing is committed and no read is acknowledged.
#[test]
fn an_isolated_leader_commits_nothing_and_acknowledges_no_read() {
    let mut cluster = Cluster::new(3, &[1, 2, 3]);
    let leader = cluster.wait_for_leader();
    cluster.isolated.push(leader);
    let old = cluster.voters.get_mut(&leader).unwrap();
    assert_eq!(old.role(), Role::Leader);
    old.read_index(77);
    old.propose(None, &5).unwrap();
    for _ in 0..60 {
        cluster.step();
    }
    assert!(cluster.acknowledged_reads.is_empty());
    let next = cluster.wait_for_leader();
    assert_ne!(next, leader);
    cluster.submit_until_applied(1, 9);
    cluster.heal_and_catch_up();
    assert!(
        cluster.applied_commands().iter().all(|l| **l == vec![9]),
        "only the committed command may remain: {:?}",
        cluster.applied_commands()
    );
}

/// A read that starts at a leader with a majority is acknowledged.
#[test]
fn a_read_at_a_leader_with_a_majority_is_acknowledged() {
    let mut cluster = Cluster::new(4, &[1, 2, 3]);
    let leader = cluster.wait_for_leader();
    cluster.voters.get_mut(&leader).unwrap().read_index(41);
    for _ in 0..20 {
        cluster.step();
    }
    assert_eq!(cluster.acknowledged_reads, [41]);
}

/// A voter that lost its store returns with a new id, replaces the old voter, and receives the state as a snapshot.
#[test]
fn a_voter_that_lost_its_store_rejoins_as_a_new_voter() {
    let mut cluster = Cluster::new(8, &[1, 2, 3]);
    cluster.wait_for_leader();
    for seq in 1..=5 {
        cluster.submit_until_applied(seq, seq);
    }
    let lost = *cluster.voters.keys().find(|v| Some(**v) != cluster.leader()).unwrap();
    cluster.voters.remove(&lost);
    cluster.stores.remove(&lost);
    cluster.start(id(99));
    let leader = cluster.wait_for_leader();
    cluster.voters.get_mut(&leader).unwrap().change_voters(vec![id(99)], vec![lost]).unwrap();
    let again = cluster.voters.get_mut(&leader).unwrap().change_voters(vec![], vec![]);
    assert_eq!(again, Err(ProposalError::VoterChangeInProgress));
    for _ in 0..300 {
        cluster.step();
    }
    for seq in 6..=8 {
        cluster.submit_until_applied(seq, seq);
    }
    cluster.heal_and_catch_up();
    let new = &cluster.voters[&id(99)];
    assert_eq!(new.state_machine().0, (1..=8).collect::<Vec<u64>>());
    assert!(new.voters().incoming.contains(&id(99)) && !new.voters().incoming.contains(&lost));
    assert!(new.voters().outgoing.is_empty(), "the membership change is complete");
}

/// The log is compacted after a snapshot. A voter that lags behind the start of the log receives the snapshot.
#[test]
fn the_log_is_bounded_and_a_lagging_voter_receives_a_snapshot() {
    let mut cluster = Cluster::new(12, &[1, 2, 3]);
    let leader = cluster.wait_for_leader();
    let isolated_follower = *cluster.voters.keys().find(|v| **v != leader).unwrap();
    cluster.isolated.push(isolated_follower);
    for n in 0..3000u64 {
        let leader = cluster.wait_for_leader();
        cluster.voters.get_mut(&leader).unwrap().propose(None, &n).unwrap();
        cluster.run_ready(leader);
    }
    cluster.heal_and_catch_up();
    for (id, voter) in &cluster.voters {
        assert_eq!(voter.state_machine().0.len(), 3000, "{id:?}");
        assert!(voter.log_len() < 1400, "{} entries are retained", voter.log_len());
    }
    let stored = cluster.stores[&isolated_follower].clone();
    assert!(stored.is_consistent());
    let again: Voter<CommandList> = Voter::restore(isolated_follower, stored).unwrap();
    assert!(again.state_machine().0.len() > 1000);
}

/// Corrupted messages that still decode, but that no correct voter sends, must not make a voter panic.
#[test]
fn corrupted_messages_do_not_panic_a_voter() {
    let mut cluster = Cluster::new(1, &[1, 2, 3]);
    let leader = cluster.wait_for_leader();
    let mut random = ChaCha8Rng::seed_from_u64(2);
    for _ in 0..10 {
        cluster.voters.get_mut(&leader).unwrap().propose(None, &1).unwrap();
        cluster.step();
    }
    let last_append = cluster.last_append.take();
    let mut bytes = postcard::to_allocvec(&last_append.unwrap()).unwrap();
    for _ in 0..20_000 {
        let position = random.random_range(0..bytes.len());
        let old = bytes[position];
        bytes[position] = random.next_u32() as u8;
        if let Ok(message) = postcard::from_bytes::<Message>(&bytes) {
            // A much higher term would depose the leader, which a forger with the key could do as well; skip those.
            if message.term <= 50 {
                cluster.voters.get_mut(&id(2)).unwrap().on_message(message);
            }
        }
        bytes[position] = old;
    }
}
