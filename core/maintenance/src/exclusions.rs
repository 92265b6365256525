//! Decides which machines a front excludes, from the last view that it received and the lease on it.
//!
//! **Invariant: a front with a view of epoch n sends no new attempt to a machine that is draining or further in that
//! view (but not yet in slow start), whether or not its lease has expired. Once the lease has expired, it sends none
//! to a scheduled machine either.** The lease is checked against the clocks at the moment of each decision.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use elmtide_budgets::{Clocks, Epoch, LeaseSettings, Micros};

use crate::machine::{DisruptedMachine, MachineId, Stage};
use crate::report::LeasedMaintenanceView;

#[derive(Clone, Copy, Debug, PartialEq)]
struct ViewLease {
    requested_at: Clocks,
    expires_at: Micros,
}

/// The machines that one front excludes, and the view and lease that they follow from.
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenanceExclusions {
    lease_settings: LeaseSettings,
    /// Machines of the configuration, all of which are excluded until there is a view.
    known: BTreeSet<MachineId>,
    addresses: BTreeMap<SocketAddr, MachineId>,
    disrupted: Option<BTreeMap<MachineId, Stage>>,
    epoch: Epoch,
    lease: Option<ViewLease>,
}

impl MaintenanceExclusions {
    /// Starts without a view; `machines` are the machines of the configuration, with their addresses.
    pub fn new(
        lease_settings: LeaseSettings,
        machines: impl IntoIterator<Item = (MachineId, Option<SocketAddr>)>,
    ) -> MaintenanceExclusions {
        let mut known = BTreeSet::new();
        let mut addresses = BTreeMap::new();
        for (machine, address) in machines {
            known.insert(machine);
            addresses.extend(address.map(|address| (address, machine)));
        }
        MaintenanceExclusions {
            lease_settings,
            known,
            addresses,
            disrupted: None,
            epoch: Epoch(0),
            lease: None,
        }
    }

    /// Applies a view. A view is ignored if its lease has expired, if it is older than the current one, or if it lists
    /// no machines because nothing has changed since an epoch other than the current one.
    pub fn apply(&mut self, leased: &LeasedMaintenanceView, now: Clocks) {
        let LeasedMaintenanceView { view, requested_at, expires_at } = leased;
        let lease = ViewLease { requested_at: *requested_at, expires_at: *expires_at };
        if view.epoch < self.epoch || !self.is_in_force(lease, now) {
            return;
        }
        match &view.disrupted {
            Some(disrupted) => self.replace_disrupted(disrupted),
            None if view.epoch == self.epoch && self.disrupted.is_some() => {}
            None => return,
        }
        self.epoch = view.epoch;
        let before = self.lease.map(|lease| lease.requested_at.monotonic);
        if before.is_none_or(|before| requested_at.monotonic >= before) {
            self.lease = Some(lease);
        }
    }

    fn replace_disrupted(&mut self, disrupted: &[DisruptedMachine]) {
        self.disrupted = Some(disrupted.iter().map(|p| (p.machine, p.stage)).collect());
        self.addresses.extend(disrupted.iter().filter_map(|p| Some((p.address?, p.machine))));
    }

    fn is_in_force(&self, lease: ViewLease, now: Clocks) -> bool {
        self.lease_settings.is_in_force(lease.requested_at, lease.expires_at, now)
    }

    /// Whether a view has been applied.
    pub fn has_view(&self) -> bool {
        self.disrupted.is_some()
    }

    /// Epoch of the current view; 0 before there is one.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether the lease on the view is valid.
    pub fn has_valid_lease(&self, now: Clocks) -> bool {
        self.lease.is_some_and(|lease| self.is_in_force(lease, now))
    }

    /// The machine at this address or, if the address is unknown, with this name in the endpoint list.
    pub fn machine_at(&self, name: &str, address: Option<SocketAddr>) -> MachineId {
        let by_address = address.and_then(|address| self.addresses.get(&address)).copied();
        by_address.unwrap_or_else(|| MachineId::from_name(name))
    }

    /// Whether the configuration or the view contains this machine.
    pub fn knows(&self, machine: MachineId) -> bool {
        self.known.contains(&machine) || self.stage(machine).is_some()
    }

    /// The machine's stage in the view.
    pub fn stage(&self, machine: MachineId) -> Option<Stage> {
        self.disrupted.as_ref()?.get(&machine).copied()
    }

    /// Whether no new attempt may be sent to this machine now.
    pub fn is_excluded(&self, machine: MachineId, now: Clocks) -> bool {
        if self.disrupted.is_none() {
            return self.known.contains(&machine);
        }
        let Some(stage) = self.stage(machine) else { return false };
        stage.is_excluded() || (stage.is_excluded_without_lease() && !self.has_valid_lease(now))
    }

    /// Machines that the view excludes whether or not the lease has expired. The front has to report them as drained
    /// once it has no open request there.
    pub fn excluded_by_view(&self) -> impl Iterator<Item = MachineId> + '_ {
        let disrupted = self.disrupted.iter().flatten();
        disrupted.filter(|(_, stage)| stage.is_excluded()).map(|(machine, _)| *machine)
    }

    /// Machines of the configuration.
    pub fn known(&self) -> impl Iterator<Item = MachineId> + '_ {
        self.known.iter().copied()
    }
}
