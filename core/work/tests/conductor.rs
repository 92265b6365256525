//! What the leader proposes from what fronts say: steps, waits and their reasons, overdue permits, returns.

use elmtide_budgets::{Epoch, FrontId, HolderId, Incarnation};
use elmtide_work::conductor::Now;
use elmtide_work::plan::Wait;
use elmtide_work::state::Step;
use elmtide_work::view::{Looks, Sight, Work};
use elmtide_work::{Bounds, Command, Conductor, JobId, MachineId, Said, Spec, Stage, State};

const LEASE: u64 = 1000;

struct Leader {
    state: State,
    conductor: Conductor,
    now: u64,
    wall: u64,
    sights: Vec<(MachineId, Sight)>,
}

fn id(name: &str) -> MachineId {
    MachineId::of(name)
}

fn holder(front: u64) -> HolderId {
    HolderId { front: FrontId(front), incarnation: Incarnation(1) }
}

const READY: Sight = Sight { looks: Looks::Ready, born: 5, warm: 100, load: 10, work: Work::Done };

impl Leader {
    /// Two fronts, two machines at each of two locations; a job of two of one location and one of the other.
    fn new(minutes: u32) -> Leader {
        let spec = |name: &str, location| Spec {
            name: name.into(),
            location,
            hub: 0,
            kind: 1,
            weight: 1000,
            at: None,
            front: None,
        };
        let machines = vec![spec("a", 1), spec("b", 1), spec("c", 2), spec("d", 2)];
        let bounds = Bounds { of_location: 1, closed: vec![(60, 120)], ..Bounds::default() };
        let mut state = State::default();
        state.apply(&Command::Layout { version: 1, machines, bounds }).unwrap();
        (1..=2).for_each(|front| state.joined(holder(front)));
        let machines = vec![id("a"), id("b"), id("c")];
        let job = Command::Out { machines, by: "op".into(), reason: String::new(), minutes, at: 0 };
        state.apply(&job).unwrap();
        let sights = ["a", "b", "c", "d"].map(|m| (id(m), READY)).to_vec();
        let mut leader = Leader { state, conductor: Conductor::new(), now: 10_000, wall: 1000, sights };
        leader.say(&[1, 2]);
        leader
    }

    /// These fronts have seen all that there is, and are clear of all.
    fn say(&mut self, fronts: &[u64]) {
        let clear: Vec<MachineId> = self.state.ways().keys().copied().collect();
        for front in fronts {
            let sights = self.sights.clone();
            let said =
                Said { seen: Some(self.state.number()), clear: clear.clone(), sights, ..Said::default() };
            self.conductor.on_said(&self.state, holder(*front), said, self.now);
        }
    }

    fn propose(&mut self) -> Vec<Command> {
        let now = self.now;
        let over_at = |_| now + 1;
        let now = Now { steady: now, wall: self.wall, lease: LEASE, me: FrontId(9), over_at: &over_at };
        self.conductor.propose(&self.state, &now).commands
    }

    /// What is refused changes nothing.
    fn apply(&mut self, commands: &[Command]) {
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
        self.state.ways().get(&id(name)).map(|w| w.stage)
    }

    fn wait(&mut self, name: &str) -> Option<Wait> {
        self.propose();
        let said = Said { seen: Some(self.state.number()), looks: true, ..Said::default() };
        self.conductor.on_said(&self.state, holder(1), said, self.now);
        let view = self.conductor.view(&self.state, holder(1), self.wall)?;
        let found = view.details?.waits.into_iter().find(|(m, _)| *m == id(name)).map(|(_, wait)| wait);
        self.say(&[1]);
        found
    }

