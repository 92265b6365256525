//! The pooled connections to cache nodes, by member and not by address: an address may be held by a new member
//! while connections to the one that held it before are still open.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use elmtide::{MemberId, Ms};

use crate::client::connection::{Connection, Peer, Room, QUIET};
use crate::exchange::*;
use crate::memory::counters::Counters;
use crate::memory::figures::ClassTally;
use crate::memory::members::Members;
use crate::wire::lines::{never_mind, there, Want};

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
    born: BTreeMap<MemberId, Option<Ms>>,
    connections: BTreeMap<MemberId, Vec<Arc<Connection>>>,
    out: HashMap<AttemptKey, (Arc<Connection>, Token)>,
    probes: u64,
    inputs: Sender<Input>,
    counters: Arc<Counters>,
}

impl Pool {
    pub fn new(limits: Limits, inputs: Sender<Input>, counters: Arc<Counters>) -> Pool {
        Pool {
            limits,
            members: Members::default(),
            born: BTreeMap::new(),
            connections: BTreeMap::new(),
            out: HashMap::new(),
            probes: 0,
            inputs,
            counters,
        }
    }

    /// A name for a question that is no request's.
    fn tag(&mut self) -> Option<Token> {
        self.probes += 1;
        Token::new(format!("p{:015x}", self.probes).as_bytes())
    }

    /// Puts a frame on a connection to this member, an open one or a new one.
    fn dispatch(
        &mut self,
        member: MemberId,
        tag: &Token,
        purpose: Result<AttemptKey, MemberId>,
        frame: Vec<u8>,
        alone: bool,
        tally: Option<&Arc<ClassTally>>,
    ) -> Option<Arc<Connection>> {
        let addr = self.members.get(member).and_then(|m| m.addr)?;
        let streams = self.limits.streams_per_connection;
        let open = self.connections.entry(member).or_default();
        let few = Room { streams: streams.min(SHARE), alone };
        if let Some(found) = open.iter().find(|c| c.try_send(tag, purpose, frame.clone(), few, tally)) {
            return Some(found.clone());
        }
        if self.connections.values().map(Vec::len).sum::<usize>() >= self.limits.connections {
            let open = self.connections.get(&member)?;
            let many = Room { streams, alone: false };
            return open.iter().find(|c| c.try_send(tag, purpose, frame.clone(), many, tally)).cloned();
        }
        let Limits { connect_timeout, patience, .. } = self.limits;
        let peer = Peer { addr, connect_timeout, patience };
        let connection = Connection::open(peer, self.inputs.clone(), self.counters.clone()).ok()?;
        connection.try_send(tag, purpose, frame, few, tally);
        self.connections.entry(member).or_default().push(connection.clone());
        Some(connection)
    }
}

impl Upstream for Pool {
    fn send(&mut self, order: &Order) -> Result<(), Progress> {
        let passed = &order.passed;
        let source = order.source.and_then(|id| self.members.get(id)).map(|m| m.name.clone());
        let want = Want {
            id: passed.job.as_str(),
            profile: &passed.class_name,
            thing: passed.item.as_str(),
            nth: passed.part.as_str(),
            max: order.timeout.max(1.0) as u64,
            parent: source.as_deref(),
            shelf: order.rank,
            accept: order.max_age.map(|age| age.max(1.0) as u64),
            ride: order.mode.join,
            have_only: order.mode.source_holds_only,
            through: order.mode.no_copy_at_parent,
            update: order.mode.renew,
            got: passed.seen.as_ref().map(Token::as_str),
            body: &passed.body,
        };
        let frame = want.encode();
        let connection =
            self.dispatch(order.cache, &passed.job, Ok(order.key), frame, passed.once, Some(&passed.tally));
        let connection = connection.ok_or(Progress::NotConnected)?;
        self.out.insert(order.key, (connection, passed.job.clone()));
        Ok(())
    }

    fn ended(&mut self, key: AttemptKey) {
        self.out.remove(&key);
    }

    fn give_up(&mut self, key: AttemptKey) -> Option<Progress> {
        let (connection, tag) = self.out.remove(&key)?;
        connection.give_up(&tag, key, never_mind(tag.as_str()))
    }

    fn may_have_run(&self, key: AttemptKey) -> bool {
        self.out.get(&key).is_some_and(|(connection, tag)| connection.may_have_run(tag, key))
    }

    fn probe(&mut self, member: MemberId) -> bool {
        let tag = self.tag();
        tag.is_some_and(|tag| {
            self.dispatch(member, &tag, Err(member), there(tag.as_str()), false, None).is_some()
        })
    }

    fn look(&mut self) {
        let Some(tag) = self.tag() else { return };
        let frame = self.limits.probes.then(|| there(tag.as_str()));
        self.connections.values().flatten().for_each(|c| c.look(&tag, frame.clone()));
    }

    fn learn(&mut self, news: &MembersNews) {
        if news.full {
            self.members.ids().into_iter().for_each(|id| self.members.set_gone(id));
        }
        for member in &news.members {
            let before = self.members.get(member.member).map(|m| m.addr);
            let born = self.born.insert(member.member, member.born);
            // A new process or address: what is open leads to the one before.
            let other = before.is_some_and(|addr| addr != member.addr)
                || born.is_some_and(|born| born != member.born);
            if other || member.gone {
                self.connections.get(&member.member).into_iter().flatten().for_each(|c| c.retire());
            }
            self.members.learn(member);
        }
    }

    fn sweep(&mut self) {
        let idle = self.limits.idle;
        self.connections.retain(|_, open| {
            open.retain(|c| !c.sweep(idle));
            !open.is_empty()
        });
        // Nodes come and go all day, each with an id of its own.
        let connections = &self.connections;
        self.members.retain(|id, gone| !gone || connections.contains_key(id));
        let members = &self.members;
        self.born.retain(|id, _| members.get(*id).is_some());
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
