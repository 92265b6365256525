//! Fronts in memory that look after each other.

use std::collections::{BTreeMap, VecDeque};

use elmtide_peers::{
    FailureDetector, Liveness, Micros, OutgoingDatagram, PeerIdentity, ProbeSettings, MAX_DATAGRAM_BYTES,
};

const PERIOD: Micros = 100_000;

struct World {
    peers: BTreeMap<u64, FailureDetector>,
    network: VecDeque<(u64, Vec<u8>)>,
    now: Micros,
    sent: BTreeMap<u64, usize>,
    longest: usize,
}

impl World {
    fn new(count: u64, seed: u64) -> World {
        let listed: Vec<u64> = (1..=count).collect();
        let settings = ProbeSettings { period: PERIOD, fronts: count as usize };
        let peer = |front| PeerIdentity { front, incarnation: 1, renewal: 0, site: (front % 3) as u16 };
        let peers = listed
            .iter()
            .map(|f| (*f, FailureDetector::new(peer(*f), settings, &listed, seed ^ f, 0)))
            .collect();
        World { peers, network: VecDeque::new(), now: 0, sent: BTreeMap::new(), longest: 0 }
    }

    /// Lets time pass in steps of a twentieth of a period.
    fn run(&mut self, periods: u64) {
        let end = self.now + periods * PERIOD;
        while self.now < end {
            self.now += PERIOD / 20;
            let arrived: Vec<_> = self.network.drain(..).collect();
            for (to, bytes) in arrived {
                if let Some(peer) = self.peers.get_mut(&to) {
                    peer.on_datagram(&bytes, self.now);
                }
            }
            for (front, peer) in &mut self.peers {
                peer.advance_time(self.now);
                for OutgoingDatagram { to, bytes } in peer.take_datagrams() {
                    *self.sent.entry(*front).or_default() += 1;
                    self.longest = self.longest.max(bytes.len());
                    self.network.push_back((to, bytes));
                }
            }
        }
    }

    fn all_see(&self, front: u64, liveness: Liveness) -> bool {
        self.peers
            .iter()
            .filter(|(f, _)| **f != front)
            .all(|(_, p)| p.members().get(&front).map(|s| s.liveness) == Some(liveness))
    }
}

#[test]
fn fronts_find_each_other_miss_one_that_falls_silent_and_see_it_come_back() {
    let mut world = World::new(5, 7);
    world.run(20);
    assert!((1..=5).all(|f| world.all_see(f, Liveness::Alive)));
    let silent = world.peers.remove(&3).unwrap();
    world.run(40);
    assert!(world.all_see(3, Liveness::Dead));
    // It was only stopped: it goes on with what it knew, and is alive again, however gone it seemed.
    world.peers.insert(3, silent);
    world.run(120);
    assert!(world.all_see(3, Liveness::Alive));
}

#[test]
fn a_new_run_takes_the_place_of_the_one_before() {
    let mut world = World::new(4, 3);
    world.run(20);
    let listed: Vec<u64> = (1..=4).collect();
    let settings = ProbeSettings { period: PERIOD, fronts: 4 };
    let again = PeerIdentity { front: 2, incarnation: 9, renewal: 0, site: 0 };
    world.peers.insert(2, FailureDetector::new(again, settings, &listed, 1, world.now));
    world.run(60);
    for (front, peer) in world.peers.iter().filter(|(f, _)| **f != 2) {
        assert_eq!(peer.members()[&2].incarnation, 9, "as {front} sees it");
    }
}

/// What a front sends does not grow with the number of fronts.
#[test]
fn traffic_is_bounded_at_5_50_and_300_fronts() {
    for count in [5, 50, 300] {
        let mut world = World::new(count, 11);
        world.run(40);
        world.sent.clear();
        let periods = 40;
        world.run(periods);
        let most = *world.sent.values().max().unwrap();
        let settings = ProbeSettings { period: PERIOD, fronts: count as usize };
        let mean = world.sent.values().sum::<usize>() as f64 / (count * periods) as f64;
        println!(
            "{count} fronts: {mean:.1} datagrams a period and front, most {:.1}, longest {} bytes",
            most as f64 / periods as f64,
            world.longest
        );
        assert!(
            most <= settings.max_datagrams_per_period() * periods as usize,
            "{most} in {periods} periods at {count}"
        );
        assert!(world.longest <= MAX_DATAGRAM_BYTES);
        let seen = world.peers.values().map(|p| p.members().len()).min().unwrap();
        assert!(seen as u64 >= count * 9 / 10, "{seen} of {count} known");
    }
}

#[test]
fn one_seed_is_one_run() {
    let run = |seed| {
        let mut world = World::new(8, seed);
        world.run(50);
        (world.sent, world.longest)
    };
    assert_eq!(run(5), run(5));
}

#[test]
fn no_bytes_make_it_panic() {
    let mut world = World::new(3, 2);
    world.run(10);
    let peer = world.peers.get_mut(&1).unwrap();
    let mut x = 1u64;
    for length in 0..2000usize {
        let bytes: Vec<u8> = (0..length % 64)
            .map(|_| {
                x = x.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                (x >> 33) as u8
            })
            .collect();
        peer.on_datagram(&bytes, world.now);
    }
    let _ = peer.take_datagrams();
}
