//! The machine of leases under every order of delivery, loss, doubling, crash, lapse and change of leader, for small numbers, by
//! `stateright`: the very `apply` and the rules of the granter and the lessee, with time as small steps.
//!
//! Two fronts want the whole. A leader may change at any moment, the one before goes on without knowing; or a front may restart.
//! Answers are lost, late and doubled. What is checked: at no moment do parts in force sum to more than the whole.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use elmtide_budgets::ConfirmedReduction;
use elmtide_budgets::{
    BudgetCommand, BudgetId, BudgetKind, BudgetState, Epoch, FrontId, HolderId, Incarnation, TOTAL,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

const KEY: BudgetId = BudgetId { kind: BudgetKind::Retries, resource: 0 };
/// Steps of a lease, and of its outwaiting: one more, for what lies between an ask and its answer at the leader.
const LEASE: u8 = 2;
const OUTWAIT: u8 = 3;
const FRONTS: usize = 2;
const MOVES: u8 = 2;
/// Answers under way: any may come at any time, again, or never.
const ANSWERS: usize = 2;

/// Which rule is left out on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wrong {
    Nothing,
    /// The holder counts its lease from the receipt of the answer.
    FromReceipt,
    /// A new leader takes shares of silent holders at once.
    NoOutwaiting,
    /// A leader answers without a round of its majority.
    NoRound,
    /// A cut share counts as reductions before its holder says so.
    SettledUnheard,
    /// A bucket is full after each change of its part.
    Refilled,
}

/// An answer under way: when its ask was sent, by which epoch, how much.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct LeaseResponse {
    to: u8,
    incarnation: u64,
    asked: u8,
    epoch: u64,
    part: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Front {
    incarnation: u64,
    /// What it uses, by which epoch, until when.
    part: u32,
    epoch: u64,
    ends: u8,
    /// Tokens in its bucket, in parts of the burst.
    content: u32,
}

/// A leader's memory: since when it leads, and when it last answered each holder's run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leader {
    began: u8,
    answered: Vec<(u8, u64, u8)>,
    lapsing: bool,
}

#[derive(Clone, Debug)]
struct World {
    now: u8,
    state: BudgetState,
    fronts: Vec<Front>,
    leader: Leader,
    /// The one before, that goes on without knowing; it has the state of then.
    old: Option<(Leader, BudgetState)>,
    answers: BTreeSet<LeaseResponse>,
    leaders: u8,
    restarts: u8,
    /// Divisions so far: what is counted in numbers has to end somewhere.
    moves: u8,
    /// Of tokens: what was spent in all, against what was there at the beginning and has come since.
    spent: u32,
    refilled: u32,
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.budget() == other.budget()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.budget().hash(hasher);
    }
}

/// The shares and numbers of a state: what it differs in here.
fn digest(state: &BudgetState) -> Vec<(u64, u64, u64, u32, u32, u64)> {
    let holders = state.holders().map(|holder| {
        let quota = holder.state.quotas.get(&KEY).copied().unwrap_or_default();
        let place = holder.id.front.0 * 2 + u64::from(holder.is_current);
        let epochs = (holder.state.epoch.0, quota.epoch.0);
        (place, holder.id.incarnation.0, epochs.0, quota.committed, quota.granted(), epochs.1)
    });
    holders.collect()
}

