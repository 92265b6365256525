//! One machine for all questions: which server is asked, when a second one is, and what becomes of each answer.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::hash::Hasher;
use std::net::{IpAddr, SocketAddr};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use siphasher::sip::SipHasher24;

use crate::stub::message::{cookie_of, matches, question, read_answer, Answer, Said};
use crate::wire::{shown, Rcode, Type};
use crate::zone::CHAIN;
use crate::Ms;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u8);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LookupId(u64);
/// One question sent once; it has a socket of its own, so that its port is as hard to guess as the system makes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AskId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// A lookup ends after so long, whatever has come of it; later, in proportion, where all servers are slow.
    pub patience: Ms,
    /// A question is given up after so long, or later where its server is known to be slow.
    pub silence: Ms,
    /// A second server is asked no sooner than this after the first.
    pub second: Ms,
    /// A server that has failed is left alone from this to this, doubled each time.
    pub back_off: (Ms, Ms),
    /// Lookups and questions under way at most.
    pub lookups: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { patience: 900.0, silence: 300.0, second: 40.0, back_off: (500.0, 16_000.0), lookups: 256 }
    }
}

/// Answers to one question that are not answers to it, before it is asked over TCP: somebody is guessing (RFC 5452,
/// section 9.2).
const FORGERIES: u32 = 16;
/// Questions of one lookup.
const ASKS: u32 = 6;
/// How often the time for an answer doubles at most, once for each question without an answer (RFC 6298, section 5.5). The
/// same question is asked again: a server that is slower than a fixed limit would never be heard. With the default limits
/// an answer is waited for up to 2.4 s; a longer wait would put off the next question to a server that is back.
const MAX_DOUBLINGS: u32 = 3;

/// Why a lookup has come to nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No server has answered.
    Silent,
    /// The last answer was this code.
    Code(Rcode),
    /// A loop of aliases, or too many of them.
    Aliases,
    /// Too much is under way already.
    Busy,
    NoServer,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Silent => f.write_str("no resolver answers: check that they run and can be reached"),
            Failure::Code(code) => {
                write!(f, "the resolvers answer with code {}: check the name and its zone", code.0)
            }
            Failure::Aliases => write!(f, "over {CHAIN} aliases, or a loop: mend the zone"),
            Failure::Busy => f.write_str("too many names are asked for at once"),
            Failure::NoServer => f.write_str("no resolver is set"),
        }
    }
}

/// What the caller is to do.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// From a fresh socket, connected to that address; what comes back is given to [`Resolver::datagram`].
    Udp {
        ask: AskId,
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Over a fresh connection, with the length before it; the whole answer or its failure goes to [`Resolver::stream`].
    Tcp {
        ask: AskId,
        to: SocketAddr,
        bytes: Vec<u8>,
        /// A later answer is not waited for.
        within: Ms,
    },
    /// Nothing is expected for this question any more: its socket can go.
    Forget(AskId),
    Done {
        lookup: LookupId,
        result: Result<(ServerId, Answer), Failure>,
    },
}

#[derive(Debug)]
struct Server {
    at: SocketAddr,
    /// Smoothed round-trip time and its deviation (RFC 6298); none before the first answer.
    rtt: Option<(Ms, Ms)>,
    failures: u32,
    /// Questions in a row that had no answer in time.
    unanswered: u32,
    rest_until: Ms,
    /// The cookie to send, its server's part included once that is known.
    cookie: Vec<u8>,
    plain_until: Ms,
    keeps_case: bool,
}

impl Server {
    fn time_out(&self, limits: &Limits) -> Ms {
        self.rtt
            .map_or(limits.silence, |(mean, dev)| (mean + 4.0 * dev).max(limits.second))
            .min(limits.silence)
    }

    /// How long an answer is waited for, while others are asked after [`Server::time_out`].
    fn longest_wait(&self, limits: &Limits) -> Ms {
        let doubled = limits.silence * 2f64.powi(self.unanswered.min(MAX_DOUBLINGS) as i32);
        let expected = self.rtt.map_or(0.0, |(mean, dev)| mean + 4.0 * dev);
        doubled.max(expected).min(limits.silence * 2f64.powi(MAX_DOUBLINGS as i32))
    }

