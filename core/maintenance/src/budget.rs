//! The disruption budget: how many machines may be out of service together.

use serde::{Deserialize, Serialize};

use crate::job::MachineProgress;
use crate::machine::{MachineId, MachineSpec};

const MINUTES_PER_DAY: u64 = 1440;
const MS_PER_MINUTE: u64 = 60_000;

/// What makes a released machine count as returned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReturnPolicy {
    /// The endpoint list has it anew, or an operator confirms it.
    #[default]
    EndpointListed,
    /// An operator confirms it.
    OperatorConfirmed,
    /// Both.
    Both,
}

impl ReturnPolicy {
    /// Whether a released machine counts as returned.
    pub fn is_satisfied_by(self, progress: &MachineProgress) -> bool {
        match self {
            ReturnPolicy::EndpointListed => progress.is_listed || progress.is_confirmed,
            ReturnPolicy::OperatorConfirmed => progress.is_confirmed,
            ReturnPolicy::Both => progress.is_listed && progress.is_confirmed,
        }
    }
}

/// How many machines may be out of service together; 0 is no limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DisruptionBudget {
    /// Of one kind at one location.
    pub per_location: u16,
    /// Of one hub.
    pub per_hub: u16,
    /// Of one kind.
    pub per_kind: u16,
    /// Never out of service together.
    pub exclusive_pairs: Vec<(MachineId, MachineId)>,
    /// What is left has to bear the load and this much more, in percent.
    pub capacity_margin_percent: u32,
    /// What is left has to bear the loss of its largest machine as well.
    pub tolerates_further_loss: bool,
    /// What makes a released machine count as returned.
    pub return_policy: ReturnPolicy,
    /// Minutes of the day (UTC) from and to which nothing is scheduled.
    pub blackout_minutes: Vec<(u16, u16)>,
}

/// Which limit another machine would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DisruptionLimit {
    /// Machines of its kind at its location.
    Location,
    /// Machines of its hub.
    Hub,
    /// Machines of its kind.
    Kind,
    /// It is paired with this one.
    Pair(MachineId),
    /// The voters that are left would be no majority.
    Voters,
}

impl DisruptionBudget {
    /// Machines that must not be out of service together with this one.
    pub fn excluded_partners(&self, machine: MachineId) -> impl Iterator<Item = MachineId> + '_ {
        self.exclusive_pairs.iter().filter_map(move |(a, b)| match machine {
            m if m == *a => Some(*b),
            m if m == *b => Some(*a),
            _ => None,
        })
    }

    /// Whether nothing is scheduled at this moment of the Unix clock, in milliseconds.
    pub fn is_blackout(&self, unix_ms: u64) -> bool {
        let minute = (unix_ms / MS_PER_MINUTE % MINUTES_PER_DAY) as u16;
        self.blackout_minutes.iter().any(|(from, to)| match from <= to {
            true => (*from..*to).contains(&minute),
            false => minute >= *from || minute < *to,
        })
    }

    /// Which limit a machine would exceed besides those that are out of service.
    pub fn exceeded_limit(
        &self,
        voters: usize,
        machine: MachineId,
        spec: &MachineSpec,
        out_of_service: &[(MachineId, &MachineSpec)],
    ) -> Option<DisruptionLimit> {
        let count = |is_same: &dyn Fn(&MachineSpec) -> bool| {
            out_of_service.iter().filter(|(_, other)| is_same(other)).count()
        };
        let is_exceeded = |limit: u16, count: usize| limit > 0 && count >= usize::from(limit);
        let at_location = count(&|s| s.location == spec.location && s.kind == spec.kind);
        if is_exceeded(self.per_location, at_location) {
            return Some(DisruptionLimit::Location);
        }
        if spec.hub > 0 && is_exceeded(self.per_hub, count(&|s| s.hub == spec.hub)) {
            return Some(DisruptionLimit::Hub);
        }
        if is_exceeded(self.per_kind, count(&|s| s.kind == spec.kind)) {
            return Some(DisruptionLimit::Kind);
        }
        let mut partners = self.excluded_partners(machine);
        if let Some(partner) = partners.find(|p| out_of_service.iter().any(|(other, _)| other == p)) {
            return Some(DisruptionLimit::Pair(partner));
        }
        let voters_out = count(&MachineSpec::hosts_voter) + 1;
        let is_majority_lost = spec.hosts_voter() && voters_out > voters.saturating_sub(1) / 2;
        is_majority_lost.then_some(DisruptionLimit::Voters)
    }
}
