//! Model of permits for a small fleet: two fronts, one machine that is released, messages that are late or lost, a
//! leader change, a front restart, and a job that is cancelled and requested again. It checks every order of these
//! events and runs the production code. Each of four deliberately wrong variants has to be detected.

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

/// Length of a tick, the unit of the model's time, in microseconds.
const TICK_MICROS: u64 = 1000;
/// Duration of a lease.
const LEASE_TICKS: u64 = 2;
/// How long a request is open.
const REQUEST_TICKS: u64 = 1;
/// Time does not advance beyond this tick.
const END_TICK: u64 = 5;

const LEASE_SETTINGS: LeaseSettings = LeaseSettings {
    duration: LEASE_TICKS * TICK_MICROS,
    drift: 0.0,
    slack: 0,
    max_clock_divergence: 10,
    max_request_deadline: REQUEST_TICKS * TICK_MICROS,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Correct,
    /// A permit is issued once either front has reported that it has no open request.
    AnyFrontDrained,
    /// A front applies its view and ignores whether the lease on it has expired.
    LeaseIgnored,
    /// A step is accepted even if the machine's epoch has changed since it was proposed.
    EpochIgnored,
    /// Draining begins without waiting until the fronts acknowledge the scheduled stage.
    AcknowledgementIgnored,
}

#[derive(Clone, Debug, PartialEq)]
struct Front {
    incarnation: u64,
    exclusions: MaintenanceExclusions,
    open_until: u64,
}

/// A lease response in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Response {
    incarnation: u64,
    requested_tick: u64,
    view: MaintenanceView,
}

#[derive(Clone, Debug, PartialEq)]
struct World {
    now: u64,
    replicated: MaintenanceState,
    /// Commands that are proposed and not applied yet, with the epochs that they were decided for.
    pending: Vec<MaintenanceCommand>,
    coordinator: MaintenanceCoordinator,
    elected_tick: u64,
    last_response_tick: [u64; 2],
    fronts: [Front; 2],
    /// The last response to each front that is still in flight.
    in_flight: [Option<Response>; 2],
    /// Whether any front has ever reported the machine as drained.
    any_reported_drained: bool,
    /// Number of faults so far, by index: 0 leader change, 1 front restart, 2 job cancelled and requested again, 3
    /// delayed response, 4 delayed proposal.
    faults: [u8; 5],
    sent_count: u8,
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
    /// Two lease requests with their responses, without delay; the second one acknowledges the first view.
    Exchange(usize),
    /// A lease request whose response is in flight until it is delivered or replaced by another one.
    Request(usize),
    Deliver(usize),
    /// The leader proposes, and all commands are applied at once.
    Propose,
    /// The leader proposes, and one command is applied later.
    ProposeDelayed,
    Commit,
    Send(usize),
    NewLeader,
    Restart(usize),
    CancelAndRequest,
}

struct PermitModel(Variant);

fn machine() -> MachineId {
    MachineId::from_name("a")
}

fn clocks(now: u64) -> Clocks {
    Clocks { monotonic: 1_000_000 + now * TICK_MICROS, wall: 9_000_000 + now * TICK_MICROS }
}

fn holder(front: usize, incarnation: u64) -> HolderId {
    HolderId { front: FrontId(front as u64 + 1), incarnation: Incarnation(incarnation) }
}

fn new_exclusions() -> MaintenanceExclusions {
    MaintenanceExclusions::new(LEASE_SETTINGS, [(machine(), None)])
}

fn request_command() -> MaintenanceCommand {
    MaintenanceCommand::Request {
        machines: vec![machine()],
        requested_by: String::new(),
        reason: String::new(),
        expected_minutes: 0,
        at_ms: 0,
    }
}

impl PermitModel {
    fn excludes(&self, front: &Front, now: u64) -> bool {
        match self.0 {
            Variant::LeaseIgnored => match front.exclusions.stage(machine()) {
                None => !front.exclusions.has_view(),
                Some(stage) => stage.is_excluded(),
            },
            _ => front.exclusions.is_excluded(machine(), clocks(now)),
        }
    }

    fn request_lease(&self, world: &mut World, index: usize) -> Option<Response> {
        let now = clocks(world.now);
        let front = &world.fronts[index];
        let has_open_request = front.open_until > world.now;
        let drained_machines: Vec<MachineId> =
            front.exclusions.excluded_by_view().filter(|_| !has_open_request).collect();
        let observation = MachineObservation { state: ObservedState::Ready, ..MachineObservation::default() };
        let report = MaintenanceReport {
            acknowledged: front.exclusions.has_view().then(|| front.exclusions.epoch()),
            drained: drained_machines.clone(),
            observations: vec![(machine(), observation)],
            ..MaintenanceReport::default()
        };
        let (incarnation, requested_tick) = (front.incarnation, world.now);
        world.any_reported_drained |= !drained_machines.is_empty();
        world.coordinator.on_report(&world.replicated, holder(index, incarnation), report, now.monotonic);
        let view = world.coordinator.view(&world.replicated, holder(index, incarnation), 0)?;
        world.last_response_tick[index] = world.now;
        Some(Response { incarnation, requested_tick, view })
    }

