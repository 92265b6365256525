//! Checkers for the five rules of the edge. Tests with stand-ins, the lab and the model feed them observations and get
//! back the violations, each with its time and a description.
//!
//! - **Lost**: each request gets exactly one final answer, before its deadline.
//! - **Duplicate execution**: a request that must run once runs once for its key.
//! - **Work while draining**: a node gets no new work, and serves no fill, later than 2 s after its drain was
//!   announced.
//! - **Cold overload**: a node that has just started gets no more requests than its capacity.
//! - **Stale after purge**: later than 1 s after a purge no older copy is answered.

#![expect(missing_docs, reason = "not documented in full yet: see docs/ROADMAP.md")]

pub mod front_drain;
pub mod sizes;
pub mod spends;

use std::collections::BTreeMap;
use std::fmt;

/// Milliseconds on any clock, as long as all observations use the same one.
pub type Ms = f64;

/// Time in milliseconds after the announcement of a drain during which a node may still get work.
pub const DRAIN_GRACE: Ms = 2000.0;
/// Time in milliseconds after a purge during which older copies may still be served.
pub const PURGE_GRACE: Ms = 1000.0;

/// An observation of the system under test.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A client sent a request and waits until the deadline.
    Requested { request: u64, deadline: Ms },
    /// A client got its final answer. `copy` is the object and the time its cached copy was made, if it came from one.
    Answered { request: u64, copy: Option<(u64, Ms)> },
    /// The client gave the request up, so no answer is due.
    Abandoned { request: u64 },
    /// A node was given work; `source` is the node from which it fills a miss.
    WorkAssigned { node: u64, source: Option<u64> },
    /// A node executed a request that must run once.
    Executed { key: u64 },
    /// A node was announced as draining.
    DrainAnnounced { node: u64 },
    /// A node was announced as taking work again.
    ServiceResumed { node: u64 },
    /// A node was announced as just started. From `warm_after` on it can take `capacity` requests per window. At its
    /// start it can take the part `initial_fraction` of that, which rises linearly.
    Started {
        node: u64,
        /// Requests per window once warm.
        capacity: f64,
        /// Part of the capacity that is available at the start.
        initial_fraction: f64,
        /// Length of the sliding window.
        window: Ms,
        /// Time from the start until the node is warm.
        warm_after: Ms,
    },
    /// A purge of an object was announced. Copies made earlier must no longer be served.
    PurgeAnnounced { object: u64 },
}

/// One of the five rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request had no answer, a late answer or two answers.
    Lost,
    /// A request that must run once ran again.
    DuplicateExecution,
    /// A draining node got work or served a fill.
    WorkWhileDraining,
    /// A cold node got more requests than its capacity.
    ColdOverload,
    /// A request was answered with a copy made before the object's purge.
    StaleAfterPurge,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: Rule,
    pub at: Ms,
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.0} ms: {}", self.rule, self.at, self.description)
    }
}

/// The start of a node and its capacity while it warms up.
#[derive(Clone, Copy, Debug)]
struct ColdNode {
    started_at: Ms,
    capacity: f64,
    initial_fraction: f64,
    window: Ms,
    warm_after: Ms,
}

/// Checks all five rules over one stream of observations, which may be slightly out of order as each has its own time.
#[derive(Debug, Default)]
pub struct RuleChecker {
    /// Requests without an answer, with their deadlines.
    unanswered: BTreeMap<u64, Ms>,
    /// Answered requests, with the time of the last answer.
    answered: BTreeMap<u64, Ms>,
    /// Executions per key.
    executions: BTreeMap<u64, u32>,
    /// Draining nodes, with the time of the first announcement.
    draining: BTreeMap<u64, Ms>,
    /// Nodes that are warming up, with the times of their recent requests.
    cold_nodes: BTreeMap<u64, (ColdNode, Vec<Ms>)>,
    /// Time of the latest purge per object.
    purges: BTreeMap<u64, Ms>,
    violations: Vec<Violation>,
    /// Tolerance on every time limit, for observations made by a coarse clock.
    pub slack: Ms,
}

impl RuleChecker {
    /// A checker without observations, with this tolerance on time limits.
    pub fn new(slack: Ms) -> RuleChecker {
        RuleChecker { slack, ..RuleChecker::default() }
    }

