//! What is known of a changing set when several servers tell of it, some of them late.
//!
//! The answers of one server are in order, those of two are not: a server that ignores TTLs names for half a minute
//! what has long gone. Three rules follow.
//!
//! - What an answer leaves out is out at once, whoever gave it: that costs some room, the opposite costs a rule.
//! - Out by a server that had itself named it, so that it was *taken away*, it comes back by that server, or after
//!   [`STALE`]; out by a server that had never named it, it comes back by any.
//! - An answer that has nothing in common with what is known, from a server that has named none of it, is held to be
//!   somebody else's: it counts once it has been told for [`STALE`].

use std::collections::{BTreeMap, BTreeSet};

use crate::stub::ServerId;
use crate::Ms;

/// Resolvers have been seen to hold answers for so long, whatever their TTL.
pub const STALE: Ms = 30_000.0;
/// No server's number.
const NOBODY: ServerId = ServerId(u8::MAX);
/// Members of one set at most, those that have gone included.
const MOST: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    In,
    Out { taken_by: Option<ServerId>, at: Ms },
}

/// What an answer has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change<T> {
    pub came: Vec<T>,
    pub went: Vec<T>,
    /// The answer is not believed yet.
    pub strange: bool,
}

#[derive(Clone, Debug)]
pub struct Known<T> {
    items: BTreeMap<T, State>,
    /// What each server said last.
    streams: BTreeMap<ServerId, BTreeSet<T>>,
    /// A server that tells a story of its own, and since when.
    strangers: BTreeMap<ServerId, Ms>,
}

impl<T> Default for Known<T> {
    fn default() -> Known<T> {
        Known { items: BTreeMap::new(), streams: BTreeMap::new(), strangers: BTreeMap::new() }
    }
}

impl<T: Ord + Clone> Known<T> {
    /// Those in use.
    pub fn members(&self) -> impl Iterator<Item = &T> {
        self.items.iter().filter(|(_, s)| **s == State::In).map(|(item, _)| item)
    }

    /// Whether this is known to have gone.
    pub fn has_gone(&self, item: &T) -> bool {
        matches!(self.items.get(item), Some(State::Out { .. }))
    }

    /// Takes an answer in. Each comes once, in the order in which its server was asked.
    pub fn told(&mut self, server: ServerId, says: BTreeSet<T>, now: Ms) -> Change<T> {
        let mut change = Change { came: Vec::new(), went: Vec::new(), strange: false };
        let had = self.streams.get(&server).cloned().unwrap_or_default();
        let in_use: BTreeSet<&T> = self.members().collect();
        let common = says.iter().any(|s| in_use.contains(s)) || had.iter().any(|h| in_use.contains(h));
        if !in_use.is_empty() && !common {
            let since = *self.strangers.entry(server).or_insert(now);
            if now - since < STALE {
                change.strange = true;
                return change;
            }
        }
        self.strangers.remove(&server);
        for (item, state) in &mut self.items {
            let named = says.contains(item);
            let taken = (!named && had.contains(item)).then_some(server);
            match *state {
                State::In if !named => {
                    *state = State::Out { taken_by: taken, at: now };
                    change.went.push(item.clone());
                }
                State::Out { taken_by: None, .. } if !named && taken.is_some() => {
                    *state = State::Out { taken_by: taken, at: now };
                }
                // Told again that it has gone, by whoever: the wait begins anew.
                State::Out { taken_by, .. } if !named => *state = State::Out { taken_by, at: now },
                State::Out { taken_by, at }
                    if taken_by.is_none_or(|by| by == server) || now - at >= STALE =>
                {
                    *state = State::In;
                    change.came.push(item.clone());
                }
                _ => {}
            }
        }
        for item in &says {
            if !self.items.contains_key(item) && self.make_room(now) {
                self.items.insert(item.clone(), State::In);
                change.came.push(item.clone());
            }
        }
        let kept = says.into_iter().filter(|s| self.items.contains_key(s)).collect();
        self.streams.insert(server, kept);
        change
    }

    /// The servers are others now: nobody is left whose word alone brings back what was taken away.
    pub fn servers_changed(&mut self) {
        self.streams.clear();
        self.strangers.clear();
        for state in self.items.values_mut() {
            if let State::Out { taken_by: taken @ Some(_), .. } = state {
                *taken = Some(NOBODY);
            }
        }
    }

