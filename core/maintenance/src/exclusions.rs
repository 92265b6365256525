//! Which machines a front excludes, by the view that it was told last and by the lease on it.
//!
//! **Invariant: by a view of epoch n, whether its lease has expired or not, a front sends nothing new to a machine that was
//! draining or further by n; and once the lease has expired, nothing to one that was scheduled by n.** This is checked with
//! the clocks of the moment of the decision.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use elmtide_budgets::{Clocks, Epoch, LeaseSettings, Micros};

use crate::machine::{MachineId, PlacedMachine, Stage};
use crate::report::LeasedMaintenanceView;

#[derive(Clone, Copy, Debug, PartialEq)]
struct ViewLease {
    requested_at: Clocks,
    expires_at: Micros,
}

/// The machines that one front excludes.
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenanceExclusions {
    lease_settings: LeaseSettings,
    /// Machines of the configuration, which are excluded before there is a view.
    known: BTreeSet<MachineId>,
    addresses: BTreeMap<SocketAddr, MachineId>,
    placed: Option<BTreeMap<MachineId, Stage>>,
    epoch: Epoch,
    lease: Option<ViewLease>,
}

impl MaintenanceExclusions {
    /// Before there is a view; `machines` are those of the configuration, with their addresses.
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
        MaintenanceExclusions { lease_settings, known, addresses, placed: None, epoch: Epoch(0), lease: None }
    }

    /// Takes a view. One that is older than what is held, or that only says that nothing has changed since one that is not
    /// held, changes nothing.
    pub fn apply(&mut self, leased: &LeasedMaintenanceView, now: Clocks) {
        let LeasedMaintenanceView { view, requested_at, expires_at } = leased;
        let lease = ViewLease { requested_at: *requested_at, expires_at: *expires_at };
        if view.epoch < self.epoch || !self.is_in_force(lease, now) {
            return;
        }
        match &view.placed {
            Some(placed) => self.replace_placed(placed),
            None if view.epoch == self.epoch && self.placed.is_some() => {}
            None => return,
        }
        self.epoch = view.epoch;
        let before = self.lease.map(|lease| lease.requested_at.monotonic);
        if before.is_none_or(|before| requested_at.monotonic >= before) {
            self.lease = Some(lease);
        }
    }

    fn replace_placed(&mut self, placed: &[PlacedMachine]) {
        self.placed = Some(placed.iter().map(|p| (p.machine, p.stage)).collect());
        self.addresses.extend(placed.iter().filter_map(|p| Some((p.address?, p.machine))));
    }

    fn is_in_force(&self, lease: ViewLease, now: Clocks) -> bool {
        self.lease_settings.is_in_force(lease.requested_at, lease.expires_at, now)
    }

    /// Whether there is a view.
    pub fn has_view(&self) -> bool {
        self.placed.is_some()
    }

    /// Epoch of the view; 0 before there is one.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether the lease on the view is in force.
    pub fn has_valid_lease(&self, now: Clocks) -> bool {
        self.lease.is_some_and(|lease| self.is_in_force(lease, now))
    }

    /// The machine of this name in the endpoint list, or at this address.
    pub fn machine_at(&self, name: &str, address: Option<SocketAddr>) -> MachineId {
        let by_address = address.and_then(|address| self.addresses.get(&address)).copied();
        by_address.unwrap_or_else(|| MachineId::from_name(name))
    }

    /// Whether the configuration or the view has this machine.
    pub fn knows(&self, machine: MachineId) -> bool {
        self.known.contains(&machine) || self.stage(machine).is_some()
    }

    /// The machine's stage by the view.
    pub fn stage(&self, machine: MachineId) -> Option<Stage> {
        self.placed.as_ref()?.get(&machine).copied()
    }

    /// Whether nothing new may be sent there now.
    pub fn is_excluded(&self, machine: MachineId, now: Clocks) -> bool {
        if self.placed.is_none() {
            return self.known.contains(&machine);
        }
        let Some(stage) = self.stage(machine) else { return false };
        stage.is_excluded() || (stage.is_excluded_without_lease() && !self.has_valid_lease(now))
    }

    /// Machines that are excluded by the view whatever the lease: those that the front has to report as drained.
    pub fn excluded_by_view(&self) -> impl Iterator<Item = MachineId> + '_ {
        let placed = self.placed.iter().flatten();
        placed.filter(|(_, stage)| stage.is_excluded()).map(|(machine, _)| *machine)
    }

    /// Machines of the configuration.
    pub fn known(&self) -> impl Iterator<Item = MachineId> + '_ {
        self.known.iter().copied()
    }
}