    fn deliver(&self, world: &mut World, index: usize, response: Response) {
        let now = clocks(world.now);
        let front = &mut world.fronts[index];
        if front.incarnation == response.incarnation {
            let lease_end = clocks(response.requested_tick + LEASE_TICKS).monotonic;
            front.exclusions.apply(
                &LeasedMaintenanceView {
                    view: response.view,
                    requested_at: clocks(response.requested_tick),
                    expires_at: lease_end,
                },
                now,
            );
        }
    }

    fn apply(&self, world: &mut World, mut command: MaintenanceCommand) {
        if let (Variant::EpochIgnored, MaintenanceCommand::Advance { epoch: current_epoch, .. }) =
            (self.0, &mut command)
        {
            *current_epoch =
                world.replicated.progress().get(&machine()).map_or(Epoch(0), |progress| progress.epoch);
        }
        let _ = world.replicated.apply(&command);
    }

    fn propose(&self, world: &mut World) -> Vec<MaintenanceCommand> {
        let last_response_tick = world.last_response_tick;
        let (elected_tick, incarnations) =
            (world.elected_tick, world.fronts.each_ref().map(|f| f.incarnation));
        let requests_ended_at = |holder: HolderId| {
            let front = holder.front.0 as usize - 1;
            let last_response = if holder.incarnation.0 == incarnations[front] {
                last_response_tick[front]
            } else {
                elected_tick
            };
            clocks(last_response.max(elected_tick) + LEASE_TICKS + REQUEST_TICKS).monotonic
        };
        let monotonic_now = clocks(world.now).monotonic;
        let input = CoordinatorInput {
            monotonic: monotonic_now,
            wall_ms: 0,
            lease: LEASE_TICKS * TICK_MICROS,
            own_front: FrontId(9),
            requests_ended_at: &requests_ended_at,
        };
        let proposal = world.coordinator.propose(&world.replicated, &input);
        let mut proposed = proposal.commands;
        let stage_and_epoch =
            world.replicated.progress().get(&machine()).map(|progress| (progress.stage, progress.epoch));
        let advance_command = |current_epoch, step| MaintenanceCommand::Advance {
            machine: machine(),
            epoch: current_epoch,
            step,
            at_ms: 0,
        };
        match (self.0, stage_and_epoch) {
            (Variant::AnyFrontDrained, Some((Stage::Draining, current_epoch)))
                if world.any_reported_drained =>
            {
                proposed.push(advance_command(current_epoch, Step::MarkDrained));
            }
            (Variant::AcknowledgementIgnored, Some((Stage::Scheduled, current_epoch))) => {
                let acknowledged: Vec<_> =
                    (0..2).map(|f| (holder(f, world.fronts[f].incarnation), current_epoch)).collect();
                proposed.push(MaintenanceCommand::Acknowledge { acknowledgements: acknowledged });
            }
            _ => {}
        }
        proposed
    }
}

