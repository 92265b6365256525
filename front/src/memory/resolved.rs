//! The members found by resolving the names of upstreams.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use elmtide::{Availability, CellId, Event, KindId, ListUpdate, Listing, MemberId, ZoneId};
use elmtide_dns::stub::Endpoint;

use crate::edge::config::Upstream;
use crate::exchange::{MemberUpdate, MembersUpdate};
use crate::memory::members::member_id;

/// Maximum number of members; draining members are removed first.
const MAX_MEMBERS: usize = 512;

/// The members of all names. The engine receives the complete set whenever a member changes.
#[derive(Debug, Default)]
pub struct Resolved(BTreeMap<MemberId, (Listing, MemberUpdate)>);

impl Resolved {
    /// Updates the members of an upstream from its resolved endpoints. Returns the addresses that now start draining,
    /// or `None` if nothing changed.
    pub fn update(
        &mut self,
        upstream: &Upstream,
        zone: ZoneId,
        kind: KindId,
        endpoints: &[Endpoint],
    ) -> Option<Vec<SocketAddr>> {
        let prefix = format!("{}/", upstream.name);
        let (mut changed, mut gone) = (false, Vec::new());
        for (listing, news) in self.0.values_mut().filter(|(_, news)| news.name.starts_with(&prefix)) {
            let named = endpoints.iter().any(|e| Some(e.at) == news.addr);
            if !named && listing.availability == Availability::Ready {
                listing.availability = Availability::Draining;
                changed = true;
                gone.extend(news.addr);
            }
        }
        if self.0.len() >= MAX_MEMBERS {
            self.0.retain(|_, (listing, _)| listing.availability == Availability::Ready);
        }
        for endpoint in endpoints {
            let name = format!("{prefix}{}", endpoint.at);
            let member = member_id(&name);
            if self.0.len() >= MAX_MEMBERS && !self.0.contains_key(&member) {
                break;
            }
            let (cell, started_at, availability) = (CellId(0), None, Availability::Ready);
            let weight = upstream.weight * endpoint.share;
            let listing = Listing { member, weight, zone, kind, cell, started_at, availability };
            let news =
                MemberUpdate { member, name: name.into(), addr: Some(endpoint.at), started_at, gone: false };
            let before = self.0.insert(member, (listing, news));
            changed |= before.is_none_or(|(before, _)| before != listing);
        }
        changed.then_some(gone)
    }

    /// All members in the form that the engine takes.
    pub fn told(&self) -> (MembersUpdate, Event) {
        let (entries, members) = self.0.values().cloned().unzip();
        (MembersUpdate { full: false, members }, Event::List { update: ListUpdate::Delta, entries })
    }
}
