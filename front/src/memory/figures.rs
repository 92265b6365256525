//! The metrics of the management address: requests served, refused and failed by class, requests in flight, cache nodes
//! known and excluded, and reloads at SIGHUP.
//!
//! Each outcome is counted once, where it is decided: an answer by the `Responder` that sends it, an attempt by the
//! connection that wrote it completely. Classes are identified by name, so that a class keeps its counts across a
//! reload; beyond `MAX_CLASSES` names, further classes are not reported.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};

use serde_json::{Map, Value};

/// Maximum number of class names counted, over all reloads.
const MAX_CLASSES: usize = 256;

/// The counts of one class.
#[derive(Debug, Default)]
pub struct ClassTally {
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    /// Attempts written completely to cache nodes.
    pub attempts: AtomicU64,
}

/// How a request ended, for counting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Served,
    Refused,
    Failed,
    /// The client left: not counted.
    Left,
}

/// The metrics of the management address.
#[derive(Debug, Default)]
pub struct Figures {
    classes: Mutex<Vec<(Arc<str>, Arc<ClassTally>)>>,
    in_flight: AtomicU64,
    pub cache_nodes_known: AtomicU64,
    pub cache_nodes_excluded: AtomicU64,
    pub reloads_ok: AtomicU64,
    pub reloads_failed: AtomicU64,
}

impl Figures {
    /// The counters of a class by name; beyond the maximum number of names, separate counters that are not reported.
    pub fn tally(&self, class: &str) -> Arc<ClassTally> {
        let mut classes = self.classes.lock().unwrap_or_else(|p| p.into_inner());
        if let Some((_, tally)) = classes.iter().find(|(name, _)| &**name == class) {
            return tally.clone();
        }
        let tally = Arc::new(ClassTally::default());
        if classes.len() < MAX_CLASSES {
            classes.push((class.into(), tally.clone()));
        }
        tally
    }

    /// Counts an accepted request as in flight until its `InFlight` is dropped.
    pub fn taken(self: &Arc<Figures>, tally: Arc<ClassTally>) -> InFlight {
        self.in_flight.fetch_add(1, Relaxed);
        InFlight { figures: self.clone(), tally }
    }

    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Relaxed)
    }

    /// The metrics as one JSON object on one line.
    pub fn render(&self) -> String {
        let classes = self.classes.lock().unwrap_or_else(|p| p.into_inner()).clone();
        let by_class = |count: fn(&ClassTally) -> &AtomicU64| {
            let counts =
                classes.iter().map(|(name, t)| (name.to_string(), Value::from(count(t).load(Relaxed))));
            Value::Object(counts.collect::<Map<_, _>>())
        };
        let mut all = Map::new();
        all.insert("served".into(), by_class(|t| &t.served));
        all.insert("refused".into(), by_class(|t| &t.refused));
        all.insert("failed".into(), by_class(|t| &t.failed));
        let attempts: u64 = classes.iter().map(|(_, t)| t.attempts.load(Relaxed)).sum();
        all.insert("attempts".into(), Value::from(attempts));
        let single = [
            ("in_flight", &self.in_flight),
            ("cache_nodes_known", &self.cache_nodes_known),
            ("cache_nodes_excluded", &self.cache_nodes_excluded),
            ("reloads_ok", &self.reloads_ok),
            ("reloads_failed", &self.reloads_failed),
        ];
        for (name, value) in single {
            all.insert(name.into(), Value::from(value.load(Relaxed)));
        }
        Value::Object(all).to_string()
    }
}

/// Held by a request while it is in flight; counts its end once.
#[derive(Debug)]
pub struct InFlight {
    figures: Arc<Figures>,
    tally: Arc<ClassTally>,
}

impl InFlight {
    pub fn end(self, ended: Ended) {
        let count = match ended {
            Ended::Served => &self.tally.served,
            Ended::Refused => &self.tally.refused,
            Ended::Failed => &self.tally.failed,
            Ended::Left => return,
        };
        count.fetch_add(1, Relaxed);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.figures.in_flight.fetch_sub(1, Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_end_is_counted_once_in_its_class_and_in_flight_returns_to_zero() {
        let figures = Arc::new(Figures::default());
        let (a, b) = (figures.tally("A"), figures.tally("B"));
        let ends = [Ended::Served, Ended::Served, Ended::Refused, Ended::Failed, Ended::Left];
        let open: Vec<InFlight> = ends.iter().map(|_| figures.taken(a.clone())).collect();
        let other = figures.taken(b.clone());
        assert_eq!(figures.in_flight(), 6);
        for (flight, ended) in open.into_iter().zip(ends) {
            flight.end(ended);
        }
        drop(other);
        assert_eq!(figures.in_flight(), 0);
        let shown: Value = serde_json::from_str(&figures.render()).unwrap();
        assert_eq!(shown["served"]["A"], 2);
        assert_eq!(shown["refused"]["A"], 1);
        assert_eq!(shown["failed"]["A"], 1);
        assert_eq!(shown["served"]["B"], 0);
        assert_eq!(shown["in_flight"], 0);
        // The same name gives the same counters, as after a reload.
        figures.tally("A").attempts.fetch_add(3, Relaxed);
        b.attempts.fetch_add(1, Relaxed);
        let shown: Value = serde_json::from_str(&figures.render()).unwrap();
        assert_eq!(shown["attempts"], 4, "attempts are one figure for all classes");
    }

    #[test]
    fn classes_beyond_the_maximum_are_not_reported() {
        let figures = Figures::default();
        for n in 0..MAX_CLASSES + 10 {
            figures.tally(&format!("c{n}")).served.fetch_add(1, Relaxed);
        }
        let shown: Value = serde_json::from_str(&figures.render()).unwrap();
        assert_eq!(shown["served"].as_object().unwrap().len(), MAX_CLASSES);
    }
}
