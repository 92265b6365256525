//! The setup of a simulated fleet and the report of its run.

use std::collections::BTreeMap;

use elmtide_budgets::{BudgetId, BudgetKind, LeaseSettings, Micros, MinimumRule, TotalLimit};
use elmtide_maintenance::{DisruptionBudget, MachineId, MachineSpec};

/// Conditions of the network between fronts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkConditions {
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram is delivered twice.
    pub duplication: f64,
    /// Minimum and maximum delay. Delays are drawn uniformly between them, which reorders datagrams.
    pub delay: (Micros, Micros),
}

impl Default for NetworkConditions {
    fn default() -> NetworkConditions {
        NetworkConditions { loss: 0.0, duplication: 0.0, delay: (200, 800) }
    }
}

/// What happens to a store when its process is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFate {
    /// It stays as it is.
    Kept,
    /// It is empty at the next start.
    Lost,
    /// It is replaced by an earlier copy of itself.
    RolledBack,
}

/// The setup of a simulated fleet. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Setup {
    pub fronts: usize,
    /// Number of fronts that vote, the first ones.
    pub voters: usize,
    pub seed: u64,
    /// Interval of the members' periodic work.
    pub tick: Micros,
    /// Duration of a lease.
    pub lease: Micros,
    /// Budgets that every front has from its start.
    pub budgets: Vec<(BudgetId, TotalLimit)>,
    /// Rules for the guaranteed minimum of each kind of budget.
    pub minimums: Vec<(BudgetKind, MinimumRule)>,
    /// Time that a sync of the store takes.
    pub sync_time: Micros,
    /// Machines that may be taken into maintenance, if any.
    pub machines: Option<Machines>,
    /// Number of sites, if they are monitored.
    pub sites: Option<usize>,
}

impl Setup {
    /// A fleet with one budget for retries, without machines and sites.
    pub fn new(fronts: usize, seed: u64) -> Setup {
        let retries = BudgetId { kind: BudgetKind::Retries, resource: 0 };
        let limit = TotalLimit { rate: 100.0, burst: 100.0, window: 1_000_000 };
        let minimum = MinimumRule { set_aside: 200_000, unit: 10_000 };
        Setup {
            fronts,
            voters: if fronts >= 5 { 5 } else { 3.min(fronts) },
            seed,
            tick: 50_000,
            lease: 2_000_000,
            budgets: vec![(retries, limit)],
            minimums: vec![(BudgetKind::Retries, minimum)],
            sync_time: 2_000,
            machines: None,
            sites: None,
        }
    }

    /// The lease settings that follow from lease and tick.
    pub fn lease_settings(&self) -> LeaseSettings {
        LeaseSettings {
            duration: self.lease,
            drift: 0.001,
            slack: 2 * self.tick,
            max_clock_divergence: self.tick / 2,
            max_request_deadline: self.lease,
        }
    }
}

/// Machines in simulated time, which are up, and the requests that fronts send to them.
#[derive(Clone, Debug)]
pub struct Machines {
    /// The machines as the settings have them.
    pub specs: Vec<MachineSpec>,
    /// Limits on the machines that may be in maintenance at the same time.
    pub disruption_budget: DisruptionBudget,
    /// Start time of each machine in Unix milliseconds, none while it is down.
    pub started_at: BTreeMap<MachineId, Option<u64>>,
    /// Requests per second that each front sends, each to a random machine.
    pub request_rate: f64,
    /// Time for which a request is open.
    pub request_duration: Micros,
}

impl Machines {
    /// `count` machines with `per_location_count` to a location, of which one may be in maintenance.
    pub fn new(count: usize, per_location_count: usize) -> Machines {
        let specs: Vec<MachineSpec> = (0..count)
            .map(|n| MachineSpec {
                name: format!("c-{n}"),
                location: (n / per_location_count.max(1)) as u16 + 1,
                hub: 0,
                kind: 1,
                weight: 1_000_000,
                address: None,
                front: None,
            })
            .collect();
        let disruption_budget = DisruptionBudget {
            per_location: 1,
            tolerates_further_loss: false,
            ..DisruptionBudget::default()
        };
        let started_at = specs.iter().map(|s| (MachineId::from_name(&s.name), Some(1))).collect();
        Machines { specs, disruption_budget, started_at, request_rate: 40.0, request_duration: 100_000 }
    }

    /// The identities of all machines.
    pub fn ids(&self) -> Vec<MachineId> {
        self.specs.iter().map(|s| MachineId::from_name(&s.name)).collect()
    }
}

/// The results of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub seed: u64,
    /// Violations that the checkers found, such as windows above a budget's limit and quotas that sum to more than the
    /// total.
    pub violations: Vec<String>,
    /// Units spent, by budget.
    pub spent: BTreeMap<BudgetId, f64>,
    /// Fill of the fullest window relative to the burst, by budget; more than 1 is a violation.
    pub peak_window_use: BTreeMap<BudgetId, f64>,
    /// The largest sum of the quotas in force, as a fraction of the total.
    pub peak_quota_sum: f64,
    pub datagrams: u64,
    pub bytes: u64,
    /// Number of syncs of stores.
    pub syncs: u64,
    /// Number of times that a front became leader.
    pub leaders: u64,
    /// Number of requests that fronts attempted.
    pub requests_attempted: u64,
    /// Number of those that were served.
    pub requests_served: u64,
}
