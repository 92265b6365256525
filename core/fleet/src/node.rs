//! One node: the failure detector, the replicated log if the node votes, the lease that it holds, and the leases that
//! it grants as the leader.
//!
//! This module dispatches messages and ticks to its submodules:
//! - `bootstrap`: voter ids, starting a new log, detecting a stale store;
//! - `voting`: the state of this node's vote;
//! - `replication`: the replicated log and its storage;
//! - `leadership`: what a leader proposes and answers;
//! - `lease`: the lease that this front holds;
//! - `commands`: commands that this front submits to the log;
//! - `heartbeat`: heartbeats between sites;
//! - `status`: what is shown to operators.

mod bootstrap;
mod commands;
mod heartbeat;
mod leadership;
mod lease;
mod replication;
pub mod status;
mod voting;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use elmtide_budgets::{Clocks, FrontId, GuaranteedMinimums, HolderId, Incarnation, LeaseHolder, Micros};
use elmtide_consensus::{RestoreError, VoterId};
use elmtide_peers::{FailureDetector, PeerIdentity, ProbeSettings};

use crate::datagram::DatagramCodec;
use crate::message::{PeerMessage, Reports, Views};
use crate::output::{Event, Output};
use crate::settings::{FleetSettings, FrontSettings, NodeConfig};

pub use commands::TooManyCommands;
pub use replication::SyncResult;

use commands::CommandQueue;
use lease::LeaseClient;
use voting::{ActiveVoter, VoterState};

/// Probe period of the failure detector, in ticks.
const PROBE_PERIOD_TICKS: Micros = 20;
/// Maximum number of ticks that one call catches up on.
const MAX_TICKS_AT_ONCE: usize = 3;
/// Number of offsets at which the round robin over the voters may start, so that fronts start at different voters.
const ROUND_ROBIN_OFFSETS: u64 = 97;

/// Why a node can't be started.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The configuration does not list this front.
    #[error("this front is not listed in the fleet's file")]
    NotConfigured,
    /// The voter can't be restored from its store.
    #[error(transparent)]
    Restore(#[from] RestoreError),
}

/// Progress of this front in leaving the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    Staying,
    /// It no longer uses its quotas, and has submitted the command that releases them.
    Leaving,
    /// That command has an outcome.
    Left,
}

/// Counters of sent datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Their total size, in bytes.
    pub bytes: u64,
}

/// What is known about another front's voter.
#[derive(Clone, Copy, Debug)]
struct KnownVoter {
    id: VoterId,
    has_log: bool,
}

/// A node of the fleet.
///
/// A restarted voter is on probation: it asks the other voters whether they have seen a later incarnation of it,
/// because its store may be an old copy whose vote must not count. It votes once all other voters have answered that
/// they have not, or once the probation period has passed and a majority of the voters, itself included, has not.
///
/// One case remains undetected: a store that was restored from an old copy while every voter that saw the later
/// incarnation is unreachable.
pub struct FleetNode {
    own: FrontId,
    settings: FleetSettings,
    codec: DatagramCodec,
    detector: FailureDetector,
    voting: VoterState,
    lease: LeaseClient,
    commands: CommandQueue,
    /// Sent with each lease request.
    reports: Reports,
    known_voters: BTreeMap<FrontId, KnownVoter>,
    /// Fronts that have sent a datagram since the last [`FleetNode::take_heard_fronts`]; empty if site failover is
    /// disabled.
    heard_fronts: BTreeSet<FrontId>,
    ticks: u64,
    next_tick_at: Micros,
    departure: Departure,
    has_durable_store: bool,
    seed: u64,
    outputs: VecDeque<Output>,
    traffic: Traffic,
}

