//! What a node shows of itself and the fleet to operators.

use std::collections::BTreeMap;

use elmtide_budgets::{
    BudgetId, BudgetKind, BudgetState, Clocks, FrontId, HolderId, Micros, PartsPerMillion,
};
use elmtide_consensus::Role;
use elmtide_peers::MemberStatus;

use super::voting::{ActiveVoter, VoterState};
use super::FleetNode;
use crate::datagram::DropReason;

/// What a node does for the replicated log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeRole {
    /// It has no vote.
    NonVoter,
    /// It has no vote, for want of a durable store.
    NonVoterWithoutStore,
    /// Its new store is being prepared.
    Starting,
    /// Its store has failed or is stale.
    Failed,
    /// It asks the others whether its store is the latest.
    OnProbation,
    /// Its store is new: it waits until the leader admits it.
    AwaitingAdmission,
    /// It leads.
    Leader,
    /// It was elected, and does not know yet what was committed before.
    UnconfirmedLeader,
    /// It seeks a leader.
    Candidate,
    /// It follows the leader.
    Follower,
}

impl NodeRole {
    /// Its name in status output.
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

/// A quota of the agreed state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgreedQuota {
    /// Whose.
    pub holder: HolderId,
    /// Of which budget.
    pub budget: BudgetId,
    /// What the holder may still be using.
    pub committed: PartsPerMillion,
    /// What it is told to use.
    pub granted: PartsPerMillion,
}

/// A guaranteed minimum of the agreed state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgreedMinimum {
    /// Whose.
    pub front: FrontId,
    /// Of which budgets.
    pub kind: BudgetKind,
    /// What the front may still be using.
    pub committed: PartsPerMillion,
    /// What it is told to use.
    pub granted: PartsPerMillion,
}

/// What a node shows of itself and the fleet.
#[derive(Clone, Debug)]
pub struct NodeStatus {
    /// This front.
    pub front: FrontId,
    /// Its incarnation.
    pub incarnation: u64,
    /// What it does for the log.
    pub role: NodeRole,
    /// The log's term, as far as it is known here; 0 without a vote.
    pub term: u64,
    /// Who leads, as far as it is known here.
    pub leader: Option<FrontId>,
    /// Since a leader's last response; `None` if there never was one.
    pub response_age: Option<Micros>,
    /// Whether a leader has answered within a lease.
    pub has_contact: bool,
    /// Version of the list of fronts in force.
    pub front_list_version: u64,
    /// Version of the configuration's list.
    pub configured_version: u64,
    /// All fronts that have been seen.
    pub fronts: BTreeMap<FrontId, MemberStatus>,
    /// Datagrams that were dropped, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
    /// Entries that the log holds.
    pub log_entries: u64,
    /// Index of the last command that was applied.
    pub applied_index: u64,
    /// All quotas, if this node has the agreed state.
    pub quotas: Vec<AgreedQuota>,
    /// All guaranteed minimums, if this node has the agreed state.
    pub minimums: Vec<AgreedMinimum>,
}

impl FleetNode {
    fn active_voter(&self) -> Option<&ActiveVoter> {
        match &self.voting {
            VoterState::Active(active) => Some(active),
            _ => None,
        }
    }

    /// The agreed state of budgets, if this node has one.
    pub fn budgets(&self) -> Option<&BudgetState> {
        self.active_voter().map(|active| &active.voter.state_machine().budgets)
    }

    /// The agreed state of sites, if this node has one.
    pub fn sites(&self) -> Option<&elmtide_sites::SiteState> {
        self.active_voter().map(|active| &active.voter.state_machine().sites)
    }

    /// The agreed state of machines in maintenance, if this node has one.
    pub fn maintenance(&self) -> Option<&elmtide_maintenance::MaintenanceState> {
        self.active_voter().map(|active| &active.voter.state_machine().maintenance)
    }

    /// Who leads, as far as it is known here.
    pub fn known_leader(&self) -> Option<FrontId> {
        if self.is_leading() {
            Some(self.own)
        } else {
            self.leader_front()
        }
    }

    /// Datagrams that were dropped, by reason.
    pub fn dropped(&self) -> &BTreeMap<DropReason, u64> {
        &self.codec.dropped
    }

    /// Every front that has been seen: a hint.
    pub fn members(&self) -> BTreeMap<FrontId, MemberStatus> {
        self.detector.members().into_iter().map(|(front, status)| (FrontId(front), status)).collect()
    }

    fn role(&self) -> NodeRole {
        match &self.voting {
            VoterState::NotVoting if self.is_durable => NodeRole::NonVoter,
            VoterState::NotVoting => NodeRole::NonVoterWithoutStore,
            VoterState::ChoosingId(_) => NodeRole::Starting,
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

    /// What is shown to operators now.
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
