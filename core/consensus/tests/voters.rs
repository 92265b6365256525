//! Voters in memory, with a network that loses, doubles, delays and reorders by a seed, and stores that lose power between any
//! two steps: all apply the same commands in the same order, each once.

use std::collections::{BTreeMap, VecDeque};

use elmtide_consensus::records::StoredLog;
use elmtide_consensus::voter::{initial_snapshot, ProposalError};
use elmtide_consensus::{CommandId, Message, Role, StateMachine, Voter, VoterId};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The commands in the order in which they counted.
#[derive(Clone, Debug, Default, PartialEq)]
struct List(Vec<u64>);

impl StateMachine for List {
    type Command = u64;
    type Outcome = u64;

    fn apply(&mut self, command: &u64) -> u64 {
        self.0.push(*command);
        self.0.len() as u64
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.iter().flat_map(|n| n.to_le_bytes()).collect()
    }

    fn restore(bytes: &[u8]) -> Option<List> {
        let number = |c: &[u8]| Some(u64::from_le_bytes(c.try_into().ok()?));
        bytes.chunks(8).map(number).collect::<Option<Vec<u64>>>().map(List)
    }
}

struct World {
    random: ChaCha8Rng,
    stores: BTreeMap<VoterId, StoredLog>,
    voters: BTreeMap<VoterId, Voter<List>>,
    network: VecDeque<Message>,
    loss: f64,
    double: f64,
    /// Chance that a voter loses power in the middle of a step.
    crash: f64,
    cut: Vec<VoterId>,
    trace: Vec<String>,
    acknowledged_reads: Vec<u64>,
    sample: Option<Message>,
}

fn id(n: u64) -> VoterId {
    VoterId(n)
}

impl World {
    fn new(seed: u64, voters: &[u64]) -> World {
        let ids: Vec<VoterId> = voters.iter().map(|n| id(*n)).collect();
        let mut world = World {
            random: ChaCha8Rng::seed_from_u64(seed),
            stores: BTreeMap::new(),
            voters: BTreeMap::new(),
            network: VecDeque::new(),
            loss: 0.0,
            double: 0.0,
            crash: 0.0,
            cut: Vec::new(),
            trace: Vec::new(),
            acknowledged_reads: Vec::new(),
            sample: None,
        };
        for voter in &ids {
            let mut stored = StoredLog::default();
            stored.apply(&initial_snapshot::<List>(&ids));
            world.stores.insert(*voter, stored);
            world.start(*voter);
        }
        world
    }

    fn start(&mut self, voter: VoterId) {
        let stored = self.stores.entry(voter).or_default().clone();
        self.voters.insert(voter, Voter::restore(voter, stored).unwrap());
    }

    fn draw(&mut self, chance: f64) -> bool {
        chance > 0.0 && self.random.random::<f64>() < chance
    }

    fn post(&mut self, messages: Vec<Message>) {
        for message in messages {
            if !message.entries.is_empty() {
                self.sample = Some(message.clone());
            }
            if self.draw(self.loss) {
                continue;
            }
            if self.draw(self.double) {
                self.network.push_back(message.clone());
            }
            self.network.push_back(message);
        }
    }

