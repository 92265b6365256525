//! The second front's file (`deploy/edge.toml`). It is valid or rejected as a whole; each error names the entry and the
//! cause.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use elmtide_dns::records::RecordEntry;
use elmtide_dns::stub;
use elmtide_dns::tcp;
use elmtide_dns::wire::parse_name;
use elmtide_dns::zone::{SoaEntry, Steered, Zone, ZoneSource};
use elmtide_ratelimit::Limits;
use elmtide_steering::{Branch, BranchId, Front, FrontId, Layout, Net, Policy, Pool, PoolId, Subnet};
use serde::{Deserialize, Serialize};

use crate::memory::members::member_id;

/// Default path of the file.
pub const FILE: &str = "deploy/edge.toml";
/// Default and maximum time that a client may cache an answer, in seconds. Answers never name a cache node, so a stale
/// one does no harm.
const MAX_TTL_S: u32 = 1;
/// Maximum number of resolvers.
const MAX_RESOLVERS: usize = 8;
/// Maximum number of upstream names.
const MAX_UPSTREAMS: usize = 64;
/// Maximum size of the file.
pub const MAX_FILE_BYTES: u64 = 4 << 20;
/// Default number of threads that answer over UDP, for each address.
const DEFAULT_UDP_THREADS: usize = 1;

/// The contents of the file. If it is empty, the second front is off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EdgeConfig {
    pub zone: String,
    /// Time to live of answers in seconds; at most 1.
    pub ttl_s: Option<u32>,
    /// The zone's serial, derived from the clock if absent. It may only increase.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub serial: Option<u32>,
    /// File that keeps the serial across restarts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub serial_file: Option<PathBuf>,
    /// The resolver of upstream names; `resolvers` if there are several.
    pub resolver: Option<SocketAddr>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub resolvers: Vec<SocketAddr>,
    /// File with the cookie secret, 32 hex digits, shared by all servers of the zone. A second line is the previous or
    /// the next secret.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cookie_secret_file: Option<PathBuf>,
    /// Rollover interval of a cookie secret that was generated at the start, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cookie_roll_s: Option<u32>,
    /// File with the keys for zone transfers, each line with name, algorithm and secret. Only its owner may be able
    /// to read it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key_file: Option<PathBuf>,
    /// Number of threads that answer over UDP, for each address. Each of them enforces its share of the limits.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub udp_threads: Option<usize>,
    /// Time after a change of the fronts during which a key is not taken over from its former owner, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hand_over_s: Option<f64>,
    #[serde(skip_serializing_if = "is_usual")]
    pub soa: SoaEntry,
    #[serde(skip_serializing_if = "is_usual")]
    pub transfer: TransferEntry,
    #[serde(skip_serializing_if = "is_usual")]
    pub rate_limit: RateLimitEntry,
    #[serde(skip_serializing_if = "is_usual")]
    pub tcp: TcpEntry,
    #[serde(skip_serializing_if = "is_usual")]
    pub steering: SteeringEntry,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub branch: Vec<BranchEntry>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub subnet: Vec<SubnetEntry>,
    pub front: Vec<FrontEntry>,
    pub name: Vec<NameEntry>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub record: Vec<RecordEntry>,
    pub upstream: Vec<Upstream>,
}

/// Whether the value is the default, which is not written to the file.
fn is_usual<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Whether a front accepts new clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FrontState {
    #[default]
    Serving,
    /// No answer names it; clients that still connect are served for `cling_s`, then rejected.
    Draining,
}

/// One front and the addresses it listens on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontEntry {
    pub name: String,
    #[serde(default)]
    pub dns: Vec<SocketAddr>,
    #[serde(default)]
    pub http: Vec<SocketAddr>,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub branch: String,
    /// Its share of its branch's clients, relative to the weights of the other fronts.
    #[serde(default = "one", skip_serializing_if = "is_one")]
    pub weight: f64,
    #[serde(default, skip_serializing_if = "is_usual")]
    pub state: FrontState,
    /// Time for which a draining front serves clients that still use old answers, in seconds.
    #[serde(default = "cling", skip_serializing_if = "is_cling")]
    pub cling_s: f64,
}