impl FleetNode {
    /// Starts a node.
    ///
    /// # Errors
    /// If the configuration does not list this front, or the voter can't be restored from its store.
    pub fn new(config: NodeConfig, now: Clocks) -> Result<FleetNode, NodeError> {
        let NodeConfig { own, installation, key, settings, recovered, seed } = config;
        let front = settings.fronts.iter().find(|front| front.id == own).ok_or(NodeError::NotConfigured)?;
        let is_voter = front.is_voter && recovered.durable;
        let detector = start_detector(front, &settings, recovered.incarnation, seed, now);
        let fronts = settings.fronts.iter().map(|front| front.id);
        let codec = DatagramCodec::new(&key, &installation, own, recovered.incarnation, fronts);
        let holder = HolderId { front: own, incarnation: Incarnation(recovered.incarnation) };
        let minimums = if recovered.durable { recovered.minimums } else { GuaranteedMinimums::default() };
        let voting = match (is_voter, recovered.voter) {
            (false, _) => VoterState::NotVoting,
            (true, Some(id)) => VoterState::Active(ActiveVoter::on_probation(id, recovered.log)?),
            (true, None) => VoterState::SyncingId(VoterId(splitmix64(seed ^ now.wall) | 1)),
        };
        let lease_holder = LeaseHolder::new(holder, settings.lease, seed | 1, minimums.epoch);
        let first_voter = (seed % ROUND_ROBIN_OFFSETS) as usize;
        let mut node = FleetNode {
            own,
            codec,
            detector,
            lease: LeaseClient::new(lease_holder, minimums.epoch, first_voter, now),
            commands: CommandQueue::default(),
            reports: Reports {
                maintenance: settings.maintenance.is_some().then(Default::default),
                sites: settings.sites.is_some().then(Default::default),
            },
            known_voters: BTreeMap::new(),
            heard_fronts: BTreeSet::new(),
            ticks: 0,
            next_tick_at: now.monotonic,
            departure: Departure::Staying,
            has_durable_store: recovered.durable,
            seed,
            outputs: VecDeque::new(),
            traffic: Traffic::default(),
            voting,
            settings,
        };
        if let VoterState::SyncingId(id) = node.voting {
            node.outputs.push_back(Output::SyncVoterId(id));
        }
        if !minimums.minimums.is_empty() {
            node.outputs.push_back(Output::ApplyMinimums(minimums));
        }
        Ok(node)
    }

    /// This front and its incarnation, as the holder of a lease.
    pub fn holder(&self) -> HolderId {
        self.lease.holder.id()
    }

    /// The next action for the caller. After a `SyncLog` or `SyncVoterId`, the log produces no output until
    /// [`FleetNode::on_synced`].
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// The time at which [`FleetNode::advance_time`] has to be called next.
    pub fn next_deadline(&self) -> Micros {
        self.next_tick_at.min(self.detector.next_deadline()).min(self.lease.next_request_at)
    }

    /// The datagrams that were sent since the start.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Handles a received datagram.
    pub fn on_datagram(&mut self, datagram: &[u8], now: Clocks) {
        let Some((from, message)) = self.codec.decode(datagram) else { return };
        if self.settings.sites.is_some() {
            self.heard_fronts.insert(from);
        }
        match message {
            PeerMessage::Gossip(bytes) => self.on_gossip(&bytes, now),
            PeerMessage::VoterHello(hello) => self.on_voter_hello(from, hello, now),
            PeerMessage::Raft(message) => self.on_raft_message(from, *message, now),
            PeerMessage::LeaseRequest(request) => {
                self.on_lease_request(from, request, Reports::default(), now);
            }
            PeerMessage::MaintenanceLeaseRequest(request, report) => {
                let reports = Reports { maintenance: Some(report), sites: None };
                self.on_lease_request(from, request, reports, now);
            }
            PeerMessage::SiteLeaseRequest(request, maintenance, report) => {
                let reports = Reports { maintenance, sites: Some(report) };
                self.on_lease_request(from, request, reports, now);
            }
            PeerMessage::LeaseResponse(response) => {
                self.on_lease_response(from, &response, Views::default(), now);
            }
            PeerMessage::MaintenanceLeaseResponse(response, view) => {
                let views = Views { maintenance: Some(view), sites: None };
                self.on_lease_response(from, &response, views, now);
            }
            PeerMessage::SiteLeaseResponse(response, maintenance, view) => {
                let views = Views { maintenance, sites: Some(view) };
                self.on_lease_response(from, &response, views, now);
            }
            PeerMessage::NotLeader(leader) => self.on_not_leader(from, leader, now),
            PeerMessage::RenewNow => self.on_renew_now(from, now),
            PeerMessage::SubmitCommand(id, command) => self.on_submitted_command(from, id, command, now),
            PeerMessage::CommandOutcome(id, outcome) => self.on_command_outcome(id, outcome, now),
            PeerMessage::SiteHeartbeat => {}
        }
    }