    fn answered(&mut self, took: Ms) {
        (self.failures, self.unanswered, self.rest_until) = (0, 0, 0.0);
        self.rtt = Some(match self.rtt {
            None => (took, took / 2.0),
            Some((mean, dev)) => (mean + (took - mean) / 8.0, dev + ((took - mean).abs() - dev) / 4.0),
        });
    }

    fn failed(&mut self, now: Ms, limits: &Limits) {
        self.failures = (self.failures + 1).min(16);
        let rest = limits.back_off.0 * 2f64.powi(self.failures as i32 - 1);
        self.rest_until = now + rest.min(limits.back_off.1);
    }
}

#[derive(Debug)]
struct Lookup {
    name: Box<[u8]>,
    kind: Type,
    ttl: u32,
    aliases: Vec<Box<[u8]>>,
    until: Ms,
    asked: u32,
    tried: Vec<ServerId>,
    last: Failure,
    /// Another server is asked then, if there is no answer.
    second_at: Ms,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Udp,
    Tcp,
}

#[derive(Debug)]
struct Ask {
    lookup: LookupId,
    server: ServerId,
    sent: Vec<u8>,
    at: Ms,
    until: Ms,
    way: Way,
    forgeries: u32,
    /// The letters came back in another case.
    wrong_case: bool,
    cookie_retried: bool,
}

#[derive(Debug)]
pub struct Resolver {
    limits: Limits,
    servers: Vec<Server>,
    primary: usize,
    lookups: BTreeMap<LookupId, Lookup>,
    asks: BTreeMap<AskId, Ask>,
    out: VecDeque<Output>,
    random: StdRng,
    next: u64,
    now: Ms,
    /// Answers that were none.
    pub forged: u64,
}

impl Resolver {
    /// The seed must not be guessable in service: ids, letters and cookies rest on it.
    pub fn new(servers: &[SocketAddr], limits: Limits, seed: u64) -> Resolver {
        let mut random = StdRng::seed_from_u64(seed);
        let key: [u8; 16] = random.random();
        let servers = servers.iter().take(usize::from(u8::MAX)).map(|at| Server {
            at: *at,
            rtt: None,
            failures: 0,
            unanswered: 0,
            rest_until: 0.0,
            cookie: client_cookie(&key, *at),
            plain_until: 0.0,
            keeps_case: true,
        });
        Resolver {
            limits,
            servers: servers.collect(),
            primary: 0,
            lookups: BTreeMap::new(),
            asks: BTreeMap::new(),
            out: VecDeque::new(),
            random,
            next: 0,
            now: 0.0,
            forged: 0,
        }
    }

    /// How long a lookup may take: longer where even the fastest server is slow.
    fn lookup_patience(&self) -> Ms {
        let waits = self.servers.iter().map(|server| server.longest_wait(&self.limits));
        self.limits.patience * waits.fold(f64::INFINITY, f64::min) / self.limits.silence
    }

