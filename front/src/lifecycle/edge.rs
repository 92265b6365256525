//! The second front, DNS-based request routing: its file, what is in force, and how one becomes the other.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};

use hickory_proto::rr::Name;
use serde::{Deserialize, Serialize};

use crate::client::resolver::{follow_all, Resolved};
use crate::server::dns::DnsSockets;
use crate::server::http;
use crate::wire::dns::Zone;

pub const FILE: &str = "deploy/edge.toml";
/// A client may use an answer for so long at most; it never names a cache node, so an old one does no harm.
const TTL_S: u32 = 1;

/// The file. Empty, it switches the front off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EdgeConfig {
    pub zone: String,
    /// Seconds; 1 at most.
    pub ttl_s: Option<u32>,
    /// Where upstream names are asked for.
    pub resolver: Option<SocketAddr>,
    pub front: Vec<FrontEntry>,
    pub name: Vec<NameEntry>,
    pub upstream: Vec<Upstream>,
}

/// One process of ours and where it listens.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontEntry {
    pub name: String,
    #[serde(default)]
    pub dns: Vec<SocketAddr>,
    #[serde(default)]
    pub http: Vec<SocketAddr>,
}

/// A name of the zone, `@` for the zone itself, and the addresses of ours that it has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NameEntry {
    pub name: String,
    pub addresses: Vec<IpAddr>,
}

/// A name whose addresses are cache nodes of this kind, in this zone of the settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    pub name: String,
    pub port: u16,
    pub zone: String,
    pub kind: String,
    pub weight: f64,
}

fn each_once<T: Ord>(what: &str, items: impl Iterator<Item = T>) -> Result<(), String> {
    let mut seen = BTreeSet::new();
    for item in items {
        if !seen.insert(item) {
            return Err(format!("{what} is there twice"));
        }
    }
    Ok(())
}

impl EdgeConfig {
    pub fn load(path: &Path) -> Result<EdgeConfig, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        EdgeConfig::parse(&text).map_err(|why| format!("{}: {why}", path.display()))
    }

    pub fn parse(text: &str) -> Result<EdgeConfig, String> {
        let config: EdgeConfig = toml::from_str(text).map_err(|e| e.to_string())?;
        config.zone()?;
        Ok(config)
    }

    pub fn is_off(&self) -> bool {
        *self == EdgeConfig::default()
    }

    /// Checks the whole and makes the zone of it.
    pub fn zone(&self) -> Result<Zone, String> {
        let mut origin = Name::from_ascii(&self.zone).map_err(|e| format!("zone: {e}"))?.to_lowercase();
        origin.set_fqdn(true);
        let ttl = self.ttl_s.unwrap_or(TTL_S);
        if ttl > TTL_S {
            return Err(format!("ttl_s is {ttl}: {TTL_S} at most"));
        }
        if !self.is_off() && origin.is_root() {
            return Err("zone is missing".into());
        }
        let listens = || self.front.iter().flat_map(|f| f.http.iter().chain(&f.dns));
        let all = listens().chain(self.resolver.iter()).map(SocketAddr::ip);
        if let Some(ip) = all.into_iter().find(|ip| !ip.is_loopback()) {
            return Err(format!("{ip} is no loopback address"));
        }
        each_once("a front's name", self.front.iter().map(|f| &f.name))?;
        each_once("an address", self.front.iter().flat_map(|f| &f.http).filter(|a| a.port() != 0))?;
        each_once("a name", self.name.iter().map(|n| n.name.to_ascii_lowercase()))?;
        each_once("an upstream name", self.upstream.iter().map(|u| u.name.to_ascii_lowercase()))?;
        let ours: BTreeSet<IpAddr> = self.front.iter().flat_map(|f| &f.http).map(SocketAddr::ip).collect();
        let mut names = Vec::new();
        for entry in &self.name {
            if let Some(other) = entry.addresses.iter().find(|a| !ours.contains(a)) {
                return Err(format!("name {}: {other} is none of our http addresses", entry.name));
            }
            let parsed = match entry.name.as_str() {
                "@" => Ok(origin.clone()),
                name => Name::parse(name, Some(&origin)),
            };
            let name = parsed.map_err(|e| format!("name {:?}: {e}", entry.name))?.to_lowercase();
            if !origin.zone_of(&name) {
                return Err(format!("name {name} is outside the zone"));
            }
            names.push((name, entry.addresses.clone()));
        }
        for upstream in &self.upstream {
            Name::from_ascii(&upstream.name).map_err(|e| format!("upstream {:?}: {e}", upstream.name))?;
            let usable = upstream.weight.is_finite() && upstream.weight > 0.0 && upstream.port != 0;
            if !usable {
                return Err(format!("upstream {}: weight and port must be above 0", upstream.name));
            }
        }
        if !self.upstream.is_empty() && self.resolver.is_none() {
            return Err("there are upstream names but no resolver".into());
        }
        let serial = u32::from_str_radix(&self.fingerprint()[..8], 16).unwrap_or(1);
        Ok(Zone { origin, serial, ttl, names })
    }

    /// The same for the same contents, whoever computes it.
    pub fn fingerprint(&self) -> String {
        let text = serde_json::to_string(self).unwrap_or_default();
        format!("{:016x}", crate::memory::members::member_id(&text).0)
    }

    /// The one process that runs a key's request: the highest hash of name and key among all that are listed.
    pub fn owner(&self, key: &str) -> Option<&FrontEntry> {
        let rank = |f: &&FrontEntry| crate::memory::members::member_id(&format!("{key}\n{}", f.name));
        self.front.iter().filter(|f| !f.http.is_empty()).max_by_key(rank)
    }
}

