//! What a simulated fleet is started with, and what is reported of it.

use std::collections::BTreeMap;

use elmtide_budgets::{BudgetId, BudgetKind, LeaseSettings, Micros, MinimumRule, TotalLimit};
use elmtide_maintenance::{DisruptionBudget, MachineId, MachineSpec};

/// The network between fronts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Net {
    pub loss: f64,
    pub double: f64,
    /// Least and most delay; what is drawn between reorders.
    pub delay: (Micros, Micros),
}

impl Default for Net {
    fn default() -> Net {
        Net { loss: 0.0, double: 0.0, delay: (200, 800) }
    }
}

/// What becomes of a store when its process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    Kept,
    Lost,
    /// Put back as it was at an earlier moment.
    Yesterday,
}

#[derive(Clone, Debug)]
pub struct Setup {
    pub fronts: usize,
    pub voters: usize,
    pub seed: u64,
    pub tick: Micros,
    pub lease: Micros,
    /// Budgets that every front knows from the start.
    pub budgets: Vec<(BudgetId, TotalLimit)>,
    pub floors: Vec<(BudgetKind, MinimumRule)>,
    /// Time a sync takes.
    pub sync: Micros,
    /// Machines that may go out for work.
    pub machines: Option<Machines>,
    /// So many sites are watched.
    pub sites: Option<usize>,
}

impl Setup {
    pub fn new(fronts: usize, seed: u64) -> Setup {
        let retries = BudgetId { kind: BudgetKind::Retries, resource: 0 };
        let whole = TotalLimit { rate: 100.0, burst: 100.0, window: 1_000_000 };
        let floor = MinimumRule { set_aside: 200_000, unit: 10_000 };
        Setup {
            fronts,
            voters: if fronts >= 5 { 5 } else { 3.min(fronts) },
            seed,
            tick: 50_000,
            lease: 2_000_000,
            budgets: vec![(retries, whole)],
            floors: vec![(BudgetKind::Retries, floor)],
            sync: 2_000,
            machines: None,
            sites: None,
        }
    }

    pub fn terms(&self) -> LeaseSettings {
        LeaseSettings {
            duration: self.lease,
            drift: 0.001,
            slack: 2 * self.tick,
            max_clock_divergence: self.tick / 2,
            max_request_deadline: self.lease,
        }
    }
}

/// Machines in simulated time: what fronts send there, and which are there.
#[derive(Clone, Debug)]
pub struct Machines {
    pub specs: Vec<MachineSpec>,
    pub bounds: DisruptionBudget,
    /// Of each machine: when it started, in Unix milliseconds; it is away while it has none.
    pub born: BTreeMap<MachineId, Option<u64>>,
    /// Requests a second that each front sends, to machines in turns; how long one is open.
    pub rate: f64,
    pub open: Micros,
}

impl Machines {
    /// So many machines, so many to a location, of which one may be out.
    pub fn new(count: usize, to_a_location: usize) -> Machines {
        let specs: Vec<MachineSpec> = (0..count)
            .map(|n| MachineSpec {
                name: format!("c-{n}"),
                location: (n / to_a_location.max(1)) as u16 + 1,
                hub: 0,
                kind: 1,
                weight: 1_000_000,
                address: None,
                front: None,
            })
            .collect();
        let bounds = DisruptionBudget {
            per_location: 1,
            tolerates_further_loss: false,
            ..DisruptionBudget::default()
        };
        let born = specs.iter().map(|s| (MachineId::from_name(&s.name), Some(1))).collect();
        Machines { specs, bounds, born, rate: 40.0, open: 100_000 }
    }

    pub fn ids(&self) -> Vec<MachineId> {
        self.specs.iter().map(|s| MachineId::from_name(&s.name)).collect()
    }
}

#[derive(Clone, Debug, Default)]
pub struct Report {
    pub seed: u64,
    /// Windows that held more than they may, and moments at which parts summed to more than the whole.
    pub over: Vec<String>,
    pub spent: BTreeMap<BudgetId, f64>,
    pub closest: BTreeMap<BudgetId, f64>,
    /// The largest sum of parts in force, of the whole.
    pub largest: f64,
    pub datagrams: u64,
    pub bytes: u64,
    pub syncs: u64,
    pub leaders: u64,
    pub tried: u64,
    pub served: u64,
}
