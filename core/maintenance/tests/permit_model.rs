//! Permits in every order, for small numbers: two fronts, one machine, messages late or lost, a leader that changes, a front that starts again, a
//! job that is called off and asked for again. The very code that is in service runs here. Three wrong variants are each found.

use std::hash::{Hash, Hasher};

use elmtide_budgets::{Clocks, Epoch, FrontId, HolderId, Incarnation, LeaseSettings};
use elmtide_maintenance::report::{LeasedMaintenanceView, MachineObservation, ObservedState};
use elmtide_maintenance::CoordinatorInput;
use elmtide_maintenance::Step;
use elmtide_maintenance::{
    DisruptionBudget, JobId, MachineId, MachineSpec, MaintenanceCommand, MaintenanceCoordinator,
    MaintenanceExclusions, MaintenanceReport, MaintenanceState, MaintenanceView, Stage,
};
use stateright::{Checker, Model, Property};

/// A step of time, a lease, how long a request is open, and the end of time.
const UNIT: u64 = 1000;
const LEASE: u64 = 2;
const OPEN: u64 = 1;
const END: u64 = 5;

const TERMS: LeaseSettings = LeaseSettings {
    duration: LEASE * UNIT,
    drift: 0.0,
    slack: 0,
    max_clock_divergence: 10,
    max_request_deadline: OPEN * UNIT,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Right,
    /// A permit when one of the two has said that it has nothing open.
    SomeWord,
    /// A front looks at its view and not at the lease on it.
    NoLease,
    /// A step counts whatever has changed since it was proposed.
    NoNumber,
    /// Nothing is waited for before a machine leaves.
    NoNext,
}

#[derive(Clone, Debug, PartialEq)]
struct Front {
    incarnation: u64,
    viewer: MaintenanceExclusions,
    open_until: u64,
}

/// An answer under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Answer {
    incarnation: u64,
    asked: u64,
    view: MaintenanceView,
}

#[derive(Clone, Debug, PartialEq)]
struct World {
    now: u64,
    agreed: MaintenanceState,
    /// Proposed and not applied yet, with the numbers that they were made for.
    proposed: Vec<MaintenanceCommand>,
    conductor: MaintenanceCoordinator,
    began: u64,
    answered: [u64; 2],
    fronts: [Front; 2],
    /// The last answer to each front that is still under way, and whether it has ever said that it is clear.
    net: [Option<Answer>; 2],
    word: bool,
    /// What has gone wrong so far: a new leader, a front started again, a job called off and asked for anew, an answer or a
    /// proposal that is late.
    troubles: [u8; 5],
    sends: u8,
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        format!("{self:?}").hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    /// An ask and its answer, and another one that says what was seen, at once.
    Trip(usize),
    /// An ask, whose answer is under way until it is delivered or another one is.
    Ask(usize),
    Deliver(usize),
    /// All that the leader proposes is applied at once.
    Propose,
    /// It is under way, and applied later.
    ProposeLate,
    Commit,
    Send(usize),
    NewLeader,
    Restart(usize),
    Recall,
}

struct Permits(Variant);

fn machine() -> MachineId {
    MachineId::from_name("a")
}

fn clocks(now: u64) -> Clocks {
    Clocks { monotonic: 1_000_000 + now * UNIT, wall: 9_000_000 + now * UNIT }
}

fn holder(front: usize, incarnation: u64) -> HolderId {
    HolderId { front: FrontId(front as u64 + 1), incarnation: Incarnation(incarnation) }
}

fn viewer() -> MaintenanceExclusions {
    MaintenanceExclusions::new(TERMS, [(machine(), None)])
}

fn out() -> MaintenanceCommand {
    MaintenanceCommand::Request {
        machines: vec![machine()],
        requested_by: String::new(),
        reason: String::new(),
        expected_minutes: 0,
        at_ms: 0,
    }
}

impl Permits {
    fn keeps_off(&self, front: &Front, now: u64) -> bool {
        match self.0 {
            Variant::NoLease => match front.viewer.stage(machine()) {
                None => !front.viewer.has_view(),
                Some(stage) => stage.is_excluded(),
            },
            _ => front.viewer.is_excluded(machine(), clocks(now)),
        }
    }

    fn ask(&self, world: &mut World, place: usize) -> Option<Answer> {
        let now = clocks(world.now);
        let front = &world.fronts[place];
        let open = front.open_until > world.now;
        let clear: Vec<MachineId> = front.viewer.excluded_by_view().filter(|_| !open).collect();
        let sight = MachineObservation { state: ObservedState::Ready, ..MachineObservation::default() };
        let said = MaintenanceReport {
            acknowledged: front.viewer.has_view().then(|| front.viewer.epoch()),
            drained: clear.clone(),
            observations: vec![(machine(), sight)],
            ..MaintenanceReport::default()
        };
        let (incarnation, asked) = (front.incarnation, world.now);
        world.word |= !clear.is_empty();
        world.conductor.on_report(&world.agreed, holder(place, incarnation), said, now.monotonic);
        let view = world.conductor.view(&world.agreed, holder(place, incarnation), 0)?;
        world.answered[place] = world.now;
        Some(Answer { incarnation, asked, view })
    }