impl Model for PermitModel {
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
        let mut replicated = MaintenanceState::default();
        let disruption_budget = DisruptionBudget {
            tolerates_further_loss: false,
            per_location: 1,
            ..DisruptionBudget::default()
        };
        replicated
            .apply(&MaintenanceCommand::UpdateMachines {
                version: 1,
                machines: vec![spec("a"), spec("b")],
                budget: disruption_budget,
            })
            .unwrap();
        let mut fronts =
            [0, 1].map(|_| Front { incarnation: 1, exclusions: new_exclusions(), open_until: 0 });
        let empty_view =
            MaintenanceView { epoch: Epoch(0), machines_version: 1, disrupted: Some(vec![]), details: None };
        let mut coordinator = MaintenanceCoordinator::new();
        for (index, front) in fronts.iter_mut().enumerate() {
            replicated.on_join(holder(index, 1));
            let leased = LeasedMaintenanceView {
                view: empty_view.clone(),
                requested_at: clocks(0),
                expires_at: clocks(LEASE_TICKS).monotonic,
            };
            front.exclusions.apply(&leased, clocks(0));
            let report = MaintenanceReport { acknowledged: Some(Epoch(0)), ..MaintenanceReport::default() };
            coordinator.on_report(&replicated, holder(index, 1), report, clocks(0).monotonic);
        }
        replicated.apply(&request_command()).unwrap();
        vec![World {
            now: 0,
            replicated,
            pending: Vec::new(),
            coordinator,
            elected_tick: 0,
            last_response_tick: [0, 0],
            fronts,
            in_flight: [None, None],
            any_reported_drained: false,
            faults: [0; 5],
            sent_count: 0,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        // Each fault occurs at most once, and at most two faults in total.
        let may_occur = |fault: usize| world.faults[fault] < 1 && world.faults.iter().sum::<u8>() < 2;
        if world.now < END_TICK {
            actions.push(Action::Tick);
        }
        for front in 0..2 {
            actions.push(Action::Exchange(front));
            if may_occur(3) {
                actions.push(Action::Request(front));
            }
            if world.in_flight[front].is_some() {
                actions.push(Action::Deliver(front));
            }
            if world.sent_count < 1 && !self.excludes(&world.fronts[front], world.now) {
                actions.push(Action::Send(front));
            }
            if may_occur(1) {
                actions.push(Action::Restart(front));
            }
        }
        actions.push(Action::Propose);
        if !world.pending.is_empty() {
            actions.push(Action::Commit);
        } else if may_occur(4) {
            actions.push(Action::ProposeDelayed);
        }
        if may_occur(0) {
            actions.push(Action::NewLeader);
        }
        if may_occur(2) {
            actions.push(Action::CancelAndRequest);
        }
        // For a wrong variant, only events related to its defect are explored, so that it is detected quickly.
        let is_related = |action: &Action| match self.0 {
            Variant::Correct => true,
            Variant::EpochIgnored => !matches!(
                action,
                Action::Tick | Action::Send(_) | Action::Request(_) | Action::NewLeader | Action::Restart(_)
            ),
            _ => matches!(action, Action::Tick | Action::Exchange(_) | Action::Propose | Action::Send(_)),
        };
        actions.retain(is_related);
    }

    fn next_state(&self, before: &World, action: Action) -> Option<World> {
        let mut world = before.clone();
        match action {
            Action::Tick => world.now += 1,
            Action::Exchange(index) => {
                // The second request acknowledges what the first response contained.
                for _ in 0..2 {
                    let response = self.request_lease(&mut world, index)?;
                    self.deliver(&mut world, index, response);
                }
            }
            Action::Request(index) => {
                world.faults[3] += 1;
                world.in_flight[index] = Some(self.request_lease(&mut world, index)?);
            }
            Action::Deliver(index) => {
                let response = world.in_flight[index].take()?;
                self.deliver(&mut world, index, response);
            }
            Action::Propose => {
                for _ in 0..4 {
                    let proposed = self.propose(&mut world);
                    proposed.into_iter().for_each(|command| self.apply(&mut world, command));
                }
            }
            Action::ProposeDelayed => {
                world.faults[4] += 1;
                world.pending = self.propose(&mut world).into_iter().take(1).collect();
            }
            Action::Commit => {
                for command in std::mem::take(&mut world.pending) {
                    self.apply(&mut world, command);
                }
            }
            Action::Send(index) => {
                world.sent_count += 1;
                world.fronts[index].open_until = world.now + REQUEST_TICKS;
            }
            Action::NewLeader => {
                // Commands proposed by the former leader may still be applied.
                world.faults[0] += 1;
                world.coordinator = MaintenanceCoordinator::new();
                world.elected_tick = world.now;
            }
            Action::Restart(index) => {
                world.faults[1] += 1;
                let incarnation = world.fronts[index].incarnation + 1;
                world.fronts[index] = Front { incarnation, exclusions: new_exclusions(), open_until: 0 };
                world.replicated.on_join(holder(index, incarnation));
            }
            Action::CancelAndRequest => {
                world.faults[2] += 1;
                let job =
                    world.replicated.progress().get(&machine()).map_or(JobId(0), |progress| progress.job);
                world.replicated.apply(&MaintenanceCommand::Cancel { job, machine: None }).ok()?;
                world.replicated.apply(&request_command()).ok()?;
            }
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn is_unused_while_released(model: &PermitModel, world: &World) -> bool {
            let is_released = world
                .replicated
                .progress()
                .get(&machine())
                .is_some_and(|progress| progress.stage == Stage::Released);
            let may_use = |f: &Front| f.open_until > world.now || !model.excludes(f, world.now);
            !is_released || !world.fronts.iter().any(may_use)
        }
        vec![
            Property::<Self>::always("no front uses a released machine", is_unused_while_released),
            Property::<Self>::sometimes("a machine is released", |_, world| {
                world
                    .replicated
                    .progress()
                    .get(&machine())
                    .is_some_and(|progress| progress.stage == Stage::Released)
            }),
        ]
    }
}

#[test]
fn no_front_uses_a_released_machine_in_any_order_of_events() {
    // `PERMIT_DEPTH=10` explores 1.3 million states.
    let depth = std::env::var("PERMIT_DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(DEFAULT_DEPTH);
    let checker =
        PermitModel(Variant::Correct).checker().threads(4).target_max_depth(depth).spawn_bfs().join();
    println!(
        "{} states, {} unique, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000);
}

/// Default length of the explored event sequences.
const DEFAULT_DEPTH: usize = 9;

#[test]
fn each_wrong_variant_is_detected() {
    for variant in [
        Variant::AnyFrontDrained,
        Variant::LeaseIgnored,
        Variant::EpochIgnored,
        Variant::AcknowledgementIgnored,
    ] {
        let checker = PermitModel(variant).checker().threads(4).target_max_depth(17).spawn_bfs().join();
        let discovery = checker.discovery("no front uses a released machine");
        println!("{variant:?}: {} states", checker.unique_state_count());
        let path = discovery.unwrap_or_else(|| panic!("{variant:?} is not detected"));
        println!("{:?}", path.into_actions());
    }
}
