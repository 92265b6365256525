//! Translates the names in bus events into the ids of the decision module.

use elmtide::{Availability, CellId, Event, KindId, ListUpdate, Listing, ObjectId, PurgeGroup, ZoneId};

use crate::exchange::{Input, ListSource, MemberUpdate, MembersUpdate};
use crate::memory::members::member_id;
use crate::wire::bus::{self, Server, State};

/// A name in an event that the settings don't have.
#[derive(Debug, thiserror::Error)]
enum UnknownName {
    #[error("unknown zone {0:?}")]
    Zone(String),
    #[error("unknown kind {0:?}")]
    Kind(String),
}

/// The zone and kind names of the settings; the index of a name is its id in the decision module.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

impl NameTable {
    /// The id of a zone, if the settings have it.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        let index = self.zones.iter().position(|z| z == name)?;
        u8::try_from(index).ok().map(ZoneId)
    }

    /// The id of a kind, if the settings have it.
    pub fn kind(&self, name: &str) -> Option<KindId> {
        let index = self.kinds.iter().position(|k| k == name)?;
        u16::try_from(index).ok().map(KindId)
    }

    fn listing(&self, server: &Server) -> Result<(Listing, MemberUpdate), UnknownName> {
        let zone = self.zone(&server.zone).ok_or_else(|| UnknownName::Zone(server.zone.clone()))?;
        let kind = self.kind(&server.kind).ok_or_else(|| UnknownName::Kind(server.kind.clone()))?;
        let availability = match server.state {
            State::Active => Availability::Ready,
            State::Leaving => Availability::Draining,
            State::Left => Availability::Gone,
        };
        let member = member_id(&server.id);
        let started_at = (server.started_ms > 0.0).then_some(server.started_ms);
        let (weight, cell) = (server.weight, CellId(server.cell));
        let listing = Listing { member, weight, zone, kind, cell, started_at, availability };
        let gone = availability == Availability::Gone;
        let addr = server.addr.parse().ok();
        Ok((listing, MemberUpdate { member, name: server.id.as_str().into(), addr, started_at, gone }))
    }

    /// Converts a bus event into an input of the engine.
    pub fn input(&self, event: &bus::Event) -> Input {
        match event {
            bus::Event::BanUrl { url, ts } => {
                Input::Purged { object: Some(ObjectId(*url)), group: PurgeGroup(0), at: *ts }
            }
            bus::Event::BanTag { tag, ts } => {
                Input::Purged { object: None, group: PurgeGroup(*tag), at: *ts }
            }
            bus::Event::Topology { full, servers } => {
                let (mut entries, mut members) = (Vec::new(), Vec::new());
                for server in servers {
                    match self.listing(server) {
                        Ok((listing, member)) => {
                            entries.push(listing);
                            members.push(member);
                        }
                        Err(reason) => eprintln!("bus: ignoring server {}: {reason}", server.id),
                    }
                }
                let update = if *full { ListUpdate::Full } else { ListUpdate::Delta };
                let event = Event::List { update, entries };
                let members_update = MembersUpdate { full: *full, members };
                Input::MembersListed { from: ListSource::Bus, members_update, event }
            }
        }
    }
}
