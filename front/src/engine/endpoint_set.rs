//! The endpoints of all lists, with servers under maintenance treated as draining.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use elmtide::{Availability, Event, KindId, Listing, MemberId};

use crate::exchange::MembersUpdate;

/// The most endpoints kept for new routers; above it, endpoints that are gone are removed.
const MAX_ENDPOINTS: usize = 4096;

/// An endpoint as last listed.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub listing: Listing,
    pub name: Arc<str>,
    pub addr: Option<SocketAddr>,
}

/// All endpoints as last listed.
#[derive(Debug, Default)]
pub struct EndpointSet {
    endpoints: BTreeMap<MemberId, Endpoint>,
    /// Servers under maintenance: treated as draining, whatever the lists say.
    under_maintenance: BTreeSet<MemberId>,
}

impl EndpointSet {
    /// Applies a full or partial list.
    pub fn update(&mut self, members_update: &MembersUpdate, event: &Event) {
        let Event::List { entries, .. } = event else { return };
        if members_update.full {
            for endpoint in self.endpoints.values_mut() {
                endpoint.listing.availability = Availability::Gone;
            }
        }
        for listing in entries {
            self.update_one(members_update, listing);
        }
        if self.endpoints.len() > MAX_ENDPOINTS {
            self.endpoints.retain(|_, endpoint| endpoint.listing.availability != Availability::Gone);
        }
    }

    fn update_one(&mut self, members_update: &MembersUpdate, listing: &Listing) {
        let listing = *listing;
        if let Some(named) = members_update.members.iter().find(|m| m.member == listing.member) {
            let endpoint = Endpoint { listing, name: named.name.clone(), addr: named.addr };
            self.endpoints.insert(listing.member, endpoint);
        } else if let Some(known) = self.endpoints.get_mut(&listing.member) {
            known.listing = listing;
        }
    }

    /// Sets the servers to treat as draining because their machines are under maintenance.
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

    /// The listings of some members, as given to routers.
    pub fn effective_listings(&self, members: &[MemberId]) -> Vec<Listing> {
        let known = members.iter().filter_map(|member| self.endpoints.get(member));
        known.map(|endpoint| self.effective(&endpoint.listing)).collect()
    }

    /// All endpoints, including those that are gone, as given to routers.
    pub fn effective_endpoints(&self) -> impl Iterator<Item = Endpoint> + '_ {
        self.endpoints.values().map(|endpoint| {
            let listing = self.effective(&endpoint.listing);
            Endpoint { listing, ..endpoint.clone() }
        })
    }

    /// All listings as received, including those that are gone.
    pub fn all_listings(&self) -> Vec<Listing> {
        self.endpoints.values().map(|endpoint| endpoint.listing).collect()
    }

    /// Whether the member is listed and may get new work.
    pub fn is_ready(&self, member: MemberId) -> bool {
        let endpoint = self.endpoints.get(&member);
        endpoint.is_some_and(|e| self.effective(&e.listing).availability == Availability::Ready)
    }

    /// The endpoint as last listed.
    pub fn get(&self, member: MemberId) -> Option<&Endpoint> {
        self.endpoints.get(&member)
    }

    /// The member's kind, if it is known.
    pub fn kind(&self, member: MemberId) -> Option<KindId> {
        self.endpoints.get(&member).map(|endpoint| endpoint.listing.kind)
    }

    /// The listings of the members that are present.
    pub fn present_listings(&self) -> Vec<Listing> {
        self.present_endpoints().map(|endpoint| self.effective(&endpoint.listing)).collect()
    }

    /// The members that are present, each with whether it takes new work.
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