impl Default for FrontEntry {
    fn default() -> FrontEntry {
        FrontEntry {
            name: String::new(),
            dns: Vec::new(),
            http: Vec::new(),
            branch: String::new(),
            weight: one(),
            state: FrontState::Serving,
            cling_s: cling(),
        }
    }
}

/// The default weight.
fn one() -> f64 {
    1.0
}

/// Whether a weight is the default.
fn is_one(value: &f64) -> bool {
    *value == 1.0
}

/// The default of `cling_s`: resolvers that ignore TTLs have been observed to cache answers for 30 s.
fn cling() -> f64 {
    30.0
}

/// Whether `cling_s` has its default.
fn is_cling(value: &f64) -> bool {
    *value == cling()
}

/// A branch of the edge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BranchEntry {
    pub name: String,
    /// The branch that takes the clients that its own fronts can't serve.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub overflow: Option<String>,
}

/// The branch that serves the clients of a subnet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubnetEntry {
    pub net: String,
    pub branch: String,
}

/// A name of the zone, `@` for the zone itself, and its addresses among those of the fronts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NameEntry {
    pub name: String,
    pub addresses: Vec<IpAddr>,
    /// Maximum number of addresses of one kind in an answer; all if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answers: Option<usize>,
}

/// The type of DNS records that lead from an upstream name to cache nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Records {
    #[default]
    Address,
    Srv,
    Https,
}

/// A name whose addresses are cache nodes of this kind, in this zone of the settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    pub name: String,
    pub port: u16,
    pub zone: String,
    pub kind: String,
    pub weight: f64,
    #[serde(default, skip_serializing_if = "is_usual")]
    pub records: Records,
}

impl Upstream {
    /// The source that the resolver client follows for this name.
    ///
    /// # Errors
    /// If the name is invalid.
    pub fn source(&self) -> Result<stub::Source, String> {
        let kind = match self.records {
            Records::Address => stub::Kind::Address,
            Records::Srv => stub::Kind::Srv,
            Records::Https => stub::Kind::Https,
        };
        Ok(stub::Source { name: parse_name(&self.name, &[0])?, kind, port: self.port })
    }
}

/// Who may transfer the zone, and who is notified of changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TransferEntry {
    /// Names of the keys that allow a transfer; they are in the key file.
    pub keys: Vec<String>,
    pub notify: Vec<SocketAddr>,
    /// Name of the key that notifications are signed with.
    pub notify_key: Option<String>,
}

/// Limits on answers per second for one client network, `/24` or `/56`; 0 is no limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RateLimitEntry {
    pub on: bool,
    pub answers: f64,
    pub nxdomains: f64,
    pub errors: f64,
    pub all: f64,
    pub burst_s: f64,
    pub slip: u32,
    pub places: usize,
}

impl Default for RateLimitEntry {
    fn default() -> RateLimitEntry {
        let Limits { answers, nxdomains, errors, all, burst_s, slip, places } = Limits::default();
        RateLimitEntry { on: true, answers, nxdomains, errors, all, burst_s, slip, places }
    }
}

impl RateLimitEntry {
    /// The limits for the rate limiter; all rates are 0 if it is switched off.
    pub fn limits(&self) -> Limits {
        let if_on = |rate: f64| if self.on { rate } else { 0.0 };
        Limits {
            answers: if_on(self.answers),
            nxdomains: if_on(self.nxdomains),
            errors: if_on(self.errors),
            all: if_on(self.all),
            burst_s: self.burst_s,
            slip: self.slip,
            places: self.places,
        }
    }
}

