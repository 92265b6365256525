//! Follows one name: asks again and again where its members are, and keeps what is known of them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use crate::stub::known::Known;
use crate::stub::message::{Answer, Data};
use crate::stub::resolver::{Failure, LookupId, Resolver, ServerId};
use crate::wire::{shown, Type};
use crate::Ms;

/// A name is asked for at least so often, and no more often, whatever its TTL: a member that has gone may get work
/// for 2 s at most.
const ASK: (Ms, Ms) = (200.0, 1000.0);
/// Targets of one name that are followed.
const TARGETS: usize = 32;

/// How a name leads to members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Its own addresses, with the port that is set.
    Address,
    /// SRV records (RFC 2782): priority, weight, port and target.
    Srv,
    /// HTTPS records (RFC 9460): priority, target, port and hints.
    Https,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Source {
    /// In wire form.
    pub name: Box<[u8]>,
    pub kind: Kind,
    /// Where a record does not tell one.
    pub port: u16,
}

/// What stands between the name and the addresses.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Target {
    priority: u16,
    weight: u16,
    port: u16,
    name: Box<[u8]>,
    hints: Vec<IpAddr>,
}

/// A member of the name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    pub at: SocketAddr,
    /// Its part beside the others': 1 on average.
    pub share: f64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum What {
    Targets,
    Addresses(Box<[u8]>, Type),
}

#[derive(Debug)]
pub struct Follow {
    source: Source,
    targets: Known<Target>,
    addresses: BTreeMap<(Box<[u8]>, Type), Known<IpAddr>>,
    waiting: BTreeMap<LookupId, What>,
    next: Ms,
    ttl: Ms,
    failing: Option<Failure>,
    strange: bool,
}

/// What is new, for the log and for the list of members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// [`Follow::endpoints`] may differ.
    pub changed: bool,
    pub failing: Option<Failure>,
    pub recovered: bool,
    /// A server that tells another story than all others, and is not believed yet.
    pub strange: Option<ServerId>,
}

impl Follow {
    pub fn new(source: Source) -> Follow {
        let targets = Known::default();
        let (addresses, waiting) = (BTreeMap::new(), BTreeMap::new());
        Follow { source, targets, addresses, waiting, next: 0.0, ttl: ASK.1, failing: None, strange: false }
    }

    pub fn source(&self) -> &Source {
        &self.source
    }

    fn names(&self) -> BTreeSet<Box<[u8]>> {
        match self.source.kind {
            Kind::Address => BTreeSet::from([self.source.name.clone()]),
            _ => self.targets.members().map(|t| t.name.clone()).take(TARGETS).collect(),
        }
    }

    /// Begins a round if it is time.
    pub fn tick(&mut self, resolver: &mut Resolver, now: Ms) {
        if now < self.next || !self.waiting.is_empty() {
            return;
        }
        self.ttl = ASK.1;
        self.next = now + ASK.1;
        let kind = match self.source.kind {
            Kind::Address => None,
            Kind::Srv => Some(Type::SRV),
            Kind::Https => Some(Type::HTTPS),
        };
        if let Some(kind) = kind {
            let lookup = resolver.lookup(&self.source.name, kind, now);
            self.waiting.insert(lookup, What::Targets);
        }
        for name in self.names() {
            self.ask_addresses(resolver, &name, now);
        }
    }

    fn ask_addresses(&mut self, resolver: &mut Resolver, name: &[u8], now: Ms) {
        for kind in [Type::A, Type::AAAA] {
            let what = What::Addresses(name.into(), kind);
            if !self.waiting.values().any(|w| *w == what) {
                let lookup = resolver.lookup(name, kind, now);
                self.waiting.insert(lookup, what);
            }
        }
    }

    /// When [`Follow::tick`] begins the next round, if none is under way.
    pub fn due(&self) -> Option<Ms> {
        self.waiting.is_empty().then_some(self.next)
    }

