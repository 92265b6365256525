//! The replicated state: each step from each stage, limits, jobs, and random commands, which never break the
//! invariants.

use elmtide_budgets::{Epoch, FrontId, HolderId, Incarnation};
use elmtide_maintenance::planning::{min_rounds, plan_rounds, schedule, DryRun, Observations, Schedule};
use elmtide_maintenance::{
    CommandRejected, DisruptionBudget, JobId, MachineId, MachineSpec, MaintenanceCommand, MaintenanceState,
    ReturnPolicy, Stage,
};
use elmtide_maintenance::{DisruptionLimit, Step};
use elmtide_maintenance::{HostedFront, WaitReason};
use proptest::prelude::*;

fn spec(name: &str, location: u16, hub: u16, kind: u16) -> MachineSpec {
    MachineSpec { name: name.into(), location, hub, kind, weight: 1000, address: None, front: None }
}

fn id(name: &str) -> MachineId {
    MachineId::from_name(name)
}

fn holder(front: u64, incarnation: u64) -> HolderId {
    HolderId { front: FrontId(front), incarnation: Incarnation(incarnation) }
}

fn budget_per_location(limit: u16) -> DisruptionBudget {
    DisruptionBudget { per_location: limit, tolerates_further_loss: false, ..DisruptionBudget::default() }
}

fn state_with(specs: Vec<MachineSpec>, disruption_budget: DisruptionBudget) -> MaintenanceState {
    let mut state = MaintenanceState::default();
    state
        .apply(&MaintenanceCommand::UpdateMachines { version: 1, machines: specs, budget: disruption_budget })
        .unwrap();
    state.on_join(holder(1, 1));
    state.on_join(holder(2, 1));
    state
}

fn request(state: &mut MaintenanceState, names: &[&str]) -> Result<JobId, CommandRejected> {
    let machines = names.iter().map(|n| id(n)).collect();
    state.apply(&MaintenanceCommand::Request {
        machines,
        requested_by: "op".into(),
        reason: "disks".into(),
        expected_minutes: 1,
        at_ms: 5,
    })
}

fn advance(state: &mut MaintenanceState, name: &str, step: Step) -> Result<JobId, CommandRejected> {
    let current_epoch = state.progress().get(&id(name)).map_or(Epoch(0), |progress| progress.epoch);
    state.apply(&MaintenanceCommand::Advance { machine: id(name), epoch: current_epoch, step, at_ms: 10 })
}

fn acknowledge_by_all(state: &mut MaintenanceState) {
    let current_epoch = state.epoch();
    state
        .apply(&MaintenanceCommand::Acknowledge {
            acknowledgements: vec![(holder(1, 1), current_epoch), (holder(2, 1), current_epoch)],
        })
        .unwrap();
}

fn state_with_two_locations() -> MaintenanceState {
    state_with(
        vec![spec("a", 1, 0, 1), spec("b", 1, 0, 1), spec("c", 2, 0, 1), spec("d", 2, 0, 1)],
        budget_per_location(1),
    )
}

/// Advances a machine to a stage by the normal steps.
fn advance_to(state: &mut MaintenanceState, name: &str, stage: Stage) {
    let steps = [
        Step::Schedule,
        Step::Drain,
        Step::MarkDrained,
        Step::Release { started_at_ms: 7 },
        Step::Return,
        Step::BeginSlowStart,
    ];
    for (step, target) in steps.into_iter().zip(&Stage::ALL[1..]) {
        if *target > stage {
            return;
        }
        if step == Step::Drain {
            acknowledge_by_all(state);
        }
        if step == Step::Return {
            advance(state, name, Step::MarkListed).unwrap();
        }
        advance(state, name, step).unwrap_or_else(|rejection| panic!("{step:?}: {rejection:?}"));
    }
}

