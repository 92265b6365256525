//! The agreed state: each step from each stage, bounds, jobs; and commands drawn at random, which never break what is to hold.

use elmtide_budgets::{Epoch, FrontId, HolderId, Incarnation};
use elmtide_maintenance::planning::{least_rounds, plan_rounds, schedule, DryRun, Observations, Schedule};
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

fn bounds(of_location: u16) -> DisruptionBudget {
    DisruptionBudget {
        per_location: of_location,
        tolerates_further_loss: false,
        ..DisruptionBudget::default()
    }
}

fn state(specs: Vec<MachineSpec>, bounds: DisruptionBudget) -> MaintenanceState {
    let mut state = MaintenanceState::default();
    state.apply(&MaintenanceCommand::UpdateMachines { version: 1, machines: specs, budget: bounds }).unwrap();
    state.on_join(holder(1, 1));
    state.on_join(holder(2, 1));
    state
}

fn out(state: &mut MaintenanceState, names: &[&str]) -> Result<JobId, CommandRejected> {
    let machines = names.iter().map(|n| id(n)).collect();
    state.apply(&MaintenanceCommand::Request {
        machines,
        requested_by: "op".into(),
        reason: "disks".into(),
        expected_minutes: 1,
        at_ms: 5,
    })
}

fn step(state: &mut MaintenanceState, name: &str, step: Step) -> Result<JobId, CommandRejected> {
    let number = state.progress().get(&id(name)).map_or(Epoch(0), |w| w.epoch);
    state.apply(&MaintenanceCommand::Advance { machine: id(name), epoch: number, step, at_ms: 10 })
}

fn all_see(state: &mut MaintenanceState) {
    let number = state.epoch();
    state
        .apply(&MaintenanceCommand::Acknowledge {
            acknowledgements: vec![(holder(1, 1), number), (holder(2, 1), number)],
        })
        .unwrap();
}

fn pair() -> MaintenanceState {
    state(vec![spec("a", 1, 0, 1), spec("b", 1, 0, 1), spec("c", 2, 0, 1), spec("d", 2, 0, 1)], bounds(1))
}

/// Brings a machine to a stage by the usual way.
fn bring(state: &mut MaintenanceState, name: &str, stage: Stage) {
    let way = [
        Step::Schedule,
        Step::Drain,
        Step::MarkDrained,
        Step::Release { started_at_ms: 7 },
        Step::Return,
        Step::BeginSlowStart,
    ];
    for (taken, to) in way.into_iter().zip(&Stage::ALL[1..]) {
        if *to > stage {
            return;
        }
        if taken == Step::Drain {
            all_see(state);
        }
        if taken == Step::Return {
            step(state, name, Step::MarkListed).unwrap();
        }
        step(state, name, taken).unwrap_or_else(|why| panic!("{taken:?}: {why:?}"));
    }
}

/// Every step at every stage: it leads on, or changes nothing.
#[test]
fn each_step_counts_from_its_own_stage_only() {
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
    let good = |stage: Stage, step: Step| match (stage, step) {
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
        for taken in steps {
            let mut state = pair();
            out(&mut state, &["a"]).unwrap();
            bring(&mut state, "a", stage);
            all_see(&mut state);
            let before = state.clone();
            let done = step(&mut state, "a", taken);
            match good(stage, taken) {
                Some(to) => {
                    assert_eq!(done, Ok(JobId(1)), "{stage:?} {taken:?}");
                    assert_eq!(state.progress().get(&id("a")).map(|w| w.stage), to, "{stage:?} {taken:?}");
                }
                None => {
                    assert!(done.is_err(), "{stage:?} {taken:?}");
                    assert_eq!(state, before, "{stage:?} {taken:?}");
                }
            }
        }
    }
}

#[test]
fn the_same_step_sent_twice_counts_once() {
    let mut state = pair();
    out(&mut state, &["a"]).unwrap();
    let first =
        MaintenanceCommand::Advance { machine: id("a"), epoch: Epoch(0), step: Step::Schedule, at_ms: 1 };
    state.apply(&first).unwrap();
    assert_eq!(state.apply(&first), Err(CommandRejected::StaleEpoch));
}