/// Limits on connections of DNS clients over TCP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TcpEntry {
    pub connections: usize,
    pub per_client: usize,
    pub idle_ms: f64,
    pub whole_ms: f64,
    pub stalled_ms: f64,
}

impl Default for TcpEntry {
    fn default() -> TcpEntry {
        let tcp::Limits { connections, per_client, idle, whole, stalled } = tcp::Limits::default();
        TcpEntry { connections, per_client, idle_ms: idle, whole_ms: whole, stalled_ms: stalled }
    }
}

impl TcpEntry {
    /// The limits for the TCP server.
    pub fn limits(&self) -> tcp::Limits {
        tcp::Limits {
            connections: self.connections,
            per_client: self.per_client,
            idle: self.idle_ms,
            whole: self.whole_ms,
            stalled: self.stalled_ms,
        }
    }

    fn check(&self) -> Result<(), String> {
        let times = [self.idle_ms, self.whole_ms, self.stalled_ms];
        if !(1..=4096).contains(&self.connections) || !(1..=self.connections).contains(&self.per_client) {
            return Err("tcp: connections is 1 to 4096, per_client 1 to connections".into());
        }
        match times.iter().all(|t| t.is_finite() && (100.0..=600_000.0).contains(t)) {
            true => Ok(()),
            false => Err("tcp: idle_ms, whole_ms and stalled_ms are 100 to 600000".into()),
        }
    }
}

/// How clients are distributed over the fronts, see [`Policy`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SteeringEntry {
    /// Interval of the health checks of the other fronts, in milliseconds; 0 switches them off.
    pub watch_ms: f64,
    pub settle_ms: f64,
    pub silence_ms: f64,
    pub shed_from: f64,
    pub headroom: f64,
    pub spill_step: f64,
    pub ipv4_bits: u8,
    pub ipv6_bits: u8,
}

impl Default for SteeringEntry {
    fn default() -> SteeringEntry {
        let Policy { settle, silence, shed_from, headroom, spill_step, client_bits } = Policy::default();
        SteeringEntry {
            watch_ms: 0.0,
            settle_ms: settle,
            silence_ms: silence,
            shed_from,
            headroom,
            spill_step,
            ipv4_bits: client_bits.0,
            ipv6_bits: client_bits.1,
        }
    }
}

impl SteeringEntry {
    fn policy(&self) -> Policy {
        Policy {
            settle: self.settle_ms,
            // Without health checks a silent front must not count as failed.
            silence: if self.watch_ms > 0.0 { self.silence_ms } else { 1e15 },
            shed_from: self.shed_from,
            headroom: self.headroom,
            spill_step: self.spill_step,
            client_bits: (self.ipv4_bits, self.ipv6_bits),
        }
    }
}

/// The checked contents of the file, in the form that the second front works with.
#[derive(Clone, Debug)]
pub struct CompiledConfig {
    pub source: ZoneSource,
    pub layout: Layout,
    /// The pool with the addresses of all fronts, used to redirect a client that can't be served here.
    pub all_fronts: PoolId,
}

/// Checks that no item occurs twice.
fn check_unique<T: Ord + std::fmt::Display>(
    what: &str,
    items: impl Iterator<Item = T>,
) -> Result<(), String> {
    let mut seen = BTreeSet::new();
    for item in items {
        if seen.contains(&item) {
            return Err(format!("{what} is there twice: {item}"));
        }
        seen.insert(item);
    }
    Ok(())
}

impl EdgeConfig {
    /// Reads and checks the file.
    ///
    /// # Errors
    /// If it can't be read or is invalid: the path and the cause.
    pub fn load(path: &Path) -> Result<EdgeConfig, String> {
        let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let size = std::fs::metadata(path).map_err(|e| failed(&e))?.len();
        if size > MAX_FILE_BYTES {
            return Err(failed(&format!("{size} bytes: {MAX_FILE_BYTES} at most")));
        }
        let text = std::fs::read_to_string(path).map_err(|e| failed(&e))?;
        EdgeConfig::parse(&text).map_err(|why| failed(&why))
    }

