//! The disruption budget limits how many machines may be out of service at the same time.

use serde::{Deserialize, Serialize};

use crate::job::MachineProgress;
use crate::machine::{MachineId, MachineSpec};

const MINUTES_PER_DAY: u64 = 1440;
const MS_PER_MINUTE: u64 = 60_000;

/// The condition under which a released machine counts as returned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReturnPolicy {
    /// The endpoint list contains it again, or an operator confirms its return.
    #[default]
    EndpointListed,
    /// An operator confirms its return.
    OperatorConfirmed,
    /// The endpoint list contains it again, and an operator confirms its return.
    Both,
}

impl ReturnPolicy {
    /// Whether a released machine with this progress counts as returned.
    pub fn is_satisfied_by(self, progress: &MachineProgress) -> bool {
        match self {
            ReturnPolicy::EndpointListed => progress.is_listed || progress.is_confirmed,
            ReturnPolicy::OperatorConfirmed => progress.is_confirmed,
            ReturnPolicy::Both => progress.is_listed && progress.is_confirmed,
        }
    }
}

/// How many machines may be out of service at the same time; a limit of 0 means no limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DisruptionBudget {
    /// Maximum number of machines of one kind at one location.
    pub per_location: u16,
    /// Maximum number of machines of one hub.
    pub per_hub: u16,
    /// Maximum number of machines of one kind.
    pub per_kind: u16,
    /// Pairs of machines that must never be out of service at the same time.
    pub exclusive_pairs: Vec<(MachineId, MachineId)>,
    /// The remaining machines must have capacity for the load plus this margin, in percent of the load.
    pub capacity_margin_percent: u32,
    /// The remaining machines must have enough capacity even if the largest of them fails as well.
    pub tolerates_further_loss: bool,
    /// The condition under which a released machine counts as returned.
    pub return_policy: ReturnPolicy,
    /// Intervals in which no machine is scheduled, as first and end (exclusive) minute of the day in UTC. An interval
    /// may span midnight.
    pub blackout_minutes: Vec<(u16, u16)>,
}

/// The limit that one more machine out of service would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DisruptionLimit {
    /// The limit for its kind at its location.
    Location,
    /// The limit for its hub.
    Hub,
    /// The limit for its kind.
    Kind,
    /// It forms an exclusive pair with this machine, which is out of service.
    Pair(MachineId),
    /// The remaining voters would not be a majority.
    Voters,
}

impl DisruptionBudget {
    /// Machines that must not be out of service at the same time as this one.
    pub fn excluded_partners(&self, machine: MachineId) -> impl Iterator<Item = MachineId> + '_ {
        self.exclusive_pairs.iter().filter_map(move |(a, b)| match machine {
            m if m == *a => Some(*b),
            m if m == *b => Some(*a),
            _ => None,
        })
    }

    /// Whether this Unix time, in milliseconds, is in an interval in which no machine is scheduled.
    pub fn is_blackout(&self, unix_ms: u64) -> bool {
        let minute = (unix_ms / MS_PER_MINUTE % MINUTES_PER_DAY) as u16;
        self.blackout_minutes.iter().any(|(from, to)| match from <= to {
            true => (*from..*to).contains(&minute),
            false => minute >= *from || minute < *to,
        })
    }

    /// The limit that `machine` would exceed in addition to the machines in `out_of_service`; `voters` is the number of
    /// machines that host a voter.
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
