//! What the leader proposes from what fronts say: steps, waits and their reasons, overdue permits, returns.

use elmtide_budgets::{Epoch, FrontId, HolderId, Incarnation};
use elmtide_maintenance::report::{MachineObservation, ObservedState, WorkOutcome};
use elmtide_maintenance::CoordinatorInput;
use elmtide_maintenance::Step;
use elmtide_maintenance::WaitReason;
use elmtide_maintenance::{
    DisruptionBudget, JobId, MachineId, MachineSpec, MaintenanceCommand, MaintenanceCoordinator,
    MaintenanceReport, MaintenanceState, Stage,
};

const LEASE: u64 = 1000;

struct Leader {
    state: MaintenanceState,
    conductor: MaintenanceCoordinator,
    now: u64,
    wall: u64,
    sights: Vec<(MachineId, MachineObservation)>,
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
    work: WorkOutcome::Succeeded,
};

impl Leader {
    /// Two fronts, two machines at each of two locations; a job of two of one location and one of the other.
    fn new(minutes: u32) -> Leader {
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
        let bounds = DisruptionBudget {
            per_location: 1,
            blackout_minutes: vec![(60, 120)],
            ..DisruptionBudget::default()
        };
        let mut state = MaintenanceState::default();
        state.apply(&MaintenanceCommand::UpdateMachines { version: 1, machines, budget: bounds }).unwrap();
        (1..=2).for_each(|front| state.on_join(holder(front)));
        let machines = vec![id("a"), id("b"), id("c")];
        let job = MaintenanceCommand::Request {
            machines,
            requested_by: "op".into(),
            reason: String::new(),
            expected_minutes: minutes,
            at_ms: 0,
        };
        state.apply(&job).unwrap();
        let sights = ["a", "b", "c", "d"].map(|m| (id(m), READY)).to_vec();
        let mut leader =
            Leader { state, conductor: MaintenanceCoordinator::new(), now: 10_000, wall: 1000, sights };
        leader.say(&[1, 2]);
        leader
    }

    /// These fronts have seen all that there is, and are clear of all.
    fn say(&mut self, fronts: &[u64]) {
        let clear: Vec<MachineId> = self.state.progress().keys().copied().collect();
        for front in fronts {
            let sights = self.sights.clone();
            let said = MaintenanceReport {
                acknowledged: Some(self.state.epoch()),
                drained: clear.clone(),
                observations: sights,
                ..MaintenanceReport::default()
            };
            self.conductor.on_report(&self.state, holder(*front), said, self.now);
        }
    }

    fn propose(&mut self) -> Vec<MaintenanceCommand> {
        let now = self.now;
        let over_at = |_| now + 1;
        let now = CoordinatorInput {
            monotonic: now,
            wall_ms: self.wall,
            lease: LEASE,
            own: FrontId(9),
            drained_at: &over_at,
        };
        self.conductor.propose(&self.state, &now).commands
    }

    /// What is refused changes nothing.
    fn apply(&mut self, commands: &[MaintenanceCommand]) {
        for command in commands {
            let _ = self.state.apply(command);
        }
    }

    /// Proposes and applies until nothing more comes, both fronts saying all after each.
    fn go(&mut self) {
        for _ in 0..12 {
            self.say(&[1, 2]);
            for command in self.propose() {
                let _ = self.state.apply(&command);
            }
        }
    }

    fn stage(&self, name: &str) -> Option<Stage> {
        self.state.progress().get(&id(name)).map(|w| w.stage)
    }

    fn wait(&mut self, name: &str) -> Option<WaitReason> {
        self.propose();
        let said = MaintenanceReport {
            acknowledged: Some(self.state.epoch()),
            needs_details: true,
            ..MaintenanceReport::default()
        };
        self.conductor.on_report(&self.state, holder(1), said, self.now);
        let view = self.conductor.view(&self.state, holder(1), self.wall)?;
        let found =
            view.details?.wait_reasons.into_iter().find(|(m, _)| *m == id(name)).map(|(_, wait)| wait);
        self.say(&[1]);
        found
    }

    fn set(&mut self, name: &str, sight: MachineObservation) {
        self.sights.iter_mut().filter(|(m, _)| *m == id(name)).for_each(|(_, s)| *s = sight);
        self.say(&[1, 2]);
    }
}

