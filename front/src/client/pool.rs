//! The pooled connections to cache nodes, by member and not by address: an address may be held by a new member
//! while connections to the one that held it before are still open.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use elmtide::{MemberId, Ms};

use crate::client::connection::{Connection, Peer};
use crate::client::shortage::Shortage;
use crate::client::streams::{Opening, Purpose, Room, QUIET};
use crate::exchange::*;
use crate::memory::counters::Counters;
use crate::memory::members::Members;
use crate::process::clock;
use crate::wire::lines::{encode_never_mind, encode_there, Want};

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub connect_timeout: Duration,
    /// Idle connections are closed a good while before the other side does it, so that no request crosses that.
    pub idle: Duration,
    pub streams_per_connection: usize,
    pub connections: usize,
    /// Whether nodes may be asked if they are there.
    pub probes: bool,
    /// Looks at a connection that brings nothing until that is asked.
    pub patience: u32,
    /// What has waited so long to be written is not written any more.
    pub stale: Duration,
}

/// Up to this price of one probe for each request, in parts of the service, a silent connection is asked at once.
const CHEAP: f64 = 0.02;

impl Limits {
    /// How many looks to wait before a question of this price: a front of many has one request on a connection, so
    /// each answer that takes its time would be asked after, by all fronts.
    pub fn patience(price: Option<f64>) -> u32 {
        let (least, most) = QUIET;
        let dear = price.filter(|p| p.is_finite()).map_or(1.0, |p| p / CHEAP);
        ((f64::from(least) * dear) as u32).clamp(least, most)
    }
}

/// Attempts on one connection, as long as others may be opened: one spoilt answer takes all of them with it.
const SHARE: usize = 4;

pub struct Pool {
    limits: Limits,
    members: Members,
    started_at: BTreeMap<MemberId, Option<Ms>>,
    connections: BTreeMap<MemberId, Vec<Arc<Connection>>>,
    out: HashMap<AttemptKey, (Arc<Connection>, Token)>,
    probes: u64,
    shortage: Shortage,
    inputs: Sender<Input>,
    counters: Arc<Counters>,
}

impl Pool {
    pub fn new(limits: Limits, inputs: Sender<Input>, counters: Arc<Counters>) -> Pool {
        Pool {
            limits,
            members: Members::default(),
            started_at: BTreeMap::new(),
            connections: BTreeMap::new(),
            out: HashMap::new(),
            probes: 0,
            shortage: Shortage::new(Instant::now()),
            inputs,
            counters,
        }
    }

    /// A name for a question that is no request's.
    fn tag(&mut self) -> Option<Token> {
        self.probes += 1;
        Token::new(format!("p{:015x}", self.probes).as_bytes())
    }

    /// Puts a request on a connection to this member, an open one or a new one.
    fn dispatch(
        &mut self,
        member: MemberId,
        opening: &Opening<'_>,
        frame: &[u8],
    ) -> Result<Arc<Connection>, SendError> {
        let addr = self.members.get(member).and_then(|m| m.addr).ok_or(SendError::NoAddress)?;
        let open = self.connections.entry(member).or_default();
        if let Some(found) = open.iter().find(|c| c.try_send(opening, frame.to_vec())) {
            return Ok(found.clone());
        }
        if self.is_full() {
            // Those that have ended are no use, and are counted only until the next sweep.
            self.drop_closed();
        }
        if self.is_full() {
            let room = Room { streams: self.limits.streams_per_connection, alone: false };
            let many = Opening { room, ..opening.clone() };
            let mut open = self.connections.get(&member).into_iter().flatten();
            let found = open.find(|c| c.try_send(&many, frame.to_vec()));
            return found.cloned().ok_or(SendError::NoConnection);
        }
        if self.shortage.lasts(Instant::now()) {
            return Err(SendError::NoConnection);
        }
        let Limits { connect_timeout, patience, stale, .. } = self.limits;
        let peer = Peer { addr, connect_timeout, patience, stale, shortage: self.shortage.clone() };
        let connection = Connection::open(peer, self.inputs.clone(), self.counters.clone())
            .map_err(|_| SendError::NoConnection)?;
        let sent = connection.try_send(opening, frame.to_vec());
        self.connections.entry(member).or_default().push(connection.clone());
        sent.then_some(connection).ok_or(SendError::NoConnection)
    }

    fn is_full(&self) -> bool {
        self.connections.values().map(Vec::len).sum::<usize>() >= self.limits.connections
    }

    fn drop_closed(&mut self) {
        self.connections.retain(|_, open| {
            open.retain(|c| !c.is_closed());
            !open.is_empty()
        });
    }

    fn room(&self, alone: bool) -> Room {
        Room { streams: self.limits.streams_per_connection.min(SHARE), alone }
    }
}