    fn deliver(&self, world: &mut World, place: usize, answer: Answer) {
        let now = clocks(world.now);
        let front = &mut world.fronts[place];
        if front.incarnation == answer.incarnation {
            let ends = clocks(answer.asked + LEASE).monotonic;
            front.viewer.apply(
                &LeasedMaintenanceView {
                    view: answer.view,
                    requested_at: clocks(answer.asked),
                    expires_at: ends,
                },
                now,
            );
        }
    }

    fn apply(&self, world: &mut World, mut command: MaintenanceCommand) {
        if let (Variant::NoNumber, MaintenanceCommand::Advance { epoch: number, .. }) = (self.0, &mut command)
        {
            *number = world.agreed.progress().get(&machine()).map_or(Epoch(0), |w| w.epoch);
        }
        let _ = world.agreed.apply(&command);
    }

    fn propose(&self, world: &mut World) -> Vec<MaintenanceCommand> {
        let answered = world.answered;
        let (began, incarnations) = (world.began, world.fronts.each_ref().map(|f| f.incarnation));
        let over_at = |holder: HolderId| {
            let front = holder.front.0 as usize - 1;
            let heard = if holder.incarnation.0 == incarnations[front] { answered[front] } else { began };
            clocks(heard.max(began) + LEASE + OPEN).monotonic
        };
        let steady = clocks(world.now).monotonic;
        let now = CoordinatorInput {
            monotonic: steady,
            wall_ms: 0,
            lease: LEASE * UNIT,
            own: FrontId(9),
            drained_at: &over_at,
        };
        let proposal = world.conductor.propose(&world.agreed, &now);
        let mut proposed = proposal.commands;
        let way = world.agreed.progress().get(&machine()).map(|w| (w.stage, w.epoch));
        let step =
            |number, step| MaintenanceCommand::Advance { machine: machine(), epoch: number, step, at_ms: 0 };
        match (self.0, way) {
            (Variant::SomeWord, Some((Stage::Draining, number))) if world.word => {
                proposed.push(step(number, Step::MarkDrained));
            }
            (Variant::NoNext, Some((Stage::Scheduled, number))) => {
                let seen: Vec<_> = (0..2).map(|f| (holder(f, world.fronts[f].incarnation), number)).collect();
                proposed.push(MaintenanceCommand::Acknowledge { acknowledgements: seen });
            }
            _ => {}
        }
        proposed
    }
}

