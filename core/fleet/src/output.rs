//! The actions that a node's caller has to carry out, and the events that it reports.

use elmtide_budgets::{Epoch, FrontId, Grant, GuaranteedMinimums};
use elmtide_consensus::records::StorageUpdate;
use elmtide_consensus::VoterId;
use elmtide_maintenance::MachineId;
use elmtide_maintenance::Step;
use elmtide_sites::{RecoveryPhase, SiteId};

use crate::agreed_state::CommandOutcome;

/// An action for the caller. Actions are carried out in the order in which
/// [`FleetNode::poll_output`](crate::FleetNode::poll_output) returns them.
#[derive(Debug)]
pub enum Output {
    /// Send a datagram to a front.
    Send(FrontId, Vec<u8>),
    /// Sync the update, then call [`FleetNode::on_synced`](crate::FleetNode::on_synced). The log does nothing else
    /// until then.
    SyncLog(StorageUpdate),
    /// Sync the update. It is not urgent and is not confirmed with
    /// [`FleetNode::on_synced`](crate::FleetNode::on_synced).
    CompactLog(StorageUpdate),
    /// Sync the voter id of this store, then call [`FleetNode::on_synced`](crate::FleetNode::on_synced). The id is not
    /// used before.
    SyncVoterId(VoterId),
    /// The store is not the latest one of this front: empty it and start a new node.
    ResetStore,
    /// Use these quotas from now on, then call [`FleetNode::on_applied`](crate::FleetNode::on_applied).
    ApplyGrant(Grant),
    /// Sync these guaranteed minimums and use them, then call [`FleetNode::on_applied`](crate::FleetNode::on_applied).
    ApplyMinimums(GuaranteedMinimums),
    /// Use this view of machines in maintenance from now on.
    ApplyMaintenanceView(elmtide_maintenance::LeasedMaintenanceView),
    /// Use this view of lost and recovering sites from now on.
    ApplySiteView(elmtide_sites::LeasedSiteView),
    /// The outcome of the command that was requested with this tag.
    CommandEnded(u64, CommandOutcome),
    /// An event to be logged.
    Event(Event),
}

/// The kind of a command that this front submitted, for log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandSummary {
    /// Updates the list of fronts.
    FrontList,
    /// This front leaves the fleet.
    Leave,
    /// Removes a front that is not in the list.
    RemoveFront,
    /// Updates the machines or the sites.
    Layout,
    /// Any other command.
    Other,
}

impl CommandSummary {
    /// The name of this kind in log lines.
    pub fn name(self) -> &'static str {
        match self {
            CommandSummary::FrontList => "list",
            CommandSummary::Leave => "leave",
            CommandSummary::RemoveFront => "forget",
            CommandSummary::Layout => "layout",
            CommandSummary::Other => "command",
        }
    }
}

/// Something that operators may want to know about.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This node has become the leader.
    LeadershipGained {
        /// The term that it leads.
        term: u64,
    },
    /// This node is no longer the leader.
    LeadershipLost {
        /// Its last term as leader.
        term: u64,
    },
    /// The first voters have started a new log.
    LogBootstrapped {
        /// The number of voters.
        voters: usize,
    },
    /// A leader answers lease requests.
    ContactGained,
    /// No leader has answered for the duration of a lease.
    ContactLost,
    /// A different list of fronts is in force.
    FrontListInForce {
        /// Its version.
        version: u64,
    },
    /// Another node has seen a later incarnation of this front, so this store is not the latest.
    StoreStale {
        /// That incarnation.
        seen_incarnation: u64,
    },
    /// The store has failed; this node stops voting.
    StoreFailed,
    /// A front votes with a different store than before.
    VoterReplaced {
        /// The front.
        front: FrontId,
    },
    /// A lease with new quotas was granted.
    LeaseGranted {
        /// The epoch of the quotas.
        epoch: Epoch,
        /// The number of quotas.
        quotas: usize,
    },
    /// A command that this front submitted has been applied.
    CommandApplied {
        /// Whether it was rejected and changed nothing.
        rejected: bool,
        /// The kind of command.
        command: CommandSummary,
    },
    /// This front has completed an orderly departure from the fleet.
    Left,
    /// The phase of a site's loss and recovery has changed; reported by the leader.
    SiteChanged {
        /// The site.
        site: SiteId,
        /// Its new phase.
        phase: RecoveryPhase,
    },
    /// A machine in maintenance has taken a step; reported by the leader.
    MachineAdvanced {
        /// The machine.
        machine: MachineId,
        /// The step that it took.
        step: Step,
    },
}
