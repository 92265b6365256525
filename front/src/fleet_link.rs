//! Messages between the engine and the fleet's thread. Neither waits for the other.

use std::net::{SocketAddr, UdpSocket};

use crossbeam_channel::Sender;
use elmtide_budgets::ledger::LocalQuota;
use elmtide_budgets::{BudgetId, Demand, Epoch, Grant, GuaranteedMinimums, Micros};

/// An update from the fleet's thread to the engine.
#[derive(Debug)]
pub enum FleetUpdate {
    /// A lease with all its quotas.
    Grant(Grant),
    /// The guaranteed minimums from the store.
    Minimums(GuaranteedMinimums),
    /// The machines under maintenance, with the lease on that view.
    Maintenance(elmtide_maintenance::LeasedMaintenanceView),
    /// All quotas held belong to another incarnation of this front and are void.
    Reset,
    /// Stop spending leased quotas once no request rests on one, then confirm it.
    Close(Sender<()>),
}

/// A report from the engine to the fleet's thread.
#[derive(Clone, Debug, Default)]
pub struct EngineReport {
    /// The engine stays within the quotas of this epoch; `None` while more requests run than they allow.
    pub quota_epoch: Option<Epoch>,
    /// The epoch of the guaranteed minimums in use.
    pub minimums_epoch: Epoch,
    /// The demand on each budget.
    pub demands: Vec<(BudgetId, Demand)>,
    /// When the lease expires, by the monotonic clock.
    pub lease_expiry: Option<Micros>,
    /// The quotas in force.
    pub quotas: Vec<LocalQuota>,
    /// The report on machines under maintenance; `None` where maintenance is off.
    pub maintenance: Option<elmtide_maintenance::MaintenanceReport>,
    /// The state of this front's own site.
    pub own_site: OwnSiteState,
}

/// The state of this front's own site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnSiteState {
    /// None of its cache nodes is in slow start.
    pub caches_warm: bool,
    /// A budget is exhausted here.
    pub overloaded: bool,
}

/// Wakes the fleet's thread from its wait: an empty datagram to its own socket.
#[derive(Debug)]
pub struct Waker {
    socket: UdpSocket,
    address: SocketAddr,
}

impl Waker {
    /// Wakes the thread that waits on `socket`, which is bound to `address`.
    ///
    /// # Errors
    /// If the socket can't be duplicated.
    pub fn new(socket: &UdpSocket, address: SocketAddr) -> std::io::Result<Waker> {
        Ok(Waker { socket: socket.try_clone()?, address })
    }

    /// Sends the wake-up datagram; errors are ignored.
    pub fn wake(&self) {
        let _ = self.socket.send_to(&[], self.address);
    }
}
