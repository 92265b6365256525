//! Model checking of leases with `stateright`: explores every order of delivery, loss, duplication, crash, lease expiry
//! and leader change for a small number of steps. The model uses the real `BudgetState::apply`; the rules of the leader
//! and of the holders are modelled here, with time in discrete steps.
//!
//! Two fronts compete for a whole budget. The leader may change at any moment, and the old leader continues without
//! noticing; or a front may restart. Responses are lost, delayed and duplicated. The check: the quotas in force never
//! sum to more than the total.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use elmtide_budgets::ConfirmedReduction;
use elmtide_budgets::{
    BudgetCommand, BudgetId, BudgetKind, BudgetState, Epoch, FrontId, HolderId, Incarnation, TOTAL,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

const BUDGET: BudgetId = BudgetId { kind: BudgetKind::Retries, resource: 0 };
/// Length of a lease in steps, and how long a leader waits for its expiry: one step more, for the time between a
/// request and the leader's response.
const LEASE_STEPS: u8 = 2;
const EXPIRY_WAIT_STEPS: u8 = 3;
const FRONTS: usize = 2;
const MAX_MOVES: u8 = 2;
/// Maximum number of responses in flight; each may arrive at any time, repeatedly, or never.
const MAX_RESPONSES: usize = 2;

/// The rule that the model deliberately violates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RuleViolation {
    NoViolation,
    /// The holder counts its lease from the receipt of the response.
    LeaseFromReceipt,
    /// A new leader expires the leases of unresponsive holders without waiting from its election on.
    NoWaitAfterElection,
    /// A leader answers without a read acknowledged by a majority.
    NoMajorityRead,
    /// A reduction is confirmed before its holder has applied it.
    UnconfirmedReduction,
    /// A bucket is full after each change of its quota.
    BucketStartsFull,
}

/// A response in flight, with the time at which its request was sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct LeaseResponse {
    to: u8,
    incarnation: u64,
    requested_at: u8,
    epoch: u64,
    quota: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Front {
    incarnation: u64,
    quota: u32,
    epoch: u64,
    expires_at: u8,
    /// Tokens in its bucket, in millionths of the burst.
    tokens: u32,
}

/// A leader's volatile state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leader {
    elected_at: u8,
    /// Front, incarnation and time of the last response to each holder.
    last_responses: Vec<(u8, u64, u8)>,
    is_expiring: bool,
}

#[derive(Clone, Debug)]
struct SystemState {
    now: u8,
    state: BudgetState,
    fronts: Vec<Front>,
    leader: Leader,
    /// The previous leader, which has not noticed the change, with the replicated state as it was at the change.
    old_leader: Option<(Leader, BudgetState)>,
    responses: BTreeSet<LeaseResponse>,
    leader_changes: u8,
    restarts: u8,
    /// Number of reallocations so far; limited because each raises the epoch, which would make the state space
    /// infinite.
    moves: u8,
    /// Tokens spent by all fronts, and tokens refilled into all buckets, both in halves of the burst.
    spent: u32,
    refilled: u32,
}

impl PartialEq for SystemState {
    fn eq(&self, other: &Self) -> bool {
        self.comparison_key() == other.comparison_key()
    }
}

impl Eq for SystemState {}

impl Hash for SystemState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.comparison_key().hash(hasher);
    }
}

/// The quotas and epochs of a state: everything in which the states of this model differ.
fn digest(state: &BudgetState) -> Vec<(u64, u64, u64, u32, u32, u64)> {
    let holders = state.holders().map(|holder| {
        let quota = holder.state.quotas.get(&BUDGET).copied().unwrap_or_default();
        let key = holder.id.front.0 * 2 + u64::from(holder.is_current);
        let epochs = (holder.state.epoch.0, quota.epoch.0);
        (key, holder.id.incarnation.0, epochs.0, quota.committed, quota.granted(), epochs.1)
    });
    holders.collect()
}

