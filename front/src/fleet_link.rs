//! What the engine and the fleet's thread tell each other. Neither waits for the other.

use std::net::{SocketAddr, UdpSocket};

use crossbeam_channel::Sender;
use elmtide_budgets::ledger::LocalQuota;
use elmtide_budgets::{BudgetId, Demand, Epoch, Grant, GuaranteedMinimums, Micros};

/// What the fleet's thread tells the engine.
#[derive(Debug)]
pub enum FleetUpdate {
    /// A lease, with all the quotas that it is for.
    Grant(Grant),
    /// Guaranteed minimums that the store has.
    Minimums(GuaranteedMinimums),
    /// Which machines are in maintenance, with the lease on that.
    Maintenance(elmtide_maintenance::LeasedMaintenanceView),
    /// Whatever was held was another incarnation's.
    Reset,
    /// Spend no leased quota any more, then confirm it.
    Close(Sender<()>),
}

/// What the engine tells the fleet's thread.
#[derive(Clone, Debug, Default)]
pub struct EngineReport {
    /// It uses no more than the quotas of this epoch; `None` while more requests run than that.
    pub quota_epoch: Option<Epoch>,
    /// It uses the minimums of this epoch.
    pub minimums_epoch: Epoch,
    /// What it needs.
    pub demands: Vec<(BudgetId, Demand)>,
    /// When the lease expires, by the monotonic clock.
    pub lease_expiry: Option<Micros>,
    /// The quotas in force.
    pub quotas: Vec<LocalQuota>,
    /// On machines in maintenance; `None` where that is off.
    pub maintenance: Option<elmtide_maintenance::MaintenanceReport>,
    /// On this front's own site.
    pub own_site: OwnSiteState,
}

/// How this front's own site does.
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

    /// Wakes it.
    pub fn wake(&self) {
        let _ = self.socket.send_to(&[], self.address);
    }
}