impl World {
    fn budget(&self) -> impl Hash + PartialEq + '_ {
        let old = self.old.as_ref().map(|(leader, state)| (leader.clone(), digest(state)));
        (
            (self.now, digest(&self.state), &self.fronts, &self.leader),
            (old, &self.answers, self.leaders, self.restarts, self.moves, self.spent, self.refilled),
        )
    }

    fn holder(&self, front: usize) -> HolderId {
        HolderId {
            front: FrontId(front as u64 + 1),
            incarnation: Incarnation(self.fronts[front].incarnation),
        }
    }

    fn in_force(&self, front: usize) -> u32 {
        let front = &self.fronts[front];
        if self.now < front.ends {
            front.part
        } else {
            0
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Time,
    /// A front asks, and the leader (or the old one) answers: with a round, if it has a majority.
    LeaseRequest(u8),
    AskOld(u8),
    Deliver(LeaseResponse),
    /// The leader moves the part from one to the other, settles what was said, lapses who is silent.
    Move(u8),
    Settle(u8),
    Lapse(u8),
    NewLeader,
    Restart(u8),
    Spend(u8),
}

struct Leases {
    wrong: Wrong,
    steps: u8,
    /// With buckets, and then without a second leader and restarts: each alone is small enough to be gone through whole.
    tokens: bool,
}

fn answer_of(state: &BudgetState, holder: HolderId, front: u8, asked: u8) -> Option<LeaseResponse> {
    let run = state.current_holder(holder)?;
    let part = run.quotas.get(&KEY).map_or(0, |s| s.granted());
    Some(LeaseResponse { to: front, incarnation: holder.incarnation.0, asked, epoch: run.epoch.0, part })
}

fn answered(leader: &mut Leader, holder: HolderId, now: u8) {
    let place = (holder.front.0 as u8, holder.incarnation.0);
    leader.answered.retain(|(f, i, _)| (*f, *i) != place);
    leader.answered.push((place.0, place.1, now));
    leader.answered.sort_unstable();
}

impl Model for Leases {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut state = BudgetState::default();
        let fronts = (1..=FRONTS as u64).map(FrontId).collect();
        state.apply(&BudgetCommand::UpdateFronts { version: 1, fronts, minimums: vec![], lease: 1 }).unwrap();
        let front = Front { incarnation: 1, part: 0, epoch: 0, ends: 0, content: 0 };
        let mut world = World {
            now: 1,
            state,
            fronts: vec![front; FRONTS],
            leader: Leader { began: 1, answered: vec![], lapsing: false },
            old: None,
            answers: BTreeSet::new(),
            leaders: 0,
            restarts: 0,
            moves: 0,
            spent: 0,
            refilled: 0,
        };
        for front in 0..FRONTS {
            let holder = world.holder(front);
            world.state.apply(&BudgetCommand::Join { holder }).unwrap();
        }
        let holder = world.holder(0);
        world.state.apply(&BudgetCommand::Allocate { changes: vec![(holder, KEY, TOTAL)] }).unwrap();
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        if world.now < self.steps {
            actions.push(Step::Time);
        }
        for front in 0..FRONTS as u8 {
            actions.push(Step::LeaseRequest(front));
            if world.old.is_some() {
                actions.push(Step::AskOld(front));
            }
            actions.extend([Step::Settle(front), Step::Lapse(front)]);
            if world.moves < MOVES {
                actions.push(Step::Move(front));
            }
            if world.restarts + world.leaders < 1 && world.moves > 0 && !self.tokens {
                actions.push(Step::Restart(front));
            }
            if self.tokens && world.fronts[usize::from(front)].content > 0 {
                actions.push(Step::Spend(front));
            }
        }
        for answer in &world.answers {
            actions.push(Step::Deliver(answer.clone()));
        }
        if world.leaders + world.restarts < 1 && !self.tokens {
            actions.push(Step::NewLeader);
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        match step {
            Step::Time => {
                world.now += 1;
                // Buckets fill by a part of the whole each step; what is lapsed is emptied.
                for front in 0..FRONTS {
                    if !self.tokens {
                        continue;
                    }
                    let part = world.in_force(front);
                    let place = &mut world.fronts[front];
                    if part == 0 {
                        (place.content, place.part) = (0, 0);
                    } else if place.content < part {
                        place.content = part;
                        world.refilled += part / (TOTAL / 2);
                    }
                }
            }
            Step::LeaseRequest(front) => {
                let holder = world.holder(usize::from(front));
                if world.leader.lapsing || world.answers.len() >= ANSWERS {
                    return None;
                }
                let answer = answer_of(&world.state, holder, front, world.now)?;
                answered(&mut world.leader, holder, world.now);
                world.answers.insert(answer);
            }
            Step::AskOld(front) => {
                // It has no majority any more: its round never ends, unless the rule is left out.
                if self.wrong != Wrong::NoRound || world.answers.len() >= ANSWERS {
                    return None;
                }
                let holder = world.holder(usize::from(front));
                let now = world.now;
                let (leader, state) = world.old.as_mut()?;
                let answer = answer_of(state, holder, front, now)?;
                answered(leader, holder, now);
                world.answers.insert(answer);
            }
            Step::Deliver(answer) => {
                // Doubled: it stays under way, and may come again.
                let place = &mut world.fronts[usize::from(answer.to)];
                if place.incarnation != answer.incarnation || answer.epoch < place.epoch {
                    return None;
                }
                let from = if self.wrong == Wrong::FromReceipt { world.now } else { answer.asked };
                let ends = from + LEASE;
                if world.now >= ends {
                    return None;
                }
                if self.wrong == Wrong::Refilled && answer.part > 0 {
                    place.content = answer.part;
                }
                (place.epoch, place.part, place.ends) = (answer.epoch, answer.part, place.ends.max(ends));
                place.content = place.content.min(answer.part);
            }
            Step::Move(to) => {
                world.moves += 1;
                let (to, from) = (world.holder(usize::from(to)), world.holder(1 - usize::from(to)));
                let mut changes = vec![(to, KEY, TOTAL)];
                if world.state.current_holder(from).is_some() {
                    changes.insert(0, (from, KEY, 0));
                }
                world.state.apply(&BudgetCommand::Allocate { changes }).ok()?;
                let run = world.state.account(from.front).and_then(|a| a.holders.get(&from.incarnation));
                let share = run.and_then(|r| r.quotas.get(&KEY)).copied();
                if let Some(share) = share.filter(|_| self.wrong == Wrong::SettledUnheard) {
                    let reductions =
                        vec![ConfirmedReduction::Quota { holder: from, budget: KEY, epoch: share.epoch }];
                    world.state.apply(&BudgetCommand::ConfirmReductions { reductions }).ok()?;
                }
            }
            Step::Settle(front) => {
                // The holder says the epoch by which it spends; it says it at this very moment at the latest.
                let holder = world.holder(usize::from(front));
                let run = world.state.account(holder.front)?.holders.get(&holder.incarnation)?;
                let share = *run.quotas.get(&KEY)?;
                if world.fronts[usize::from(front)].epoch < share.epoch.0
                    || share.committed == share.granted()
                {
                    return None;
                }
                let reductions = vec![ConfirmedReduction::Quota { holder, budget: KEY, epoch: share.epoch }];
                world.state.apply(&BudgetCommand::ConfirmReductions { reductions }).ok()?;
            }
            Step::Lapse(front) => {
                let front_id = FrontId(u64::from(front) + 1);
                let account = world.state.account(front_id)?;
                let (incarnation, run) = account.holders.iter().find(|(_, r)| !r.quotas.is_empty())?;
                let holder = HolderId { front: front_id, incarnation: *incarnation };
                let epoch: Epoch = run.epoch;
                let told = world.leader.answered.iter();
                let told = told.filter(|(f, i, _)| (u64::from(*f), *i) == (front_id.0, incarnation.0));
                let since = told.map(|(.., at)| *at).max().unwrap_or(0);
                let since = match self.wrong {
                    Wrong::NoOutwaiting => since,
                    _ => since.max(world.leader.began),
                };
                if world.now < since + OUTWAIT {
                    return None;
                }
                world.state.apply(&BudgetCommand::ExpireLease { holder, epoch }).ok()?;
            }
            Step::NewLeader => {
                world.leaders += 1;
                let state = world.state.clone();
                let next = Leader { began: world.now, answered: vec![], lapsing: false };
                let old = std::mem::replace(&mut world.leader, next);
                world.old = Some((old, state));
            }
            Step::Restart(front) => {
                world.restarts += 1;
                let place = &mut world.fronts[usize::from(front)];
                *place = Front { incarnation: place.incarnation + 1, part: 0, epoch: 0, ends: 0, content: 0 };
                let holder = world.holder(usize::from(front));
                world.state.apply(&BudgetCommand::Join { holder }).ok()?;
            }
            Step::Spend(front) => {
                if world.in_force(usize::from(front)) == 0 {
                    return None;
                }
                world.fronts[usize::from(front)].content = 0;
                world.spent += 2;
            }
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never above the whole", |_: &Leases, world: &World| {
                let sum: u64 = (0..FRONTS).map(|f| u64::from(world.in_force(f))).sum();
                sum <= u64::from(TOTAL)
            }),
            Property::always("never more than has come", |_: &Leases, world: &World| {
                world.spent <= world.refilled
            }),
            Property::always("counted within the whole", |_: &Leases, world: &World| {
                world.state.check_invariant().is_ok()
            }),
            Property::sometimes("the other has it", |_: &Leases, world: &World| world.in_force(1) == TOTAL),
        ]
    }
}