#[test]
fn one_of_each_location_goes_and_comes_back_when_it_bears_its_load() {
    let mut leader = Leader::new(0);
    leader.go();
    assert_eq!(
        ["a", "b", "c"].map(|m| leader.stage(m)),
        [Some(Stage::Released), Some(Stage::Requested), Some(Stage::Released)]
    );
    assert_eq!(leader.wait("c"), Some(WaitReason::InMaintenance));
    // The same start as when it was let go is no return.
    leader.go();
    assert_eq!(leader.stage("a"), Some(Stage::Released));
    leader.set("a", MachineObservation { state: ObservedState::Failing, started_at_ms: 9, ..READY });
    leader.go();
    assert_eq!(leader.stage("a"), Some(Stage::Returned), "there again, and fails");
    assert_eq!(leader.wait("a"), Some(WaitReason::Failing(FrontId(1))));
    leader.set("a", MachineObservation { started_at_ms: 9, warm_percent: 40, ..READY });
    leader.go();
    assert_eq!(
        (leader.stage("a"), leader.wait("a")),
        (Some(Stage::SlowStart), Some(WaitReason::SlowStart(40)))
    );
    leader.set("a", MachineObservation { started_at_ms: 9, work: WorkOutcome::NoneSucceeded, ..READY });
    leader.go();
    assert_eq!(leader.wait("a"), Some(WaitReason::Unproven(FrontId(1))), "it answers, and does nothing well");
    leader.set("a", MachineObservation { started_at_ms: 9, work: WorkOutcome::NoneSent, ..READY });
    leader.go();
    assert_eq!(leader.stage("a"), Some(Stage::SlowStart), "nobody sends to it yet");
    leader.set("a", MachineObservation { started_at_ms: 9, ..READY });
    leader.go();
    assert_eq!(leader.stage("a"), None);
    assert_eq!(leader.stage("b"), Some(Stage::Released), "then the next of its location goes");
}

#[test]
fn a_permit_that_is_overdue_stops_its_location() {
    let mut leader = Leader::new(1);
    leader.go();
    leader.wall += 61_000;
    leader.go();
    assert!(leader.state.progress()[&id("a")].is_overdue);
    // Its place is free again by a layout that lets two go: still nothing new goes there.
    let specs: Vec<MachineSpec> = leader.state.machines().values().cloned().collect();
    leader
        .state
        .apply(&MaintenanceCommand::UpdateMachines {
            version: 2,
            machines: specs,
            budget: DisruptionBudget::default(),
        })
        .unwrap();
    leader.go();
    assert_eq!(
        (leader.stage("b"), leader.wait("b")),
        (Some(Stage::Requested), Some(WaitReason::PermitOverdue(id("a"))))
    );
}

#[test]
fn what_stops_new_ones_is_said() {
    let mut leader = Leader::new(0);
    leader.wall = 90 * 60_000;
    assert_eq!(leader.wait("a"), Some(WaitReason::Blackout));
    leader.wall = 0;
    let said = MaintenanceReport {
        acknowledged: Some(Epoch(0)),
        is_overloaded: true,
        ..MaintenanceReport::default()
    };
    leader.conductor.on_report(&leader.state, holder(2), said, leader.now);
    assert_eq!(leader.wait("a"), Some(WaitReason::FrontOverloaded(FrontId(2))));
    leader.say(&[2]);
    assert_eq!(leader.wait("a"), Some(WaitReason::ReadyToAdvance));
    leader.now += LEASE + 1;
    leader.say(&[1]);
    assert_eq!(leader.wait("a"), Some(WaitReason::FrontUnreachable(FrontId(2))));
    leader.say(&[2]);
    leader.set("b", MachineObservation { state: ObservedState::Absent, ..READY });
    assert_eq!(leader.wait("a"), Some(WaitReason::MachineLost(id("b"))));
}

#[test]
fn next_waits_for_all_and_leaving_for_what_is_open() {
    let mut leader = Leader::new(0);
    let next = leader.propose();
    assert!(
        next.iter().all(|c| matches!(c, MaintenanceCommand::Advance { step: Step::Schedule, .. })),
        "{next:?}"
    );
    leader.apply(&next);
    leader.say(&[1]);
    assert_eq!(
        leader.wait("a"),
        Some(WaitReason::NotAcknowledged(FrontId(1))),
        "what they have said has to be agreed on first"
    );
    let seen = leader.propose();
    leader.apply(&seen);
    assert_eq!(leader.wait("a"), Some(WaitReason::NotAcknowledged(FrontId(2))));
    leader.say(&[1, 2]);
    let proposed = leader.propose();
    leader.apply(&proposed);
    let proposed = leader.propose();
    leader.apply(&proposed);
    assert_eq!(leader.stage("a"), Some(Stage::Draining));
    let said = MaintenanceReport {
        acknowledged: Some(leader.state.epoch()),
        observations: leader.sights.clone(),
        ..MaintenanceReport::default()
    };
    (1..=2).for_each(|f| leader.conductor.on_report(&leader.state, holder(f), said.clone(), leader.now));
    assert_eq!(leader.wait("a"), Some(WaitReason::OpenRequests(FrontId(1))));
    // The first one has said that it is clear of it since.
    assert_eq!(leader.wait("a"), Some(WaitReason::OpenRequests(FrontId(2))));
}

/// A job is held in the midst of its way: what is not let go stays where it is.
#[test]
fn a_held_job_stays_where_it_is() {
    let mut leader = Leader::new(0);
    let proposed = leader.propose();
    leader.apply(&proposed);
    leader.state.apply(&MaintenanceCommand::PauseJob { job: JobId(1) }).unwrap();
    leader.go();
    assert_eq!((leader.stage("a"), leader.wait("a")), (Some(Stage::Scheduled), Some(WaitReason::JobPaused)));
    leader.state.apply(&MaintenanceCommand::ResumeJob { job: JobId(1) }).unwrap();
    leader.go();
    assert_eq!(leader.stage("a"), Some(Stage::Released));
}