/// Tries every step in every stage: it leads to the expected stage, or is rejected and changes nothing.
#[test]
fn each_step_is_accepted_only_in_its_own_stage() {
    let steps = [
        Step::Schedule,
        Step::Drain,
        Step::MarkDrained,
        Step::Release { started_at_ms: 1 },
        Step::MarkOverdue,
        Step::Revert,
        Step::MarkListed,
        Step::Return,
        Step::BeginSlowStart,
        Step::Complete,
    ];
    let expected_stage = |stage: Stage, step: Step| match (stage, step) {
        (Stage::Requested, Step::Schedule) => Some(Some(Stage::Scheduled)),
        (Stage::Scheduled, Step::Drain) => Some(Some(Stage::Draining)),
        (Stage::Draining, Step::MarkDrained) => Some(Some(Stage::Drained)),
        (Stage::Drained, Step::Release { .. }) => Some(Some(Stage::Released)),
        (Stage::Scheduled | Stage::Draining | Stage::Drained, Step::Revert) => Some(Some(Stage::Requested)),
        (Stage::Released, Step::MarkOverdue | Step::MarkListed) => Some(Some(Stage::Released)),
        (Stage::Returned, Step::BeginSlowStart) => Some(Some(Stage::SlowStart)),
        (Stage::SlowStart, Step::Complete) => Some(None),
        _ => None,
    };
    for stage in Stage::ALL {
        for step in steps {
            let mut state = state_with_two_locations();
            request(&mut state, &["a"]).unwrap();
            advance_to(&mut state, "a", stage);
            acknowledge_by_all(&mut state);
            let before = state.clone();
            let result = advance(&mut state, "a", step);
            match expected_stage(stage, step) {
                Some(expected) => {
                    assert_eq!(result, Ok(JobId(1)), "{stage:?} {step:?}");
                    assert_eq!(
                        state.progress().get(&id("a")).map(|progress| progress.stage),
                        expected,
                        "{stage:?} {step:?}"
                    );
                }
                None => {
                    assert!(result.is_err(), "{stage:?} {step:?}");
                    assert_eq!(state, before, "{stage:?} {step:?}");
                }
            }
        }
    }
}

#[test]
fn a_repeated_step_is_rejected_as_stale() {
    let mut state = state_with_two_locations();
    request(&mut state, &["a"]).unwrap();
    let schedule_command =
        MaintenanceCommand::Advance { machine: id("a"), epoch: Epoch(0), step: Step::Schedule, at_ms: 1 };
    state.apply(&schedule_command).unwrap();
    assert_eq!(state.apply(&schedule_command), Err(CommandRejected::StaleEpoch));
}

#[test]
fn a_machine_drains_only_after_all_fronts_acknowledge_that_it_is_scheduled() {
    let mut state = state_with_two_locations();
    request(&mut state, &["a"]).unwrap();
    advance(&mut state, "a", Step::Schedule).unwrap();
    assert_eq!(advance(&mut state, "a", Step::Drain), Err(CommandRejected::NotAcknowledged(FrontId(1))));
    let current_epoch = state.epoch();
    state
        .apply(&MaintenanceCommand::Acknowledge { acknowledgements: vec![(holder(1, 1), current_epoch)] })
        .unwrap();
    assert_eq!(advance(&mut state, "a", Step::Drain), Err(CommandRejected::NotAcknowledged(FrontId(2))));
    // An acknowledgement of an earlier incarnation of a front does not count.
    state.on_join(holder(2, 4));
    state
        .apply(&MaintenanceCommand::Acknowledge { acknowledgements: vec![(holder(2, 1), current_epoch)] })
        .unwrap();
    assert_eq!(advance(&mut state, "a", Step::Drain), Err(CommandRejected::NotAcknowledged(FrontId(2))));
    // A front that an operator has declared off is not waited for until it joins again.
    state.apply(&MaintenanceCommand::DeclareFrontOff { front: FrontId(2) }).unwrap();
    let mut without_front = state.clone();
    advance(&mut without_front, "a", Step::Drain).unwrap();
    state.on_join(holder(2, 5));
    assert_eq!(advance(&mut state, "a", Step::Drain), Err(CommandRejected::NotAcknowledged(FrontId(2))));
    // A front that leaves in an orderly way sends no more requests.
    state.on_leave(holder(2, 5));
    advance(&mut state, "a", Step::Drain).unwrap();
}

