//! What nodes say to each other.

use elmtide_budgets::{FrontId, LeaseRequest, LeaseResponse};
use elmtide_consensus::{CommandId, Message, VoterId};
use serde::{Deserialize, Serialize};

use crate::agreed_state::{AgreedCommand, CommandOutcome};

/// What a front says of itself to the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterHello {
    /// The id of its store, if it votes.
    pub voter: Option<VoterId>,
    /// It has taken part in a log.
    pub has_log: bool,
    /// The highest incarnation that it has seen of the receiver.
    pub seen_incarnation: u64,
    /// It does not know whether its own store is the latest, and needs a reply.
    pub needs_reply: bool,
}

/// One message between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A datagram of the failure detector.
    Gossip(Vec<u8>),
    /// Between voters: ids and incarnations.
    VoterHello(VoterHello),
    /// A message of the replicated log.
    Raft(Box<Message>),
    /// Begins or renews a lease.
    LeaseRequest(LeaseRequest),
    /// Answers a request.
    LeaseResponse(LeaseResponse),
    /// The sender does not lead; who does, as far as it knows.
    NotLeader(Option<FrontId>),
    /// Something has changed for the receiver: it should renew its lease now.
    RenewNow,
    /// A command for the replicated log.
    SubmitCommand(CommandId, AgreedCommand),
    /// What became of a command.
    CommandOutcome(CommandId, CommandOutcome),
    /// A lease request with what the front reports on machines in maintenance.
    MaintenanceLeaseRequest(LeaseRequest, elmtide_maintenance::MaintenanceReport),
    /// A response with the view of machines in maintenance.
    MaintenanceLeaseResponse(LeaseResponse, elmtide_maintenance::MaintenanceView),
    /// A lease request with what the front reports on other sites, and maybe on machines in maintenance.
    SiteLeaseRequest(LeaseRequest, Option<elmtide_maintenance::MaintenanceReport>, elmtide_sites::SiteReport),
    /// A response with the view of sites, and maybe of machines in maintenance.
    SiteLeaseResponse(LeaseResponse, Option<elmtide_maintenance::MaintenanceView>, elmtide_sites::SiteView),
    /// A sign of life for fronts of other sites.
    SiteHeartbeat,
}

/// What a front reports with a lease request; `None` for a subsystem that is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reports {
    /// On machines in maintenance.
    pub maintenance: Option<elmtide_maintenance::MaintenanceReport>,
    /// On other sites.
    pub sites: Option<elmtide_sites::SiteReport>,
}

impl Reports {
    /// The request with these reports as one message.
    pub fn into_message(self, request: LeaseRequest) -> PeerMessage {
        match (self.maintenance, self.sites) {
            (maintenance, Some(sites)) => PeerMessage::SiteLeaseRequest(request, maintenance, sites),
            (Some(maintenance), None) => PeerMessage::MaintenanceLeaseRequest(request, maintenance),
            (None, None) => PeerMessage::LeaseRequest(request),
        }
    }
}

/// What a front is told with a lease response; `None` for a subsystem that is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Views {
    /// Machines in maintenance.
    pub maintenance: Option<elmtide_maintenance::MaintenanceView>,
    /// Sites.
    pub sites: Option<elmtide_sites::SiteView>,
}

impl Views {
    /// The response with these views as one message.
    pub fn into_message(self, response: LeaseResponse) -> PeerMessage {
        match (self.maintenance, self.sites) {
            (maintenance, Some(sites)) => PeerMessage::SiteLeaseResponse(response, maintenance, sites),
            (Some(maintenance), None) => PeerMessage::MaintenanceLeaseResponse(response, maintenance),
            (None, None) => PeerMessage::LeaseResponse(response),
        }
    }
}