    /// Parses and checks the file's text.
    ///
    /// # Errors
    /// If it is invalid: the entry and the cause.
    pub fn parse(text: &str) -> Result<EdgeConfig, String> {
        let config: EdgeConfig = toml::from_str(text).map_err(|e| e.to_string())?;
        config.check()?;
        Ok(config)
    }

    /// Whether the second front is off.
    pub fn is_off(&self) -> bool {
        *self == EdgeConfig::default()
    }

    /// Checks everything that depends on the file alone.
    ///
    /// # Errors
    /// If it is invalid: the entry and the cause.
    pub fn check(&self) -> Result<(), String> {
        if self.is_off() {
            return Ok(());
        }
        let meaning = self.compile()?;
        Zone::compile(&meaning.source, self.serial.unwrap_or(1)).map(drop)
    }

    /// All resolvers of upstream names.
    pub fn resolvers(&self) -> Vec<SocketAddr> {
        self.resolver.iter().chain(&self.resolvers).copied().collect()
    }

    /// The number of threads that answer over UDP, for each address.
    pub fn udp_threads(&self) -> usize {
        self.udp_threads.unwrap_or(DEFAULT_UDP_THREADS)
    }

    /// Checks the contents and converts them.
    ///
    /// # Errors
    /// If they are invalid: the entry and the cause.
    pub fn compile(&self) -> Result<CompiledConfig, String> {
        let ttl = self.ttl_s.unwrap_or(MAX_TTL_S);
        if ttl > MAX_TTL_S {
            return Err(format!("ttl_s is {ttl}: {MAX_TTL_S} at most"));
        }
        if self.zone.is_empty() {
            return Err("zone is missing".into());
        }
        let listen_addresses = || self.front.iter().flat_map(|f| f.http.iter().chain(&f.dns));
        let resolvers = self.resolvers();
        let remote_addresses = resolvers.iter().chain(&self.transfer.notify);
        if let Some(ip) =
            listen_addresses().chain(remote_addresses).map(SocketAddr::ip).find(|ip| !ip.is_loopback())
        {
            return Err(format!("{ip} is no loopback address"));
        }
        check_unique("a front's name", self.front.iter().map(|f| &f.name))?;
        check_unique("an address", self.front.iter().flat_map(|f| &f.http).filter(|a| a.port() != 0))?;
        check_unique("a name", self.name.iter().map(|n| n.name.to_ascii_lowercase()))?;
        check_unique("a branch", self.branch.iter().map(|b| &b.name))?;
        check_unique("a resolver", resolvers.iter())?;
        check_unique("an upstream name", self.upstream.iter().map(|u| u.name.to_ascii_lowercase()))?;
        if resolvers.len() > MAX_RESOLVERS || self.upstream.len() > MAX_UPSTREAMS {
            return Err(format!("{MAX_RESOLVERS} resolvers and {MAX_UPSTREAMS} upstream names at most"));
        }
        for upstream in &self.upstream {
            let describe = |e| format!("upstream {}: {e}", upstream.name);
            upstream.source().map_err(describe)?;
            let usable = upstream.weight.is_finite() && upstream.weight > 0.0;
            if !usable || upstream.port == 0 {
                return Err(describe("weight and port must be above 0".into()));
            }
        }
        if !self.upstream.is_empty() && resolvers.is_empty() {
            return Err("there are upstream names but no resolver".into());
        }
        self.rate_limit.limits().check().map_err(|why| format!("rate_limit: {why}"))?;
        self.tcp.check()?;
        let watch = self.steering.watch_ms;
        if !(watch == 0.0 || (50.0..=60_000.0).contains(&watch)) {
            return Err(format!("steering: watch_ms is {watch}: 0 (off) or 50 to 60000"));
        }
        if self.udp_threads.is_some_and(|n| !(1..=16).contains(&n)) {
            return Err("udp_threads is 1 to 16".into());
        }
        if self.cookie_roll_s == Some(0) {
            return Err("cookie_roll_s is 0: 1 at least".into());
        }
        if self.hand_over_s.is_some_and(|s| !(0.0..=3600.0).contains(&s)) {
            return Err("hand_over_s is 0 to 3600".into());
        }
        let named = self.transfer.keys.iter().chain(&self.transfer.notify_key);
        for key in named {
            parse_name(key, &[0]).map_err(|e| format!("transfer key: {e}"))?;
            if self.key_file.is_none() {
                return Err(format!("transfer: key {key} is named but there is no key_file"));
            }
        }
        let layout = self.layout()?;
        let steered = self.name.iter().enumerate().map(|(index, entry)| Steered {
            name: entry.name.clone(),
            pool: PoolId(index as u16),
            addresses: entry.addresses.clone(),
        });
        let source = ZoneSource {
            origin: format!("{}.", self.zone.trim_end_matches('.')),
            ttl,
            soa: self.soa.clone(),
            steered: steered.collect(),
            records: self.record.clone(),
        };
        Ok(CompiledConfig { source, layout, all_fronts: PoolId(self.name.len() as u16) })
    }

