//! One front of a simulated fleet: its process, its store and its machine's clocks.

use std::collections::BTreeMap;

use elmtide_budgets::{BudgetId, FrontId, Micros, QuotaLedger};
use elmtide_fleet::{FleetNode, FleetSettings, RecoveredState};
use elmtide_maintenance::{MachineId, MaintenanceExclusions};

use crate::site_state::SiteObserver;

/// A machine's clocks: how fast they run, and how far the wall's was set off.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Clock {
    /// Parts in a million faster than true.
    pub(crate) ppm: f64,
    /// The wall clock alone, in microseconds.
    pub(crate) set: i64,
    /// Time for which the steady clock stood still.
    pub(crate) stood: Micros,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    pub(crate) kept: RecoveredState,
    /// A copy of some time ago.
    pub(crate) old: Option<RecoveredState>,
    /// Refuses to sync.
    pub(crate) full: bool,
}

pub(crate) struct Node {
    pub(crate) id: FrontId,
    pub(crate) member: Option<FleetNode>,
    pub(crate) ledger: QuotaLedger,
    pub(crate) store: Store,
    pub(crate) clock: Clock,
    /// Which run of the process it is, for events that are meant for an earlier one.
    pub(crate) run: u64,
    pub(crate) stalled_until: Micros,
    pub(crate) settings: FleetSettings,
    /// Units a second that are wanted, by budget.
    pub(crate) demand: BTreeMap<BudgetId, f64>,
    pub(crate) wake_at: Micros,
    /// Parts of the wants that were served.
    pub(crate) tried: u64,
    pub(crate) served: u64,
    /// This node's front uses a ledger that ignores its lease: a breach on purpose.
    pub(crate) ignores_lease: bool,
    /// What it keeps off, and until when something that it has sent is open at each machine.
    pub(crate) exclusions: Option<MaintenanceExclusions>,
    pub(crate) open: BTreeMap<MachineId, Micros>,
    /// What it sees of sites.
    pub(crate) site_observer: Option<SiteObserver>,
}
