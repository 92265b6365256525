//! Machines in maintenance: what fronts send there and report, and that nothing is sent to one that was released.

use elmtide_budgets::{Clocks, Micros};
use elmtide_fleet::{AgreedCommand, FleetNode};
use elmtide_maintenance::report::{AttemptOutcome, MachineObservation, ObservedState};
use elmtide_maintenance::{MachineId, MaintenanceCommand, MaintenanceReport, MaintenanceState, Stage};
use rand::RngExt;

use super::{Event, World, MAX_BREACHES};
use crate::simulated_node::Node;

impl World {
    /// Asks at a node for a command about machines.
    pub fn command(&mut self, node: usize, command: MaintenanceCommand) -> bool {
        self.change(node, AgreedCommand::Maintenance(command))
    }

    /// What a front says of machines, as its engine would.
    pub(super) fn report_machines(&mut self, node: usize, clocks: Clocks) {
        let Some(machines) = &self.machines else { return };
        let now = self.now;
        let place = &mut self.nodes[node];
        let (Some(exclusions), Some(member)) = (&place.exclusions, &mut place.member) else { return };
        place.open.retain(|_, until| now < *until);
        let sight = |machine: &MachineId, born: &Option<u64>| {
            let looks = if born.is_some() { ObservedState::Ready } else { ObservedState::Absent };
            (
                *machine,
                MachineObservation {
                    state: looks,
                    started_at_ms: born.unwrap_or(0),
                    warm_percent: 100,
                    load: 1,
                    attempt_outcome: AttemptOutcome::Succeeded,
                },
            )
        };
        let said = MaintenanceReport {
            acknowledged: exclusions.has_view().then(|| exclusions.epoch()),
            drained: exclusions.excluded_by_view().filter(|m| !place.open.contains_key(m)).collect(),
            // Each machine is told of by a few fronts, as those of its location would.
            observations: (machines.born.iter().enumerate())
                .filter(|(at, _)| at % self.setup.fronts.min(8) == node % 8)
                .map(|(_, (machine, born))| sight(machine, born))
                .collect(),
            is_overloaded: false,
            needs_details: false,
        };
        member.report_maintenance(said, clocks);
    }

    /// The stage of a machine as a front's view has it.
    pub fn viewed(&self, node: usize, machine: MachineId) -> Option<Stage> {
        self.nodes[node].exclusions.as_ref()?.stage(machine)
    }

    /// A machine goes away, or is there again with another start.
    pub fn machine(&mut self, machine: MachineId, born: Option<u64>) {
        if let Some(machines) = &mut self.machines {
            machines.born.insert(machine, born);
        }
    }

    /// Who works on machines: one that is let go is taken away at once, and is there again at the next call.
    pub fn work_on(&mut self) {
        let ways = self.agreed().map(|s| s.progress().clone()).unwrap_or_default();
        let born = self.now / 1000 + 1;
        let Some(machines) = &mut self.machines else { return };
        for (machine, there) in &mut machines.born {
            let way = ways.get(machine).filter(|w| w.stage == Stage::Released);
            match (way, *there) {
                (_, None) => *there = Some(born),
                (Some(way), Some(since)) if since == way.started_at_ms => *there = None,
                _ => {}
            }
        }
    }

    /// A front sends one request to a machine that it does not keep off; the agreed state must not have let that one go.
    pub(super) fn send_work(&mut self, node: usize, clocks: Clocks) {
        let Some(machines) = &self.machines else { return };
        let (rate, open) = (machines.rate, machines.open);
        let count = machines.specs.len();
        let turn = self.random.random_range(0..count.max(1));
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        let machine = machines.specs.get(turn).map(|s| MachineId::from_name(&s.name));
        self.push(self.now + ((gap * 1e6) as Micros).max(1), Event::Send { node });
        let place = &mut self.nodes[node];
        let (Some(machine), Some(exclusions), true) = (machine, &place.exclusions, place.member.is_some())
        else {
            return;
        };
        // A breach on purpose: no lease on the view is looked at, and what was next at its end is sent to.
        let off = match place.ignores_lease {
            true => exclusions.stage(machine).is_some_and(|s| s.is_excluded()),
            false => exclusions.is_excluded(machine, clocks),
        };
        if off {
            return;
        }
        let until = self.now + open;
        let last = place.open.entry(machine).or_insert(0);
        *last = until.max(*last);
        place.tried += 1;
        self.check_machine(machine, node);
    }

    /// The most that was ever agreed, also where those who know of it are away now.
    pub fn agreed(&self) -> Option<&MaintenanceState> {
        self.agreed.as_ref()
    }

    pub(super) fn record_agreed_state(&mut self, node: usize) {
        let Some(state) = self.nodes[node].member.as_ref().and_then(FleetNode::maintenance) else { return };
        let place = |s: &MaintenanceState| (s.version(), s.epoch(), s.clock_ms(), s.jobs().len());
        if self.agreed.as_ref().is_none_or(|before| place(state) >= place(before) && state != before) {
            self.agreed = Some(state.clone());
        }
    }

    pub(super) fn check_machine(&mut self, machine: MachineId, node: usize) {
        let stage = self.agreed().and_then(|s| s.progress().get(&machine)).map(|w| w.stage);
        if stage == Some(Stage::Released) && self.report.over.len() < MAX_BREACHES {
            self.report
                .over
                .push(format!("{} us: front {node} sends to {machine:?}, which is let go", self.now));
        }
    }

    /// Looks at what is open at machines that are let go, and at the bounds.
    pub(super) fn check_machines(&mut self) {
        if self.machines.is_none() {
            return;
        }
        let now = self.now;
        let Some(state) = self.agreed() else { return };
        let mut over = Vec::new();
        if let Some((machine, bound)) = state.find_exceeded_limit() {
            over.push(format!("{now} us: {machine:?} is out over its bound: {bound:?}"));
        }
        for (machine, _) in state.progress().iter().filter(|(_, w)| w.stage == Stage::Released) {
            let open = |n: &Node| n.member.is_some() && n.open.get(machine).is_some_and(|until| now < *until);
            if let Some(node) = self.nodes.iter().position(open) {
                over.push(format!(
                    "{now} us: front {node} has something open at {machine:?}, which is let go"
                ));
            }
        }
        over.truncate(MAX_BREACHES.saturating_sub(self.report.over.len()));
        self.report.over.extend(over);
    }
}
