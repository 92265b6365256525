//! The five rules, as checkers: observations go in as they are made, broken rules come out, each with the moment and
//! what it was about. Whoever makes observations (tests with stand-ins, the lab, the model) uses the same checkers.
//!
//! - **lost**: each request has one final answer, before its deadline;
//! - **twice**: what must run once runs once for its key;
//! - **drained**: no new work to a node, nor a fill from it, from 2 s after it was announced to drain;
//! - **pushed over**: a node that has just started gets no more than it bears;
//! - **purged**: from 1 s after a purge nothing older is answered.

#![expect(missing_docs, reason = "not documented in full yet: see docs/ROADMAP.md")]

pub mod front_drain;
pub mod sizes;
pub mod spends;

use std::collections::BTreeMap;
use std::fmt;

/// Milliseconds of any clock, the same for all observations.
pub type Ms = f64;

/// Spans of the rules.
pub const DRAIN: Ms = 2000.0;
pub const PURGE: Ms = 1000.0;

/// What was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A client has asked, and gives up at that moment.
    Asked {
        request: u64,
        deadline: Ms,
    },
    /// A client has its final answer; of a copy, when that was made and of which object.
    Answered {
        request: u64,
        copy: Option<(u64, Ms)>,
    },
    /// The client has left by itself: no answer is owed.
    Left {
        request: u64,
    },
    /// A node has been given work, and where from it fills a miss.
    Work {
        node: u64,
        source: Option<u64>,
    },
    /// A node has run what must run once.
    Ran {
        key: u64,
    },
    /// A node was announced: as draining, as taking work again, or as started just now. Warm, which it is after
    /// `warm_after`, it bears so many requests in a span; at its start the part `from` of them, rising evenly.
    Drains {
        node: u64,
    },
    Serves {
        node: u64,
    },
    Started {
        node: u64,
        bears: f64,
        from: f64,
        span: Ms,
        warm_after: Ms,
    },
    /// A purge of an object was announced; copies made before are not to be answered.
    Purge {
        object: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    Lost,
    Twice,
    Drained,
    PushedOver,
    Purged,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    pub rule: Rule,
    pub at: Ms,
    pub what: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.0} ms: {}", self.rule, self.at, self.what)
    }
}

#[derive(Clone, Copy, Debug)]
struct Cold {
    since: Ms,
    bears: f64,
    from: f64,
    span: Ms,
    warm_after: Ms,
}

/// All five checkers over one stream. Observations may come a little out of order: each has its own time.
#[derive(Debug, Default)]
pub struct Rules {
    open: BTreeMap<u64, Ms>,
    done: BTreeMap<u64, Ms>,
    runs: BTreeMap<u64, u32>,
    draining: BTreeMap<u64, Ms>,
    cold: BTreeMap<u64, (Cold, Vec<Ms>)>,
    purges: BTreeMap<u64, Ms>,
    broken: Vec<Broken>,
    /// A late observation by a coarse clock is no broken rule.
    pub slack: Ms,
}

impl Rules {
    pub fn new(slack: Ms) -> Rules {
        Rules { slack, ..Rules::default() }
    }

    fn breaks(&mut self, rule: Rule, at: Ms, what: String) {
        self.broken.push(Broken { rule, at, what });
    }

    /// Takes one observation in.
    pub fn see(&mut self, at: Ms, seen: Seen) {
        match seen {
            Seen::Asked { request, deadline } => drop(self.open.insert(request, deadline)),
            Seen::Left { request } => drop(self.open.remove(&request)),
            Seen::Answered { request, copy } => {
                match self.open.remove(&request) {
                    Some(deadline) if at > deadline + self.slack => {
                        let late = at - deadline;
                        self.breaks(
                            Rule::Lost,
                            at,
                            format!("request {request} was answered {late:.0} ms too late"),
                        );
                    }
                    Some(_) => {}
                    None if self.done.contains_key(&request) => {
                        self.breaks(Rule::Lost, at, format!("request {request} was answered twice"));
                    }
                    None => {}
                }
                self.done.insert(request, at);
                let Some((object, dated)) = copy else { return };
                let purge = self.purges.get(&object).copied();
                if purge.is_some_and(|p| at > p + PURGE + self.slack && dated < p) {
                    self.breaks(
                        Rule::Purged,
                        at,
                        format!("object {object:016x} was answered from before its purge"),
                    );
                }
            }
            Seen::Work { node, source } => {
                for used in [Some(node), source].into_iter().flatten() {
                    if self.draining.get(&used).is_some_and(|since| at > since + DRAIN + self.slack) {
                        self.breaks(Rule::Drained, at, format!("node {used} has work though it drains"));
                    }
                }
                self.press(node, at);
                if let Some(source) = source {
                    self.press(source, at);
                }
            }
            Seen::Ran { key } => {
                let runs = self.runs.entry(key).or_insert(0);
                *runs += 1;
                if *runs == 2 {
                    self.breaks(Rule::Twice, at, format!("key {key:016x} ran again"));
                }
            }
            Seen::Drains { node } => drop(self.draining.entry(node).or_insert(at)),
            Seen::Serves { node } => drop(self.draining.remove(&node)),
            Seen::Started { node, bears, from, span, warm_after } => {
                self.cold.insert(node, (Cold { since: at, bears, from, span, warm_after }, Vec::new()));
            }
            Seen::Purge { object } => {
                let last = self.purges.entry(object).or_insert(at);
                *last = last.max(at);
            }
        }
    }

    /// Work on a node that may be cold.
    fn press(&mut self, node: u64, at: Ms) {
        let Some((cold, work)) = self.cold.get_mut(&node) else { return };
        if at - cold.since > cold.warm_after {
            self.cold.remove(&node);
            return;
        }
        work.retain(|w| at - w < cold.span);
        work.push(at);
        let risen = ((at - cold.since) / cold.warm_after).clamp(0.0, 1.0);
        let bears = cold.bears * (cold.from + (1.0 - cold.from) * risen);
        if work.len() as f64 > bears {
            let (many, span) = (work.len(), cold.span);
            work.clear();
            self.breaks(
                Rule::PushedOver,
                at,
                format!("node {node} has {many} in {span:.0} ms, bears {bears:.0}"),
            );
        }
    }

    /// All that was asked is over by now; what is open past its deadline is lost.
    pub fn end(mut self, now: Ms) -> Vec<Broken> {
        let late: Vec<u64> =
            self.open.iter().filter(|(_, deadline)| now > **deadline + self.slack).map(|(r, _)| *r).collect();
        for request in late {
            self.breaks(Rule::Lost, now, format!("request {request} has no answer"));
        }
        self.broken.sort_by(|a, b| a.at.total_cmp(&b.at));
        self.broken
    }
}
