//! Merges consecutive changes of the server list into one.
//!
//! Invariant: the merged change leaves the same servers in the same states as its parts one after the other. Changes of
//! one server are merged only while they are about the same process: one that has returned to the list, has another
//! address or another start time is a new process, and what belonged to the previous one has to end.

use elmtide::{Event, ListUpdate, Listing};

use crate::exchange::{Input, ListSource, MemberUpdate, MembersUpdate};

/// The most servers in a merged change: its cost for the engine is bounded.
const MAX_MERGED_SERVERS: usize = 512;

/// Changes that are merged so far, the latest last. Each server is in it once.
#[derive(Debug, Default)]
pub struct ListChanges(Vec<(Listing, MemberUpdate)>);

impl ListChanges {
    /// Adds a change of the list. Gives the input back if it has to be passed on by itself, or after what is merged so far.
    pub fn merge(&mut self, input: Input) -> Result<(), Input> {
        match input {
            Input::MembersListed {
                from: ListSource::Bus,
                members_update: MembersUpdate { full: false, members },
                event: Event::List { update: ListUpdate::Delta, entries },
            } if self.can_merge(&members) && entries.len() == members.len() => {
                for (listing, member) in entries.into_iter().zip(members) {
                    self.0.retain(|(earlier, _)| earlier.member != listing.member);
                    self.0.push((listing, member));
                }
                Ok(())
            }
            input => Err(input),
        }
    }

    fn can_merge(&self, members: &[MemberUpdate]) -> bool {
        let is_same_process = |member: &MemberUpdate| {
            let earlier = self.0.iter().find(|(_, earlier)| earlier.member == member.member);
            earlier.is_none_or(|(_, earlier)| {
                (member.gone || !earlier.gone)
                    && earlier.addr == member.addr
                    && earlier.started_at == member.started_at
            })
        };
        let is_each_once = |(index, member): (usize, &MemberUpdate)| {
            members[..index].iter().all(|earlier| earlier.member != member.member)
        };
        self.0.len() + members.len() <= MAX_MERGED_SERVERS
            && members.iter().enumerate().all(is_each_once)
            && members.iter().all(is_same_process)
    }

    /// Takes what is merged so far as one change.
    pub fn take(&mut self) -> Option<Input> {
        if self.0.is_empty() {
            return None;
        }
        let (entries, members) = std::mem::take(&mut self.0).into_iter().unzip();
        Some(Input::MembersListed {
            from: ListSource::Bus,
            members_update: MembersUpdate { full: false, members },
            event: Event::List { update: ListUpdate::Delta, entries },
        })
    }
}

#[cfg(test)]
mod tests;
