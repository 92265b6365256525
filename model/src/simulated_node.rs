//! A front of a simulated fleet: its process, its store and its machine's clocks.

use std::collections::BTreeMap;

use elmtide_budgets::{BudgetId, FrontId, Micros, QuotaLedger};
use elmtide_fleet::{FleetNode, FleetSettings, RecoveredState};
use elmtide_maintenance::{MachineId, MaintenanceExclusions};

use crate::site_state::SiteObserver;

/// The state of a machine's clocks.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Clock {
    /// Drift of both clocks in parts per million, positive if they are fast.
    pub(crate) ppm: f64,
    /// Offset of the wall clock in microseconds.
    pub(crate) wall_offset: i64,
    /// Time for which the monotonic clock was stopped.
    pub(crate) suspended: Micros,
}

/// The durable state of a front.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    /// The state at the last sync.
    pub(crate) current: RecoveredState,
    /// An earlier copy, for a rollback.
    pub(crate) snapshot: Option<RecoveredState>,
    /// Whether syncs fail because the disk is full.
    pub(crate) full: bool,
}

/// A simulated front.
pub(crate) struct Node {
    pub(crate) id: FrontId,
    /// The fleet member, none while the process is down.
    pub(crate) member: Option<FleetNode>,
    pub(crate) ledger: QuotaLedger,
    pub(crate) store: Store,
    pub(crate) clock: Clock,
    /// Run number of the process, by which events for an earlier run are recognized.
    pub(crate) run: u64,
    pub(crate) stalled_until: Micros,
    pub(crate) settings: FleetSettings,
    /// Demand in units per second, by budget.
    pub(crate) demand: BTreeMap<BudgetId, f64>,
    pub(crate) wake_at: Micros,
    /// Number of requests that were attempted.
    pub(crate) attempted: u64,
    /// Number of those that were served.
    pub(crate) served: u64,
    /// Whether the front ignores the expiry of its leases, a deliberate violation.
    pub(crate) ignores_lease: bool,
    /// The machines that the front must not use.
    pub(crate) exclusions: Option<MaintenanceExclusions>,
    /// End of the last request that the front has open at each machine.
    pub(crate) open_requests: BTreeMap<MachineId, Micros>,
    /// The front's monitor and view of sites.
    pub(crate) site_observer: Option<SiteObserver>,
}