    /// The fronts, branches, subnets and pools for steering.
    fn layout(&self) -> Result<Layout, String> {
        let mut branches: Vec<Branch> = Vec::new();
        let branch_id =
            |name: &str| self.branch.iter().position(|b| b.name == name).map(|p| BranchId(p as u16));
        for entry in &self.branch {
            let overflow = match &entry.overflow {
                None => None,
                Some(to) => Some(
                    branch_id(to).ok_or_else(|| format!("branch {}: there is no branch {to}", entry.name))?,
                ),
            };
            branches.push(Branch { name: entry.name.clone(), overflow });
        }
        // Fronts without a branch share an extra one that no subnet leads to.
        let unassigned_branch = BranchId(branches.len() as u16);
        branches.push(Branch { name: String::new(), overflow: None });
        let mut fronts = Vec::new();
        for entry in &self.front {
            let branch = match entry.branch.as_str() {
                "" => unassigned_branch,
                name => branch_id(name)
                    .ok_or_else(|| format!("front {}: there is no branch {name}", entry.name))?,
            };
            if !(entry.cling_s.is_finite() && (0.0..=3600.0).contains(&entry.cling_s)) {
                return Err(format!("front {}: cling_s is 0 to 3600", entry.name));
            }
            fronts.push(Front { name: entry.name.clone(), branch, weight: entry.weight });
        }
        let mut subnets = Vec::new();
        for entry in &self.subnet {
            let net: Net = entry.net.parse().map_err(|e| format!("subnet {e}"))?;
            let branch = branch_id(&entry.branch);
            let branch =
                branch.ok_or_else(|| format!("subnet {net}: there is no branch {}", entry.branch))?;
            subnets.push(Subnet { net, branch });
        }
        // An address that several fronts listen on has no owner.
        let mut owners: BTreeMap<IpAddr, Option<FrontId>> = BTreeMap::new();
        for (index, front) in self.front.iter().enumerate() {
            for ip in front.http.iter().map(SocketAddr::ip) {
                let id = Some(FrontId(index as u16));
                owners.entry(ip).and_modify(|o| *o = if *o == id { id } else { None }).or_insert(id);
            }
        }
        let mut pools = Vec::new();
        for entry in &self.name {
            let describe = |e: String| format!("name {}: {e}", entry.name);
            let mut members = Vec::new();
            for ip in &entry.addresses {
                let owner =
                    owners.get(ip).ok_or_else(|| describe(format!("{ip} is none of our http addresses")))?;
                members.push((*ip, *owner));
            }
            let answers = entry.answers.unwrap_or(elmtide_steering::MAX_ANSWER_ADDRESSES);
            let pool = Pool { members, answers };
            if answers == 0 || answers > elmtide_steering::MAX_ANSWER_ADDRESSES {
                return Err(describe(format!("answers is 1 to {}", elmtide_steering::MAX_ANSWER_ADDRESSES)));
            }
            check_unique("an address", entry.addresses.iter()).map_err(describe)?;
            pools.push(pool);
        }
        let all = owners.iter().take(256).map(|(ip, front)| (*ip, *front)).collect();
        pools.push(Pool { members: all, answers: elmtide_steering::MAX_ANSWER_ADDRESSES });
        Layout::new(fronts, branches, subnets, pools, self.steering.policy()).map_err(|e| e.to_string())
    }