#[test]
fn nothing_leaves_before_all_have_seen_it_next() {
    let mut state = pair();
    out(&mut state, &["a"]).unwrap();
    step(&mut state, "a", Step::Schedule).unwrap();
    assert_eq!(step(&mut state, "a", Step::Drain), Err(CommandRejected::NotAcknowledged(FrontId(1))));
    let number = state.epoch();
    state.apply(&MaintenanceCommand::Acknowledge { acknowledgements: vec![(holder(1, 1), number)] }).unwrap();
    assert_eq!(step(&mut state, "a", Step::Drain), Err(CommandRejected::NotAcknowledged(FrontId(2))));
    // A run that is no more counts for nothing; nor does what nobody can have seen yet.
    state.on_join(holder(2, 4));
    state.apply(&MaintenanceCommand::Acknowledge { acknowledgements: vec![(holder(2, 1), number)] }).unwrap();
    assert_eq!(step(&mut state, "a", Step::Drain), Err(CommandRejected::NotAcknowledged(FrontId(2))));
    // An operator's word, until it is there again.
    state.apply(&MaintenanceCommand::DeclareFrontOff { front: FrontId(2) }).unwrap();
    let mut off = state.clone();
    step(&mut off, "a", Step::Drain).unwrap();
    state.on_join(holder(2, 5));
    assert_eq!(step(&mut state, "a", Step::Drain), Err(CommandRejected::NotAcknowledged(FrontId(2))));
    // One that ends in order sends no more.
    state.on_leave(holder(2, 5));
    step(&mut state, "a", Step::Drain).unwrap();
}

#[test]
fn bounds_are_kept_by_the_log_alone() {
    let mut state = pair();
    out(&mut state, &["a", "b", "c"]).unwrap();
    step(&mut state, "a", Step::Schedule).unwrap();
    assert_eq!(
        step(&mut state, "b", Step::Schedule),
        Err(CommandRejected::DisruptionLimit(DisruptionLimit::Location))
    );
    step(&mut state, "c", Step::Schedule).unwrap();
    let paired =
        DisruptionBudget { exclusive_pairs: vec![(id("a"), id("c")), (id("a"), id("d"))], ..bounds(0) };
    let mut state = self::state(
        vec![spec("a", 1, 0, 1), spec("b", 1, 0, 1), spec("c", 2, 0, 1), spec("d", 2, 0, 1)],
        paired,
    );
    out(&mut state, &["a", "d"]).unwrap();
    step(&mut state, "d", Step::Schedule).unwrap();
    assert_eq!(
        step(&mut state, "a", Step::Schedule),
        Err(CommandRejected::DisruptionLimit(DisruptionLimit::Pair(id("d"))))
    );
    let hub = DisruptionBudget { per_hub: 1, per_kind: 2, ..bounds(0) };
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
    let mut state = self::state(specs, hub);
    out(&mut state, &["a", "b", "c", "d"]).unwrap();
    step(&mut state, "a", Step::Schedule).unwrap();
    assert_eq!(
        step(&mut state, "b", Step::Schedule),
        Err(CommandRejected::DisruptionLimit(DisruptionLimit::Hub))
    );
    step(&mut state, "c", Step::Schedule).unwrap();
    assert_eq!(
        step(&mut state, "d", Step::Schedule),
        Err(CommandRejected::DisruptionLimit(DisruptionLimit::Kind))
    );
}

/// Three voters: one machine of theirs may be out; with fewer none may.
#[test]
fn a_majority_of_voters_stays() {
    let voter = |name: &str, front: u64| MachineSpec {
        front: Some(HostedFront { id: FrontId(front), is_voter: true }),
        ..spec(name, 1, 0, 2)
    };
    let mut state = state((1..=3).map(|n| voter(&format!("m{n}"), n)).collect(), bounds(0));
    out(&mut state, &["m1", "m2"]).unwrap();
    step(&mut state, "m1", Step::Schedule).unwrap();
    assert_eq!(
        step(&mut state, "m2", Step::Schedule),
        Err(CommandRejected::DisruptionLimit(DisruptionLimit::Voters))
    );
    let mut two = self::state((1..=2).map(|n| voter(&format!("m{n}"), n)).collect(), bounds(0));
    assert_eq!(out(&mut two, &["m1"]), Err(CommandRejected::LastOfItsKind(id("m1"))));
}