#[test]
fn scheduling_beyond_a_limit_is_rejected() {
    let mut state = state_with_two_locations();
    request(&mut state, &["a", "b", "c"]).unwrap();
    advance(&mut state, "a", Step::Schedule).unwrap();
    assert_eq!(
        advance(&mut state, "b", Step::Schedule),
        Err(CommandRejected::DisruptionLimit(DisruptionLimit::Location))
    );
    advance(&mut state, "c", Step::Schedule).unwrap();
    let pair_budget = DisruptionBudget {
        exclusive_pairs: vec![(id("a"), id("c")), (id("a"), id("d"))],
        ..budget_per_location(0)
    };
    let mut state = self::state_with(
        vec![spec("a", 1, 0, 1), spec("b", 1, 0, 1), spec("c", 2, 0, 1), spec("d", 2, 0, 1)],
        pair_budget,
    );
    request(&mut state, &["a", "d"]).unwrap();
    advance(&mut state, "d", Step::Schedule).unwrap();
    assert_eq!(
        advance(&mut state, "a", Step::Schedule),
        Err(CommandRejected::DisruptionLimit(DisruptionLimit::Pair(id("d"))))
    );
    let hub_budget = DisruptionBudget { per_hub: 1, per_kind: 2, ..budget_per_location(0) };
    let specs = vec![
        spec("a", 1, 3, 1),
        spec("b", 2, 3, 1),
        spec("c", 3, 0, 1),
        spec("d", 4, 0, 1),
        spec("e", 1, 0, 1),
        spec("f", 2, 0, 1),
        spec("g", 3, 0, 1),
        spec("h", 4, 0, 1),
    ];
    let mut state = self::state_with(specs, hub_budget);
    request(&mut state, &["a", "b", "c", "d"]).unwrap();
    advance(&mut state, "a", Step::Schedule).unwrap();
    assert_eq!(
        advance(&mut state, "b", Step::Schedule),
        Err(CommandRejected::DisruptionLimit(DisruptionLimit::Hub))
    );
    advance(&mut state, "c", Step::Schedule).unwrap();
    assert_eq!(
        advance(&mut state, "d", Step::Schedule),
        Err(CommandRejected::DisruptionLimit(DisruptionLimit::Kind))
    );
}

/// With three voters one of their machines may be out of service; with fewer, none may.
#[test]
fn scheduling_is_rejected_if_no_majority_of_voters_remains() {
    let voter = |name: &str, front: u64| MachineSpec {
        front: Some(HostedFront { id: FrontId(front), is_voter: true }),
        ..spec(name, 1, 0, 2)
    };
    let mut state = state_with((1..=3).map(|n| voter(&format!("m{n}"), n)).collect(), budget_per_location(0));
    request(&mut state, &["m1", "m2"]).unwrap();
    advance(&mut state, "m1", Step::Schedule).unwrap();
    assert_eq!(
        advance(&mut state, "m2", Step::Schedule),
        Err(CommandRejected::DisruptionLimit(DisruptionLimit::Voters))
    );
    let mut two_voters =
        self::state_with((1..=2).map(|n| voter(&format!("m{n}"), n)).collect(), budget_per_location(0));
    assert_eq!(request(&mut two_voters, &["m1"]), Err(CommandRejected::LastOfItsKind(id("m1"))));
}

#[test]
fn jobs_can_be_paused_and_cancelled_and_end_when_all_machines_are_back() {
    let mut state = state_with_two_locations();
    let job = request(&mut state, &["a", "c"]).unwrap();
    assert_eq!(request(&mut state, &["a"]), Err(CommandRejected::AlreadyInJob(id("a"), job)));
    assert_eq!(request(&mut state, &["x"]), Err(CommandRejected::UnknownMachine(id("x"))));
    state.apply(&MaintenanceCommand::PauseJob { job }).unwrap();
    assert_eq!(advance(&mut state, "a", Step::Schedule), Err(CommandRejected::JobPaused));
    state.apply(&MaintenanceCommand::ResumeJob { job }).unwrap();
    advance_to(&mut state, "a", Stage::Released);
    // Cancelled: a machine that has not been released leaves the job, a released one returns as usual.
    state.apply(&MaintenanceCommand::Cancel { job, machine: None }).unwrap();
    assert_eq!(state.progress().keys().copied().collect::<Vec<_>>(), [id("a")]);
    assert!(state.progress()[&id("a")].is_cancelled);
    assert_eq!(
        state.apply(&MaintenanceCommand::ConfirmReturn { machine: id("c") }),
        Err(CommandRejected::NotReleased(id("c")))
    );
    state.apply(&MaintenanceCommand::ConfirmReturn { machine: id("a") }).unwrap();
    for step in [Step::Return, Step::BeginSlowStart, Step::Complete] {
        advance(&mut state, "a", step).unwrap();
    }
    let ended = &state.jobs()[&job];
    assert_eq!((ended.completed, ended.cancelled_count, ended.ended_at_ms.is_some()), (1, 1, true));
    assert_eq!(state.apply(&MaintenanceCommand::PauseJob { job }), Err(CommandRejected::UnknownJob));
}