    fn set(&mut self, name: &str, sight: Sight) {
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
        [Some(Stage::Released), Some(Stage::Queued), Some(Stage::Released)]
    );
    assert_eq!(leader.wait("c"), Some(Wait::Work));
    // The same start as when it was let go is no return.
    leader.go();
    assert_eq!(leader.stage("a"), Some(Stage::Released));
    leader.set("a", Sight { looks: Looks::Failing, born: 9, ..READY });
    leader.go();
    assert_eq!(leader.stage("a"), Some(Stage::Back), "there again, and fails");
    assert_eq!(leader.wait("a"), Some(Wait::Fails(FrontId(1))));
    leader.set("a", Sight { born: 9, warm: 40, ..READY });
    leader.go();
    assert_eq!((leader.stage("a"), leader.wait("a")), (Some(Stage::Warming), Some(Wait::Warms(40))));
    leader.set("a", Sight { born: 9, work: Work::NoneDone, ..READY });
    leader.go();
    assert_eq!(leader.wait("a"), Some(Wait::Unproven(FrontId(1))), "it answers, and does nothing well");
    leader.set("a", Sight { born: 9, work: Work::NoneSent, ..READY });
    leader.go();
    assert_eq!(leader.stage("a"), Some(Stage::Warming), "nobody sends to it yet");
    leader.set("a", Sight { born: 9, ..READY });
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
    assert!(leader.state.ways()[&id("a")].overdue);
    // Its place is free again by a layout that lets two go: still nothing new goes there.
    let specs: Vec<Spec> = leader.state.specs().values().cloned().collect();
    leader.state.apply(&Command::Layout { version: 2, machines: specs, bounds: Bounds::default() }).unwrap();
    leader.go();
    assert_eq!((leader.stage("b"), leader.wait("b")), (Some(Stage::Queued), Some(Wait::Overdue(id("a")))));
}

#[test]
fn what_stops_new_ones_is_said() {
    let mut leader = Leader::new(0);
    leader.wall = 90 * 60_000;
    assert_eq!(leader.wait("a"), Some(Wait::Hours));
    leader.wall = 0;
    let said = Said { seen: Some(Epoch(0)), strained: true, ..Said::default() };
    leader.conductor.on_said(&leader.state, holder(2), said, leader.now);
    assert_eq!(leader.wait("a"), Some(Wait::Strained(FrontId(2))));
    leader.say(&[2]);
    assert_eq!(leader.wait("a"), Some(Wait::Turn));
    leader.now += LEASE + 1;
    leader.say(&[1]);
    assert_eq!(leader.wait("a"), Some(Wait::NotHeard(FrontId(2))));
    leader.say(&[2]);
    leader.set("b", Sight { looks: Looks::Absent, ..READY });
    assert_eq!(leader.wait("a"), Some(Wait::Lost(id("b"))));
}

#[test]
fn next_waits_for_all_and_leaving_for_what_is_open() {
    let mut leader = Leader::new(0);
    let next = leader.propose();
    assert!(next.iter().all(|c| matches!(c, Command::Step { step: Step::Next, .. })), "{next:?}");
    leader.apply(&next);
    leader.say(&[1]);
    assert_eq!(
        leader.wait("a"),
        Some(Wait::NotSeen(FrontId(1))),
        "what they have said has to be agreed on first"
    );
    let seen = leader.propose();
    leader.apply(&seen);
    assert_eq!(leader.wait("a"), Some(Wait::NotSeen(FrontId(2))));
    leader.say(&[1, 2]);
    let proposed = leader.propose();
    leader.apply(&proposed);
    let proposed = leader.propose();
    leader.apply(&proposed);
    assert_eq!(leader.stage("a"), Some(Stage::Leaving));
    let said = Said { seen: Some(leader.state.number()), sights: leader.sights.clone(), ..Said::default() };
    (1..=2).for_each(|f| leader.conductor.on_said(&leader.state, holder(f), said.clone(), leader.now));
    assert_eq!(leader.wait("a"), Some(Wait::Open(FrontId(1))));
    // The first one has said that it is clear of it since.
    assert_eq!(leader.wait("a"), Some(Wait::Open(FrontId(2))));
}

/// A job is held in the midst of its way: what is not let go stays where it is.
#[test]
fn a_held_job_stays_where_it_is() {
    let mut leader = Leader::new(0);
    let proposed = leader.propose();
    leader.apply(&proposed);
    leader.state.apply(&Command::Hold { job: JobId(1) }).unwrap();
    leader.go();
    assert_eq!((leader.stage("a"), leader.wait("a")), (Some(Stage::Next), Some(Wait::Held)));
    leader.state.apply(&Command::GoOn { job: JobId(1) }).unwrap();
    leader.go();
    assert_eq!(leader.stage("a"), Some(Stage::Released));
}
