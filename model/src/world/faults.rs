//! Faults of processes, stores, clocks and the network, and what operators do to a front.

use elmtide_budgets::{BudgetId, FrontId, Micros, QuotaLedger};
use elmtide_fleet::{FleetNode, NodeConfig, RecoveredState};
use elmtide_maintenance::{MachineId, MaintenanceExclusions};
use rand::RngExt;

use super::{Event, World};
use crate::setup::{Disk, Net};
use crate::site_state::SiteObserver;

impl World {
    pub fn start(&mut self, node: usize) {
        let clocks = self.clocks(node);
        let terms = self.setup.terms();
        let seed = self.random.random::<u64>();
        let place = &mut self.nodes[node];
        place.run += 1;
        place.store.kept.incarnation += 1;
        place.store.kept.durable = true;
        place.ledger = QuotaLedger::new(terms);
        for (key, whole) in &self.setup.budgets {
            place.ledger.configure_budget(*key, *whole, clocks);
        }
        let config = NodeConfig {
            own: place.id,
            installation: "model".into(),
            key: b"a key of the model".to_vec(),
            settings: place.settings.clone(),
            recovered: place.store.kept.clone(),
            seed,
        };
        place.member = FleetNode::new(config, clocks).ok();
        place.stalled_until = 0;
        place.wake_at = Micros::MAX;
        place.open.clear();
        place.site_observer =
            self.sites.as_ref().map(|s| SiteObserver::new(s.count, node % s.count, clocks.monotonic));
        if let Some(machines) = &self.machines {
            let first = place.exclusions.is_none();
            place.exclusions = Some(MaintenanceExclusions::new(
                terms,
                machines.specs.iter().map(|s| (MachineId::from_name(&s.name), None)),
            ));
            if first {
                self.push(self.now, Event::Send { node });
            }
        }
        let place = &mut self.nodes[node];
        let run = place.run;
        self.push(self.now, Event::Report { node, run });
        self.process_outputs(node);
        self.wake(node);
    }

    /// The process ends at once; its machine is silent.
    pub fn kill(&mut self, node: usize, disk: Disk) {
        let place = &mut self.nodes[node];
        place.member = None;
        place.run += 1;
        let incarnation = place.store.kept.incarnation;
        match disk {
            Disk::Kept => {}
            // Without the store the incarnation goes by a clock that only rises.
            Disk::Lost => {
                place.store.kept =
                    RecoveredState { incarnation: incarnation + 10, ..RecoveredState::default() }
            }
            Disk::Yesterday => {
                if let Some(old) = place.store.old.clone() {
                    place.store.kept = old;
                }
            }
        }
        let demand = place.demand.clone();
        place.ledger = QuotaLedger::new(self.setup.terms());
        place.demand = demand;
    }

    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].member.is_some()
    }

    /// Keeps a copy of the store, for [`Disk::Yesterday`].
    pub fn copy_store(&mut self, node: usize) {
        self.nodes[node].store.old = Some(self.nodes[node].store.kept.clone());
    }

    pub fn fill_disk(&mut self, node: usize, full: bool) {
        self.nodes[node].store.full = full;
    }

    /// The whole process stands still; its clocks go on, and what comes waits.
    pub fn stall(&mut self, node: usize, span: Micros) {
        self.nodes[node].stalled_until = self.now + span;
    }

    /// The machine sleeps: its steady clock stands still as well.
    pub fn sleep(&mut self, node: usize, span: Micros) {
        self.stall(node, span);
        self.nodes[node].clock.stood += span;
    }

    pub fn set_wall(&mut self, node: usize, by: i64) {
        self.nodes[node].clock.set += by;
    }

    pub fn drift(&mut self, node: usize, ppm: f64) {
        // The clock goes on from where it is.
        let before = self.clocks(node);
        self.nodes[node].clock.ppm = ppm;
        let after = self.clocks(node);
        let clock = &mut self.nodes[node].clock;
        if after.monotonic > before.monotonic {
            clock.stood += after.monotonic - before.monotonic;
        } else {
            clock.stood = clock.stood.saturating_sub(before.monotonic - after.monotonic);
        }
        clock.set += before.wall as i64 - after.wall as i64;
    }

    pub fn net(&mut self, net: Net) {
        self.net = net;
    }

    /// Cuts one direction, or heals it.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        match cut {
            true => self.cuts.insert((from, to)),
            false => self.cuts.remove(&(from, to)),
        };
    }

    pub fn split(&mut self, parts: &[&[usize]]) {
        for (a, one) in parts.iter().enumerate() {
            for (b, other) in parts.iter().enumerate().filter(|(b, _)| *b != a) {
                let _ = b;
                for from in *one {
                    for to in *other {
                        self.cuts.insert((*from, *to));
                    }
                }
            }
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// A front that spends by shares whose lease is over: what the checkers must find.
    pub fn ignore_leases(&mut self, node: usize) {
        self.nodes[node].ignores_lease = true;
    }

    /// Another list of fronts for this node, from its next start on.
    pub fn relist(&mut self, node: usize, version: u64, fronts: &[usize]) {
        let ids: Vec<FrontId> = fronts.iter().map(|n| self.nodes[*n].id).collect();
        self.nodes[node].settings = World::settings(&self.setup, &ids, version);
    }

    pub fn demand(&mut self, node: usize, key: BudgetId, rate: f64) {
        let before = self.nodes[node].demand.insert(key, rate);
        if rate > 0.0 && before.unwrap_or(0.0) <= 0.0 {
            self.push(self.now, Event::Spend { node, key });
        }
    }

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