    fn fresh(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Begins a lookup of a name in wire form; its end comes by [`Resolver::poll`].
    pub fn lookup(&mut self, name: &[u8], kind: Type, now: Ms) -> LookupId {
        self.now = self.now.max(now);
        let id = LookupId(self.fresh());
        let refused = match (self.servers.is_empty(), self.lookups.len() >= self.limits.lookups) {
            (true, _) => Some(Failure::NoServer),
            (_, true) => Some(Failure::Busy),
            _ => None,
        };
        if let Some(why) = refused {
            self.out.push_back(Output::Done { lookup: id, result: Err(why) });
            return id;
        }
        let lookup = Lookup {
            name: name.into(),
            kind,
            ttl: u32::MAX,
            aliases: Vec::new(),
            until: self.now + self.lookup_patience(),
            asked: 0,
            tried: Vec::new(),
            last: Failure::Silent,
            second_at: f64::INFINITY,
        };
        self.lookups.insert(id, lookup);
        self.ask_next(id);
        id
    }

    /// Takes a datagram in that came to this question's socket.
    pub fn datagram(&mut self, ask: AskId, bytes: &[u8], now: Ms) {
        self.now = self.now.max(now);
        let Some(asked) = self.asks.get_mut(&ask).filter(|a| a.way == Way::Udp) else { return };
        let server = &mut self.servers[usize::from(asked.server.0)];
        let cookie = cookie_of(bytes);
        let cookie_fits = match &cookie {
            Some(cookie) => cookie[..8] == server.cookie[..8],
            // RFC 7873, section 5.3: who has sent one goes on sending it.
            None => server.cookie.len() == 8 || self.now < server.plain_until,
        };
        if !matches(bytes, &asked.sent, server.keeps_case) || !cookie_fits {
            self.forged += 1;
            asked.forgeries += 1;
            asked.wrong_case |= matches(bytes, &asked.sent, false) && cookie_fits;
            if asked.forgeries >= FORGERIES || asked.wrong_case {
                self.over_tcp(ask);
            }
            return;
        }
        let (lookup, id) = (asked.lookup, asked.server);
        let Some(wanted) = self.lookups.get(&lookup) else { return };
        let said = read_answer(bytes, &wanted.name, wanted.kind);
        if said == Said::NotOurs {
            self.forged += 1;
            asked.forgeries += 1;
            return;
        }
        if let Some(cookie) = cookie {
            server.cookie = cookie;
        }
        if said == Said::BadCookie && !asked.cookie_retried {
            // The right cookie has just come: once more with it.
            asked.cookie_retried = true;
            let server = asked.server;
            self.drop_ask(ask);
            self.send(lookup, server, Way::Udp, true);
            return;
        }
        match said {
            Said::Truncated | Said::BadCookie => self.over_tcp(ask),
            said => self.heard(ask, id, lookup, said),
        }
    }

    /// What has become of a question over TCP: the message, or nothing.
    pub fn stream(&mut self, ask: AskId, message: Option<&[u8]>, now: Ms) {
        self.now = self.now.max(now);
        let Some(asked) = self.asks.get(&ask).filter(|a| a.way == Way::Tcp) else { return };
        let (lookup, id) = (asked.lookup, asked.server);
        let said = match (message, self.lookups.get(&lookup)) {
            (Some(bytes), Some(wanted)) if matches(bytes, &asked.sent, false) => {
                let server = &mut self.servers[usize::from(id.0)];
                // Over TCP nobody guesses: what differs is the server's way.
                server.keeps_case &= matches(bytes, &asked.sent, true);
                match cookie_of(bytes) {
                    Some(cookie) if cookie[..8] == server.cookie[..8] => server.cookie = cookie,
                    _ => server.cookie.truncate(8),
                }
                read_answer(bytes, &wanted.name, wanted.kind)
            }
            _ => Said::NotOurs,
        };
        match said {
            Said::NotOurs | Said::Truncated | Said::BadCookie => self.gave_nothing(ask, Failure::Silent),
            said => self.heard(ask, id, lookup, said),
        }
    }

    /// A question over UDP could not be sent, or its port is closed.
    pub fn unreachable(&mut self, ask: AskId, now: Ms) {
        self.now = self.now.max(now);
        if self.asks.contains_key(&ask) {
            self.gave_nothing(ask, Failure::Silent);
        }
    }

    fn heard(&mut self, ask: AskId, server: ServerId, lookup: LookupId, said: Said) {
        let Some(asked) = self.asks.get(&ask) else { return };
        let took = self.now - asked.at;
        match said {
            Said::Answer(answer) => {
                self.servers[usize::from(server.0)].answered(took);
                let ttl = self.lookups.get(&lookup).map_or(0, |l| l.ttl.min(answer.ttl));
                self.end(lookup, Ok((server, Answer { ttl, ..answer })));
            }
            Said::Alias(target, ttl) => {
                self.servers[usize::from(server.0)].answered(took);
                let Some(wanted) = self.lookups.get_mut(&lookup) else { return };
                let known = wanted.aliases.contains(&target) || target == wanted.name;
                if known || wanted.aliases.len() >= CHAIN {
                    return self.end(lookup, Err(Failure::Aliases));
                }
                wanted.ttl = wanted.ttl.min(ttl);
                let from = std::mem::replace(&mut wanted.name, target);
                wanted.aliases.push(from);
                (wanted.asked, wanted.second_at) = (0, f64::INFINITY);
                wanted.tried.clear();
                self.drop_asks(lookup);
                self.ask_next(lookup);
            }
            Said::Failed(Rcode::FORMERR | Rcode::NOTIMP) if self.has_edns(ask) => {
                // RFC 6891, section 7: a server that does not know EDNS; it is tried again with it later.
                self.servers[usize::from(server.0)].plain_until = self.now + 60_000.0;
                self.drop_ask(ask);
                self.send(lookup, server, Way::Udp, false);
            }
            Said::TooManyAliases => self.end(lookup, Err(Failure::Aliases)),
            Said::Failed(code) => self.gave_nothing(ask, Failure::Code(code)),
            Said::Truncated | Said::BadCookie | Said::NotOurs => {}
        }
    }

    fn has_edns(&self, ask: AskId) -> bool {
        self.asks.get(&ask).is_some_and(|a| a.sent[11] == 1)
    }

    /// A question has come to nothing: its server is left alone for a while, and another is asked at once.
    fn gave_nothing(&mut self, ask: AskId, why: Failure) {
        let Some(asked) = self.asks.get(&ask) else { return };
        let (lookup, server) = (asked.lookup, asked.server);
        let state = &mut self.servers[usize::from(server.0)];
        state.failed(self.now, &self.limits);
        if why == Failure::Silent {
            state.unanswered = state.unanswered.saturating_add(1);
        }
        self.drop_ask(ask);
        let Some(wanted) = self.lookups.get_mut(&lookup) else { return };
        wanted.last = why;
        let other_out = self.asks.values().any(|a| a.lookup == lookup);
        if !other_out {
            self.ask_next(lookup);
        }
    }

    /// Asks the best server that has not been asked; each a second time before it is given up.
    fn ask_next(&mut self, id: LookupId) {
        let Some(lookup) = self.lookups.get(&id) else { return };
        if lookup.asked >= ASKS || lookup.tried.len() >= 2 * self.servers.len() || self.now >= lookup.until {
            let why = lookup.last.clone();
            return self.end(id, Err(why));
        }
        let times = |server: usize| lookup.tried.iter().filter(|t| usize::from(t.0) == server).count();
        let rank = |place: &usize| {
            let server = &self.servers[*place];
            let rests = server.rest_until > self.now;
            let rtt = server.rtt.map_or(50.0, |(mean, _)| mean);
            // The one asked so far is kept unless another is far better: its answers are in order.
            let rtt = if *place == self.primary { rtt / 2.0 } else { rtt };
            (times(*place), rests, if rests { server.rest_until } else { rtt })
        };
        let best = (0..self.servers.len()).min_by(|a, b| {
            let (a, b) = (rank(a), rank(b));
            (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
        });
        let Some(best) = best else { return self.end(id, Err(Failure::NoServer)) };
        if lookup.tried.is_empty() {
            self.primary = best;
        }
        self.send(id, ServerId(best as u8), Way::Udp, true);
    }

    fn send(&mut self, id: LookupId, server: ServerId, way: Way, edns: bool) {
        let ask = AskId(self.fresh());
        let Some(lookup) = self.lookups.get_mut(&id) else { return };
        let state = &self.servers[usize::from(server.0)];
        let edns = edns && self.now >= state.plain_until;
        let mut cased = lookup.name.clone();
        // Lengths are under 64 and no letters: only letters change.
        for byte in cased.iter_mut().filter(|b| b.is_ascii_alphabetic()) {
            if self.random.random::<bool>() {
                *byte = byte.to_ascii_uppercase();
            }
        }
        let bytes = question(self.random.random(), &cased, lookup.kind, edns, Some(&state.cookie));
        let wait = match way {
            Way::Udp => state.time_out(&self.limits),
            Way::Tcp => self.limits.silence,
        };
        lookup.asked += 1;
        lookup.tried.push(server);
        lookup.second_at = self.now + wait;
        let until = (self.now + state.longest_wait(&self.limits)).min(lookup.until);
        let to = state.at;
        self.asks.insert(
            ask,
            Ask {
                lookup: id,
                server,
                sent: bytes.clone(),
                at: self.now,
                until,
                way,
                forgeries: 0,
                wrong_case: false,
                cookie_retried: false,
            },
        );
        self.out.push_back(match way {
            Way::Udp => Output::Udp { ask, to, bytes },
            Way::Tcp => Output::Tcp { ask, to, bytes, within: until - self.now },
        });
    }

    fn over_tcp(&mut self, ask: AskId) {
        let Some(asked) = self.asks.get(&ask) else { return };
        let (lookup, server) = (asked.lookup, asked.server);
        self.drop_ask(ask);
        self.send(lookup, server, Way::Tcp, true);
    }

    fn drop_ask(&mut self, ask: AskId) {
        if self.asks.remove(&ask).is_some() {
            self.out.push_back(Output::Forget(ask));
        }
    }

    fn drop_asks(&mut self, lookup: LookupId) {
        let all: Vec<AskId> =
            self.asks.iter().filter(|(_, a)| a.lookup == lookup).map(|(id, _)| *id).collect();
        all.into_iter().for_each(|ask| self.drop_ask(ask));
    }

    fn end(&mut self, lookup: LookupId, result: Result<(ServerId, Answer), Failure>) {
        self.drop_asks(lookup);
        if self.lookups.remove(&lookup).is_some() {
            self.out.push_back(Output::Done { lookup, result });
        }
    }

    /// Time passes: questions that are overdue are given up, second servers asked.
    pub fn tick(&mut self, now: Ms) {
        self.now = self.now.max(now);
        let overdue: Vec<AskId> =
            self.asks.iter().filter(|(_, a)| a.until <= self.now).map(|(id, _)| *id).collect();
        for ask in overdue {
            self.gave_nothing(ask, Failure::Silent);
        }
        let over: Vec<LookupId> =
            self.lookups.iter().filter(|(_, l)| l.until <= self.now).map(|(id, _)| *id).collect();
        for lookup in over {
            let why = self.lookups[&lookup].last.clone();
            self.end(lookup, Err(why));
        }
        let seconds: Vec<LookupId> =
            self.lookups.iter().filter(|(_, l)| l.second_at <= self.now).map(|(id, _)| *id).collect();
        for lookup in seconds {
            let out = self.asks.values().filter(|a| a.lookup == lookup).count();
            let Some(wanted) = self.lookups.get_mut(&lookup) else { continue };
            wanted.second_at = f64::INFINITY;
            if out < 2 && wanted.asked < ASKS {
                self.ask_next(lookup);
            }
        }
    }

    /// When [`Resolver::tick`] is due.
    pub fn due(&self) -> Option<Ms> {
        let asks = self.asks.values().map(|a| a.until);
        let lookups = self.lookups.values().map(|l| l.until.min(l.second_at));
        asks.chain(lookups).min_by(f64::total_cmp)
    }

    /// The next thing to do.
    pub fn poll(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// Where a server is.
    pub fn server(&self, id: ServerId) -> Option<SocketAddr> {
        self.servers.get(usize::from(id.0)).map(|s| s.at)
    }

    /// For the log: names and what is asked of them.
    pub fn under_way(&self) -> Vec<String> {
        self.lookups.values().map(|l| format!("{} type {}", shown(&l.name), l.kind.0)).collect()
    }
}

/// RFC 9018, section 3: the client's part is the same for one server, and nobody else can tell it.
fn client_cookie(key: &[u8; 16], at: SocketAddr) -> Vec<u8> {
    let mut hasher = SipHasher24::new_with_key(key);
    match at.ip() {
        IpAddr::V4(v4) => hasher.write(&v4.octets()),
        IpAddr::V6(v6) => hasher.write(&v6.octets()),
    }
    hasher.write_u16(at.port());
    hasher.finish().to_le_bytes().to_vec()
}