#[test]
fn a_machine_returns_only_when_the_return_policy_is_satisfied() {
    for (policy, is_listed, is_confirmed, is_accepted) in [
        (ReturnPolicy::EndpointListed, true, false, true),
        (ReturnPolicy::EndpointListed, false, true, true),
        (ReturnPolicy::EndpointListed, false, false, false),
        (ReturnPolicy::OperatorConfirmed, true, false, false),
        (ReturnPolicy::OperatorConfirmed, false, true, true),
        (ReturnPolicy::Both, true, false, false),
        (ReturnPolicy::Both, false, true, false),
        (ReturnPolicy::Both, true, true, true),
    ] {
        let mut state = state_with(
            vec![spec("a", 1, 0, 1), spec("b", 1, 0, 1)],
            DisruptionBudget { return_policy: policy, ..budget_per_location(1) },
        );
        request(&mut state, &["a"]).unwrap();
        advance_to(&mut state, "a", Stage::Released);
        if is_listed {
            advance(&mut state, "a", Step::MarkListed).unwrap();
        }
        if is_confirmed {
            state.apply(&MaintenanceCommand::ConfirmReturn { machine: id("a") }).unwrap();
        }
        assert_eq!(
            advance(&mut state, "a", Step::Return).is_ok(),
            is_accepted,
            "{policy:?} {is_listed} {is_confirmed}"
        );
    }
}

#[test]
fn a_lost_machine_a_capacity_shortfall_or_a_blackout_prevents_scheduling() {
    let mut state = state_with_two_locations();
    request(&mut state, &["a", "c"]).unwrap();
    let mut observations = Observations::default();
    observations.lost.insert(id("b"));
    let Schedule { machines: scheduled, wait_reasons: reasons } = schedule(&state, &observations);
    assert_eq!(scheduled, [id("c")]);
    assert_eq!(reasons[&id("a")], WaitReason::MachineLost(id("b")));
    let mut observations = Observations::default();
    observations.load.insert((1, 1), 1100);
    let Schedule { machines: scheduled, wait_reasons: reasons } = schedule(&state, &observations);
    assert_eq!(scheduled, [id("c")]);
    assert_eq!(reasons[&id("a")], WaitReason::CapacityShortfall { remaining: 1000, required: 1100 });
    let Schedule { machines: scheduled, .. } =
        schedule(&state, &Observations { blocked_by: Some(WaitReason::Blackout), ..Observations::default() });
    assert!(scheduled.is_empty());
}

#[test]
fn blackout_intervals_may_span_midnight() {
    let disruption_budget = DisruptionBudget {
        blackout_minutes: vec![(22 * 60, 6 * 60), (12 * 60, 13 * 60)],
        ..DisruptionBudget::default()
    };
    let at = |hour: u64, minute: u64| (hour * 60 + minute) * 60_000;
    let is_blackout: Vec<bool> = [at(21, 59), at(22, 0), at(5, 59), at(6, 0), at(12, 30)]
        .map(|unix_ms| disruption_budget.is_blackout(unix_ms))
        .to_vec();
    assert_eq!(is_blackout, [false, true, true, false, true]);
}

fn machines_and_budget() -> impl Strategy<Value = (Vec<MachineSpec>, DisruptionBudget)> {
    let machines = prop::collection::vec((1..6u16, 0..4u16, 1..3u16), 2..40);
    let limits = (1..3u16, 0..3u16, 0..6u16);
    (machines, limits, prop::collection::vec((0..40usize, 0..40usize), 0..4)).prop_map(
        |(machines, limits, pairs)| {
            let specs: Vec<MachineSpec> = machines
                .iter()
                .enumerate()
                .map(|(n, (location, hub, kind))| spec(&format!("m{n}"), *location, *hub, *kind))
                .collect();
            let name = |n: usize| id(&format!("m{}", n % specs.len()));
            let pairs = pairs.into_iter().map(|(a, b)| (name(a), name(b))).filter(|(a, b)| a != b).collect();
            let disruption_budget = DisruptionBudget {
                per_location: limits.0,
                per_hub: limits.1,
                per_kind: limits.2,
                exclusive_pairs: pairs,
                tolerates_further_loss: false,
                ..DisruptionBudget::default()
            };
            (specs, disruption_budget)
        },
    )
}

