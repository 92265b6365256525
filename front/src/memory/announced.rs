//! Addresses that the bus reports as draining. A stale or spoofed resolver answer may keep returning such an address;
//! the member that it resolves to is treated as draining all the same.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use elmtide::{Availability, Event, Ms};

use crate::exchange::MembersUpdate;

/// How long an address is remembered after its node has left the list: resolvers cache answers for 30 s.
const FORGET_AFTER_MS: Ms = 60_000.0;
const MAX_ADDRESSES: usize = 1024;

/// The draining addresses known from the bus.
#[derive(Debug, Default)]
pub struct Announced {
    /// Address of each draining node, and when the node left the list.
    draining: BTreeMap<SocketAddr, Option<Ms>>,
}

impl Announced {
    /// Applies a member list from the bus; returns whether the set of draining addresses changed.
    pub fn heard(&mut self, news: &MembersUpdate, event: &Event, now: Ms) -> bool {
        let Event::List { entries, .. } = event else { return false };
        let before: Vec<SocketAddr> = self.draining.keys().copied().collect();
        let listed = |at: &SocketAddr| news.members.iter().any(|m| m.addr == Some(*at) && !m.gone);
        for member in &news.members {
            let Some(at) = member.addr else { continue };
            let availability = entries.iter().find(|e| e.member == member.member).map(|e| e.availability);
            match availability {
                Some(Availability::Draining) => drop(self.draining.insert(at, None)),
                Some(Availability::Ready) => drop(self.draining.remove(&at)),
                Some(Availability::Gone) | None => {
                    let left = self.draining.entry(at).or_insert(Some(now));
                    left.get_or_insert(now);
                }
            }
        }
        if news.full {
            for (at, left) in &mut self.draining {
                if !listed(at) {
                    left.get_or_insert(now);
                }
            }
        }
        self.draining.retain(|_, left| left.is_none_or(|left| now - left < FORGET_AFTER_MS));
        while self.draining.len() > MAX_ADDRESSES {
            let oldest = self
                .draining
                .iter()
                .min_by(|a, b| a.1.unwrap_or(f64::MAX).total_cmp(&b.1.unwrap_or(f64::MAX)));
            let Some(oldest) = oldest.map(|(at, _)| *at) else { break };
            self.draining.remove(&oldest);
        }
        !before.iter().eq(self.draining.keys())
    }

    /// Marks the entries of a resolver's list as draining where the bus reported their address as draining.
    pub fn overrule(&self, news: &MembersUpdate, event: &mut Event) {
        let Event::List { entries, .. } = event else { return };
        for entry in entries {
            let at = news.members.iter().find(|m| m.member == entry.member).and_then(|m| m.addr);
            if at.is_some_and(|at| self.draining.contains_key(&at)) {
                entry.availability = Availability::Draining;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use elmtide::{CellId, KindId, ListUpdate, Listing, ZoneId};

    use super::*;
    use crate::exchange::MemberUpdate;
    use crate::memory::members::member_id;

    fn list(full: bool, nodes: &[(&str, u16, Availability)]) -> (MembersUpdate, Event) {
        let listing = |(name, _, availability): &(&str, u16, Availability)| Listing {
            member: member_id(name),
            weight: 1.0,
            zone: ZoneId(0),
            kind: KindId(0),
            cell: CellId(0),
            started_at: None,
            availability: *availability,
        };
        let member = |(name, port, availability): &(&str, u16, Availability)| MemberUpdate {
            member: member_id(name),
            name: (*name).into(),
            addr: Some(([127, 0, 0, 1], *port).into()),
            started_at: None,
            gone: *availability == Availability::Gone,
        };
        let news = MembersUpdate { full, members: nodes.iter().map(member).collect() };
        let kind = if full { ListUpdate::Full } else { ListUpdate::Delta };
        (news, Event::List { update: kind, entries: nodes.iter().map(listing).collect() })
    }

    fn availability(announced: &Announced) -> Vec<Availability> {
        let (news, mut event) =
            list(false, &[("boxes/1", 1, Availability::Ready), ("boxes/2", 2, Availability::Ready)]);
        announced.overrule(&news, &mut event);
        let Event::List { entries, .. } = event else { panic!("a list") };
        entries.iter().map(|e| e.availability).collect()
    }

    /// An address that the bus drains is draining under the resolver's name too, also after it has left the list.
    #[test]
    fn a_resolved_address_is_draining_while_the_bus_drains_it() {
        let (ready, draining) = (Availability::Ready, Availability::Draining);
        let mut announced = Announced::default();
        let say = |a: &mut Announced, full, nodes: &[(&str, u16, Availability)], now| {
            let (news, event) = list(full, nodes);
            a.heard(&news, &event, now)
        };
        assert!(!say(&mut announced, true, &[("c1", 1, ready), ("c2", 2, ready)], 0.0));
        assert_eq!(availability(&announced), [ready, ready]);
        assert!(say(&mut announced, false, &[("c1", 1, draining)], 1.0));
        assert_eq!(availability(&announced), [draining, ready]);
        say(&mut announced, true, &[("c2", 2, ready)], 2.0);
        assert_eq!(availability(&announced), [draining, ready], "gone from the list");
        say(&mut announced, true, &[("c2", 2, ready)], 2.0 + FORGET_AFTER_MS);
        assert_eq!(availability(&announced), [ready, ready], "forgotten after a while");
        say(&mut announced, false, &[("c2", 2, draining)], 100_000.0);
        assert!(say(&mut announced, false, &[("c2", 2, ready)], 100_001.0), "the bus takes it back");
        assert_eq!(availability(&announced), [ready, ready]);
    }

    #[test]
    fn the_number_of_remembered_addresses_is_limited() {
        let mut announced = Announced::default();
        for n in 0..5000u16 {
            let (news, event) = list(false, &[(&format!("c{n}"), n, Availability::Gone)]);
            announced.heard(&news, &event, f64::from(n));
        }
        assert!(announced.draining.len() <= MAX_ADDRESSES);
    }
}
