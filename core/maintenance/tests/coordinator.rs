//! Commands that the leader proposes from the fronts' reports: steps, wait reasons, overdue permits and returns.

use elmtide_budgets::{Epoch, FrontId, HolderId, Incarnation};
use elmtide_maintenance::report::{AttemptOutcome, MachineObservation, ObservedState};
use elmtide_maintenance::CoordinatorInput;
use elmtide_maintenance::Step;
use elmtide_maintenance::WaitReason;
use elmtide_maintenance::{
    DisruptionBudget, JobId, MachineId, MachineSpec, MaintenanceCommand, MaintenanceCoordinator,
    MaintenanceReport, MaintenanceState, Stage,
};

const LEASE_MICROS: u64 = 1000;

struct Leader {
    state: MaintenanceState,
    coordinator: MaintenanceCoordinator,
    now: u64,
    wall_ms: u64,
    observations: Vec<(MachineId, MachineObservation)>,
}

fn id(name: &str) -> MachineId {
    MachineId::from_name(name)
}

fn holder(front: u64) -> HolderId {
    HolderId { front: FrontId(front), incarnation: Incarnation(1) }
}

const READY: MachineObservation = MachineObservation {
    state: ObservedState::Ready,
    started_at_ms: 5,
    warm_percent: 100,
    load: 10,
    attempt_outcome: AttemptOutcome::Succeeded,
};

impl Leader {
    /// Two fronts, two machines at each of two locations, and a job for both machines of one location and one of the
    /// other.
    fn new(duration_minutes: u32) -> Leader {
        let spec = |name: &str, location| MachineSpec {
            name: name.into(),
            location,
            hub: 0,
            kind: 1,
            weight: 1000,
            address: None,
            front: None,
        };
        let machines = vec![spec("a", 1), spec("b", 1), spec("c", 2), spec("d", 2)];
        let disruption_budget = DisruptionBudget {
            per_location: 1,
            blackout_minutes: vec![(60, 120)],
            ..DisruptionBudget::default()
        };
        let mut state = MaintenanceState::default();
        state
            .apply(&MaintenanceCommand::UpdateMachines { version: 1, machines, budget: disruption_budget })
            .unwrap();
        (1..=2).for_each(|front| state.on_join(holder(front)));
        let machines = vec![id("a"), id("b"), id("c")];
        let request = MaintenanceCommand::Request {
            machines,
            requested_by: "op".into(),
            reason: String::new(),
            expected_minutes: duration_minutes,
            at_ms: 0,
        };
        state.apply(&request).unwrap();
        let observations = ["a", "b", "c", "d"].map(|m| (id(m), READY)).to_vec();
        let mut leader = Leader {
            state,
            coordinator: MaintenanceCoordinator::new(),
            now: 10_000,
            wall_ms: 1000,
            observations,
        };
        leader.report_all_drained(&[1, 2]);
        leader
    }

    /// These fronts report that they have acknowledged the current epoch and have no open requests at any machine.
    fn report_all_drained(&mut self, fronts: &[u64]) {
        let drained_machines: Vec<MachineId> = self.state.progress().keys().copied().collect();
        for front in fronts {
            let current_observations = self.observations.clone();
            let report = MaintenanceReport {
                acknowledged: Some(self.state.epoch()),
                drained: drained_machines.clone(),
                observations: current_observations,
                ..MaintenanceReport::default()
            };
            self.coordinator.on_report(&self.state, holder(*front), report, self.now);
        }
    }

    fn propose(&mut self) -> Vec<MaintenanceCommand> {
        let now = self.now;
        let requests_ended_at = |_| now + 1;
        let input = CoordinatorInput {
            monotonic: now,
            wall_ms: self.wall_ms,
            lease: LEASE_MICROS,
            own_front: FrontId(9),
            requests_ended_at: &requests_ended_at,
        };
        self.coordinator.propose(&self.state, &input).commands
    }

    /// Applies commands; rejected ones change nothing.
    fn apply(&mut self, commands: &[MaintenanceCommand]) {
        for command in commands {
            let _ = self.state.apply(command);
        }
    }

