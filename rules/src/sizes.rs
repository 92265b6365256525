//! Of a class's requests the large ones are answered as the others are: the largest tenth and the next fifth by size each get at
//! least a part of the share of the class that is answered, in time or late. A front that sheds what takes long to send
//! serves more requests with less work, and some clients never.

use std::collections::BTreeMap;
use std::fmt;

/// The part on a day without trouble, and on others.
pub const QUIET: f64 = 2.0 / 3.0;
pub const ROUGH: f64 = 0.5;

/// Under so many requests of a class its largest quarter is taken in place of the tenth.
const FEW: usize = 400;

/// A group of a class's requests that was answered too rarely.
#[derive(Clone, Debug, PartialEq)]
pub struct Short {
    pub class: u16,
    /// From this part of the class on, largest first, and to that.
    pub from: f64,
    pub to: f64,
    /// Parts of the group and of the class that were answered.
    pub answered: f64,
    pub of_class: f64,
}

impl fmt::Display for Short {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Short { class, from, to, answered, of_class } = self;
        write!(
            f,
            "class {class}: of the largest {from:.2} to {to:.2} {answered:.3} answered, of all {of_class:.3}"
        )
    }
}

/// Takes in how each request ended.
#[derive(Clone, Debug, Default)]
pub struct Sizes(BTreeMap<u16, Vec<(f64, bool)>>);

impl Sizes {
    /// A request of this size (in any unit, the same for its class) has ended.
    pub fn see(&mut self, class: u16, size: f64, answered: bool) {
        self.0.entry(class).or_default().push((size, answered));
    }

    /// Parts of each class that were answered: of all, of the largest, and of the next fifth.
    pub fn shares(&self) -> BTreeMap<u16, [f64; 3]> {
        let shares = |seen: &Vec<(f64, bool)>| {
            let mut seen = seen.clone();
            seen.sort_by(|a, b| b.0.total_cmp(&a.0));
            let first = largest(seen.len());
            let cut = |part: f64| ((seen.len() as f64 * part).round() as usize).min(seen.len());
            let share = |seen: &[(f64, bool)]| {
                seen.iter().filter(|(_, answered)| *answered).count() as f64 / seen.len().max(1) as f64
            };
            [share(&seen), share(&seen[..cut(first)]), share(&seen[cut(first)..cut(first + 0.2)])]
        };
        self.0.iter().map(|(class, seen)| (*class, shares(seen))).collect()
    }

    /// Groups that were answered less than this part of their class's share.
    pub fn short(&self, part: f64) -> Vec<Short> {
        let mut short = Vec::new();
        for (class, [of_class, tenth, next]) in self.shares() {
            let first = largest(self.0[&class].len());
            for (from, to, answered) in [(0.0, first, tenth), (first, first + 0.2, next)] {
                if answered < part * of_class {
                    short.push(Short { class, from, to, answered, of_class });
                }
            }
        }
        short
    }
}

fn largest(seen: usize) -> f64 {
    if seen < FEW {
        0.25
    } else {
        0.1
    }
}