fn explored(wrong: Wrong, steps: u8, tokens: bool) -> (usize, Vec<&'static str>) {
    let model = Leases { wrong, steps, tokens };
    let broken = HasDiscoveries::AnyOf(["never above the whole", "never more than has come"].into());
    let checker = model.checker().finish_when(broken).threads(4).spawn_bfs().join();
    let found = checker.discoveries().into_keys().filter(|name| *name != "the other has it").collect();
    (checker.unique_state_count(), found)
}

#[test]
fn no_order_of_events_gives_more_than_the_whole_and_each_rule_left_out_is_found() {
    for tokens in [false, true] {
        let (states, found) = explored(Wrong::Nothing, 5, tokens);
        println!("{states} states, all of them; with buckets: {tokens}");
        assert!(found.is_empty(), "{found:?}");
        assert!(states > 10_000, "{states} states only");
    }
    for wrong in
        [Wrong::FromReceipt, Wrong::NoOutwaiting, Wrong::NoRound, Wrong::SettledUnheard, Wrong::Refilled]
    {
        let (states, found) = explored(wrong, 5, wrong == Wrong::Refilled);
        println!("{wrong:?}: found {found:?} within {states} states");
        assert!(!found.is_empty(), "{wrong:?} is not found in {states} states");
    }
}