    /// All that a voter has to do; it may lose power before or after its store has synced.
    fn run_ready(&mut self, voter: VoterId) {
        loop {
            let Some(ready) = self.voters.get_mut(&voter).and_then(|v| v.ready()) else { return };
            self.post(ready.messages.clone());
            if self.draw(self.crash) {
                return self.start(voter);
            }
            self.stores.get_mut(&voter).unwrap().apply(&ready.update);
            if self.draw(self.crash) {
                return self.start(voter);
            }
            let progress = self.voters.get_mut(&voter).unwrap().advance(ready);
            self.post(progress.messages);
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
        // Messages come in any order; what is cut off sends and hears nothing.
        for _ in 0..self.network.len().min(200) {
            let place = self.random.random_range(0..self.network.len());
            let message = self.network.remove(place).unwrap();
            if self.cut.contains(&message.from) || self.cut.contains(&message.to) {
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

    fn lead(&mut self) -> VoterId {
        for _ in 0..500 {
            self.step();
            if let Some(leader) = self.leader().filter(|l| !self.cut.contains(l)) {
                return leader;
            }
        }
        panic!("no leader after 500 steps");
    }

    /// Sends a command again and again until it has counted.
    fn put(&mut self, seq: u64, value: u64) {
        let command = CommandId { client: 7, incarnation: 1, sequence: seq };
        for _ in 0..2000 {
            let counted = |v: &Voter<List>| {
                matches!(v.command_status(command), elmtide_consensus::sessions::CommandStatus::Duplicate(_))
            };
            if self.voters.values().filter(|v| counted(v)).count() * 2 > self.voters.len() {
                return;
            }
            if let Some(leader) = self.leader() {
                let _ = self.voters.get_mut(&leader).unwrap().propose(Some(command), &value);
                self.run_ready(leader);
            }
            self.step();
        }
        panic!("command {seq} never counted");
    }

    fn settle(&mut self) {
        (self.loss, self.double, self.crash) = (0.0, 0.0, 0.0);
        self.cut.clear();
        for _ in 0..200 {
            self.step();
        }
    }

    fn lists(&self) -> Vec<&Vec<u64>> {
        self.voters.values().map(|v| &v.machine().0).collect()
    }
}

#[test]
fn commands_count_once_and_in_one_order_through_loss_doubling_and_lost_power() {
    for seed in 0..40 {
        let mut world = World::new(seed, &[11, 22, 33]);
        world.lead();
        (world.loss, world.double, world.crash) = (0.1, 0.1, 0.01);
        for seq in 1..=30 {
            world.put(seq, 1000 + seq);
        }
        world.settle();
        let wanted: Vec<u64> = (1..=30).map(|n| 1000 + n).collect();
        for list in world.lists() {
            assert_eq!(list, &wanted, "seed {seed}");
        }
    }
}

/// The crate's own time-outs are by chance; ours are not: two runs of a seed are the same, step by step.
#[test]
fn one_seed_is_one_run() {
    let run = |seed| {
        let mut world = World::new(seed, &[1, 2, 3, 4, 5]);
        world.loss = 0.2;
        for _ in 0..300 {
            world.step();
        }
        world.trace
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5), run(6));
}

/// Without a majority nothing is committed, and no round is acknowledged.
#[test]
fn a_leader_that_is_cut_off_confirms_nothing() {
    let mut world = World::new(3, &[1, 2, 3]);
    let leader = world.lead();
    world.cut.push(leader);
    let old = world.voters.get_mut(&leader).unwrap();
    assert_eq!(old.role(), Role::Leader);
    old.read_index(77);
    old.propose(None, &5).unwrap();
    for _ in 0..60 {
        world.step();
    }
    assert!(world.acknowledged_reads.is_empty());
    let next = world.lead();
    assert_ne!(next, leader);
    world.put(1, 9);
    world.settle();
    assert!(
        world.lists().iter().all(|l| **l == vec![9]),
        "what was not committed is gone: {:?}",
        world.lists()
    );
}

/// A round that begins at a leader with its majority ends.
#[test]
fn a_round_ends_at_a_leader_that_leads() {
    let mut world = World::new(4, &[1, 2, 3]);
    let leader = world.lead();
    world.voters.get_mut(&leader).unwrap().read_index(41);
    for _ in 0..20 {
        world.step();
    }
    assert_eq!(world.acknowledged_reads, [41]);
}

/// A voter that lost its store comes back with another number, is taken in for the old one, and learns all by a state.
#[test]
fn a_lost_store_comes_back_as_another_voter() {
    let mut world = World::new(8, &[1, 2, 3]);
    world.lead();
    for seq in 1..=5 {
        world.put(seq, seq);
    }
    let lost = *world.voters.keys().find(|v| Some(**v) != world.leader()).unwrap();
    world.voters.remove(&lost);
    world.stores.remove(&lost);
    world.start(id(99));
    let leader = world.lead();
    world.voters.get_mut(&leader).unwrap().change_voters(vec![id(99)], vec![lost]).unwrap();
    let again = world.voters.get_mut(&leader).unwrap().change_voters(vec![], vec![]);
    assert_eq!(again, Err(ProposalError::VoterChangeInProgress));
    for _ in 0..300 {
        world.step();
    }
    for seq in 6..=8 {
        world.put(seq, seq);
    }
    world.settle();
    let new = &world.voters[&id(99)];
    assert_eq!(new.machine().0, (1..=8).collect::<Vec<u64>>());
    assert!(new.voters().incoming.contains(&id(99)) && !new.voters().incoming.contains(&lost));
    assert!(new.voters().outgoing.is_empty(), "the change is over");
}

/// A log is cut at a state that is kept; a voter that was away for longer gets that state.
#[test]
fn the_log_is_bounded_and_who_was_away_gets_a_state() {
    let mut world = World::new(12, &[1, 2, 3]);
    let leader = world.lead();
    let away = *world.voters.keys().find(|v| **v != leader).unwrap();
    world.cut.push(away);
    for n in 0..3000u64 {
        let leader = world.lead();
        world.voters.get_mut(&leader).unwrap().propose(None, &n).unwrap();
        world.run_ready(leader);
    }
    world.settle();
    for (id, voter) in &world.voters {
        assert_eq!(voter.machine().0.len(), 3000, "{id:?}");
        assert!(voter.log_len() < 1400, "{} entries are kept", voter.log_len());
    }
    let stored = world.stores[&away].clone();
    assert!(stored.is_consistent());
    let again: Voter<List> = Voter::restore(away, stored).unwrap();
    assert!(again.machine().0.len() > 1000);
}

/// Bytes from elsewhere that are shaped as messages, but none that a voter sends.
#[test]
fn messages_that_nobody_sends_change_nothing() {
    let mut world = World::new(1, &[1, 2, 3]);
    let leader = world.lead();
    let mut random = ChaCha8Rng::seed_from_u64(2);
    for _ in 0..10 {
        world.voters.get_mut(&leader).unwrap().propose(None, &1).unwrap();
        world.step();
    }
    let sample = world.sample.take();
    let mut bytes = postcard::to_allocvec(&sample.unwrap()).unwrap();
    for _ in 0..20_000 {
        let place = random.random_range(0..bytes.len());
        let old = bytes[place];
        bytes[place] = random.next_u32() as u8;
        if let Ok(message) = postcard::from_bytes::<Message>(&bytes) {
            // A far higher term would depose the leader, as a forger with the key could: others are of no effect.
            if message.term <= 50 {
                world.voters.get_mut(&id(2)).unwrap().on_message(message);
            }
        }
        bytes[place] = old;
    }
}
