//! Checks that a class's large requests are answered as often as the others. The share of requests answered, in time or
//! late, in each of two groups (the biggest tenth by size and the next fifth) must be at least a minimum ratio of the
//! share in the whole class. A front that sheds requests which take long to send would serve more requests with less
//! work, but never serve some clients.

use std::collections::BTreeMap;
use std::fmt;

/// Minimum ratio of a group's answered share to its class's, in a run without overload or failures.
pub const MIN_RATIO_UNDISTURBED: f64 = 2.0 / 3.0;
/// The same ratio in a run with overload or failures.
pub const MIN_RATIO_DISTURBED: f64 = 0.5;

/// In a class with fewer requests than this the first group is the biggest quarter instead of the biggest tenth.
const SMALL_CLASS: usize = 400;

/// A group of a class's requests that was answered too rarely.
#[derive(Clone, Debug, PartialEq)]
pub struct Shortfall {
    pub class: u16,
    /// Where the group begins, as a fraction of the class sorted by descending size.
    pub from: f64,
    /// Where the group ends.
    pub to: f64,
    /// Share of the group that was answered.
    pub answered: f64,
    /// Share of the class that was answered.
    pub class_answered: f64,
}

impl fmt::Display for Shortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Shortfall { class, from, to, answered, class_answered } = self;
        write!(
            f,
            "class {class}: {answered:.3} answered of the largest {from:.2} to {to:.2}, {class_answered:.3} of all"
        )
    }
}

/// Collects the size of each request and whether it was answered, by class.
#[derive(Clone, Debug, Default)]
pub struct SizeFairness(BTreeMap<u16, Vec<(f64, bool)>>);

impl SizeFairness {
    /// Records the end of a request. The unit of its size is free, but the same throughout a class.
    pub fn record(&mut self, class: u16, size: f64, answered: bool) {
        self.0.entry(class).or_default().push((size, answered));
    }

    /// Answered shares per class: of all requests, of the biggest group, and of the next fifth.
    pub fn shares(&self) -> BTreeMap<u16, [f64; 3]> {
        let shares = |seen: &Vec<(f64, bool)>| {
            let mut seen = seen.clone();
            seen.sort_by(|a, b| b.0.total_cmp(&a.0));
            let first = largest_fraction(seen.len());
            let index = |fraction: f64| ((seen.len() as f64 * fraction).round() as usize).min(seen.len());
            let share = |seen: &[(f64, bool)]| {
                seen.iter().filter(|(_, answered)| *answered).count() as f64 / seen.len().max(1) as f64
            };
            [share(&seen), share(&seen[..index(first)]), share(&seen[index(first)..index(first + 0.2)])]
        };
        self.0.iter().map(|(class, seen)| (*class, shares(seen))).collect()
    }

    /// Groups whose answered share is below `min_ratio` times that of their class.
    pub fn shortfalls(&self, min_ratio: f64) -> Vec<Shortfall> {
        let mut shortfalls = Vec::new();
        for (class, [class_answered, top, next]) in self.shares() {
            let first = largest_fraction(self.0[&class].len());
            for (from, to, answered) in [(0.0, first, top), (first, first + 0.2, next)] {
                if answered < min_ratio * class_answered {
                    shortfalls.push(Shortfall { class, from, to, answered, class_answered });
                }
            }
        }
        shortfalls
    }
}

/// Fraction of a class that forms the group of its biggest requests.
fn largest_fraction(seen: usize) -> f64 {
    if seen < SMALL_CLASS {
        0.25
    } else {
        0.1
    }
}
