//! The endpoints that the lists have named, with the servers under maintenance taken for draining.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use elmtide::{Availability, Event, KindId, Listing, MemberId};

use crate::exchange::MembersNews;

/// Endpoints remembered for routers to come; above it those that are gone are forgotten.
const MAX_ENDPOINTS: usize = 4096;

/// An endpoint as the lists have named it last.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub listing: Listing,
    pub name: Arc<str>,
    pub addr: Option<SocketAddr>,
}

/// All endpoints as the lists have named them last.
#[derive(Debug, Default)]
pub struct EndpointSet {
    endpoints: BTreeMap<MemberId, Endpoint>,
    /// They drain, whatever their lists say.
    under_maintenance: BTreeSet<MemberId>,
}

impl EndpointSet {
    /// Takes over a list, whole or partial.
    pub fn learn(&mut self, news: &MembersNews, event: &Event) {
        let Event::List { entries, .. } = event else { return };
        if news.full {
            for endpoint in self.endpoints.values_mut() {
                endpoint.listing.availability = Availability::Gone;
            }
        }
        for listing in entries {
            self.learn_one(news, listing);
        }
        if self.endpoints.len() > MAX_ENDPOINTS {
            self.endpoints.retain(|_, endpoint| endpoint.listing.availability != Availability::Gone);
        }
    }

    fn learn_one(&mut self, news: &MembersNews, listing: &Listing) {
        let listing = *listing;
        if let Some(named) = news.members.iter().find(|m| m.member == listing.member) {
            let endpoint = Endpoint { listing, name: named.name.clone(), addr: named.addr };
            self.endpoints.insert(listing.member, endpoint);
        } else if let Some(known) = self.endpoints.get_mut(&listing.member) {
            known.listing = listing;
        }
    }

    /// The servers that are to drain, whatever their lists say: their machines are under maintenance.
    pub fn exclude(&mut self, under_maintenance: BTreeSet<MemberId>) {
        self.under_maintenance = under_maintenance;
    }

    fn effective(&self, listing: &Listing) -> Listing {
        let excluded = self.under_maintenance.contains(&listing.member);
        if excluded && listing.availability == Availability::Ready {
            return Listing { availability: Availability::Draining, ..*listing };
        }
        *listing
    }

    /// A list event with the servers under maintenance draining.
    pub fn effective_event(&self, event: Event) -> Event {
        match event {
            Event::List { update, mut entries } if !self.under_maintenance.is_empty() => {
                for entry in &mut entries {
                    *entry = self.effective(entry);
                }
                Event::List { update, entries }
            }
            event => event,
        }
    }

    /// The listings of some members, as routers are to be told them.
    pub fn effective_listings(&self, members: &[MemberId]) -> Vec<Listing> {
        let known = members.iter().filter_map(|member| self.endpoints.get(member));
        known.map(|endpoint| self.effective(&endpoint.listing)).collect()
    }

    /// All endpoints, those that are gone too, as routers are to be told them.
    pub fn effective_endpoints(&self) -> impl Iterator<Item = Endpoint> + '_ {
        self.endpoints.values().map(|endpoint| {
            let listing = self.effective(&endpoint.listing);
            Endpoint { listing, ..endpoint.clone() }
        })
    }

    /// All listings as the lists have them, of those that are gone too.
    pub fn all_listings(&self) -> Vec<Listing> {
        self.endpoints.values().map(|endpoint| endpoint.listing).collect()
    }

    /// Whether the member is there and may be sent new work.
    pub fn is_ready(&self, member: MemberId) -> bool {
        let endpoint = self.endpoints.get(&member);
        endpoint.is_some_and(|e| self.effective(&e.listing).availability == Availability::Ready)
    }

    /// The member's kind, where it is known.
    pub fn kind(&self, member: MemberId) -> Option<KindId> {
        self.endpoints.get(&member).map(|endpoint| endpoint.listing.kind)
    }

    /// The listings of the members in the list now.
    pub fn present_listings(&self) -> Vec<Listing> {
        self.present_endpoints().map(|endpoint| self.effective(&endpoint.listing)).collect()
    }

    /// The members in the list now, each with whether it takes new work.
    pub fn present(&self) -> impl Iterator<Item = (MemberId, bool)> + '_ {
        self.present_endpoints().map(|endpoint| {
            let ready = self.effective(&endpoint.listing).availability == Availability::Ready;
            (endpoint.listing.member, ready)
        })
    }

    fn present_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().filter(|endpoint| endpoint.listing.availability != Availability::Gone)
    }
}
