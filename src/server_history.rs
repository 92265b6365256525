//! What routers of one process have learned of servers, as a router gets it that comes to take requests.
//!
//! Invariant: in every overload window all routers of a process together send a server in slow start at most the
//! process's budget, however often routers are replaced. A router that takes requests counts what others have sent;
//! one that was replaced sends such servers nothing more (see [`Router::divide_among_processes`]).

use std::collections::{BTreeMap, VecDeque};

use crate::health::Health;
use crate::interface::*;
use crate::logic::{Member, Role, Router};
use crate::purges::PurgeLog;

/// The servers that routers of one process have had, and how they fared.
#[derive(Clone, Debug)]
pub struct ServerHistories {
    /// What was sent from then on is included.
    complete_since: Ms,
    servers: BTreeMap<MemberId, ServerHistory>,
}

/// What is known of one server.
#[derive(Clone, Debug)]
struct ServerHistory {
    listing: Listing,
    role: Role,
    health: Health,
    /// Work sent while it was in slow start, in order of time.
    cold_sent: VecDeque<(Ms, f64)>,
}

impl ServerHistories {
    /// Those of a process that has sent nothing since `complete_since`.
    pub fn new(complete_since: Ms) -> ServerHistories {
        ServerHistories { complete_since, servers: BTreeMap::new() }
    }

    /// Adds what another router of the process has learned.
    pub fn merge(&mut self, other: ServerHistories) {
        self.complete_since = self.complete_since.min(other.complete_since);
        for (id, history) in other.servers {
            match self.servers.get_mut(&id) {
                Some(known) => known.merge(history),
                None => drop(self.servers.insert(id, history)),
            }
        }
    }

    /// Forgets servers of which nothing is known that is newer than `oldest`.
    pub fn forget_before(&mut self, oldest: Ms) {
        self.servers.retain(|_, history| history.last_at() >= oldest);
    }
}

impl ServerHistory {
    fn merge(&mut self, other: ServerHistory) {
        let mut cold_sent: Vec<(Ms, f64)> = self.cold_sent.drain(..).chain(other.cold_sent).collect();
        cold_sent.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.cold_sent = cold_sent.into();
        if other.health.updated_at() > self.health.updated_at() {
            (self.listing, self.role, self.health) = (other.listing, other.role, other.health);
        }
    }

    fn last_at(&self) -> Ms {
        let sent_at = self.cold_sent.back().map_or(f64::NEG_INFINITY, |(at, _)| *at);
        sent_at.max(self.health.updated_at())
    }
}

impl Router {
    /// What this router has learned of the servers.
    pub fn server_histories(&self) -> ServerHistories {
        let history = |member: &Member| ServerHistory {
            listing: member.listing,
            role: member.role,
            health: member.health.clone(),
            cold_sent: member.cold_sent.clone(),
        };
        let servers = self.members.iter().map(|(id, member)| (*id, history(member))).collect();
        ServerHistories { complete_since: self.started_at, servers }
    }

    /// Takes over what the process's routers, this one included, have learned of servers that this one does not list.
    /// Must come before the list that has them.
    pub fn adopt_histories(&mut self, histories: &ServerHistories, now: Ms) {
        self.started_at = self.started_at.min(histories.complete_since);
        for (id, history) in &histories.servers {
            if self.members.get(id).is_some_and(|m| m.listing.availability != Availability::Gone) {
                continue;
            }
            let listing = Listing { availability: Availability::Gone, ..history.listing };
            let (health, cold_sent) = (history.health.clone(), history.cold_sent.clone());
            let known = self.members.get(id);
            let (in_flight, sharers) = known.map_or((0.0, None), |m| (m.in_flight, m.sharers));
            let role = history.role;
            self.members.insert(
                *id,
                Member { listing, role, removed_at: now, in_flight, health, cold_sent, sharers },
            );
        }
    }

    /// Takes over the purges that the process knows.
    pub fn adopt_purges(&mut self, purges: &PurgeLog) {
        self.purges = purges.clone().with_settings(&self.cfg);
    }
}
