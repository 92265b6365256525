//! The status of a node and the fleet that is shown to operators.

use std::collections::BTreeMap;

use elmtide_budgets::{
    BudgetId, BudgetKind, BudgetState, Clocks, FrontId, HolderId, Micros, PartsPerMillion,
};
use elmtide_consensus::Role;
use elmtide_peers::MemberStatus;

use super::voting::{ActiveVoter, VoterState};
use super::FleetNode;
use crate::datagram::DropReason;

/// The role of a node in the replicated log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeRole {
    /// The node has no vote.
    NonVoter,
    /// The node has no vote because it has no durable store.
    NonVoterWithoutStore,
    /// The voter id of its new store is being synced.
    Starting,
    /// Its store has failed or is stale, so it does not vote.
    Failed,
    /// It has restarted and asks the other voters whether its store is the latest.
    OnProbation,
    /// Its store is new, and it waits for the leader to admit it.
    AwaitingAdmission,
    /// It is the leader.
    Leader,
    /// It was elected, but does not know yet everything that was committed before.
    UnconfirmedLeader,
    /// It asks for votes.
    Candidate,
    /// It follows the leader.
    Follower,
}

impl NodeRole {
    /// The name of this role in status output.
    pub fn name(self) -> &'static str {
        match self {
            NodeRole::NonVoter => "no vote",
            NodeRole::NonVoterWithoutStore => "no vote, no lasting store",
            NodeRole::Starting => "voter, begins",
            NodeRole::Failed => "voter without a store: does not vote",
            NodeRole::OnProbation => "voter, asks whether its store is the latest",
            NodeRole::AwaitingAdmission => "voter, waits to be taken in",
            NodeRole::Leader => "leader",
            NodeRole::UnconfirmedLeader => "leader, not confirmed yet",
            NodeRole::Candidate => "voter, seeks a leader",
            NodeRole::Follower => "voter",
        }
    }
}

/// A quota in the replicated state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgreedQuota {
    /// The holder of the quota.
    pub holder: HolderId,
    /// The budget that it is a part of.
    pub budget: BudgetId,
    /// The part of the budget that the holder may still be using.
    pub committed: PartsPerMillion,
    /// The part that the holder is told to use.
    pub granted: PartsPerMillion,
}

/// A guaranteed minimum in the replicated state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgreedMinimum {
    /// The front that has the minimum.
    pub front: FrontId,
    /// The kind of budgets that it applies to.
    pub kind: BudgetKind,
    /// The part of each such budget that the front may still be using.
    pub committed: PartsPerMillion,
    /// The part that the front is told to use.
    pub granted: PartsPerMillion,
}

/// The status of a node and of the fleet as this node knows it.
#[derive(Clone, Debug)]
pub struct NodeStatus {
    /// The front of this node.
    pub front: FrontId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its role in the replicated log.
    pub role: NodeRole,
    /// The log's term as known to this node; 0 without a vote.
    pub term: u64,
    /// The leader, if this node knows it.
    pub leader: Option<FrontId>,
    /// Time since a leader last granted or renewed the lease; `None` if none ever did.
    pub response_age: Option<Micros>,
    /// Whether a leader has answered within the duration of a lease.
    pub has_contact: bool,
    /// Version of the list of fronts in force, as known to this node.
    pub front_list_version: u64,
    /// Version of this node's configuration.
    pub configured_version: u64,
    /// The failure detector's view of all fronts that have been seen.
    pub fronts: BTreeMap<FrontId, MemberStatus>,
    /// Number of dropped datagrams by reason.
    pub dropped: BTreeMap<DropReason, u64>,
    /// Number of entries in the log.
    pub log_entries: u64,
    /// Index of the last applied entry.
    pub applied_index: u64,
    /// All quotas; empty if this node has no replicated state.
    pub quotas: Vec<AgreedQuota>,
    /// All guaranteed minimums; empty if this node has no replicated state.
    pub minimums: Vec<AgreedMinimum>,
}

impl FleetNode {
    fn active_voter(&self) -> Option<&ActiveVoter> {
        match &self.voting {
            VoterState::Active(active) => Some(active),
            _ => None,
        }
    }

