//! Machines in maintenance: the requests and reports of fronts, and the check that none is sent to a released machine.

use elmtide_budgets::{Clocks, Micros};
use elmtide_fleet::{AgreedCommand, FleetNode};
use elmtide_maintenance::report::{AttemptOutcome, MachineObservation, ObservedState};
use elmtide_maintenance::{MachineId, MaintenanceCommand, MaintenanceReport, MaintenanceState, Stage};
use rand::RngExt;

use super::{Event, World, MAX_VIOLATIONS};
use crate::simulated_node::Node;

impl World {
    /// Requests a maintenance command at a front.
    pub fn request_maintenance(&mut self, node: usize, command: MaintenanceCommand) -> bool {
        self.request_command(node, AgreedCommand::Maintenance(command))
    }

    /// Reports a front's observations of machines, in place of its engine.
    pub(super) fn report_machines(&mut self, node: usize, clocks: Clocks) {
        let Some(machines) = &self.machines else { return };
        let now = self.now;
        let host = &mut self.nodes[node];
        let (Some(exclusions), Some(member)) = (&host.exclusions, &mut host.member) else { return };
        host.open_requests.retain(|_, until| now < *until);
        let observation = |machine: &MachineId, started_at: &Option<u64>| {
            let observed_state =
                if started_at.is_some() { ObservedState::Ready } else { ObservedState::Absent };
            (
                *machine,
                MachineObservation {
                    state: observed_state,
                    started_at_ms: started_at.unwrap_or(0),
                    warm_percent: 100,
                    load: 1,
                    attempt_outcome: AttemptOutcome::Succeeded,
                },
            )
        };
        let report = MaintenanceReport {
            acknowledged: exclusions.has_view().then(|| exclusions.epoch()),
            drained: exclusions.excluded_by_view().filter(|m| !host.open_requests.contains_key(m)).collect(),
            // A few fronts report each machine, like the fronts of its location in service.
            observations: (machines.started_at.iter().enumerate())
                .filter(|(at, _)| at % self.setup.fronts.min(8) == node % 8)
                .map(|(_, (machine, started_at))| observation(machine, started_at))
                .collect(),
            is_overloaded: false,
            needs_details: false,
        };
        member.report_maintenance(report, clocks);
    }

    /// The stage of a machine in a front's view.
    pub fn viewed_stage(&self, node: usize, machine: MachineId) -> Option<Stage> {
        self.nodes[node].exclusions.as_ref()?.stage(machine)
    }

    /// Sets the start time of a machine; without one the machine is down.
    pub fn set_machine_start(&mut self, machine: MachineId, started_at: Option<u64>) {
        if let Some(machines) = &mut self.machines {
            machines.started_at.insert(machine, started_at);
        }
    }

    /// Performs the work on machines: a released one goes down at once and is up again at the next call.
    pub fn perform_maintenance(&mut self) {
        let progress_by_machine = self.agreed_maintenance().map(|s| s.progress().clone()).unwrap_or_default();
        let started_at = self.now / 1000 + 1;
        let Some(machines) = &mut self.machines else { return };
        for (machine, current_start) in &mut machines.started_at {
            let progress = progress_by_machine.get(machine).filter(|w| w.stage == Stage::Released);
            match (progress, *current_start) {
                (_, None) => *current_start = Some(started_at),
                (Some(progress), Some(since)) if since == progress.started_at_ms => *current_start = None,
                _ => {}
            }
        }
    }

    /// Sends a request from a front to a machine that it does not exclude. The agreed state must not have released it.
    pub(super) fn send_machine_request(&mut self, node: usize, clocks: Clocks) {
        let Some(machines) = &self.machines else { return };
        let (rate, duration) = (machines.request_rate, machines.request_duration);
        let count = machines.specs.len();
        let index = self.random.random_range(0..count.max(1));
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        let machine = machines.specs.get(index).map(|s| MachineId::from_name(&s.name));
        self.push(self.now + ((gap * 1e6) as Micros).max(1), Event::SendRequest { node });
        let host = &mut self.nodes[node];
        let (Some(machine), Some(exclusions), true) = (machine, &host.exclusions, host.member.is_some())
        else {
            return;
        };
        // A deliberate violation: the lease on the view is ignored, so scheduled machines still get requests after it
        // expires.
        let excluded = match host.ignores_lease {
            true => exclusions.stage(machine).is_some_and(|s| s.is_excluded()),
            false => exclusions.is_excluded(machine, clocks),
        };
        if excluded {
            return;
        }
        let until = self.now + duration;
        let last = host.open_requests.entry(machine).or_insert(0);
        *last = until.max(*last);
        host.attempted += 1;
        self.check_machine(machine, node);
    }

    /// The latest state that was ever agreed on, even if all members that know it are down.
    pub fn agreed_maintenance(&self) -> Option<&MaintenanceState> {
        self.agreed_maintenance.as_ref()
    }

    /// Records a member's maintenance state if it is later than the known one.
    pub(super) fn record_agreed_state(&mut self, node: usize) {
        let Some(state) = self.nodes[node].member.as_ref().and_then(FleetNode::maintenance) else { return };
        let position = |s: &MaintenanceState| (s.version(), s.epoch(), s.clock_ms(), s.jobs().len());
        if self
            .agreed_maintenance
            .as_ref()
            .is_none_or(|before| position(state) >= position(before) && state != before)
        {
            self.agreed_maintenance = Some(state.clone());
        }
    }

    /// Reports a request to a released machine.
    pub(super) fn check_machine(&mut self, machine: MachineId, node: usize) {
        let stage = self.agreed_maintenance().and_then(|s| s.progress().get(&machine)).map(|w| w.stage);
        if stage == Some(Stage::Released) && self.report.violations.len() < MAX_VIOLATIONS {
            self.report.violations.push(format!(
                "{} us: front {node} sends a request to {machine:?}, which is released",
                self.now
            ));
        }
    }

    /// Checks that released machines have no open requests and that the disruption budget is kept.
    pub(super) fn check_machines(&mut self) {
        if self.machines.is_none() {
            return;
        }
        let now = self.now;
        let Some(state) = self.agreed_maintenance() else { return };
        let mut violations = Vec::new();
        if let Some((machine, bound)) = state.find_exceeded_limit() {
            violations.push(format!("{now} us: {machine:?} exceeds the disruption budget: {bound:?}"));
        }
        for (machine, _) in state.progress().iter().filter(|(_, w)| w.stage == Stage::Released) {
            let open = |n: &Node| {
                n.member.is_some() && n.open_requests.get(machine).is_some_and(|until| now < *until)
            };
            if let Some(node) = self.nodes.iter().position(open) {
                violations.push(format!(
                    "{now} us: front {node} has an open request at {machine:?}, which is released"
                ));
            }
        }
        violations.truncate(MAX_VIOLATIONS.saturating_sub(self.report.violations.len()));
        self.report.violations.extend(violations);
    }
}
