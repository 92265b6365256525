//! The messages between nodes. They are encoded by position: the order of variants and fields is part of the protocol.

use elmtide_budgets::{FrontId, LeaseRequest, LeaseResponse};
use elmtide_consensus::{CommandId, Message, VoterId};
use serde::{Deserialize, Serialize};

use crate::agreed_state::{AgreedCommand, CommandOutcome};

/// What a front tells the voters about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterHello {
    /// The id of its store; `None` without a vote.
    pub voter: Option<VoterId>,
    /// Whether it has taken part in a log.
    pub has_log: bool,
    /// The highest incarnation of the receiver that it has seen.
    pub seen_incarnation: u64,
    /// Whether it needs a reply, because it does not know whether its own store is the latest.
    pub needs_reply: bool,
}

/// One message between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A datagram of the failure detector.
    Gossip(Vec<u8>),
    /// Exchanged between voters: their ids and incarnations.
    VoterHello(VoterHello),
    /// A message of the replicated log.
    Raft(Box<Message>),
    /// Requests or renews a lease.
    LeaseRequest(LeaseRequest),
    /// Answers a lease request.
    LeaseResponse(LeaseResponse),
    /// The sender is not the leader; names the leader if it knows it.
    NotLeader(Option<FrontId>),
    /// Something has changed for the receiver, which should renew its lease now.
    RenewNow,
    /// Submits a command for the replicated log.
    SubmitCommand(CommandId, AgreedCommand),
    /// The outcome of a submitted command.
    CommandOutcome(CommandId, CommandOutcome),
    /// A lease request with the front's report on machines in maintenance.
    MaintenanceLeaseRequest(LeaseRequest, elmtide_maintenance::MaintenanceReport),
    /// A lease response with the view of machines in maintenance.
    MaintenanceLeaseResponse(LeaseResponse, elmtide_maintenance::MaintenanceView),
    /// A lease request with the front's report on other sites, and optionally on machines in maintenance.
    SiteLeaseRequest(LeaseRequest, Option<elmtide_maintenance::MaintenanceReport>, elmtide_sites::SiteReport),
    /// A lease response with the view of sites, and optionally of machines in maintenance.
    SiteLeaseResponse(LeaseResponse, Option<elmtide_maintenance::MaintenanceView>, elmtide_sites::SiteView),
    /// A heartbeat for fronts of other sites.
    SiteHeartbeat,
}

/// What a front reports with a lease request; `None` for a disabled subsystem.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reports {
    /// Report on machines in maintenance.
    pub maintenance: Option<elmtide_maintenance::MaintenanceReport>,
    /// Report on other sites.
    pub sites: Option<elmtide_sites::SiteReport>,
}

impl Reports {
    /// Combines the request and these reports into one message.
    pub fn into_message(self, request: LeaseRequest) -> PeerMessage {
        match (self.maintenance, self.sites) {
            (maintenance, Some(sites)) => PeerMessage::SiteLeaseRequest(request, maintenance, sites),
            (Some(maintenance), None) => PeerMessage::MaintenanceLeaseRequest(request, maintenance),
            (None, None) => PeerMessage::LeaseRequest(request),
        }
    }
}

/// What a front is told with a lease response; `None` for a disabled subsystem.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Views {
    /// View of machines in maintenance.
    pub maintenance: Option<elmtide_maintenance::MaintenanceView>,
    /// View of lost and recovering sites.
    pub sites: Option<elmtide_sites::SiteView>,
}

impl Views {
    /// Combines the response and these views into one message.
    pub fn into_message(self, response: LeaseResponse) -> PeerMessage {
        match (self.maintenance, self.sites) {
            (maintenance, Some(sites)) => PeerMessage::SiteLeaseResponse(response, maintenance, sites),
            (Some(maintenance), None) => PeerMessage::MaintenanceLeaseResponse(response, maintenance),
            (None, None) => PeerMessage::LeaseResponse(response),
        }
    }
}
