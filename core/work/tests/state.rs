//! The agreed state: each step from each stage, bounds, jobs; and commands drawn at random, which never break what is to hold.

use elmtide_budgets::{Epoch, FrontId, HolderId, Incarnation};
use elmtide_work::plan::{choose, least_rounds, rounds, Facts, Wait};
use elmtide_work::state::{Bound, Step};
use elmtide_work::{BackBy, Bounds, Command, JobId, MachineId, Refused, Spec, Stage, State};
use proptest::prelude::*;

fn spec(name: &str, location: u16, hub: u16, kind: u16) -> Spec {
    Spec { name: name.into(), location, hub, kind, weight: 1000, at: None, front: None }
}

fn id(name: &str) -> MachineId {
    MachineId::of(name)
}

fn holder(front: u64, incarnation: u64) -> HolderId {
    HolderId { front: FrontId(front), incarnation: Incarnation(incarnation) }
}

fn bounds(of_location: u16) -> Bounds {
    Bounds { of_location, further: false, ..Bounds::default() }
}

fn state(specs: Vec<Spec>, bounds: Bounds) -> State {
    let mut state = State::default();
    state.apply(&Command::Layout { version: 1, machines: specs, bounds }).unwrap();
    state.joined(holder(1, 1));
    state.joined(holder(2, 1));
    state
}

fn out(state: &mut State, names: &[&str]) -> Result<JobId, Refused> {
    let machines = names.iter().map(|n| id(n)).collect();
    state.apply(&Command::Out { machines, by: "op".into(), reason: "disks".into(), minutes: 1, at: 5 })
}

fn step(state: &mut State, name: &str, step: Step) -> Result<JobId, Refused> {
    let number = state.ways().get(&id(name)).map_or(Epoch(0), |w| w.number);
    state.apply(&Command::Step { machine: id(name), number, step, at: 10 })
}

fn all_see(state: &mut State) {
    let number = state.number();
    state.apply(&Command::Seen { fronts: vec![(holder(1, 1), number), (holder(2, 1), number)] }).unwrap();
}

fn pair() -> State {
    state(vec![spec("a", 1, 0, 1), spec("b", 1, 0, 1), spec("c", 2, 0, 1), spec("d", 2, 0, 1)], bounds(1))
}

/// Brings a machine to a stage by the usual way.
fn bring(state: &mut State, name: &str, stage: Stage) {
    let way = [Step::Next, Step::Leave, Step::Empty, Step::Release { born: 7 }, Step::Return, Step::Warm];
    for (taken, to) in way.into_iter().zip(&Stage::ALL[1..]) {
        if *to > stage {
            return;
        }
        if taken == Step::Leave {
            all_see(state);
        }
        if taken == Step::Return {
            step(state, name, Step::Listed).unwrap();
        }
        step(state, name, taken).unwrap_or_else(|why| panic!("{taken:?}: {why:?}"));
    }
}