#[test]
fn jobs_are_held_called_off_and_end() {
    let mut state = pair();
    let job = out(&mut state, &["a", "c"]).unwrap();
    assert_eq!(out(&mut state, &["a"]), Err(CommandRejected::AlreadyInJob(id("a"), job)));
    assert_eq!(out(&mut state, &["x"]), Err(CommandRejected::UnknownMachine(id("x"))));
    state.apply(&MaintenanceCommand::PauseJob { job }).unwrap();
    assert_eq!(step(&mut state, "a", Step::Schedule), Err(CommandRejected::JobPaused));
    state.apply(&MaintenanceCommand::ResumeJob { job }).unwrap();
    bring(&mut state, "a", Stage::Released);
    // Called off: what has not been let go stays, what has comes back as ever.
    state.apply(&MaintenanceCommand::Cancel { job, machine: None }).unwrap();
    assert_eq!(state.progress().keys().copied().collect::<Vec<_>>(), [id("a")]);
    assert!(state.progress()[&id("a")].is_cancelled);
    assert_eq!(
        state.apply(&MaintenanceCommand::ConfirmReturn { machine: id("c") }),
        Err(CommandRejected::NotReleased(id("c")))
    );
    state.apply(&MaintenanceCommand::ConfirmReturn { machine: id("a") }).unwrap();
    for taken in [Step::Return, Step::BeginSlowStart, Step::Complete] {
        step(&mut state, "a", taken).unwrap();
    }
    let over = &state.jobs()[&job];
    assert_eq!((over.completed, over.spared, over.ended_at_ms.is_some()), (1, 1, true));
    assert_eq!(state.apply(&MaintenanceCommand::PauseJob { job }), Err(CommandRejected::UnknownJob));
}

#[test]
fn what_counts_as_back() {
    for (back, listed, word, is) in [
        (ReturnPolicy::EndpointListed, true, false, true),
        (ReturnPolicy::EndpointListed, false, true, true),
        (ReturnPolicy::EndpointListed, false, false, false),
        (ReturnPolicy::OperatorConfirmed, true, false, false),
        (ReturnPolicy::OperatorConfirmed, false, true, true),
        (ReturnPolicy::Both, true, false, false),
        (ReturnPolicy::Both, false, true, false),
        (ReturnPolicy::Both, true, true, true),
    ] {
        let mut state = state(
            vec![spec("a", 1, 0, 1), spec("b", 1, 0, 1)],
            DisruptionBudget { return_policy: back, ..bounds(1) },
        );
        out(&mut state, &["a"]).unwrap();
        bring(&mut state, "a", Stage::Released);
        if listed {
            step(&mut state, "a", Step::MarkListed).unwrap();
        }
        if word {
            state.apply(&MaintenanceCommand::ConfirmReturn { machine: id("a") }).unwrap();
        }
        assert_eq!(step(&mut state, "a", Step::Return).is_ok(), is, "{back:?} {listed} {word}");
    }
}

#[test]
fn what_is_lost_holds_others_back_and_what_is_short_is_said() {
    let mut state = pair();
    out(&mut state, &["a", "c"]).unwrap();
    let mut facts = Observations::default();
    facts.lost.insert(id("b"));
    let Schedule { machines: chosen, wait_reasons: waits } = schedule(&state, &facts);
    assert_eq!(chosen, [id("c")]);
    assert_eq!(waits[&id("a")], WaitReason::MachineLost(id("b")));
    let mut facts = Observations::default();
    facts.load.insert((1, 1), 1100);
    let Schedule { machines: chosen, wait_reasons: waits } = schedule(&state, &facts);
    assert_eq!(chosen, [id("c")]);
    assert_eq!(waits[&id("a")], WaitReason::CapacityShortfall { remaining: 1000, required: 1100 });
    let Schedule { machines: chosen, .. } =
        schedule(&state, &Observations { blocked_by: Some(WaitReason::Blackout), ..Observations::default() });
    assert!(chosen.is_empty());
}

#[test]
fn closed_hours_go_past_midnight() {
    let bounds = DisruptionBudget {
        blackout_minutes: vec![(22 * 60, 6 * 60), (12 * 60, 13 * 60)],
        ..DisruptionBudget::default()
    };
    let at = |hour: u64, minute: u64| (hour * 60 + minute) * 60_000;
    let closed: Vec<bool> = [at(21, 59), at(22, 0), at(5, 59), at(6, 0), at(12, 30)]
        .map(|wall| bounds.is_blackout(wall))
        .to_vec();
    assert_eq!(closed, [false, true, true, false, true]);
}