    /// Proposes and applies often enough that nothing more changes; both fronts report before each round.
    fn advance_until_idle(&mut self) {
        for _ in 0..12 {
            self.report_all_drained(&[1, 2]);
            for command in self.propose() {
                let _ = self.state.apply(&command);
            }
        }
    }

    fn stage(&self, name: &str) -> Option<Stage> {
        self.state.progress().get(&id(name)).map(|progress| progress.stage)
    }

    fn wait_reason(&mut self, name: &str) -> Option<WaitReason> {
        self.propose();
        let report = MaintenanceReport {
            acknowledged: Some(self.state.epoch()),
            needs_details: true,
            ..MaintenanceReport::default()
        };
        self.coordinator.on_report(&self.state, holder(1), report, self.now);
        let view = self.coordinator.view(&self.state, holder(1), self.wall_ms)?;
        let reason =
            view.details?.wait_reasons.into_iter().find(|(m, _)| *m == id(name)).map(|(_, reason)| reason);
        self.report_all_drained(&[1]);
        reason
    }

    fn set_observation(&mut self, name: &str, observation: MachineObservation) {
        self.observations
            .iter_mut()
            .filter(|(m, _)| *m == id(name))
            .for_each(|(_, current)| *current = observation);
        self.report_all_drained(&[1, 2]);
    }
}

#[test]
fn one_machine_per_location_is_released_and_completes_once_its_attempts_succeed() {
    let mut leader = Leader::new(0);
    leader.advance_until_idle();
    assert_eq!(
        ["a", "b", "c"].map(|m| leader.stage(m)),
        [Some(Stage::Released), Some(Stage::Requested), Some(Stage::Released)]
    );
    assert_eq!(leader.wait_reason("c"), Some(WaitReason::InMaintenance));
    // The same start time as at its release does not count as a return.
    leader.advance_until_idle();
    assert_eq!(leader.stage("a"), Some(Stage::Released));
    leader.set_observation(
        "a",
        MachineObservation { state: ObservedState::Failing, started_at_ms: 9, ..READY },
    );
    leader.advance_until_idle();
    assert_eq!(leader.stage("a"), Some(Stage::Returned), "listed again, and failing");
    assert_eq!(leader.wait_reason("a"), Some(WaitReason::Failing(FrontId(1))));
    leader.set_observation("a", MachineObservation { started_at_ms: 9, warm_percent: 40, ..READY });
    leader.advance_until_idle();
    assert_eq!(
        (leader.stage("a"), leader.wait_reason("a")),
        (Some(Stage::SlowStart), Some(WaitReason::SlowStart(40)))
    );
    leader.set_observation(
        "a",
        MachineObservation { started_at_ms: 9, attempt_outcome: AttemptOutcome::NoneSucceeded, ..READY },
    );
    leader.advance_until_idle();
    assert_eq!(
        leader.wait_reason("a"),
        Some(WaitReason::Unproven(FrontId(1))),
        "healthy, but no attempt has succeeded"
    );
    leader.set_observation(
        "a",
        MachineObservation { started_at_ms: 9, attempt_outcome: AttemptOutcome::NoneSent, ..READY },
    );
    leader.advance_until_idle();
    assert_eq!(leader.stage("a"), Some(Stage::SlowStart), "no attempt was sent to it yet");
    leader.set_observation("a", MachineObservation { started_at_ms: 9, ..READY });
    leader.advance_until_idle();
    assert_eq!(leader.stage("a"), None);
    assert_eq!(leader.stage("b"), Some(Stage::Released), "the next machine of its location follows");
}

#[test]
fn an_overdue_permit_blocks_other_machines_of_its_location() {
    let mut leader = Leader::new(1);
    leader.advance_until_idle();
    leader.wall_ms += 61_000;
    leader.advance_until_idle();
    assert!(leader.state.progress()[&id("a")].is_overdue);
    // A new budget without limits would allow another machine of the location: the overdue permit still blocks it.
    let specs: Vec<MachineSpec> = leader.state.machines().values().cloned().collect();
    leader
        .state
        .apply(&MaintenanceCommand::UpdateMachines {
            version: 2,
            machines: specs,
            budget: DisruptionBudget::default(),
        })
        .unwrap();
    leader.advance_until_idle();
    assert_eq!(
        (leader.stage("b"), leader.wait_reason("b")),
        (Some(Stage::Requested), Some(WaitReason::PermitOverdue(id("a"))))
    );
}

