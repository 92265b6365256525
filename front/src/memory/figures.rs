//! The figures that the management address shows: what each class had served, refused and failed, what is in
//! flight, the cache nodes known and avoided, and the files taken at SIGHUP.
//!
//! Each outcome is counted where it is decided, once: an answer by the `Responder` that gives it, an attempt by the
//! connection that wrote it whole. Classes are held by name, so that a class keeps its counts over a reload; there
//! are at most `CLASSES` names, and what a file names beyond them is counted under none.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};

use serde_json::{Map, Value};

/// Names of classes that are counted at most, over all reloads.
const CLASSES: usize = 256;

/// The counts of one class.
#[derive(Debug, Default)]
pub struct ClassTally {
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    /// Attempts written whole to cache nodes.
    pub attempts: AtomicU64,
}

/// How a request ended, as the figures count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Served,
    Refused,
    Failed,
    /// The client left: no count.
    Left,
}

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
    /// The counts of a class by its name; one of its own, counted nowhere, past the bound of names.
    pub fn tally(&self, class: &str) -> Arc<ClassTally> {
        let mut classes = self.classes.lock().unwrap_or_else(|p| p.into_inner());
        if let Some((_, tally)) = classes.iter().find(|(name, _)| &**name == class) {
            return tally.clone();
        }
        let tally = Arc::new(ClassTally::default());
        if classes.len() < CLASSES {
            classes.push((class.into(), tally.clone()));
        }
        tally
    }

    /// A request has been taken: it is in flight until its `InFlight` is dropped.
    pub fn taken(self: &Arc<Figures>, tally: Arc<ClassTally>) -> InFlight {
        self.in_flight.fetch_add(1, Relaxed);
        InFlight { figures: self.clone(), tally }
    }

    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Relaxed)
    }

    /// One JSON object on one line.
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

/// Held by a request from its taking to its end: in flight meanwhile, counted once at its end.
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
    fn each_end_counts_once_under_its_class_and_in_flight_returns_to_naught() {
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
        // The same name is the same counts, as after a reload.
        figures.tally("A").attempts.fetch_add(3, Relaxed);
        b.attempts.fetch_add(1, Relaxed);
        let shown: Value = serde_json::from_str(&figures.render()).unwrap();
        assert_eq!(shown["attempts"], 4, "attempts are one figure for all classes");
    }

    #[test]
    fn names_past_the_bound_are_counted_nowhere() {
        let figures = Figures::default();
        for n in 0..CLASSES + 10 {
            figures.tally(&format!("c{n}")).served.fetch_add(1, Relaxed);
        }
        let shown: Value = serde_json::from_str(&figures.render()).unwrap();
        assert_eq!(shown["served"].as_object().unwrap().len(), CLASSES);
    }
}
