//! The start times of servers, on this process's clock.
//!
//! Invariant: while a server is listed with the same timestamp, its local start time does not change; repeated lists
//! do not move it. No local start time is earlier than the real start, so no server is considered warm too early,
//! whichever clock was stepped.

use std::collections::BTreeMap;

use elmtide::{Availability, Event, ListUpdate, Listing, MemberId, Ms};

/// A start time as listed in Unix time, and the same time on this process's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct StartTime {
    unix_time: Ms,
    local_time: Ms,
}

/// The start times of all listed servers.
#[derive(Debug, Default)]
pub struct StartTimes(BTreeMap<MemberId, StartTime>);

impl StartTimes {
    /// Converts the start times of a list event to this process's clock. `to_local` is called only for timestamps
    /// that have not been seen before.
    pub fn convert(&mut self, event: &mut Event, to_local: impl Fn(Ms) -> Ms) {
        let Event::List { update, entries } = event else { return };
        for listing in entries.iter_mut() {
            listing.started_at =
                listing.started_at.map(|unix_time| self.local_time_of(listing.member, unix_time, &to_local));
        }
        self.remove_unlisted(*update, entries);
    }

    fn local_time_of(&mut self, member: MemberId, unix_time: Ms, to_local: impl Fn(Ms) -> Ms) -> Ms {
        let known = self.0.get(&member).filter(|start| start.unix_time == unix_time);
        let start =
            known.copied().unwrap_or_else(|| StartTime { unix_time, local_time: to_local(unix_time) });
        self.0.insert(member, start);
        start.local_time
    }

    fn remove_unlisted(&mut self, update: ListUpdate, entries: &[Listing]) {
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