#[test]
fn a_machine_that_cannot_be_scheduled_has_the_reason() {
    let mut leader = Leader::new(0);
    leader.wall_ms = 90 * 60_000;
    assert_eq!(leader.wait_reason("a"), Some(WaitReason::Blackout));
    leader.wall_ms = 0;
    let report = MaintenanceReport {
        acknowledged: Some(Epoch(0)),
        is_overloaded: true,
        ..MaintenanceReport::default()
    };
    leader.coordinator.on_report(&leader.state, holder(2), report, leader.now);
    assert_eq!(leader.wait_reason("a"), Some(WaitReason::FrontOverloaded(FrontId(2))));
    leader.report_all_drained(&[2]);
    assert_eq!(leader.wait_reason("a"), Some(WaitReason::ReadyToAdvance));
    leader.now += LEASE_MICROS + 1;
    leader.report_all_drained(&[1]);
    assert_eq!(leader.wait_reason("a"), Some(WaitReason::FrontUnreachable(FrontId(2))));
    leader.report_all_drained(&[2]);
    leader.set_observation("b", MachineObservation { state: ObservedState::Absent, ..READY });
    assert_eq!(leader.wait_reason("a"), Some(WaitReason::MachineLost(id("b"))));
}

#[test]
fn scheduled_waits_for_acknowledgements_and_draining_for_open_requests() {
    let mut leader = Leader::new(0);
    let scheduling = leader.propose();
    assert!(
        scheduling.iter().all(|c| matches!(c, MaintenanceCommand::Advance { step: Step::Schedule, .. })),
        "{scheduling:?}"
    );
    leader.apply(&scheduling);
    leader.report_all_drained(&[1]);
    assert_eq!(
        leader.wait_reason("a"),
        Some(WaitReason::NotAcknowledged(FrontId(1))),
        "the acknowledgement has to be in the replicated state first"
    );
    let acknowledging = leader.propose();
    leader.apply(&acknowledging);
    assert_eq!(leader.wait_reason("a"), Some(WaitReason::NotAcknowledged(FrontId(2))));
    leader.report_all_drained(&[1, 2]);
    let proposed = leader.propose();
    leader.apply(&proposed);
    let proposed = leader.propose();
    leader.apply(&proposed);
    assert_eq!(leader.stage("a"), Some(Stage::Draining));
    let report = MaintenanceReport {
        acknowledged: Some(leader.state.epoch()),
        observations: leader.observations.clone(),
        ..MaintenanceReport::default()
    };
    (1..=2).for_each(|front| {
        leader.coordinator.on_report(&leader.state, holder(front), report.clone(), leader.now)
    });
    assert_eq!(leader.wait_reason("a"), Some(WaitReason::OpenRequests(FrontId(1))));
    // `wait_reason` has made the first front report that the machine is drained.
    assert_eq!(leader.wait_reason("a"), Some(WaitReason::OpenRequests(FrontId(2))));
}

/// A job that is paused halfway: machines that have not been released stay in their stage.
#[test]
fn machines_of_a_paused_job_keep_their_stage_until_it_resumes() {
    let mut leader = Leader::new(0);
    let proposed = leader.propose();
    leader.apply(&proposed);
    leader.state.apply(&MaintenanceCommand::PauseJob { job: JobId(1) }).unwrap();
    leader.advance_until_idle();
    assert_eq!(
        (leader.stage("a"), leader.wait_reason("a")),
        (Some(Stage::Scheduled), Some(WaitReason::JobPaused))
    );
    leader.state.apply(&MaintenanceCommand::ResumeJob { job: JobId(1) }).unwrap();
    leader.advance_until_idle();
    assert_eq!(leader.stage("a"), Some(Stage::Released));
}