impl Model for Permits {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let spec = |name: &str| MachineSpec {
            name: name.into(),
            location: 1,
            hub: 0,
            kind: 1,
            weight: 1000,
            address: None,
            front: None,
        };
        let mut agreed = MaintenanceState::default();
        let bounds = DisruptionBudget {
            tolerates_further_loss: false,
            per_location: 1,
            ..DisruptionBudget::default()
        };
        agreed
            .apply(&MaintenanceCommand::UpdateMachines {
                version: 1,
                machines: vec![spec("a"), spec("b")],
                budget: bounds,
            })
            .unwrap();
        let mut fronts = [0, 1].map(|_| Front { incarnation: 1, viewer: viewer(), open_until: 0 });
        let first =
            MaintenanceView { epoch: Epoch(0), machines_version: 1, placed: Some(vec![]), details: None };
        let mut conductor = MaintenanceCoordinator::new();
        for (place, front) in fronts.iter_mut().enumerate() {
            agreed.on_join(holder(place, 1));
            let told = LeasedMaintenanceView {
                view: first.clone(),
                requested_at: clocks(0),
                expires_at: clocks(LEASE).monotonic,
            };
            front.viewer.apply(&told, clocks(0));
            let said = MaintenanceReport { acknowledged: Some(Epoch(0)), ..MaintenanceReport::default() };
            conductor.on_report(&agreed, holder(place, 1), said, clocks(0).monotonic);
        }
        agreed.apply(&out()).unwrap();
        vec![World {
            now: 0,
            agreed,
            proposed: Vec::new(),
            conductor,
            began: 0,
            answered: [0, 0],
            fronts,
            net: [None, None],
            word: false,
            troubles: [0; 5],
            sends: 0,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        // Each trouble once, and two of them in all.
        let may = |trouble: usize| world.troubles[trouble] < 1 && world.troubles.iter().sum::<u8>() < 2;
        if world.now < END {
            actions.push(Action::Tick);
        }
        for front in 0..2 {
            actions.push(Action::Trip(front));
            if may(3) {
                actions.push(Action::Ask(front));
            }
            if world.net[front].is_some() {
                actions.push(Action::Deliver(front));
            }
            if world.sends < 1 && !self.keeps_off(&world.fronts[front], world.now) {
                actions.push(Action::Send(front));
            }
            if may(1) {
                actions.push(Action::Restart(front));
            }
        }
        actions.push(Action::Propose);
        if !world.proposed.is_empty() {
            actions.push(Action::Commit);
        } else if may(4) {
            actions.push(Action::ProposeLate);
        }
        if may(0) {
            actions.push(Action::NewLeader);
        }
        if may(2) {
            actions.push(Action::Recall);
        }
        // A wrong variant is looked for among the events that its fault is about, so that it is found soon.
        let about = |action: &Action| match self.0 {
            Variant::Right => true,
            Variant::NoNumber => !matches!(
                action,
                Action::Tick | Action::Send(_) | Action::Ask(_) | Action::NewLeader | Action::Restart(_)
            ),
            _ => matches!(action, Action::Tick | Action::Trip(_) | Action::Propose | Action::Send(_)),
        };
        actions.retain(about);
    }

    fn next_state(&self, before: &World, action: Action) -> Option<World> {
        let mut world = before.clone();
        match action {
            Action::Tick => world.now += 1,
            Action::Trip(place) => {
                // What it sees it says at once.
                for _ in 0..2 {
                    let answer = self.ask(&mut world, place)?;
                    self.deliver(&mut world, place, answer);
                }
            }
            Action::Ask(place) => {
                world.troubles[3] += 1;
                world.net[place] = Some(self.ask(&mut world, place)?);
            }
            Action::Deliver(place) => {
                let answer = world.net[place].take()?;
                self.deliver(&mut world, place, answer);
            }
            Action::Propose => {
                for _ in 0..4 {
                    let proposed = self.propose(&mut world);
                    proposed.into_iter().for_each(|command| self.apply(&mut world, command));
                }
            }
            Action::ProposeLate => {
                world.troubles[4] += 1;
                world.proposed = self.propose(&mut world).into_iter().take(1).collect();
            }
            Action::Commit => {
                for command in std::mem::take(&mut world.proposed) {
                    self.apply(&mut world, command);
                }
            }
            Action::Send(place) => {
                world.sends += 1;
                world.fronts[place].open_until = world.now + OPEN;
            }
            Action::NewLeader => {
                // What was proposed may still be applied.
                world.troubles[0] += 1;
                world.conductor = MaintenanceCoordinator::new();
                world.began = world.now;
            }
            Action::Restart(place) => {
                world.troubles[1] += 1;
                let incarnation = world.fronts[place].incarnation + 1;
                world.fronts[place] = Front { incarnation, viewer: viewer(), open_until: 0 };
                world.agreed.on_join(holder(place, incarnation));
            }
            Action::Recall => {
                world.troubles[2] += 1;
                let job = world.agreed.progress().get(&machine()).map_or(JobId(0), |w| w.job);
                world.agreed.apply(&MaintenanceCommand::Cancel { job, machine: None }).ok()?;
                world.agreed.apply(&out()).ok()?;
            }
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn alone(model: &Permits, world: &World) -> bool {
            let out = world.agreed.progress().get(&machine()).is_some_and(|w| w.stage == Stage::Released);
            let used = |f: &Front| f.open_until > world.now || !model.keeps_off(f, world.now);
            !out || !world.fronts.iter().any(used)
        }
        vec![
            Property::<Self>::always("what is let go is left alone", alone),
            Property::<Self>::sometimes("a machine is let go", |_, world| {
                world.agreed.progress().get(&machine()).is_some_and(|w| w.stage == Stage::Released)
            }),
        ]
    }
}

#[test]
fn what_is_let_go_is_left_alone_in_every_order() {
    // `PERMIT_DEPTH=10` looks at 1.3 million states.
    let depth = std::env::var("PERMIT_DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(DEPTH);
    let checker = Permits(Variant::Right).checker().threads(4).target_max_depth(depth).spawn_bfs().join();
    println!(
        "{} states, {} unique, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000);
}

/// Orders of so many events.
const DEPTH: usize = 9;

#[test]
fn wrong_variants_are_found() {
    for variant in [Variant::SomeWord, Variant::NoLease, Variant::NoNumber, Variant::NoNext] {
        let checker = Permits(variant).checker().threads(4).target_max_depth(17).spawn_bfs().join();
        let found = checker.discovery("what is let go is left alone");
        println!("{variant:?}: {} states", checker.unique_state_count());
        let found = found.unwrap_or_else(|| panic!("{variant:?} is not found"));
        println!("{:?}", found.into_actions());
    }
}
