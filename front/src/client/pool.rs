//! The pool of connections to cache nodes. It is keyed by member and not by address, since a new member may take over
//! an address while connections to the previous member are still open.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use elmtide::{MemberId, Ms};

use crate::client::connection::{Connection, Peer};
use crate::client::shortage::Shortage;
use crate::client::streams::{NewStream, Purpose, Sharing, MAX_CHECKS_BEFORE_PING, MIN_CHECKS_BEFORE_PING};
use crate::exchange::*;
use crate::memory::counters::Counters;
use crate::memory::members::Members;
use crate::process::clock;
use crate::wire::lines::{encode_never_mind, encode_there, Want};

/// Limits and timeouts of the pool, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    pub connect_timeout: Duration,
    /// Idle connections are closed well before the other side closes them, so that no request is sent on a connection
    /// that the node is closing.
    pub idle_timeout: Duration,
    pub streams_per_connection: usize,
    pub max_connections: usize,
    /// Whether nodes may be sent pings.
    pub probes: bool,
    /// Checks of a silent connection before it is sent a ping.
    pub checks_before_ping: u32,
    /// A request that has waited longer than this to be written is no longer written.
    pub max_write_delay: Duration,
}

/// Up to this cost of one probe per request, as a fraction of the service score, a silent connection is sent a ping
/// after the fewest checks.
const CHEAP_PROBE_COST: f64 = 0.02;

impl PoolLimits {
    /// The number of checks without a byte received before a ping is sent, from the cost of a probe. With many fronts
    /// each connection carries only one request, so with few checks every front would send a ping for each slow answer.
    pub fn checks_before_ping(cost: Option<f64>) -> u32 {
        let (fewest, most) = (MIN_CHECKS_BEFORE_PING, MAX_CHECKS_BEFORE_PING);
        let cost_ratio = cost.filter(|p| p.is_finite()).map_or(1.0, |p| p / CHEAP_PROBE_COST);
        ((f64::from(fewest) * cost_ratio) as u32).clamp(fewest, most)
    }
}

/// Attempts on one connection while other connections may be opened: one malformed answer breaks them all.
const MAX_SHARED_ATTEMPTS: usize = 4;

/// All connections to cache nodes, and the attempts in flight on them.
pub struct Pool {
    limits: PoolLimits,
    members: Members,
    started_at: BTreeMap<MemberId, Option<Ms>>,
    connections: BTreeMap<MemberId, Vec<Arc<Connection>>>,
    in_flight: HashMap<AttemptKey, (Arc<Connection>, Token)>,
    probe_count: u64,
    shortage: Shortage,
    inputs: Sender<Input>,
    counters: Arc<Counters>,
}

impl Pool {
    /// Creates an empty pool. Results of attempts and probes are sent to `inputs`.
    pub fn new(limits: PoolLimits, inputs: Sender<Input>, counters: Arc<Counters>) -> Pool {
        Pool {
            limits,
            members: Members::default(),
            started_at: BTreeMap::new(),
            connections: BTreeMap::new(),
            in_flight: HashMap::new(),
            probe_count: 0,
            shortage: Shortage::new(Instant::now()),
            inputs,
            counters,
        }
    }

    /// A new tag for a probe or ping, which belongs to no request.
    fn next_probe_tag(&mut self) -> Option<Token> {
        self.probe_count += 1;
        Token::new(format!("p{:015x}", self.probe_count).as_bytes())
    }

    /// Queues a request on an open or new connection to the member.
    fn dispatch(
        &mut self,
        member: MemberId,
        new_stream: &NewStream<'_>,
        frame: &[u8],
    ) -> Result<Arc<Connection>, SendError> {
        let addr = self.members.get(member).and_then(|m| m.addr).ok_or(SendError::NoAddress)?;
        let open = self.connections.entry(member).or_default();
        if let Some(found) = open.iter().find(|c| c.try_send(new_stream, frame.to_vec())) {
            return Ok(found.clone());
        }
        if self.is_full() {
            // Closed connections are of no use, and count only until the next sweep.
            self.remove_closed();
        }
        if self.is_full() {
            let sharing = Sharing { max_streams: self.limits.streams_per_connection, exclusive: false };
            let shared = NewStream { sharing, ..new_stream.clone() };
            let mut open = self.connections.get(&member).into_iter().flatten();
            let found = open.find(|c| c.try_send(&shared, frame.to_vec()));
            return found.cloned().ok_or(SendError::NoConnection);
        }
        if self.shortage.is_active(Instant::now()) {
            return Err(SendError::NoConnection);
        }
        let PoolLimits { connect_timeout, checks_before_ping, max_write_delay, .. } = self.limits;
        let peer = Peer {
            addr,
            connect_timeout,
            checks_before_ping,
            max_write_delay,
            shortage: self.shortage.clone(),
        };
        let connection = Connection::open(peer, self.inputs.clone(), self.counters.clone())
            .map_err(|_| SendError::NoConnection)?;
        let sent = connection.try_send(new_stream, frame.to_vec());
        self.connections.entry(member).or_default().push(connection.clone());
        sent.then_some(connection).ok_or(SendError::NoConnection)
    }

    fn is_full(&self) -> bool {
        self.connections.values().map(Vec::len).sum::<usize>() >= self.limits.max_connections
    }