/// What is in force now. Readers take a share and keep it for one request.
pub struct InForce(RwLock<Arc<(EdgeConfig, Zone)>>);

impl InForce {
    pub fn now(&self) -> Arc<(EdgeConfig, Zone)> {
        self.0.read().unwrap_or_else(|p| p.into_inner()).clone()
    }

    /// Where to ask for this name, while it is in force.
    pub fn resolver_for(&self, upstream: &Upstream) -> Option<SocketAddr> {
        let now = self.now();
        now.0.resolver.filter(|_| now.0.upstream.contains(upstream))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Listens {
    Dns(SocketAddr),
    Http(SocketAddr),
}

impl fmt::Display for Listens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Listens::Dns(at) => write!(f, "dns {at}"),
            Listens::Http(at) => write!(f, "http {at}"),
        }
    }
}

enum Bound {
    Dns(DnsSockets),
    Http(std::net::TcpListener),
}

struct Listener {
    stop: Arc<AtomicBool>,
    at: SocketAddr,
}

impl Listener {
    fn stop(&self) {
        self.stop.store(true, Relaxed);
        // Wakes the thread that waits in accept.
        let _ = std::net::TcpStream::connect(self.at);
    }
}

/// The running second front.
pub struct Edge {
    name: String,
    in_force: Arc<InForce>,
    listeners: Mutex<BTreeMap<Listens, Listener>>,
    resolved: Arc<Resolved>,
    site: Arc<http::Site>,
}

impl Edge {
    pub fn new(
        name: String,
        resolved: Resolved,
        site: impl FnOnce(Arc<InForce>) -> http::Site,
    ) -> Result<Edge, String> {
        let off = EdgeConfig::default();
        let zone = off.zone()?;
        let in_force = Arc::new(InForce(RwLock::new(Arc::new((off, zone)))));
        let site = Arc::new(site(in_force.clone()));
        Ok(Edge { name, in_force, listeners: Mutex::default(), resolved: Arc::new(resolved), site })
    }

    pub fn in_force(&self) -> EdgeConfig {
        self.in_force.now().0.clone()
    }

    /// Puts a configuration in force, whole or not at all; false if it is already. The second must hold: it was
    /// made against what is in force.
    pub fn apply(&self, to: EdgeConfig, from: Option<&str>) -> Result<bool, String> {
        let mut listeners = self.lock();
        let before = self.in_force();
        if to == before {
            return Ok(false);
        }
        if from.is_some_and(|from| from != before.fingerprint()) {
            return Err("the plan was made against another state than the one in force".into());
        }
        let zone = to.zone()?;
        let own = to.front.iter().find(|f| f.name == self.name).cloned().unwrap_or_default();
        let dns = own.dns.into_iter().map(Listens::Dns);
        let wanted: BTreeSet<Listens> = dns.chain(own.http.into_iter().map(Listens::Http)).collect();
        // All is bound and started before anything is changed: what can't be had leaves the old state as it was.
        let mut bound = Vec::new();
        for listens in wanted.iter().filter(|w| !listeners.contains_key(w)) {
            let got = match listens {
                Listens::Dns(at) => DnsSockets::bind(*at).map(Bound::Dns),
                Listens::Http(at) => std::net::TcpListener::bind(at).map(Bound::Http),
            };
            bound.push((*listens, got.map_err(|e| format!("{listens}: {e}"))?));
        }
        let mut started = Vec::new();
        for (listens, sockets) in bound {
            match self.start(sockets) {
                Ok(listener) => started.push((listens, listener)),
                Err(why) => {
                    started.iter().for_each(|(_, listener)| listener.stop());
                    return Err(why);
                }
            }
        }
        listeners.extend(started);
        let fresh = to.upstream.iter().filter(|u| self.in_force.resolver_for(u).is_none()).cloned().collect();
        *self.in_force.0.write().unwrap_or_else(|p| p.into_inner()) = Arc::new((to, zone));
        listeners.retain(|listens, listener| {
            let keep = wanted.contains(listens);
            if !keep {
                listener.stop();
                eprintln!("edge: no longer on {listens}");
            }
            keep
        });
        follow_all(&self.resolved, &self.in_force, fresh);
        Ok(true)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Listens, Listener>> {
        self.listeners.lock().unwrap_or_else(|p| p.into_inner())
    }

    fn start(&self, sockets: Bound) -> Result<Listener, String> {
        let stop = Arc::new(AtomicBool::new(false));
        let started = match sockets {
            Bound::Dns(sockets) => {
                let at = sockets.at();
                at.and_then(|at| sockets.start(&self.in_force, &stop).map(|()| ("dns", at)))
            }
            Bound::Http(listener) => {
                let at = listener.local_addr();
                at.and_then(|at| http::start(listener, &self.site, &stop).map(|()| ("http", at)))
            }
        };
        let (kind, at) = started.map_err(|e| format!("edge: {e}"))?;
        eprintln!("edge: {kind} on {at}");
        Ok(Listener { stop, at })
    }
}