    fn record_violation(&mut self, rule: Rule, at: Ms, description: String) {
        self.violations.push(Violation { rule, at, description });
    }

    /// Processes one observation.
    pub fn observe(&mut self, at: Ms, observation: Observation) {
        match observation {
            Observation::Requested { request, deadline } => drop(self.unanswered.insert(request, deadline)),
            Observation::Abandoned { request } => drop(self.unanswered.remove(&request)),
            Observation::Answered { request, copy } => {
                match self.unanswered.remove(&request) {
                    Some(deadline) if at > deadline + self.slack => {
                        let overdue = at - deadline;
                        self.record_violation(
                            Rule::Lost,
                            at,
                            format!("request {request} was answered {overdue:.0} ms after its deadline"),
                        );
                    }
                    Some(_) => {}
                    None if self.answered.contains_key(&request) => {
                        self.record_violation(
                            Rule::Lost,
                            at,
                            format!("request {request} was answered twice"),
                        );
                    }
                    None => {}
                }
                self.answered.insert(request, at);
                let Some((object, made_at)) = copy else { return };
                let purge = self.purges.get(&object).copied();
                if purge.is_some_and(|p| at > p + PURGE_GRACE + self.slack && made_at < p) {
                    self.record_violation(
                        Rule::StaleAfterPurge,
                        at,
                        format!("a request for object {object:016x} was answered with a copy made before its purge"),
                    );
                }
            }
            Observation::WorkAssigned { node, source } => {
                for busy in [Some(node), source].into_iter().flatten() {
                    if self
                        .draining
                        .get(&busy)
                        .is_some_and(|draining_since| at > draining_since + DRAIN_GRACE + self.slack)
                    {
                        self.record_violation(
                            Rule::WorkWhileDraining,
                            at,
                            format!("node {busy} got work while draining"),
                        );
                    }
                }
                self.record_work(node, at);
                if let Some(source) = source {
                    self.record_work(source, at);
                }
            }
            Observation::Executed { key } => {
                let executions = self.executions.entry(key).or_insert(0);
                *executions += 1;
                if *executions == 2 {
                    self.record_violation(
                        Rule::DuplicateExecution,
                        at,
                        format!("key {key:016x} was executed again"),
                    );
                }
            }
            Observation::DrainAnnounced { node } => drop(self.draining.entry(node).or_insert(at)),
            Observation::ServiceResumed { node } => drop(self.draining.remove(&node)),
            Observation::Started { node, capacity, initial_fraction, window, warm_after } => {
                self.cold_nodes.insert(
                    node,
                    (ColdNode { started_at: at, capacity, initial_fraction, window, warm_after }, Vec::new()),
                );
            }
            Observation::PurgeAnnounced { object } => {
                let last = self.purges.entry(object).or_insert(at);
                *last = last.max(at);
            }
        }
    }

    /// Counts a request at a node and reports it if the node is cold and over its capacity.
    fn record_work(&mut self, node: u64, at: Ms) {
        let Some((cold, work)) = self.cold_nodes.get_mut(&node) else { return };
        if at - cold.started_at > cold.warm_after {
            self.cold_nodes.remove(&node);
            return;
        }
        work.retain(|w| at - w < cold.window);
        work.push(at);
        let warmed = ((at - cold.started_at) / cold.warm_after).clamp(0.0, 1.0);
        let capacity = cold.capacity * (cold.initial_fraction + (1.0 - cold.initial_fraction) * warmed);
        if work.len() as f64 > capacity {
            let (count, window) = (work.len(), cold.window);
            work.clear();
            self.record_violation(
                Rule::ColdOverload,
                at,
                format!("node {node} got {count} requests in {window:.0} ms, its capacity is {capacity:.0}"),
            );
        }
    }

    /// Ends the observation: requests that are still open past their deadline are lost. Returns all violations by time.
    pub fn finish(mut self, now: Ms) -> Vec<Violation> {
        let overdue: Vec<u64> = self
            .unanswered
            .iter()
            .filter(|(_, deadline)| now > **deadline + self.slack)
            .map(|(r, _)| *r)
            .collect();
        for request in overdue {
            self.record_violation(Rule::Lost, now, format!("request {request} has no answer"));
        }
        self.violations.sort_by(|a, b| a.at.total_cmp(&b.at));
        self.violations
    }
}
