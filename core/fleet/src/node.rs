//! One node: the failure detector, the replicated log if it votes, the lease that it holds, and what it grants while it leads.
//!
//! A message or a tick enters here and is handed to the part that it is for:
//! `bootstrap` (voter ids, a new log, a stale store), `replication` (the log and its storage), `leadership` (what a leader
//! proposes and answers), `lease` (the lease that this front holds), `commands` (commands of this front),
//! `heartbeat` (signs of life between sites), `status` (what is shown to operators).

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

/// Ticks in a probe period of the failure detector.
const PROBE_PERIOD_TICKS: Micros = 20;
/// Most ticks that are made up for after a stall.
const MAX_TICKS_AT_ONCE: usize = 3;
/// The round robin over the voters begins at a place that differs from front to front.
const ROUND_ROBIN_STARTS: u64 = 97;

/// Why a node can't be started.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The configuration does not name this front.
    #[error("this front is not in the fleet's file")]
    NotConfigured,
    /// The voter can't be started from its store.
    #[error(transparent)]
    Restore(#[from] RestoreError),
}

/// How far this front has come with leaving the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    Staying,
    /// It has stopped spending, and has asked for its quotas to be released.
    Leaving,
    /// The others know.
    Left,
}

/// Datagrams sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Their number.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// What is known of another front's vote.
#[derive(Clone, Copy, Debug)]
struct KnownVoter {
    id: VoterId,
    has_log: bool,
}

/// A node of the fleet.
///
/// A voter that was restarted asks the others whether they have seen a later incarnation of it: its store may be a copy from
/// before, whose vote must not count. It votes when all other voters have denied it, or when a majority of all has, itself
/// counted, and the probation is over. What this leaves open: a store that was restored from a copy while all who saw the later
/// incarnation are away.
pub struct FleetNode {
    own: FrontId,
    settings: FleetSettings,
    codec: DatagramCodec,
    detector: FailureDetector,
    voting: VoterState,
    lease: LeaseClient,
    commands: CommandQueue,
    /// What is reported with each lease request.
    reports: Reports,
    known_voters: BTreeMap<FrontId, KnownVoter>,
    /// Fronts of which something came since [`FleetNode::take_heard_fronts`], where sites are watched.
    heard_fronts: BTreeSet<FrontId>,
    ticks: u64,
    next_tick_at: Micros,
    departure: Departure,
    is_durable: bool,
    seed: u64,
    outputs: VecDeque<Output>,
    traffic: Traffic,
}

impl FleetNode {
    /// Starts a node.
    ///
    /// # Errors
    /// If the configuration does not name this front, or its store can't be used.
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
            (true, None) => VoterState::ChoosingId(VoterId(mix(seed ^ now.wall) | 1)),
        };
        let lease_holder = LeaseHolder::new(holder, settings.lease, seed | 1, minimums.epoch);
        let first_voter = (seed % ROUND_ROBIN_STARTS) as usize;
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
            is_durable: recovered.durable,
            seed,
            outputs: VecDeque::new(),
            traffic: Traffic::default(),
            voting,
            settings,
        };
        if let VoterState::ChoosingId(id) = node.voting {
            node.outputs.push_back(Output::SyncVoterId(id));
        }
        if !minimums.minimums.is_empty() {
            node.outputs.push_back(Output::ApplyMinimums(minimums));
        }
        Ok(node)
    }

    /// This front's incarnation, as the holder of its lease.
    pub fn holder(&self) -> HolderId {
        self.lease.holder.id()
    }

    /// What is to be done next, in order. Nothing of the log follows a `SyncLog` or `SyncVoterId` before
    /// [`FleetNode::on_synced`].
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`FleetNode::advance_time`] has to be called next.
    pub fn next_deadline(&self) -> Micros {
        self.next_tick_at.min(self.detector.next_deadline()).min(self.lease.next_request_at)
    }

    /// Datagrams sent since the start.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Takes a datagram.
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

    /// Does everything that is due.
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
        // After a stall the ticks that were missed are not made up for: the others' timeouts have passed, ours have not.
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
            if active.may_take_input() {
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

    /// This front leaves in order: it has stopped spending its quotas. [`FleetNode::has_left`] tells when the others know.
    pub fn leave(&mut self, now: Clocks) {
        if self.departure == Departure::Staying {
            self.departure = Departure::Leaving;
            self.detector.leave(now.monotonic);
            self.submit_leave(now);
        }
    }

    /// Whether the others know that this front has left.
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

/// A hash of one number (the finalizer of SplitMix64).
fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