    fn on_gossip(&mut self, bytes: &[u8], now: Clocks) {
        self.detector.on_datagram(bytes, now.monotonic);
        self.send_gossip();
    }

    /// Does everything that is due by now.
    pub fn advance_time(&mut self, now: Clocks) {
        self.detector.advance_time(now.monotonic);
        self.send_gossip();
        for _ in 0..MAX_TICKS_AT_ONCE {
            if now.monotonic < self.next_tick_at {
                break;
            }
            self.next_tick_at += self.settings.tick;
            self.tick(now);
        }
        // After a stall, the remaining missed ticks are skipped. The other nodes' timeouts have passed meanwhile, but this
        // node's have not.
        self.next_tick_at = self.next_tick_at.max(now.monotonic.saturating_sub(self.settings.tick));
        if now.monotonic >= self.lease.next_request_at {
            self.request_lease(now);
        }
        self.update_contact(now);
        self.run_log(now);
    }

    fn tick(&mut self, now: Clocks) {
        self.ticks += 1;
        if let VoterState::Active(active) = &mut self.voting {
            if active.accepts_input() {
                active.voter.tick();
            }
        }
        self.tick_hellos();
        self.tick_site_heartbeats();
        self.end_probation();
        self.bootstrap_log();
        self.tick_leadership(now);
        self.tick_commands(now);
    }

    fn send(&mut self, to: FrontId, message: &PeerMessage) {
        for datagram in self.codec.encode(to, message) {
            self.traffic.datagrams += 1;
            self.traffic.bytes += datagram.len() as u64;
            self.outputs.push_back(Output::Send(to, datagram));
        }
    }

    fn send_gossip(&mut self) {
        for datagram in self.detector.take_datagrams() {
            self.send(FrontId(datagram.to), &PeerMessage::Gossip(datagram.bytes));
        }
    }

    fn report_event(&mut self, event: Event) {
        self.outputs.push_back(Output::Event(event));
    }

    fn other_voters(&self) -> Vec<FrontId> {
        self.settings.voters().filter(|front| *front != self.own).collect()
    }

    /// Starts to leave the fleet. The caller must have stopped using its quotas. [`FleetNode::has_left`] tells when the
    /// other nodes know of it.
    pub fn leave(&mut self, now: Clocks) {
        if self.departure == Departure::Staying {
            self.departure = Departure::Leaving;
            self.detector.leave(now.monotonic);
            self.submit_leave(now);
        }
    }

    /// Whether the command by which this front leaves has an outcome.
    pub fn has_left(&self) -> bool {
        self.departure == Departure::Left
    }
}

fn start_detector(
    front: &FrontSettings,
    settings: &FleetSettings,
    incarnation: u64,
    seed: u64,
    now: Clocks,
) -> FailureDetector {
    let identity = PeerIdentity { front: front.id.0, incarnation, renewal: 0, site: front.site };
    let period = settings.tick * PROBE_PERIOD_TICKS;
    let probes = ProbeSettings { period, fronts: settings.fronts.len() };
    let listed: Vec<u64> = settings.fronts.iter().map(|front| front.id.0).collect();
    FailureDetector::new(identity, probes, &listed, seed, now.monotonic)
}

/// One step of SplitMix64, used as a hash of a number.
fn splitmix64(x: u64) -> u64 {
    let x = x.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