    /// A hash of the contents, the same on all fronts.
    pub fn fingerprint(&self) -> String {
        let text = serde_json::to_string(self).unwrap_or_default();
        format!("{:016x}", member_id(&text).0)
    }

    /// A hash of the settings that the zone is built from.
    pub fn zone_fingerprint(&self) -> String {
        let zone = (&self.zone, &self.ttl_s, &self.soa, &self.name, &self.record);
        format!("{:016x}", member_id(&serde_json::to_string(&zone).unwrap_or_default()).0)
    }

    /// The front that runs the requests of an idempotency key: the one with the highest hash of name and key among all
    /// listed fronts that are not draining.
    pub fn owner(&self, key: &str) -> Option<&FrontEntry> {
        self.owner_among(key, |_| true)
    }

    /// Like [`EdgeConfig::owner`], among the available fronts; among all fronts if none is available.
    pub fn owner_among(&self, key: &str, is_available: impl Fn(&FrontEntry) -> bool) -> Option<&FrontEntry> {
        let rank = |f: &&FrontEntry| member_id(&format!("{key}\n{}", f.name));
        let is_serving = |f: &&FrontEntry| !f.http.is_empty() && f.state == FrontState::Serving;
        let any_available = self.front.iter().any(|f| is_available(f) && !f.http.is_empty());
        let is_available = |f: &&FrontEntry| !any_available || is_available(f);
        // If all fronts drain, one of them still has to own the key.
        let any_serving = self.front.iter().any(|f| is_serving(&f) && is_available(&f));
        let is_eligible = |f: &&FrontEntry| if any_serving { is_serving(f) } else { !f.http.is_empty() };
        self.front.iter().filter(is_available).filter(is_eligible).max_by_key(rank)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OLD: &str = r#"
        zone = "edge.test."
        ttl_s = 1
        resolver = "127.0.0.1:5300"
        [[front]]
        name = "n1"
        dns = ["127.0.0.1:5353"]
        http = ["127.0.0.1:8080", "127.0.0.2:8080"]
        [[name]]
        name = "branch"
        addresses = ["127.0.0.1", "127.0.0.2"]
        [[upstream]]
        name = "boxes.example."
        port = 10080
        zone = "edge-1"
        kind = "small"
        weight = 4.0
    "#;

    /// A file of the previous version stays valid, with the same meaning.
    #[test]
    fn files_of_the_previous_version_are_valid() {
        let config = EdgeConfig::parse(OLD).unwrap();
        let meaning = config.compile().unwrap();
        assert_eq!(meaning.layout.pools()[0].members.len(), 2);
        assert_eq!(config.resolvers().len(), 1);
    }

    /// Each error names the entry and the cause.
    #[rstest::rstest]
    #[case("[[record]]\nname = \"x\"\ntype = \"A\"", "record x A: address is missing")]
    #[case("[[record]]\nname = \"x\"\ntype = \"MX\"", "record x MX: type \"MX\" is none of")]
    #[case(
        "[[record]]\nname = \"x\"\ntype = \"A\"\naddress = \"::1\"",
        "record x A: ::1 is no address of this type"
    )]
    #[case(
        "[[record]]\nname = \"x\"\ntype = \"A\"\naddress = \"127.0.0.1\"\nport = 1",
        "port is no key of type A"
    )]
    #[case(
        "[[record]]\nname = \"x.other.\"\ntype = \"TXT\"\ntext = [\"a\"]",
        "record x.other. TXT: it is outside"
    )]
    #[case("[[record]]\nname = \"@\"\ntype = \"CNAME\"\ntarget = \"branch\"", "record @ CNAME: an alias")]
    #[case(
        "[[record]]\nname = \"branch\"\ntype = \"A\"\naddress = \"127.0.0.1\"",
        "name branch: its addresses are chosen"
    )]
    #[case("[[record]]\nname = \"x\"\ntype = \"CNAME\"\ntarget = \"x\"", "record x.edge.test. CNAME: a loop")]
    #[case(
        "[[record]]\nname = \"x\"\ntype = \"HTTPS\"\npriority = 0\ntarget = \"branch\"\nport = 1",
        "priority 0 (an alias)"
    )]
    #[case("[[record]]\nname = \"*\"\ntype = \"NS\"\ntarget = \"ns.x.\"", "record * NS: a wildcard")]
    #[case("[[name]]\nname = \"y\"\naddresses = [\"127.0.0.9\"]", "name y: 127.0.0.9 is none of our")]
    #[case("[[name]]\nname = \"BRANCH\"\naddresses = []", "a name is there twice: branch")]
    #[case(
        "[[branch]]\nname = \"b\"\n[[subnet]]\nnet = \"10.0.0.1/8\"\nbranch = \"b\"",
        "subnet \"10.0.0.1/8\": bits are set beyond the prefix length"
    )]
    #[case("[[subnet]]\nnet = \"10.0.0.0/8\"\nbranch = \"b\"", "subnet 10.0.0.0/8: there is no branch b")]
    #[case("[[branch]]\nname = \"b\"\noverflow = \"c\"", "branch b: there is no branch c")]
    #[case("[rate_limit]\nanswers = nan", "rate_limit: answers is NaN")]
    #[case("[tcp]\nconnections = 0", "tcp: connections is 1 to 4096")]
    #[case("[steering]\nwatch_ms = 1", "steering: watch_ms is 1")]
    #[case("[transfer]\nkeys = [\"k\"]", "transfer: key k is named but there is no key_file")]
    #[case("[transfer]\nnotify = [\"10.0.0.1:53\"]", "10.0.0.1 is no loopback address")]
    #[case("[[front]]\nname = \"n2\"\nweight = 0.0", "front n2: weight must be above 0")]
    #[case("[[front]]\nname = \"n2\"\nbranch = \"b\"", "front n2: there is no branch b")]
    #[case("[[front]]\nname = \"n2\"\ncling_s = inf", "front n2: cling_s is 0 to 3600")]
    fn errors_name_the_entry_and_the_cause(#[case] entry: &str, #[case] expected: &str) {
        let why = EdgeConfig::parse(&format!("{OLD}\n{entry}\n")).unwrap_err();
        assert!(why.contains(expected), "{why}");
    }

    /// Draining fronts own no keys, unless all fronts drain.
    #[test]
    fn owners_move_off_draining_fronts() {
        let text = OLD.replace("[[name]]", "[[front]]\nname = \"n2\"\nhttp = [\"127.0.0.3:1\"]\n[[name]]");
        let mut config = EdgeConfig::parse(&text).unwrap();
        let owner = |c: &EdgeConfig, n: u32| c.owner(&format!("k{n}")).unwrap().name.clone();
        assert!((0..50).any(|n| owner(&config, n) == "n2"));
        config.front[1].state = FrontState::Draining;
        assert!((0..50).all(|n| owner(&config, n) == "n1"));
        config.front[0].state = FrontState::Draining;
        assert!((0..50).any(|n| owner(&config, n) == "n2"));
    }
}