    /// Takes the end of a lookup in; `None` where it is none of ours.
    pub fn done(
        &mut self,
        resolver: &mut Resolver,
        lookup: LookupId,
        result: &Result<(ServerId, Answer), Failure>,
        now: Ms,
    ) -> Option<News> {
        let what = self.waiting.remove(&lookup)?;
        let mut news = News::default();
        match result {
            Err(why) => {
                // A name may have no AAAA by a server's failing: what it has else goes on.
                let first = self.failing.is_none();
                self.failing = Some(why.clone());
                news.failing = first.then(|| why.clone());
            }
            Ok((server, answer)) => {
                self.ttl = self.ttl.min(f64::from(answer.ttl) * 1000.0);
                self.next = self.next.min(now + self.ttl.clamp(ASK.0, ASK.1));
                let strange = match what {
                    What::Targets => self.told_targets(resolver, *server, answer, now, &mut news),
                    What::Addresses(name, kind) => {
                        let says = answer.data.iter().filter_map(|d| match d {
                            Data::Address(address) => Some(*address),
                            _ => None,
                        });
                        let known = self.addresses.entry((name, kind)).or_default();
                        let change = known.told(*server, says.collect(), now);
                        news.changed = !change.came.is_empty() || !change.went.is_empty();
                        change.strange
                    }
                };
                if strange && !self.strange {
                    news.strange = Some(*server);
                }
                self.strange = strange;
                if self.waiting.is_empty() {
                    news.recovered = self.failing.take().is_some();
                }
            }
        }
        Some(news)
    }

    fn told_targets(
        &mut self,
        resolver: &mut Resolver,
        server: ServerId,
        answer: &Answer,
        now: Ms,
        news: &mut News,
    ) -> bool {
        let port = self.source.port;
        let says = answer.data.iter().filter_map(|data| match data {
            // RFC 2782: a target `.` says that the service is not there.
            Data::Srv { target, .. } if target.len() == 1 => None,
            Data::Srv { priority, weight, port, target } => Some(Target {
                priority: *priority,
                weight: *weight,
                port: *port,
                name: target.clone(),
                hints: Vec::new(),
            }),
            Data::Service { priority, target, port: own, hints } => Some(Target {
                // An alias (priority 0) is followed by asking for its target's addresses.
                priority: *priority,
                weight: 1,
                port: own.unwrap_or(port),
                name: target.clone(),
                hints: hints.clone(),
            }),
            Data::Address(_) | Data::Text(_) => None,
        });
        let change = self.targets.told(server, says.take(TARGETS).collect(), now);
        news.changed = !change.came.is_empty() || !change.went.is_empty();
        for target in &change.came {
            self.ask_addresses(resolver, &target.name, now);
        }
        // What no target names any more is not kept.
        let names = self.names();
        self.addresses.retain(|(name, _), _| names.contains(name));
        change.strange
    }

    /// The members now: of the lowest priority that has any, each with its share.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        if self.source.kind == Kind::Address {
            let all = self.addresses_of(&self.source.name);
            return all
                .map(|ip| Endpoint { at: SocketAddr::new(ip, self.source.port), share: 1.0 })
                .collect();
        }
        let mut targets: Vec<&Target> = self.targets.members().take(TARGETS).collect();
        targets.sort_by_key(|t| t.priority);
        for group in targets.chunk_by(|a, b| a.priority == b.priority) {
            let mut found: BTreeMap<SocketAddr, f64> = BTreeMap::new();
            for target in group {
                let mut ips: Vec<IpAddr> = self.addresses_of(&target.name).collect();
                // Hints are for as long as the addresses themselves have not been told (RFC 9460, section 7.3).
                let told = [Type::A, Type::AAAA]
                    .iter()
                    .any(|k| self.addresses.contains_key(&(target.name.clone(), *k)));
                if !told {
                    ips.extend(&target.hints);
                }
                // RFC 2782: weight 0 is for those that should hardly be chosen.
                let weight = f64::from(target.weight).max(0.1) / ips.len().max(1) as f64;
                for ip in ips {
                    *found.entry(SocketAddr::new(ip, target.port)).or_insert(0.0) += weight;
                }
            }
            if !found.is_empty() {
                let mean = found.values().sum::<f64>() / found.len() as f64;
                return found.into_iter().map(|(at, w)| Endpoint { at, share: w / mean }).collect();
            }
        }
        Vec::new()
    }

    fn addresses_of(&self, name: &[u8]) -> impl Iterator<Item = IpAddr> + use<'_> {
        let sets = [Type::A, Type::AAAA].map(|k| self.addresses.get(&(Box::from(name), k)));
        sets.into_iter().flatten().flat_map(|known| known.members().copied())
    }

    /// Other servers are asked from here on, and what is out will not come: what is known stays, and what was taken
    /// away comes back by time only.
    pub fn servers_changed(&mut self) {
        self.waiting.clear();
        self.targets.servers_changed();
        self.addresses.values_mut().for_each(Known::servers_changed);
    }

    /// For the log.
    pub fn shown(&self) -> String {
        shown(&self.source.name)
    }
}