impl SystemState {
    fn comparison_key(&self) -> impl Hash + PartialEq + '_ {
        let old_leader = self.old_leader.as_ref().map(|(leader, state)| (leader.clone(), digest(state)));
        (
            (self.now, digest(&self.state), &self.fronts, &self.leader),
            (
                old_leader,
                &self.responses,
                self.leader_changes,
                self.restarts,
                self.moves,
                self.spent,
                self.refilled,
            ),
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
        if self.now < front.expires_at {
            front.quota
        } else {
            0
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    /// A front sends a request, and the leader (or the old leader) answers if a majority acknowledges its read.
    LeaseRequest(u8),
    RequestFromOldLeader(u8),
    DeliverResponse(LeaseResponse),
    /// The leader moves the quota from one front to the other, confirms a reduction, or expires an unresponsive
    /// holder's lease.
    MoveQuota(u8),
    ConfirmReduction(u8),
    ExpireLease(u8),
    ChangeLeader,
    Restart(u8),
    Spend(u8),
}

struct LeaseModel {
    violation: RuleViolation,
    max_time: u8,
    /// Models buckets, but then no leader change and no restarts: each alone is small enough to be explored completely.
    with_buckets: bool,
}

fn create_response(
    state: &BudgetState,
    holder: HolderId,
    front: u8,
    requested_at: u8,
) -> Option<LeaseResponse> {
    let holder_state = state.current_holder(holder)?;
    let quota = holder_state.quotas.get(&BUDGET).map_or(0, |s| s.granted());
    Some(LeaseResponse {
        to: front,
        incarnation: holder.incarnation.0,
        requested_at,
        epoch: holder_state.epoch.0,
        quota,
    })
}

fn record_answer(leader: &mut Leader, holder: HolderId, now: u8) {
    let key = (holder.front.0 as u8, holder.incarnation.0);
    leader.last_responses.retain(|(f, i, _)| (*f, *i) != key);
    leader.last_responses.push((key.0, key.1, now));
    leader.last_responses.sort_unstable();
}

impl Model for LeaseModel {
    type State = SystemState;
    type Action = Step;

    fn init_states(&self) -> Vec<SystemState> {
        let mut state = BudgetState::default();
        let fronts = (1..=FRONTS as u64).map(FrontId).collect();
        state.apply(&BudgetCommand::UpdateFronts { version: 1, fronts, minimums: vec![], lease: 1 }).unwrap();
        let front = Front { incarnation: 1, quota: 0, epoch: 0, expires_at: 0, tokens: 0 };
        let mut system = SystemState {
            now: 1,
            state,
            fronts: vec![front; FRONTS],
            leader: Leader { elected_at: 1, last_responses: vec![], is_expiring: false },
            old_leader: None,
            responses: BTreeSet::new(),
            leader_changes: 0,
            restarts: 0,
            moves: 0,
            spent: 0,
            refilled: 0,
        };
        for front in 0..FRONTS {
            let holder = system.holder(front);
            system.state.apply(&BudgetCommand::Join { holder }).unwrap();
        }
        let holder = system.holder(0);
        system.state.apply(&BudgetCommand::Allocate { changes: vec![(holder, BUDGET, TOTAL)] }).unwrap();
        vec![system]
    }

    fn actions(&self, system: &SystemState, actions: &mut Vec<Step>) {
        if system.now < self.max_time {
            actions.push(Step::Tick);
        }
        for front in 0..FRONTS as u8 {
            actions.push(Step::LeaseRequest(front));
            if system.old_leader.is_some() {
                actions.push(Step::RequestFromOldLeader(front));
            }
            actions.extend([Step::ConfirmReduction(front), Step::ExpireLease(front)]);
            if system.moves < MAX_MOVES {
                actions.push(Step::MoveQuota(front));
            }
            if system.restarts + system.leader_changes < 1 && system.moves > 0 && !self.with_buckets {
                actions.push(Step::Restart(front));
            }
            if self.with_buckets && system.fronts[usize::from(front)].tokens > 0 {
                actions.push(Step::Spend(front));
            }
        }
        for response in &system.responses {
            actions.push(Step::DeliverResponse(response.clone()));
        }
        if system.leader_changes + system.restarts < 1 && !self.with_buckets {
            actions.push(Step::ChangeLeader);
        }
    }

    fn next_state(&self, before: &SystemState, step: Step) -> Option<SystemState> {
        let mut system = before.clone();
        match step {
            Step::Tick => {
                system.now += 1;
                // Each step fills the bucket of a quota in force; an expired quota's bucket is emptied.
                for front in 0..FRONTS {
                    if !self.with_buckets {
                        continue;
                    }
                    let quota = system.in_force(front);
                    let front_state = &mut system.fronts[front];
                    if quota == 0 {
                        (front_state.tokens, front_state.quota) = (0, 0);
                    } else if front_state.tokens < quota {
                        front_state.tokens = quota;
                        system.refilled += quota / (TOTAL / 2);
                    }
                }
            }
            Step::LeaseRequest(front) => {
                let holder = system.holder(usize::from(front));
                if system.leader.is_expiring || system.responses.len() >= MAX_RESPONSES {
                    return None;
                }
                let response = create_response(&system.state, holder, front, system.now)?;
                record_answer(&mut system.leader, holder, system.now);
                system.responses.insert(response);
            }
            Step::RequestFromOldLeader(front) => {
                // The old leader has lost its majority: its read is never acknowledged, unless the rule is violated.
                if self.violation != RuleViolation::NoMajorityRead || system.responses.len() >= MAX_RESPONSES
                {
                    return None;
                }
                let holder = system.holder(usize::from(front));
                let now = system.now;
                let (leader, state) = system.old_leader.as_mut()?;
                let response = create_response(state, holder, front, now)?;
                record_answer(leader, holder, now);
                system.responses.insert(response);
            }
            Step::DeliverResponse(response) => {
                // The response stays in flight and may be delivered again.
                let front_state = &mut system.fronts[usize::from(response.to)];
                if front_state.incarnation != response.incarnation || response.epoch < front_state.epoch {
                    return None;
                }
                let from = if self.violation == RuleViolation::LeaseFromReceipt {
                    system.now
                } else {
                    response.requested_at
                };
                let expires_at = from + LEASE_STEPS;
                if system.now >= expires_at {
                    return None;
                }
                if self.violation == RuleViolation::BucketStartsFull && response.quota > 0 {
                    front_state.tokens = response.quota;
                }
                (front_state.epoch, front_state.quota, front_state.expires_at) =
                    (response.epoch, response.quota, front_state.expires_at.max(expires_at));
                front_state.tokens = front_state.tokens.min(response.quota);
            }
            Step::MoveQuota(to) => {
                system.moves += 1;
                let (to, from) = (system.holder(usize::from(to)), system.holder(1 - usize::from(to)));
                let mut changes = vec![(to, BUDGET, TOTAL)];
                if system.state.current_holder(from).is_some() {
                    changes.insert(0, (from, BUDGET, 0));
                }
                system.state.apply(&BudgetCommand::Allocate { changes }).ok()?;
                let holder_state =
                    system.state.account(from.front).and_then(|a| a.holders.get(&from.incarnation));
                let allocation = holder_state.and_then(|r| r.quotas.get(&BUDGET)).copied();
                if let Some(allocation) =
                    allocation.filter(|_| self.violation == RuleViolation::UnconfirmedReduction)
                {
                    let reductions = vec![ConfirmedReduction::Quota {
                        holder: from,
                        budget: BUDGET,
                        epoch: allocation.epoch,
                    }];
                    system.state.apply(&BudgetCommand::ConfirmReductions { reductions }).ok()?;
                }
            }
            Step::ConfirmReduction(front) => {
                // The holder confirms the epoch that it spends by; the confirmation may arrive immediately.
                let holder = system.holder(usize::from(front));
                let holder_state = system.state.account(holder.front)?.holders.get(&holder.incarnation)?;
                let allocation = *holder_state.quotas.get(&BUDGET)?;
                if system.fronts[usize::from(front)].epoch < allocation.epoch.0
                    || allocation.committed == allocation.granted()
                {
                    return None;
                }
                let reductions =
                    vec![ConfirmedReduction::Quota { holder, budget: BUDGET, epoch: allocation.epoch }];
                system.state.apply(&BudgetCommand::ConfirmReductions { reductions }).ok()?;
            }
            Step::ExpireLease(front) => {
                let front_id = FrontId(u64::from(front) + 1);
                let account = system.state.account(front_id)?;
                let (incarnation, holder_state) =
                    account.holders.iter().find(|(_, r)| !r.quotas.is_empty())?;
                let holder = HolderId { front: front_id, incarnation: *incarnation };
                let epoch: Epoch = holder_state.epoch;
                let responses_to_holder = system.leader.last_responses.iter();
                let responses_to_holder = responses_to_holder
                    .filter(|(f, i, _)| (u64::from(*f), *i) == (front_id.0, incarnation.0));
                let since = responses_to_holder.map(|(.., at)| *at).max().unwrap_or(0);
                let since = match self.violation {
                    RuleViolation::NoWaitAfterElection => since,
                    _ => since.max(system.leader.elected_at),
                };
                if system.now < since + EXPIRY_WAIT_STEPS {
                    return None;
                }
                system.state.apply(&BudgetCommand::ExpireLease { holder, epoch }).ok()?;
            }
            Step::ChangeLeader => {
                system.leader_changes += 1;
                let state = system.state.clone();
                let next = Leader { elected_at: system.now, last_responses: vec![], is_expiring: false };
                let old_leader = std::mem::replace(&mut system.leader, next);
                system.old_leader = Some((old_leader, state));
            }
            Step::Restart(front) => {
                system.restarts += 1;
                let front_state = &mut system.fronts[usize::from(front)];
                *front_state = Front {
                    incarnation: front_state.incarnation + 1,
                    quota: 0,
                    epoch: 0,
                    expires_at: 0,
                    tokens: 0,
                };
                let holder = system.holder(usize::from(front));
                system.state.apply(&BudgetCommand::Join { holder }).ok()?;
            }
            Step::Spend(front) => {
                if system.in_force(usize::from(front)) == 0 {
                    return None;
                }
                system.fronts[usize::from(front)].tokens = 0;
                system.spent += 2;
            }
        }
        (system != *before).then_some(system)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("quotas in force within the total", |_: &LeaseModel, system: &SystemState| {
                let sum: u64 = (0..FRONTS).map(|f| u64::from(system.in_force(f))).sum();
                sum <= u64::from(TOTAL)
            }),
            Property::always("no more tokens spent than refilled", |_: &LeaseModel, system: &SystemState| {
                system.spent <= system.refilled
            }),
            Property::always("state invariant holds", |_: &LeaseModel, system: &SystemState| {
                system.state.check_invariant().is_ok()
            }),
            Property::sometimes(
                "the second front gets the whole budget",
                |_: &LeaseModel, system: &SystemState| system.in_force(1) == TOTAL,
            ),
        ]
    }
}

fn explore(violation: RuleViolation, max_time: u8, with_buckets: bool) -> (usize, Vec<&'static str>) {
    let model = LeaseModel { violation, max_time, with_buckets };
    let safety_violations = HasDiscoveries::AnyOf(
        ["quotas in force within the total", "no more tokens spent than refilled"].into(),
    );
    let checker = model.checker().finish_when(safety_violations).threads(4).spawn_bfs().join();
    let violations = checker
        .discoveries()
        .into_keys()
        .filter(|name| *name != "the second front gets the whole budget")
        .collect();
    (checker.unique_state_count(), violations)
}

#[test]
fn no_order_of_events_exceeds_the_total_and_every_rule_violation_is_detected() {
    for with_buckets in [false, true] {
        let (states, violations) = explore(RuleViolation::NoViolation, 5, with_buckets);
        println!("explored all {states} states; with buckets: {with_buckets}");
        assert!(violations.is_empty(), "{violations:?}");
        assert!(states > 10_000, "explored only {states} states");
    }
    for violation in [
        RuleViolation::LeaseFromReceipt,
        RuleViolation::NoWaitAfterElection,
        RuleViolation::NoMajorityRead,
        RuleViolation::UnconfirmedReduction,
        RuleViolation::BucketStartsFull,
    ] {
        let (states, violations) = explore(violation, 5, violation == RuleViolation::BucketStartsFull);
        println!("{violation:?}: violated {violations:?}, {states} states explored");
        assert!(!violations.is_empty(), "{violation:?} was not detected in {states} states");
    }
}