impl Upstream for Pool {
    fn send(&mut self, order: &AttemptOrder) -> Result<(), SendError> {
        let forwarded = &order.forwarded;
        let source = order.source.and_then(|id| self.members.get(id)).map(|m| m.name.clone());
        let want = Want {
            id: forwarded.job.as_str(),
            profile: &forwarded.class_name,
            thing: forwarded.item.as_str(),
            nth: forwarded.part.as_str(),
            max: order.timeout.max(1.0) as u64,
            parent: source.as_deref(),
            shelf: order.rank,
            accept: order.max_age.map(|age| age.max(1.0) as u64),
            ride: order.mode.join,
            have_only: order.mode.source_holds_only,
            through: order.mode.no_copy_at_parent,
            update: order.mode.renew,
            got: forwarded.client_digest.as_ref().map(Token::as_str),
            replay: forwarded.idempotency_key.as_ref().map(Token::as_str),
            body: &forwarded.body,
        };
        let left = |by: Ms| Duration::from_secs_f64(((by - clock::steady_ms()) / 1000.0).clamp(0.0, 3600.0));
        let opening = Opening {
            tag: &forwarded.job,
            purpose: Purpose::Attempt(order.key),
            room: self.room(forwarded.once),
            tally: Some(&forwarded.tally),
            write_by: order.write_by.map(|by| Instant::now() + left(by)),
            guarded: order.guarded,
            members: [Some(order.cache), order.source],
        };
        let connection = self.dispatch(order.cache, &opening, &want.encode())?;
        self.out.insert(order.key, (connection, forwarded.job.clone()));
        Ok(())
    }

    fn attempt_ended(&mut self, key: AttemptKey) {
        self.out.remove(&key);
    }

    fn abandon(&mut self, key: AttemptKey) -> Option<Progress> {
        let (connection, tag) = self.out.remove(&key)?;
        connection.give_up(&tag, key, encode_never_mind(tag.as_str()))
    }

    fn withdraw(&mut self, key: AttemptKey) -> bool {
        let back = self.out.get(&key).is_some_and(|(connection, tag)| connection.withdraw(tag, key));
        if back {
            self.out.remove(&key);
        }
        back
    }

    fn withdraw_from(&mut self, lost: &dyn Fn(MemberId) -> bool) -> Vec<AttemptKey> {
        let back: Vec<AttemptKey> =
            self.connections.values().flatten().flat_map(|c| c.withdraw_from(lost)).collect();
        back.iter().for_each(|key| drop(self.out.remove(key)));
        back
    }

    fn may_have_run(&self, key: AttemptKey) -> bool {
        self.out.get(&key).is_some_and(|(connection, tag)| connection.may_have_run(tag, key))
    }

    fn probe(&mut self, member: MemberId) -> Result<(), SendError> {
        let tag = self.tag().ok_or(SendError::NoConnection)?;
        let opening = Opening {
            tag: &tag,
            purpose: Purpose::Probe(member),
            room: self.room(false),
            tally: None,
            write_by: None,
            guarded: false,
            members: [Some(member), None],
        };
        self.dispatch(member, &opening, &encode_there(tag.as_str())).map(drop)
    }

    fn check_connections(&mut self) {
        let Some(tag) = self.tag() else { return };
        let frame = self.limits.probes.then(|| encode_there(tag.as_str()));
        self.connections.values().flatten().for_each(|c| c.look(&tag, frame.clone()));
    }

    fn update_members(&mut self, news: &MembersUpdate) {
        if news.full {
            self.members.ids().into_iter().for_each(|id| self.members.set_gone(id));
        }
        for member in &news.members {
            let before = self.members.get(member.member).map(|m| m.addr);
            let started_at = self.started_at.insert(member.member, member.started_at);
            // A new process or address: what is open leads to the one before.
            let other = before.is_some_and(|addr| addr != member.addr)
                || started_at.is_some_and(|started_at| started_at != member.started_at);
            if other || member.gone {
                self.connections.get(&member.member).into_iter().flatten().for_each(|c| c.retire());
            }
            self.members.learn(member);
        }
    }

    fn close_idle(&mut self) {
        let idle = self.limits.idle;
        self.connections.retain(|_, open| {
            open.retain(|c| !c.sweep(idle));
            !open.is_empty()
        });
        // Nodes come and go all day, each with an id of its own.
        let connections = &self.connections;
        self.members.retain(|id, gone| !gone || connections.contains_key(id));
        let members = &self.members;
        self.started_at.retain(|id, _| members.get(*id).is_some());
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A hundred fronts that ask after each slow answer pay for it by what the settings say.
    #[test]
    fn the_dearer_a_probe_the_longer_a_silent_connection_is_left_alone() {
        assert_eq!(Limits::patience(None), QUIET.0);
        assert_eq!(Limits::patience(Some(0.011)), QUIET.0);
        assert_eq!(Limits::patience(Some(0.04)), 2 * QUIET.0);
        assert_eq!(Limits::patience(Some(0.08)), QUIET.1);
        for odd in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300] {
            assert!((QUIET.0..=QUIET.1).contains(&Limits::patience(Some(odd))), "{odd}");
        }
    }
}
