//! What a node's caller has to do.

use elmtide_budgets::{Epoch, FrontId, Grant, GuaranteedMinimums};
use elmtide_consensus::records::StorageUpdate;
use elmtide_consensus::VoterId;
use elmtide_maintenance::MachineId;
use elmtide_maintenance::Step;
use elmtide_sites::{RecoveryPhase, SiteId};

use crate::agreed_state::CommandOutcome;

/// Something to be done, in the order of [`FleetNode::poll_output`](crate::FleetNode::poll_output).
#[derive(Debug)]
pub enum Output {
    /// Send a datagram.
    Send(FrontId, Vec<u8>),
    /// Sync the update, then call [`FleetNode::on_synced`](crate::FleetNode::on_synced). Nothing else of the log happens
    /// meanwhile.
    SyncLog(StorageUpdate),
    /// Sync the update without haste.
    CompactLog(StorageUpdate),
    /// Sync this store's voter id before it is used, then call [`FleetNode::on_synced`](crate::FleetNode::on_synced).
    SyncVoterId(VoterId),
    /// The store is not the latest of this front: empty it, and start a new node.
    ResetStore,
    /// Spend by these quotas from now on, then call [`FleetNode::on_applied`](crate::FleetNode::on_applied).
    ApplyGrant(Grant),
    /// Sync these minimums and spend by them, then call [`FleetNode::on_applied`](crate::FleetNode::on_applied).
    ApplyMinimums(GuaranteedMinimums),
    /// Exclude these machines from now on.
    ApplyMaintenanceView(elmtide_maintenance::LeasedMaintenanceView),
    /// These sites are lost from now on.
    ApplySiteView(elmtide_sites::LeasedSiteView),
    /// The outcome of a command that was requested under this tag.
    CommandEnded(u64, CommandOutcome),
    /// Something that operators may want to know.
    Event(Event),
}

/// What a command of this front was, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandSummary {
    /// The list of fronts.
    FrontList,
    /// This front leaves.
    Leave,
    /// An unlisted front is removed.
    RemoveFront,
    /// The machines or the sites of the configuration.
    Layout,
    /// Any other.
    Other,
}

impl CommandSummary {
    /// Its name in log lines.
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

/// Something that operators may want to know.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This node leads.
    LeadershipGained {
        /// Since this term.
        term: u64,
    },
    /// This node leads no more.
    LeadershipLost {
        /// Its last term as leader.
        term: u64,
    },
    /// The first voters have begun a new log.
    LogBootstrapped {
        /// Number of voters.
        voters: usize,
    },
    /// A leader answers.
    ContactGained,
    /// No leader has answered for a lease.
    ContactLost,
    /// Another list of fronts is in force.
    FrontListInForce {
        /// Its version.
        version: u64,
    },
    /// Another node has seen a later incarnation of this front.
    StoreStale {
        /// That incarnation.
        seen_incarnation: u64,
    },
    /// The store has failed: this node does not vote any more.
    StoreFailed,
    /// A front votes with another store.
    VoterReplaced {
        /// The front.
        front: FrontId,
    },
    /// A lease with new quotas.
    LeaseGranted {
        /// Epoch of the quotas.
        epoch: Epoch,
        /// Number of quotas.
        quotas: usize,
    },
    /// A command of this front has been applied.
    CommandApplied {
        /// Whether it did nothing.
        rejected: bool,
        /// What it was.
        command: CommandSummary,
    },
    /// This front has left in order.
    Left,
    /// A site's standing has changed; reported by the leader.
    SiteChanged {
        /// The site.
        site: SiteId,
        /// Its new standing.
        standing: RecoveryPhase,
    },
    /// A machine in maintenance has advanced; reported by the leader.
    MachineAdvanced {
        /// The machine.
        machine: MachineId,
        /// Its step.
        step: Step,
    },
}