    fn remove_closed(&mut self) {
        self.connections.retain(|_, open| {
            open.retain(|c| !c.is_closed());
            !open.is_empty()
        });
    }

    fn sharing(&self, exclusive: bool) -> Sharing {
        Sharing { max_streams: self.limits.streams_per_connection.min(MAX_SHARED_ATTEMPTS), exclusive }
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
        let time_until =
            |by: Ms| Duration::from_secs_f64(((by - clock::steady_ms()) / 1000.0).clamp(0.0, 3600.0));
        let new_stream = NewStream {
            tag: &forwarded.job,
            purpose: Purpose::Attempt(order.key),
            sharing: self.sharing(forwarded.once),
            tally: Some(&forwarded.tally),
            write_by: order.write_by.map(|by| Instant::now() + time_until(by)),
            guarded: order.guarded,
            members: [Some(order.cache), order.source],
        };
        let connection = self.dispatch(order.cache, &new_stream, &want.encode())?;
        self.in_flight.insert(order.key, (connection, forwarded.job.clone()));
        Ok(())
    }

    fn attempt_ended(&mut self, key: AttemptKey) {
        self.in_flight.remove(&key);
    }

    fn abandon(&mut self, key: AttemptKey) -> Option<Progress> {
        let (connection, tag) = self.in_flight.remove(&key)?;
        connection.abandon(&tag, key, encode_never_mind(tag.as_str()))
    }

    fn withdraw(&mut self, key: AttemptKey) -> bool {
        let withdrawn =
            self.in_flight.get(&key).is_some_and(|(connection, tag)| connection.withdraw(tag, key));
        if withdrawn {
            self.in_flight.remove(&key);
        }
        withdrawn
    }

    fn withdraw_from(&mut self, lost: &dyn Fn(MemberId) -> bool) -> Vec<AttemptKey> {
        let withdrawn: Vec<AttemptKey> =
            self.connections.values().flatten().flat_map(|c| c.withdraw_from(lost)).collect();
        withdrawn.iter().for_each(|key| drop(self.in_flight.remove(key)));
        withdrawn
    }

    fn may_have_run(&self, key: AttemptKey) -> bool {
        self.in_flight.get(&key).is_some_and(|(connection, tag)| connection.may_have_run(tag, key))
    }

    fn probe(&mut self, member: MemberId) -> Result<(), SendError> {
        let tag = self.next_probe_tag().ok_or(SendError::NoConnection)?;
        let new_stream = NewStream {
            tag: &tag,
            purpose: Purpose::Probe(member),
            sharing: self.sharing(false),
            tally: None,
            write_by: None,
            guarded: false,
            members: [Some(member), None],
        };
        self.dispatch(member, &new_stream, &encode_there(tag.as_str())).map(drop)
    }

    fn check_connections(&mut self) {
        let Some(tag) = self.next_probe_tag() else { return };
        let frame = self.limits.probes.then(|| encode_there(tag.as_str()));
        self.connections.values().flatten().for_each(|c| c.check(&tag, frame.clone()));
    }

    fn update_members(&mut self, members_update: &MembersUpdate) {
        if members_update.full {
            self.members.ids().into_iter().for_each(|id| self.members.set_gone(id));
        }
        for member in &members_update.members {
            let before = self.members.get(member.member).map(|m| m.addr);
            let started_at = self.started_at.insert(member.member, member.started_at);
            // With a new process or address, the open connections lead to the previous one.
            let is_replaced = before.is_some_and(|addr| addr != member.addr)
                || started_at.is_some_and(|started_at| started_at != member.started_at);
            if is_replaced || member.gone {
                self.connections.get(&member.member).into_iter().flatten().for_each(|c| c.retire());
            }
            self.members.learn(member);
        }
    }

    fn close_idle(&mut self) {
        let idle_timeout = self.limits.idle_timeout;
        self.connections.retain(|_, open| {
            open.retain(|c| !c.close_if_idle(idle_timeout));
            !open.is_empty()
        });
        // Nodes come and go all day, each with its own id, so those that are gone are forgotten.
        let connections = &self.connections;
        self.members.retain(|id, gone| !gone || connections.contains_key(id));
        let members = &self.members;
        self.started_at.retain(|id, _| members.get(*id).is_some());
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The deduction for probes in the settings decides how many checks precede a ping: a hundred fronts that each
    /// send a ping for a slow answer cost as many probes.
    #[test]
    fn the_costlier_a_probe_the_more_silent_checks_precede_a_ping() {
        assert_eq!(PoolLimits::checks_before_ping(None), MIN_CHECKS_BEFORE_PING);
        assert_eq!(PoolLimits::checks_before_ping(Some(0.011)), MIN_CHECKS_BEFORE_PING);
        assert_eq!(PoolLimits::checks_before_ping(Some(0.04)), 2 * MIN_CHECKS_BEFORE_PING);
        assert_eq!(PoolLimits::checks_before_ping(Some(0.08)), MAX_CHECKS_BEFORE_PING);
        for odd in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300] {
            assert!(
                (MIN_CHECKS_BEFORE_PING..=MAX_CHECKS_BEFORE_PING)
                    .contains(&PoolLimits::checks_before_ping(Some(odd))),
                "{odd}"
            );
        }
    }
}