fn layout() -> impl Strategy<Value = (Vec<MachineSpec>, DisruptionBudget)> {
    let machines = prop::collection::vec((1..6u16, 0..4u16, 1..3u16), 2..40);
    let caps = (1..3u16, 0..3u16, 0..6u16);
    (machines, caps, prop::collection::vec((0..40usize, 0..40usize), 0..4)).prop_map(
        |(machines, caps, pairs)| {
            let specs: Vec<MachineSpec> = machines
                .iter()
                .enumerate()
                .map(|(n, (location, hub, kind))| spec(&format!("m{n}"), *location, *hub, *kind))
                .collect();
            let name = |n: usize| id(&format!("m{}", n % specs.len()));
            let pairs = pairs.into_iter().map(|(a, b)| (name(a), name(b))).filter(|(a, b)| a != b).collect();
            let bounds = DisruptionBudget {
                per_location: caps.0,
                per_hub: caps.1,
                per_kind: caps.2,
                exclusive_pairs: pairs,
                tolerates_further_loss: false,
                ..DisruptionBudget::default()
            };
            (specs, bounds)
        },
    )
}

proptest! {
    /// A dry run keeps the bounds in each round, leaves nobody out, and needs few rounds more than the counts do.
    #[test]
    fn rounds_keep_the_bounds_and_are_few((specs, bounds) in layout()) {
        let state = state(specs.clone(), bounds.clone());
        let all: Vec<MachineId> = specs.iter().map(|s| id(&s.name)).collect();
        let DryRun { rounds, blocked: waits } = plan_rounds(&state, &Observations::default(), &all);
        let planned: usize = rounds.iter().map(Vec::len).sum();
        // Only one that has nobody beside it at its location could never go.
        prop_assert_eq!(planned + waits.len(), all.len());
        let bearing = |w: &WaitReason| matches!(w, WaitReason::CapacityShortfall { .. });
        prop_assert!(waits.values().all(bearing), "{:?}", waits);
        for round in &rounds {
            let mut trial = state.clone();
            for machine in round {
                trial.apply(&MaintenanceCommand::Request { machines: vec![*machine], requested_by: String::new(), reason: String::new(), expected_minutes: 0, at_ms: 0 })
                    .map_err(|why| TestCaseError::fail(format!("{why:?}")))?;
                let next = MaintenanceCommand::Advance { machine: *machine, epoch: trial.progress()[machine].epoch, step: Step::Schedule, at_ms: 0 };
                trial.apply(&next).map_err(|why| TestCaseError::fail(format!("{why:?}")))?;
            }
            prop_assert_eq!(trial.find_excess(), None);
        }
        let least = least_rounds(&bounds, &specs.iter().map(|s| (id(&s.name), s.clone())).collect(), &all);
        prop_assert!(rounds.len() <= least + 2, "{} rounds, {} at the least", rounds.len(), least);
    }

    /// Whatever commands come in whatever order: the bounds hold, numbers only rise, time does not go back.
    #[test]
    fn no_commands_break_the_bounds((specs, bounds) in layout(), steps in prop::collection::vec((0..40usize, 0..14u8, 0..9u64), 1..300)) {
        let mut state = state(specs.clone(), bounds);
        let mut last = (Epoch(0), 0);
        for (machine, what, at) in steps {
            let machine = id(&format!("m{}", machine % specs.len()));
            let number = state.progress().get(&machine).map_or(Epoch(0), |w| w.epoch);
            let job = state.progress().get(&machine).map_or(JobId(1), |w| w.job);
            let step = |step| MaintenanceCommand::Advance { machine, epoch: number, step, at_ms: at };
            let command = match what {
                0 | 1 => MaintenanceCommand::Request { machines: vec![machine], requested_by: "x".into(), reason: String::new(), expected_minutes: 0, at_ms: at },
                2 | 3 => step(Step::Schedule),
                4 => step(Step::Drain),
                5 => step(Step::MarkDrained),
                6 => step(Step::Release { started_at_ms: at }),
                7 => step(Step::MarkListed),
                8 => step(Step::Return),
                9 => step(Step::BeginSlowStart),
                10 => step(Step::Complete),
                11 => MaintenanceCommand::Cancel { job, machine: Some(machine) },
                12 => step(Step::Revert),
                _ => MaintenanceCommand::Acknowledge { acknowledgements: vec![(holder(1, 1), state.epoch()), (holder(2, 1), state.epoch())] },
            };
            let _ = state.apply(&command);
            prop_assert_eq!(state.check_invariant(), Ok(()));
            prop_assert_eq!(state.find_excess(), None);
            prop_assert!((state.epoch(), state.clock_ms()) >= last || state.epoch() >= last.0);
            last = (state.epoch(), state.clock_ms());
        }
    }
}