    /// The replicated state of budgets; `None` if this node has none.
    pub fn budgets(&self) -> Option<&BudgetState> {
        self.active_voter().map(|active| &active.voter.state_machine().budgets)
    }

    /// The replicated state of sites; `None` if this node has none.
    pub fn sites(&self) -> Option<&elmtide_sites::SiteState> {
        self.active_voter().map(|active| &active.voter.state_machine().sites)
    }

    /// The replicated state of machines in maintenance; `None` if this node has none.
    pub fn maintenance(&self) -> Option<&elmtide_maintenance::MaintenanceState> {
        self.active_voter().map(|active| &active.voter.state_machine().maintenance)
    }

    /// The leader, if this node knows it.
    pub fn known_leader(&self) -> Option<FrontId> {
        if self.is_leading() {
            Some(self.own)
        } else {
            self.leader_front()
        }
    }

    /// Number of dropped datagrams by reason.
    pub fn dropped(&self) -> &BTreeMap<DropReason, u64> {
        &self.codec.dropped
    }

    /// The failure detector's view of every front that has been seen. A hint only; no invariant depends on
    /// it.
    pub fn members(&self) -> BTreeMap<FrontId, MemberStatus> {
        self.detector.members().into_iter().map(|(front, status)| (FrontId(front), status)).collect()
    }

    fn role(&self) -> NodeRole {
        match &self.voting {
            VoterState::NotVoting if self.has_durable_store => NodeRole::NonVoter,
            VoterState::NotVoting => NodeRole::NonVoterWithoutStore,
            VoterState::SyncingId(_) => NodeRole::Starting,
            VoterState::Failed => NodeRole::Failed,
            VoterState::Active(active) if active.probation.is_some() => NodeRole::OnProbation,
            VoterState::Active(active) if !active.has_log() => NodeRole::AwaitingAdmission,
            VoterState::Active(active) => match active.voter.role() {
                Role::Leader => NodeRole::Leader,
                Role::UnconfirmedLeader => NodeRole::UnconfirmedLeader,
                Role::Candidate => NodeRole::Candidate,
                Role::Follower => NodeRole::Follower,
            },
        }
    }

    /// The current status.
    pub fn status(&self, now: Clocks) -> NodeStatus {
        let voter = self.active_voter().map(|active| &active.voter);
        let last_renewal = self.lease.holder.last_renewal();
        NodeStatus {
            front: self.own,
            incarnation: self.holder().incarnation.0,
            role: self.role(),
            term: voter.map_or(0, |voter| voter.term()),
            leader: self.known_leader(),
            response_age: last_renewal.map(|at| now.monotonic.saturating_sub(at)),
            has_contact: self.lease.has_contact,
            front_list_version: self.lease.front_list_version,
            configured_version: self.settings.version,
            fronts: self.members(),
            dropped: self.codec.dropped.clone(),
            log_entries: voter.map_or(0, |voter| voter.log_len() as u64),
            applied_index: voter.map_or(0, |voter| voter.applied_index()),
            quotas: self.budgets().map_or(Vec::new(), agreed_quotas),
            minimums: self.budgets().map_or(Vec::new(), agreed_minimums),
        }
    }
}

fn agreed_quotas(state: &BudgetState) -> Vec<AgreedQuota> {
    let mut quotas = Vec::new();
    for holder in state.holders() {
        for (budget, quota) in &holder.state.quotas {
            quotas.push(AgreedQuota {
                holder: holder.id,
                budget: *budget,
                committed: quota.committed,
                granted: quota.granted(),
            });
        }
    }
    quotas
}

fn agreed_minimums(state: &BudgetState) -> Vec<AgreedMinimum> {
    let mut minimums = Vec::new();
    for (front, account) in state.accounts() {
        for (kind, minimum) in &account.minimums {
            minimums.push(AgreedMinimum {
                front: *front,
                kind: *kind,
                committed: minimum.committed,
                granted: minimum.granted(),
            });
        }
    }
    minimums
}
