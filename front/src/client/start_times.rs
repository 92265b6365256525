//! When servers started, on the time line of this process.
//!
//! Invariant: a server has one moment for as long as it is listed with one stamp; a list that names it again does not move it. No
//! moment is earlier than the start, so that no server is taken for warm too soon, whichever clock was stepped.

use std::collections::BTreeMap;

use elmtide::{Availability, Event, ListUpdate, Listing, MemberId, Ms};

/// A start as a list has stamped it with Unix time, and where that lies on this process's line.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Start {
    stamped: Ms,
    placed: Ms,
}

/// The starts of all servers in the list.
#[derive(Debug, Default)]
pub struct StartTimes(BTreeMap<MemberId, Start>);

impl StartTimes {
    /// Puts the stamps of a list event on this process's line; `place` does so for one that has not been seen before.
    pub fn place(&mut self, event: &mut Event, place: impl Fn(Ms) -> Ms) {
        let Event::List { update, entries } = event else { return };
        for listing in entries.iter_mut() {
            listing.started_at =
                listing.started_at.map(|stamped| self.placed(listing.member, stamped, &place));
        }
        self.forget_absent(*update, entries);
    }

    fn placed(&mut self, member: MemberId, stamped: Ms, place: impl Fn(Ms) -> Ms) -> Ms {
        let known = self.0.get(&member).filter(|start| start.stamped == stamped);
        let start = known.copied().unwrap_or_else(|| Start { stamped, placed: place(stamped) });
        self.0.insert(member, start);
        start.placed
    }

    fn forget_absent(&mut self, update: ListUpdate, entries: &[Listing]) {
        for gone in entries.iter().filter(|listing| listing.availability == Availability::Gone) {
            self.0.remove(&gone.member);
        }
        if update == ListUpdate::Full {
            self.0.retain(|member, _| entries.iter().any(|listing| listing.member == *member));
        }
    }
}

#[cfg(test)]
mod tests;