/// Every step at every stage: it leads on, or changes nothing.
#[test]
fn each_step_counts_from_its_own_stage_only() {
    let steps = [
        Step::Next,
        Step::Leave,
        Step::Empty,
        Step::Release { born: 1 },
        Step::Overdue,
        Step::CallBack,
        Step::Listed,
        Step::Return,
        Step::Warm,
        Step::In,
    ];
    let good = |stage: Stage, step: Step| match (stage, step) {
        (Stage::Queued, Step::Next) => Some(Some(Stage::Next)),
        (Stage::Next, Step::Leave) => Some(Some(Stage::Leaving)),
        (Stage::Leaving, Step::Empty) => Some(Some(Stage::Empty)),
        (Stage::Empty, Step::Release { .. }) => Some(Some(Stage::Released)),
        (Stage::Next | Stage::Leaving | Stage::Empty, Step::CallBack) => Some(Some(Stage::Queued)),
        (Stage::Released, Step::Overdue | Step::Listed) => Some(Some(Stage::Released)),
        (Stage::Back, Step::Warm) => Some(Some(Stage::Warming)),
        (Stage::Warming, Step::In) => Some(None),
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
                    assert_eq!(state.ways().get(&id("a")).map(|w| w.stage), to, "{stage:?} {taken:?}");
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
    let first = Command::Step { machine: id("a"), number: Epoch(0), step: Step::Next, at: 1 };
    state.apply(&first).unwrap();
    assert_eq!(state.apply(&first), Err(Refused::Changed));
}

#[test]
fn nothing_leaves_before_all_have_seen_it_next() {
    let mut state = pair();
    out(&mut state, &["a"]).unwrap();
    step(&mut state, "a", Step::Next).unwrap();
    assert_eq!(step(&mut state, "a", Step::Leave), Err(Refused::NotSeen(FrontId(1))));
    let number = state.number();
    state.apply(&Command::Seen { fronts: vec![(holder(1, 1), number)] }).unwrap();
    assert_eq!(step(&mut state, "a", Step::Leave), Err(Refused::NotSeen(FrontId(2))));
    // A run that is no more counts for nothing; nor does what nobody can have seen yet.
    state.joined(holder(2, 4));
    state.apply(&Command::Seen { fronts: vec![(holder(2, 1), number)] }).unwrap();
    assert_eq!(step(&mut state, "a", Step::Leave), Err(Refused::NotSeen(FrontId(2))));
    // An operator's word, until it is there again.
    state.apply(&Command::Off { front: FrontId(2) }).unwrap();
    let mut off = state.clone();
    step(&mut off, "a", Step::Leave).unwrap();
    state.joined(holder(2, 5));
    assert_eq!(step(&mut state, "a", Step::Leave), Err(Refused::NotSeen(FrontId(2))));
    // One that ends in order sends no more.
    state.left(holder(2, 5));
    step(&mut state, "a", Step::Leave).unwrap();
}

#[test]
fn bounds_are_kept_by_the_log_alone() {
    let mut state = pair();
    out(&mut state, &["a", "b", "c"]).unwrap();
    step(&mut state, "a", Step::Next).unwrap();
    assert_eq!(step(&mut state, "b", Step::Next), Err(Refused::Bound(Bound::Location)));
    step(&mut state, "c", Step::Next).unwrap();
    let paired = Bounds { pairs: vec![(id("a"), id("c")), (id("a"), id("d"))], ..bounds(0) };
    let mut state = self::state(
        vec![spec("a", 1, 0, 1), spec("b", 1, 0, 1), spec("c", 2, 0, 1), spec("d", 2, 0, 1)],
        paired,
    );
    out(&mut state, &["a", "d"]).unwrap();
    step(&mut state, "d", Step::Next).unwrap();
    assert_eq!(step(&mut state, "a", Step::Next), Err(Refused::Bound(Bound::Pair(id("d")))));
    let hub = Bounds { of_hub: 1, of_kind: 2, ..bounds(0) };
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
    step(&mut state, "a", Step::Next).unwrap();
    assert_eq!(step(&mut state, "b", Step::Next), Err(Refused::Bound(Bound::Hub)));
    step(&mut state, "c", Step::Next).unwrap();
    assert_eq!(step(&mut state, "d", Step::Next), Err(Refused::Bound(Bound::Kind)));
}

/// Three voters: one machine of theirs may be out; with fewer none may.
#[test]
fn a_majority_of_voters_stays() {
    let voter = |name: &str, front: u64| Spec { front: Some((FrontId(front), true)), ..spec(name, 1, 0, 2) };
    let mut state = state((1..=3).map(|n| voter(&format!("m{n}"), n)).collect(), bounds(0));
    out(&mut state, &["m1", "m2"]).unwrap();
    step(&mut state, "m1", Step::Next).unwrap();
    assert_eq!(step(&mut state, "m2", Step::Next), Err(Refused::Bound(Bound::Voters)));
    let mut two = self::state((1..=2).map(|n| voter(&format!("m{n}"), n)).collect(), bounds(0));
    assert_eq!(out(&mut two, &["m1"]), Err(Refused::LastOf(id("m1"))));
}

#[test]
fn jobs_are_held_called_off_and_end() {
    let mut state = pair();
    let job = out(&mut state, &["a", "c"]).unwrap();
    assert_eq!(out(&mut state, &["a"]), Err(Refused::InJob(id("a"), job)));
    assert_eq!(out(&mut state, &["x"]), Err(Refused::Unknown(id("x"))));
    state.apply(&Command::Hold { job }).unwrap();
    assert_eq!(step(&mut state, "a", Step::Next), Err(Refused::Held));
    state.apply(&Command::GoOn { job }).unwrap();
    bring(&mut state, "a", Stage::Released);
    // Called off: what has not been let go stays, what has comes back as ever.
    state.apply(&Command::CallOff { job, machine: None }).unwrap();
    assert_eq!(state.ways().keys().copied().collect::<Vec<_>>(), [id("a")]);
    assert!(state.ways()[&id("a")].called_off);
    assert_eq!(state.apply(&Command::Word { machine: id("c") }), Err(Refused::NotReleased(id("c"))));
    state.apply(&Command::Word { machine: id("a") }).unwrap();
    for taken in [Step::Return, Step::Warm, Step::In] {
        step(&mut state, "a", taken).unwrap();
    }
    let over = &state.jobs()[&job];
    assert_eq!((over.done, over.spared, over.ended.is_some()), (1, 1, true));
    assert_eq!(state.apply(&Command::Hold { job }), Err(Refused::NoJob));
}

#[test]
fn what_counts_as_back() {
    for (back, listed, word, is) in [
        (BackBy::Bus, true, false, true),
        (BackBy::Bus, false, true, true),
        (BackBy::Bus, false, false, false),
        (BackBy::Word, true, false, false),
        (BackBy::Word, false, true, true),
        (BackBy::Both, true, false, false),
        (BackBy::Both, false, true, false),
        (BackBy::Both, true, true, true),
    ] {
        let mut state = state(vec![spec("a", 1, 0, 1), spec("b", 1, 0, 1)], Bounds { back, ..bounds(1) });
        out(&mut state, &["a"]).unwrap();
        bring(&mut state, "a", Stage::Released);
        if listed {
            step(&mut state, "a", Step::Listed).unwrap();
        }
        if word {
            state.apply(&Command::Word { machine: id("a") }).unwrap();
        }
        assert_eq!(step(&mut state, "a", Step::Return).is_ok(), is, "{back:?} {listed} {word}");
    }
}

#[test]
fn what_is_lost_holds_others_back_and_what_is_short_is_said() {
    let mut state = pair();
    out(&mut state, &["a", "c"]).unwrap();
    let mut facts = Facts::default();
    facts.lost.insert(id("b"));
    let (chosen, waits) = choose(&state, &facts);
    assert_eq!(chosen, [id("c")]);
    assert_eq!(waits[&id("a")], Wait::Lost(id("b")));
    let mut facts = Facts::default();
    facts.load.insert((1, 1), 1100);
    let (chosen, waits) = choose(&state, &facts);
    assert_eq!(chosen, [id("c")]);
    assert_eq!(waits[&id("a")], Wait::Load { bears: 1000, wanted: 1100 });
    let (chosen, _) = choose(&state, &Facts { stopped: Some(Wait::Hours), ..Facts::default() });
    assert!(chosen.is_empty());
}

#[test]
fn closed_hours_go_past_midnight() {
    let bounds = Bounds { closed: vec![(22 * 60, 6 * 60), (12 * 60, 13 * 60)], ..Bounds::default() };
    let at = |hour: u64, minute: u64| (hour * 60 + minute) * 60_000;
    let closed: Vec<bool> =
        [at(21, 59), at(22, 0), at(5, 59), at(6, 0), at(12, 30)].map(|wall| bounds.is_closed(wall)).to_vec();
    assert_eq!(closed, [false, true, true, false, true]);
}

fn layout() -> impl Strategy<Value = (Vec<Spec>, Bounds)> {
    let machines = prop::collection::vec((1..6u16, 0..4u16, 1..3u16), 2..40);
    let caps = (1..3u16, 0..3u16, 0..6u16);
    (machines, caps, prop::collection::vec((0..40usize, 0..40usize), 0..4)).prop_map(
        |(machines, caps, pairs)| {
            let specs: Vec<Spec> = machines
                .iter()
                .enumerate()
                .map(|(n, (location, hub, kind))| spec(&format!("m{n}"), *location, *hub, *kind))
                .collect();
            let name = |n: usize| id(&format!("m{}", n % specs.len()));
            let pairs = pairs.into_iter().map(|(a, b)| (name(a), name(b))).filter(|(a, b)| a != b).collect();
            let bounds = Bounds {
                of_location: caps.0,
                of_hub: caps.1,
                of_kind: caps.2,
                pairs,
                further: false,
                ..Bounds::default()
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
        let (rounds, waits) = rounds(&state, &Facts::default(), &all);
        let planned: usize = rounds.iter().map(Vec::len).sum();
        // Only one that has nobody beside it at its location could never go.
        prop_assert_eq!(planned + waits.len(), all.len());
        let bearing = |w: &Wait| matches!(w, Wait::Load { .. });
        prop_assert!(waits.values().all(bearing), "{:?}", waits);
        for round in &rounds {
            let mut trial = state.clone();
            for machine in round {
                trial.apply(&Command::Out { machines: vec![*machine], by: String::new(), reason: String::new(), minutes: 0, at: 0 })
                    .map_err(|why| TestCaseError::fail(format!("{why:?}")))?;
                let next = Command::Step { machine: *machine, number: trial.ways()[machine].number, step: Step::Next, at: 0 };
                trial.apply(&next).map_err(|why| TestCaseError::fail(format!("{why:?}")))?;
            }
            prop_assert_eq!(trial.over_bounds(), None);
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
            let number = state.ways().get(&machine).map_or(Epoch(0), |w| w.number);
            let job = state.ways().get(&machine).map_or(JobId(1), |w| w.job);
            let step = |step| Command::Step { machine, number, step, at };
            let command = match what {
                0 | 1 => Command::Out { machines: vec![machine], by: "x".into(), reason: String::new(), minutes: 0, at },
                2 | 3 => step(Step::Next),
                4 => step(Step::Leave),
                5 => step(Step::Empty),
                6 => step(Step::Release { born: at }),
                7 => step(Step::Listed),
                8 => step(Step::Return),
                9 => step(Step::Warm),
                10 => step(Step::In),
                11 => Command::CallOff { job, machine: Some(machine) },
                12 => step(Step::CallBack),
                _ => Command::Seen { fronts: vec![(holder(1, 1), state.number()), (holder(2, 1), state.number())] },
            };
            let _ = state.apply(&command);
            prop_assert_eq!(state.check(), Ok(()));
            prop_assert_eq!(state.over_bounds(), None);
            prop_assert!((state.number(), state.at()) >= last || state.number() >= last.0);
            last = (state.number(), state.at());
        }
    }
}
