//! Simulates fronts in memory that monitor each other through their failure detectors.

use std::collections::{BTreeMap, VecDeque};

use elmtide_peers::{
    FailureDetector, Liveness, Micros, OutgoingDatagram, PeerIdentity, ProbeSettings, MAX_DATAGRAM_BYTES,
};

const PERIOD: Micros = 100_000;

struct Cluster {
    peers: BTreeMap<u64, FailureDetector>,
    network: VecDeque<(u64, Vec<u8>)>,
    now: Micros,
    sent_datagrams: BTreeMap<u64, usize>,
    longest_datagram: usize,
}

impl Cluster {
    fn new(count: u64, seed: u64) -> Cluster {
        let configured: Vec<u64> = (1..=count).collect();
        let settings = ProbeSettings { period: PERIOD, fronts: count as usize };
        let peer = |front| PeerIdentity { front, incarnation: 1, renewal: 0, site: (front % 3) as u16 };
        let peers = configured
            .iter()
            .map(|f| (*f, FailureDetector::new(peer(*f), settings, &configured, seed ^ f, 0)))
            .collect();
        Cluster {
            peers,
            network: VecDeque::new(),
            now: 0,
            sent_datagrams: BTreeMap::new(),
            longest_datagram: 0,
        }
    }

    /// Runs the simulation for a number of periods, in steps of a twentieth of a period.
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
                    *self.sent_datagrams.entry(*front).or_default() += 1;
                    self.longest_datagram = self.longest_datagram.max(bytes.len());
                    self.network.push_back((to, bytes));
                }
            }
        }
    }

    fn all_others_report(&self, front: u64, liveness: Liveness) -> bool {
        self.peers
            .iter()
            .filter(|(f, _)| **f != front)
            .all(|(_, p)| p.members().get(&front).map(|s| s.liveness) == Some(liveness))
    }
}

#[test]
fn fronts_discover_each_other_detect_a_stalled_front_and_see_it_return() {
    let mut cluster = Cluster::new(5, 7);
    cluster.run(20);
    assert!((1..=5).all(|f| cluster.all_others_report(f, Liveness::Alive)));
    let stalled = cluster.peers.remove(&3).unwrap();
    cluster.run(40);
    assert!(cluster.all_others_report(3, Liveness::Dead));
    // The front was only stalled: it continues with its old state, and the others see it alive again.
    cluster.peers.insert(3, stalled);
    cluster.run(120);
    assert!(cluster.all_others_report(3, Liveness::Alive));
}

#[test]
fn a_new_incarnation_replaces_the_previous_one() {
    let mut cluster = Cluster::new(4, 3);
    cluster.run(20);
    let configured: Vec<u64> = (1..=4).collect();
    let settings = ProbeSettings { period: PERIOD, fronts: 4 };
    let restarted = PeerIdentity { front: 2, incarnation: 9, renewal: 0, site: 0 };
    cluster.peers.insert(2, FailureDetector::new(restarted, settings, &configured, 1, cluster.now));
    cluster.run(60);
    for (front, peer) in cluster.peers.iter().filter(|(f, _)| **f != 2) {
        assert_eq!(peer.members()[&2].incarnation, 9, "as seen by front {front}");
    }
}

/// The number of datagrams that a front sends does not grow with the number of fronts.
#[test]
fn datagrams_per_front_are_bounded_with_5_50_and_300_fronts() {
    for count in [5, 50, 300] {
        let mut cluster = Cluster::new(count, 11);
        cluster.run(40);
        cluster.sent_datagrams.clear();
        let periods = 40;
        cluster.run(periods);
        let max_sent = *cluster.sent_datagrams.values().max().unwrap();
        let settings = ProbeSettings { period: PERIOD, fronts: count as usize };
        let mean = cluster.sent_datagrams.values().sum::<usize>() as f64 / (count * periods) as f64;
        println!(
            "{count} fronts: {mean:.1} datagrams per period and front, at most {:.1}, longest {} bytes",
            max_sent as f64 / periods as f64,
            cluster.longest_datagram
        );
        assert!(
            max_sent <= settings.max_datagrams_per_period() * periods as usize,
            "{max_sent} datagrams in {periods} periods with {count} fronts"
        );
        assert!(cluster.longest_datagram <= MAX_DATAGRAM_BYTES);
        let min_known = cluster.peers.values().map(|p| p.members().len()).min().unwrap();
        assert!(min_known as u64 >= count * 9 / 10, "only {min_known} of {count} fronts known");
    }
}

#[test]
fn runs_with_the_same_seed_are_identical() {
    let run = |seed| {
        let mut cluster = Cluster::new(8, seed);
        cluster.run(50);
        (cluster.sent_datagrams, cluster.longest_datagram)
    };
    assert_eq!(run(5), run(5));
}

#[test]
fn arbitrary_bytes_do_not_panic_the_detector() {
    let mut cluster = Cluster::new(3, 2);
    cluster.run(10);
    let peer = cluster.peers.get_mut(&1).unwrap();
    let mut random_state = 1u64;
    for length in 0..2000usize {
        let bytes: Vec<u8> = (0..length % 64)
            .map(|_| {
                random_state =
                    random_state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                (random_state >> 33) as u8
            })
            .collect();
        peer.on_datagram(&bytes, cluster.now);
    }
    let _ = peer.take_datagrams();
}
