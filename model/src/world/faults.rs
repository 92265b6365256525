//! Faults of processes, stores, clocks and the network, and operator actions on a front.

use elmtide_budgets::{BudgetId, FrontId, Micros, QuotaLedger};
use elmtide_fleet::{FleetNode, NodeConfig, RecoveredState};
use elmtide_maintenance::{MachineId, MaintenanceExclusions};
use rand::RngExt;

use super::{Event, World};
use crate::setup::{NetworkConditions, StoreFate};
use crate::site_state::SiteObserver;

impl World {
    /// Starts a front's process from its store.
    pub fn start(&mut self, node: usize) {
        let clocks = self.clocks(node);
        let lease_settings = self.setup.lease_settings();
        let seed = self.random.random::<u64>();
        let host = &mut self.nodes[node];
        host.run += 1;
        host.store.current.incarnation += 1;
        host.store.current.durable = true;
        host.ledger = QuotaLedger::new(lease_settings);
        for (budget, limit) in &self.setup.budgets {
            host.ledger.configure_budget(*budget, *limit, clocks);
        }
        let config = NodeConfig {
            own: host.id,
            installation: "model".into(),
            key: b"a key of the model".to_vec(),
            settings: host.settings.clone(),
            recovered: host.store.current.clone(),
            seed,
        };
        host.member = FleetNode::new(config, clocks).ok();
        host.stalled_until = 0;
        host.wake_at = Micros::MAX;
        host.open_requests.clear();
        host.site_observer =
            self.sites.as_ref().map(|s| SiteObserver::new(s.count, node % s.count, clocks.monotonic));
        if let Some(machines) = &self.machines {
            let is_first_start = host.exclusions.is_none();
            host.exclusions = Some(MaintenanceExclusions::new(
                lease_settings,
                machines.specs.iter().map(|s| (MachineId::from_name(&s.name), None)),
            ));
            if is_first_start {
                self.push(self.now, Event::SendRequest { node });
            }
        }
        let host = &mut self.nodes[node];
        let run = host.run;
        self.push(self.now, Event::Report { node, run });
        self.process_outputs(node);
        self.wake(node);
    }

    /// Kills a front's process without a shutdown.
    pub fn kill(&mut self, node: usize, store_fate: StoreFate) {
        let host = &mut self.nodes[node];
        host.member = None;
        host.run += 1;
        let incarnation = host.store.current.incarnation;
        match store_fate {
            StoreFate::Kept => {}
            // Without a store the incarnation comes from a clock that only rises, so it is still higher.
            StoreFate::Lost => {
                host.store.current =
                    RecoveredState { incarnation: incarnation + 10, ..RecoveredState::default() }
            }
            StoreFate::RolledBack => {
                if let Some(snapshot) = host.store.snapshot.clone() {
                    host.store.current = snapshot;
                }
            }
        }
        let demand = host.demand.clone();
        host.ledger = QuotaLedger::new(self.setup.lease_settings());
        host.demand = demand;
    }

    /// Whether a front's process is running.
    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].member.is_some()
    }

    /// Keeps a copy of the store for [`StoreFate::RolledBack`].
    pub fn snapshot_store(&mut self, node: usize) {
        self.nodes[node].store.snapshot = Some(self.nodes[node].store.current.clone());
    }

    /// Makes syncs of the store fail, or succeed again.
    pub fn set_disk_full(&mut self, node: usize, full: bool) {
        self.nodes[node].store.full = full;
    }

    /// Stalls the process. Its clocks continue, and events for it wait.
    pub fn stall(&mut self, node: usize, span: Micros) {
        self.nodes[node].stalled_until = self.now + span;
    }

    /// Suspends the machine: the process stalls and its monotonic clock stops.
    pub fn suspend_machine(&mut self, node: usize, span: Micros) {
        self.stall(node, span);
        self.nodes[node].clock.suspended += span;
    }

    /// Steps the wall clock by this many microseconds.
    pub fn step_wall_clock(&mut self, node: usize, by: i64) {
        self.nodes[node].clock.wall_offset += by;
    }

    /// Sets the clocks' drift in parts per million.
    pub fn set_clock_drift(&mut self, node: usize, ppm: f64) {
        // The clocks continue from their present values.
        let before = self.clocks(node);
        self.nodes[node].clock.ppm = ppm;
        let after = self.clocks(node);
        let clock = &mut self.nodes[node].clock;
        if after.monotonic > before.monotonic {
            clock.suspended += after.monotonic - before.monotonic;
        } else {
            clock.suspended = clock.suspended.saturating_sub(before.monotonic - after.monotonic);
        }
        clock.wall_offset += before.wall as i64 - after.wall as i64;
    }

    /// Sets the conditions of the network.
    pub fn set_network(&mut self, network: NetworkConditions) {
        self.network = network;
    }

    /// Blocks the link from one front to another, or unblocks it.
    pub fn set_cut(&mut self, from: usize, to: usize, cut: bool) {
        match cut {
            true => self.blocked_links.insert((from, to)),
            false => self.blocked_links.remove(&(from, to)),
        };
    }

    /// Blocks all links between different groups of fronts.
    pub fn partition_network(&mut self, groups: &[&[usize]]) {
        for (a, from_group) in groups.iter().enumerate() {
            for (b, to_group) in groups.iter().enumerate().filter(|(b, _)| *b != a) {
                let _ = b;
                for from in *from_group {
                    for to in *to_group {
                        self.blocked_links.insert((*from, *to));
                    }
                }
            }
        }
    }

    /// Unblocks all links between fronts.
    pub fn heal_network(&mut self) {
        self.blocked_links.clear();
    }

    /// Makes a front use its share and views after their leases have expired, a violation that the checkers must find.
    pub fn ignore_leases(&mut self, node: usize) {
        self.nodes[node].ignores_lease = true;
    }

    /// Sets the list of fronts in a front's settings, from its next start on.
    pub fn set_front_list(&mut self, node: usize, version: u64, fronts: &[usize]) {
        let ids: Vec<FrontId> = fronts.iter().map(|n| self.nodes[*n].id).collect();
        self.nodes[node].settings = World::settings(&self.setup, &ids, version);
    }

    /// Sets a front's demand for a budget in units per second.
    pub fn set_demand(&mut self, node: usize, budget: BudgetId, rate: f64) {
        let before = self.nodes[node].demand.insert(budget, rate);
        if rate > 0.0 && before.unwrap_or(0.0) <= 0.0 {
            self.push(self.now, Event::Spend { node, budget });
        }
    }

    /// Shuts a front down in an orderly way, which returns its share.
    pub fn leave(&mut self, node: usize) {
        let clocks = self.clocks(node);
        self.nodes[node].ledger.close(clocks);
        if let Some(member) = &mut self.nodes[node].member {
            member.leave(clocks);
        }
        self.nodes[node].demand.clear();
        self.process_outputs(node);
        self.wake(node);
    }
}