    /// Room for one more: what has gone longest is forgotten, if no server can still be holding it.
    fn make_room(&mut self, now: Ms) -> bool {
        if self.items.len() < MOST {
            return true;
        }
        let gone = self.items.iter().filter_map(|(item, state)| match state {
            State::Out { at, .. } if now - at >= STALE => Some((*at, item)),
            _ => None,
        });
        let Some((_, oldest)) = gone.min_by(|a, b| a.0.total_cmp(&b.0)) else { return false };
        let oldest = oldest.clone();
        self.items.remove(&oldest);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: ServerId = ServerId(0);
    const B: ServerId = ServerId(1);

    fn set(items: &[u8]) -> BTreeSet<u8> {
        items.iter().copied().collect()
    }

    fn members(known: &Known<u8>) -> Vec<u8> {
        known.members().copied().collect()
    }

    /// A server behind the times names what has gone: it stays out until the one that took it away names it.
    #[test]
    fn a_stale_answer_brings_nothing_back() {
        let mut known = Known::default();
        known.told(A, set(&[1, 2]), 0.0);
        assert_eq!(known.told(A, set(&[1]), 1000.0).went, [2]);
        for at in 1..20 {
            known.told(B, set(&[1, 2]), 1000.0 + f64::from(at) * 1000.0);
            assert_eq!(members(&known), [1]);
        }
        known.told(A, set(&[1, 2]), 21_000.0);
        assert_eq!(members(&known), [1, 2]);
    }

    /// A server behind the times does not know what is new: that is out for as long as it is the only one to speak.
    #[test]
    fn what_is_new_comes_back_with_the_next_answer_that_names_it() {
        let mut known = Known::default();
        known.told(A, set(&[1]), 0.0);
        known.told(A, set(&[1, 3]), 1000.0);
        assert_eq!(known.told(B, set(&[1]), 2000.0).went, [3]);
        assert_eq!(known.told(A, set(&[1, 3]), 3000.0).came, [3]);
    }

    #[test]
    fn a_stranger_is_not_believed_at_once() {
        let mut known = Known::default();
        known.told(A, set(&[1, 2]), 0.0);
        for lie in [set(&[]), set(&[8, 9])] {
            assert!(known.told(B, lie, 1000.0).strange);
            assert_eq!(members(&known), [1, 2]);
        }
        assert!(known.told(B, set(&[9]), 30_999.0).strange);
        assert!(!known.told(B, set(&[9]), 31_000.0).strange, "told for long enough");
        assert_eq!(members(&known), [9]);
    }

    /// The server that named them may take all away.
    #[test]
    fn its_own_server_may_empty_a_name() {
        let mut known = Known::default();
        known.told(A, set(&[1, 2]), 0.0);
        assert_eq!(known.told(A, set(&[]), 1.0).went, [1, 2]);
        assert_eq!(known.told(A, set(&[1]), 2.0).came, [1]);
    }

    #[test]
    fn it_is_bounded() {
        let mut known: Known<u32> = Known::default();
        for n in 0..10_000u32 {
            known.told(A, (n..n + 10).collect(), f64::from(n));
        }
        assert!(known.items.len() <= MOST);
    }

    proptest::proptest! {
        #![proptest_config(proptest::prelude::ProptestConfig { failure_persistence: None, ..Default::default() })]

        /// Whatever servers say in whatever order: what one has taken away is not in use again until that one has
        /// named it, or half a minute has passed.
        #[test]
        fn taken_away_is_out(
            says in proptest::collection::vec((0u8..3, proptest::collection::btree_set(0u8..6, 0..5), 0.0f64..3000.0), 1..80)
        ) {
            let mut known = Known::default();
            let mut last: BTreeMap<u8, BTreeSet<u8>> = BTreeMap::new();
            let mut taken: BTreeMap<u8, (u8, f64)> = BTreeMap::new();
            let mut now = 0.0;
            for (server, set, later) in says {
                now += later;
                let before: BTreeSet<u8> = known.members().copied().collect();
                let change = known.told(ServerId(server), set.clone(), now);
                if change.strange {
                    continue;
                }
                for item in &change.went {
                    if last.get(&server).is_some_and(|l| l.contains(item)) {
                        taken.insert(*item, (server, now));
                    }
                }
                for item in &change.came {
                    if let Some((by, at)) = taken.remove(item) {
                        proptest::prop_assert!(by == server || now - at >= STALE, "{item} came back by {server}");
                    }
                }
                for item in before {
                    let named = set.contains(&item);
                    proptest::prop_assert!(named || known.has_gone(&item), "{item} was left out and is in");
                }
                last.insert(server, set);
            }
        }
    }
}