proptest! {
    /// Each round of a dry run keeps the limits, no machine is left out, and it takes at most two rounds more than the
    /// lower bound.
    #[test]
    fn dry_run_rounds_keep_the_limits_and_stay_near_the_lower_bound(
        (specs, disruption_budget) in machines_and_budget()
    ) {
        let state = state_with(specs.clone(), disruption_budget.clone());
        let all_machines: Vec<MachineId> = specs.iter().map(|s| id(&s.name)).collect();
        let DryRun { rounds, blocked: blocked_machines } =
            plan_rounds(&state, &Observations::default(), &all_machines);
        let scheduled_count: usize = rounds.iter().map(Vec::len).sum();
        // Only a machine without another of its kind at its location can never go out of service.
        prop_assert_eq!(scheduled_count + blocked_machines.len(), all_machines.len());
        let is_shortfall = |reason: &WaitReason| matches!(reason, WaitReason::CapacityShortfall { .. });
        prop_assert!(blocked_machines.values().all(is_shortfall), "{:?}", blocked_machines);
        for round in &rounds {
            let mut trial = state.clone();
            for machine in round {
                trial
                    .apply(&MaintenanceCommand::Request {
                        machines: vec![*machine],
                        requested_by: String::new(),
                        reason: String::new(),
                        expected_minutes: 0,
                        at_ms: 0,
                    })
                    .map_err(|rejection| TestCaseError::fail(format!("{rejection:?}")))?;
                let schedule_command = MaintenanceCommand::Advance {
                    machine: *machine,
                    epoch: trial.progress()[machine].epoch,
                    step: Step::Schedule,
                    at_ms: 0,
                };
                trial
                    .apply(&schedule_command)
                    .map_err(|rejection| TestCaseError::fail(format!("{rejection:?}")))?;
            }
            prop_assert_eq!(trial.find_exceeded_limit(), None);
        }
        let lower_bound = min_rounds(
            &disruption_budget,
            &specs.iter().map(|s| (id(&s.name), s.clone())).collect(),
            &all_machines,
        );
        prop_assert!(rounds.len() <= lower_bound + 2, "{} rounds, lower bound {}", rounds.len(), lower_bound);
    }

    /// Random commands in any order: the limits hold, epochs never decrease, time does not go back.
    #[test]
    fn random_commands_never_break_the_limits_or_invariants(
        (specs, disruption_budget) in machines_and_budget(),
        steps in prop::collection::vec((0..40usize, 0..14u8, 0..9u64), 1..300)
    ) {
        let mut state = state_with(specs.clone(), disruption_budget);
        let mut last = (Epoch(0), 0);
        for (machine, choice, time_ms) in steps {
            let machine = id(&format!("m{}", machine % specs.len()));
            let current_epoch = state.progress().get(&machine).map_or(Epoch(0), |progress| progress.epoch);
            let job = state.progress().get(&machine).map_or(JobId(1), |progress| progress.job);
            let advance_command =
                |step| MaintenanceCommand::Advance { machine, epoch: current_epoch, step, at_ms: time_ms };
            let command = match choice {
                0 | 1 => MaintenanceCommand::Request {
                    machines: vec![machine],
                    requested_by: "x".into(),
                    reason: String::new(),
                    expected_minutes: 0,
                    at_ms: time_ms,
                },
                2 | 3 => advance_command(Step::Schedule),
                4 => advance_command(Step::Drain),
                5 => advance_command(Step::MarkDrained),
                6 => advance_command(Step::Release { started_at_ms: time_ms }),
                7 => advance_command(Step::MarkListed),
                8 => advance_command(Step::Return),
                9 => advance_command(Step::BeginSlowStart),
                10 => advance_command(Step::Complete),
                11 => MaintenanceCommand::Cancel { job, machine: Some(machine) },
                12 => advance_command(Step::Revert),
                _ => MaintenanceCommand::Acknowledge {
                    acknowledgements: vec![(holder(1, 1), state.epoch()), (holder(2, 1), state.epoch())],
                },
            };
            let _ = state.apply(&command);
            prop_assert_eq!(state.check_invariant(), Ok(()));
            prop_assert_eq!(state.find_exceeded_limit(), None);
            prop_assert!((state.epoch(), state.clock_ms()) >= last || state.epoch() >= last.0);
            last = (state.epoch(), state.clock_ms());
        }
    }
}
