//! Several fronts of the program that share budgets, with cache nodes, an event bus and links around them, and what they spent joined
//! from their records.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use elmtide_rules::spends::{SpendChecker, SpendLimit};
use serde_json::Value;

use crate::bus::{listed, Bus};
use crate::front::{Folder, Front, Setup};
use crate::links::Links;
use crate::node::{Node, Origin};
use crate::shopper::lookup_from;
use crate::{until, PATIENCE};

/// What the fleet is tried with.
#[derive(Clone, Debug)]
pub struct Plan {
    pub fronts: usize,
    pub voters: usize,
    pub nodes: usize,
    pub parents: usize,
    pub seed: u64,
    /// In proportion to each other as in service, and faster.
    pub tick_ms: f64,
    pub lease_ms: f64,
    /// `[[budget]]` tables.
    pub budgets: String,
    /// With stores.
    pub stores: bool,
    /// With the second front, whose requests name their shops.
    pub second_front: bool,
    /// Settings in place of the usual ones.
    pub settings: Option<String>,
    /// Without, each front divides by the settings alone.
    pub shares: bool,
    /// `[work]` and `[[machine]]` tables.
    pub work: String,
    /// Three sites of fronts, nodes and clients, by `[sites]` tables without the boxes; with name servers and HTTP at addresses that
    /// clients use. None for no sites.
    pub sites: Option<Sites>,
}

/// Sites `s0`, `s1`, ...: a front and a node are of the site of their number, modulo the count.
#[derive(Clone, Debug)]
pub struct Sites {
    pub count: usize,
    /// Times, classes and the origin of `[sites]`.
    pub head: String,
    /// Of each site: room, box, load, links.
    pub each: Vec<String>,
    /// `[[site]]` tables of hubs.
    pub hubs: String,
}

/// Where fronts and clients of sites are on loopback.
#[derive(Clone, Copy, Debug)]
pub struct Web {
    base: u8,
    dns: u16,
    http: u16,
}

impl Web {
    fn new(seed: u64) -> std::io::Result<Web> {
        // Fleets that run beside each other keep to nets of their own.
        let base = 20 + ((u64::from(std::process::id()) + seed * 13) % 20) as u8 * 11;
        let free = || {
            TcpListener::bind(SocketAddr::from(([127, base + 9, 1, 1], 0)))
                .and_then(|l| Ok(l.local_addr()?.port()))
        };
        Ok(Web { base, dns: free()?, http: free()? })
    }

    fn ip(&self, front: usize) -> IpAddr {
        IpAddr::from([127, self.base + 9, 1, front as u8 + 1])
    }

    /// The front that is at this address.
    pub fn front(&self, ip: IpAddr) -> Option<usize> {
        (0..NAME.len()).find(|f| self.ip(*f) == ip)
    }

    pub fn dns(&self, front: usize) -> SocketAddr {
        (self.ip(front), self.dns).into()
    }

    pub fn http(&self, front: usize) -> SocketAddr {
        (self.ip(front), self.http).into()
    }

    /// A client of a site, one of 250 nets.
    pub fn client(&self, site: usize, net: usize) -> IpAddr {
        IpAddr::from([127, self.base + site as u8, (net % 250) as u8 + 1, 1])
    }

    /// `overflow`: the names of a branch overflow to the next one where nobody there serves.
    fn edge(&self, fronts: usize, sites: usize, overflow: bool, watch: bool) -> String {
        let mut text = "zone = \"edge.example.\"\n".to_owned();
        // Name servers ask each other how they are.
        text.push_str(if watch { "[steering]\nwatch_ms = 100.0\n" } else { "" });
        for site in 0..sites {
            let net = format!("127.{}.0.0/16", self.base + site as u8);
            let next = (site + 1) % sites;
            let over = if overflow { format!("overflow = \"s{next}\"\n") } else { String::new() };
            text.push_str(&format!(
                "[[branch]]\nname = \"s{site}\"\n{over}[[subnet]]\nnet = \"{net}\"\nbranch = \"s{site}\"\n"
            ));
        }
        let mut all = Vec::new();
        for (front, name) in NAME.iter().enumerate().take(fronts) {
            text.push_str(&format!(
                "[[front]]\nname = \"{name}\"\nbranch = \"s{}\"\ndns = [\"{}\"]\nhttp = [\"{}\"]\n",
                front % sites,
                self.dns(front),
                self.http(front)
            ));
            all.push(format!("\"{}\"", self.ip(front)));
        }
        text.push_str(&format!("[[name]]\nname = \"shop\"\naddresses = [{}]\n", all.join(", ")));
        text
    }
}

impl Plan {
    pub fn new(fronts: usize, seed: u64) -> Plan {
        let budgets = "[[budget]]\nkind = \"retries\"\nrate = 60.0\nburst = 60.0\nfloor = 0.2\n".to_owned();
        let voters = if fronts >= 5 { 5 } else { 3 };
        Plan {
            fronts,
            voters,
            nodes: 3,
            parents: 0,
            seed,
            tick_ms: 20.0,
            lease_ms: 800.0,
            budgets,
            stores: true,
            second_front: false,
            settings: None,
            shares: true,
            work: String::new(),
            sites: None,
        }
    }
}

/// Settings of three fronts at one location, with parents and with boxes that start at a fifth and are warm after so many milliseconds.
pub fn cold_settings(warm_ms: u32) -> String {
    const SETTINGS: &str = r#"{"Az":1,"GroupSize":3,"Zones":["east","edge-1"],"Kinds":["small","parent","origin"],
"Weights":"rough","FamilyInfo":{"ShieldKind":1,"SourceKind":2,"NeverKept":[false,true],"ClientKbPerS":7800.0,
"CountByZone":[0,3]},"Limits":{"TryLimit":8,"Cancelling":true,"Probes":true,"SecondCopies":true,"RetryAfter":true,
"MaxRetryAfterMs":500.0},"Rules":{"OverloadFactor":2.0,"FallMs":1000.0,"StartCapacity":0.2,"WarmAfterMs":WARM},
"RequestClasses":[{"Name":"small-files","OnTimeMs":400,"HardLimitMs":900,"Repeat":"free"},
{"Name":"plan-signup","OnTimeMs":600,"HardLimitMs":900,"Repeat":"single_shot"}]}"#;
    SETTINGS.replace("WARM", &format!("{warm_ms}.0"))
}

/// Settings of a front of one site of several, whose boxes are in a zone of their own each.
fn settings_of(site: usize, count: usize, nodes: usize) -> String {
    let zones: Vec<String> = (0..count).map(|s| format!("\"edge-{s}\"")).collect();
    let counts: Vec<String> =
        (0..count).map(|s| (nodes + count - 1 - s).div_euclid(count).to_string()).collect();
    cold_settings(1000)
        .replace("\"Az\":1", &format!("\"Az\":{}", site + 1))
        .replace("\"Zones\":[\"east\",\"edge-1\"]", &format!("\"Zones\":[\"east\",{}]", zones.join(",")))
        .replace("\"CountByZone\":[0,3]", &format!("\"CountByZone\":[0,{}]", counts.join(",")))
}

/// `[work]` with so many of a location out together, and a machine for each node, so many nodes to a location; all bear more than
/// enough.
pub fn machines(nodes: usize, to_a_location: usize, bounds: &str) -> String {
    let mut text = format!("[work]\n{bounds}\n");
    for node in 0..nodes {
        let location = node / to_a_location.max(1);
        text.push_str(&format!(
            "[[machine]]\nname = \"c-{node}\"\nlocation = \"l-{location}\"\nweight = 100.0\n"
        ));
    }
    text
}

/// One front of the fleet: its files stay where it does not run.
pub struct Place {
    pub front: Option<Front>,
    kept: Option<PathBuf>,
    _folder: Folder,
}

pub struct Fleet {
    pub plan: Plan,
    pub links: Links,
    pub bus: Bus,
    pub nodes: Vec<Node>,
    pub parents: Vec<Node>,
    pub origin: Arc<Origin>,
    pub places: Vec<Place>,
    binary: PathBuf,
    /// Records of all runs.
    records: PathBuf,
    pub web: Option<Web>,
    /// The list's version of each front's file, and who is in it.
    lists: Vec<(u64, Vec<usize>)>,
}

pub const NAME: [&str; 9] = ["n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9"];

impl Fleet {
    pub fn start(binary: &Path, plan: Plan) -> Result<Fleet, String> {
        let mut fleet = Fleet::prepare(binary, plan)?;
        for front in 0..fleet.plan.fronts {
            fleet.start_front(front)?;
        }
        Ok(fleet)
    }

    /// All but the fronts.
    pub fn prepare(binary: &Path, plan: Plan) -> Result<Fleet, String> {
        let failed = |e: std::io::Error| e.to_string();
        let (bus, origin) = (Bus::start().map_err(failed)?, Arc::new(Origin::default()));
        let mut nodes = Vec::new();
        for n in 0..plan.nodes {
            let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
            nodes.push(
                Node::start(&format!("c-{n}"), listener, &origin, plan.seed ^ n as u64).map_err(failed)?,
            );
        }
        let mut parents = Vec::new();
        for n in 0..plan.parents {
            let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
            let seed = plan.seed ^ (n as u64 + 100);
            parents.push(Node::start(&format!("p-{n}"), listener, &origin, seed).map_err(failed)?);
        }
        let zone = |n: usize| {
            plan.sites.as_ref().map_or_else(|| "edge-1".into(), |s| format!("edge-{}", n % s.count))
        };
        let listing = |(n, node): (usize, &Node)| listed(&node.name, node.at, &zone(n), "small", "active");
        let mut servers: Vec<Value> = nodes.iter().enumerate().map(listing).collect();
        servers.extend(parents.iter().map(|n| listed(&n.name, n.at, "east", "parent", "active")));
        servers.push(listed("o-1", ([127, 0, 0, 1], 9).into(), "east", "origin", "active"));
        bus.list(true, &servers);
        let links = Links::start(plan.fronts, plan.seed).map_err(failed)?;
        let mut places = Vec::new();
        for _ in 0..plan.fronts {
            places.push(Place { front: None, kept: None, _folder: Folder::new().map_err(failed)? });
        }
        let records = Folder::new().map_err(failed)?;
        let path = records.0.clone();
        // The records go with the fleet: see Drop.
        std::mem::forget(records);
        let all: Vec<usize> = (0..plan.fronts).collect();
        let lists = vec![(1, all); plan.fronts];
        let web = plan.sites.as_ref().map(|_| Web::new(plan.seed)).transpose().map_err(failed)?;
        Ok(Fleet {
            web,
            plan,
            links,
            bus,
            nodes,
            parents,
            origin,
            places,
            binary: binary.to_owned(),
            records: path,
            lists,
        })
    }

    fn file(&self, front: usize) -> String {
        let plan = &self.plan;
        let (version, fronts) = &self.lists[front];
        let folder = &self.places[front]._folder.0;
        let store = match plan.stores {
            true => format!("store = \"{}\"", folder.join("fleet.redb").display()),
            false => "no_store = true".to_owned(),
        };
        let mut text = format!(
            "installation = \"trial\"\nkey_file = \"{}\"\nversion = {version}\n{store}\ntick_ms = {:.1}\n\
             lease_ms = {:.1}\nrecord = \"{}\"\nlook = \"{}\"\n{}\n",
            folder.join("fleet.key").display(),
            plan.tick_ms,
            plan.lease_ms,
            self.records.join(NAME[front]).display(),
            folder.join("look.sock").display(),
            plan.budgets,
        );
        text.push_str(&plan.work);
        if let Some(sites) = &plan.sites {
            text.push_str(&sites.head);
            for (site, each) in sites.each.iter().enumerate() {
                let of_site = self.nodes.iter().enumerate().filter(|(n, _)| n % sites.count == site);
                let boxes: Vec<String> = of_site.map(|(_, n)| format!("\"{}\"", n.at)).collect();
                text.push_str(&format!(
                    "[[site]]\nname = \"s{site}\"\nboxes = [{}]\n{each}\n",
                    boxes.join(", ")
                ));
            }
            text.push_str(&sites.hubs);
        }
        for other in fronts {
            let at = self.links.at(front, *other).unwrap_or(SocketAddr::from(([127, 0, 0, 1], 1)));
            let listen = if *other == front { "listen = \"127.0.0.1:0\"\n" } else { "" };
            let votes = *other < plan.voters;
            text.push_str(&format!(
                "[[front]]\nname = \"{}\"\naddress = \"{at}\"\nsite = \"s{}\"\nvotes = {votes}\n{listen}",
                NAME[*other],
                other % 3
            ));
        }
        text
    }

    /// Starts a front with what its folder has.
    pub fn start_front(&mut self, front: usize) -> Result<(), String> {
        let failed = |e: std::io::Error| e.to_string();
        let folder = self.places[front]._folder.0.clone();
        let key = folder.join("fleet.key");
        std::fs::write(&key, "00112233445566778899aabbccddeeff\n").map_err(failed)?;
        std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).map_err(failed)?;
        let by_site =
            self.plan.sites.as_ref().map(|s| settings_of(front % s.count, s.count, self.plan.nodes));
        if let Some(settings) = by_site.as_ref().or(self.plan.settings.as_ref()) {
            std::fs::write(folder.join("settings.json"), settings).map_err(failed)?;
        }
        if self.plan.shares {
            std::fs::write(folder.join("fleet.toml"), self.file(front)).map_err(failed)?;
        }
        let edge = match (self.plan.second_front, &self.web, &self.plan.sites) {
            (_, Some(web), Some(sites)) => {
                web.edge(self.plan.fronts, sites.count, !self.plan.shares, !self.plan.work.is_empty())
            }
            (true, ..) => format!(
                "zone = \"edge.example.\"\n[[front]]\nname = \"{}\"\nhttp = [\"127.0.0.1:0\"]\n",
                NAME[front]
            ),
            (false, ..) => String::new(),
        };
        let setup = Setup {
            binary: &self.binary,
            name: NAME[front],
            bus: self.bus.at,
            known: self.bus.known(),
            edge: &edge,
            cells: "",
            sockets: 1024,
        };
        let started = Front::start_in(Folder(folder), &setup, None)?;
        if self.plan.shares {
            let line = started.log.wait("fleet: listens", 0)?;
            let at = line.split("at=").nth(1).and_then(|at| at.split_whitespace().next()?.parse().ok());
            self.links.listens(front, at.ok_or(line)?);
        }
        self.places[front].front = Some(started);
        Ok(())
    }

    pub fn front(&self, front: usize) -> &Front {
        self.places[front].front.as_ref().expect("this front runs")
    }

    pub fn is_up(&self, front: usize) -> bool {
        self.places[front].front.is_some()
    }

    /// The machine is gone at once: the process is killed and its links are silent.
    pub fn kill(&mut self, front: usize) {
        self.links.silent(front);
        if let Some(mut running) = self.places[front].front.take() {
            running.kill();
            running.keep_folder();
        }
    }

    /// The process ends in order; false where it does not.
    pub fn end(&mut self, front: usize) -> bool {
        let Some(mut running) = self.places[front].front.take() else { return true };
        let _ = running.signal("TERM");
        let ended = until(|| running.has_ended());
        running.keep_folder();
        ended
    }

    fn store(&self, front: usize) -> PathBuf {
        self.places[front]._folder.0.join("fleet.redb")
    }

    pub fn lose_store(&self, front: usize) {
        let _ = std::fs::remove_file(self.store(front));
    }

    /// Keeps a copy of a store; [`Fleet::put_back`] makes it the store again.
    pub fn copy_store(&mut self, front: usize) -> Result<(), String> {
        let copy = self.store(front).with_extension("old");
        std::fs::copy(self.store(front), &copy).map_err(|e| e.to_string())?;
        self.places[front].kept = Some(copy);
        Ok(())
    }

    pub fn put_back(&self, front: usize) -> Result<(), String> {
        let copy = self.places[front].kept.as_ref().ok_or("no copy was kept")?;
        std::fs::copy(copy, self.store(front)).map(drop).map_err(|e| e.to_string())
    }

    /// The next start of this front is made so that [`Fleet::fill_disk`] can be used.
    pub fn may_fill_disk(&self, front: usize) {
        let _ = std::fs::write(self.places[front]._folder.0.join("full-disk"), "");
    }

    /// No file of this front grows or is written any more.
    pub fn fill_disk(&self, front: usize) -> Result<(), String> {
        self.limit_files(front, "--fsize=0:unlimited")
    }

    /// Files of this front may grow again.
    pub fn free_disk(&self, front: usize) -> Result<(), String> {
        self.limit_files(front, "--fsize=unlimited:unlimited")
    }

    fn limit_files(&self, front: usize, limit: &str) -> Result<(), String> {
        let id = self.front(front).id().to_string();
        let set = std::process::Command::new("prlimit").args([limit, "--pid", &id]).status();
        set.map_err(|e| e.to_string()).and_then(|s| s.success().then_some(()).ok_or(format!("prlimit: {s}")))
    }

    /// Another list in a front's file, from its next start on.
    pub fn relist(&mut self, front: usize, version: u64, fronts: &[usize]) {
        self.lists[front] = (version, fronts.to_vec());
    }

    /// What a front shows: `elmtide fleet --json`.
    pub fn shown(&self, front: usize) -> Option<Value> {
        let running = self.places[front].front.as_ref()?;
        let (code, text) = running.run(&["fleet", "--fleet", "fleet.toml", "--json"]).ok()?;
        serde_json::from_str(&text).ok().filter(|_| code == Some(0))
    }

    /// The standing of a site as a front shows it.
    pub fn standing(&self, front: usize, site: &str) -> Option<String> {
        let shown = self.shown(front)?;
        let site = shown["sites"].as_array()?.iter().find(|s| s["site"] == site)?;
        Some(site["standing"].as_str()?.to_owned())
    }

    /// Waits until a front shows a site at one of these standings.
    pub fn wait_standing(&self, front: usize, site: &str, wanted: &[&str]) -> Result<Duration, String> {
        let (began, mut last) = (Instant::now(), None);
        let is = until(|| {
            last = self.standing(front, site);
            last.as_ref().is_some_and(|l| wanted.contains(&&l[..]))
        });
        is.then(|| began.elapsed())
            .ok_or(format!("{site} is {last:?}, {wanted:?} wanted (seed {})", self.plan.seed))
    }

    /// `elmtide site ...` at a front: whether it was done, and what it printed.
    pub fn site(&self, front: usize, words: &[&str]) -> (bool, String) {
        let Some(running) = self.places[front].front.as_ref() else {
            return (false, "it does not run".into());
        };
        let words: Vec<&str> = ["site", "--fleet", "fleet.toml"].iter().chain(words).copied().collect();
        match running.run(&words) {
            Ok((code, text)) => (code == Some(0), text),
            Err(why) => (false, why),
        }
    }

    /// The site whose front a name server names first to a client; none where it answers nothing.
    pub fn named(&self, at: usize, site: usize, net: usize) -> Option<usize> {
        let (web, sites) = (self.web.as_ref()?, self.plan.sites.as_ref()?);
        let id = (net as u16).wrapping_mul(257) ^ 0x2F;
        let ips = lookup_from(web.client(site, net), web.dns(at), "shop.edge.example.", id)?;
        web.front(*ips.first()?).map(|front| front % sites.count)
    }

    /// `elmtide work ...` at a front: whether it was done, and what it printed.
    pub fn work(&self, front: usize, words: &[&str]) -> (bool, String) {
        let Some(running) = self.places[front].front.as_ref() else {
            return (false, "it does not run".into());
        };
        let words: Vec<&str> =
            ["work", "--fleet", "fleet.toml", "--json"].iter().chain(words).copied().collect();
        match running.run(&words) {
            Ok((code, text)) => (code == Some(0), text),
            Err(why) => (false, why),
        }
    }

    /// Where a machine is, as a front shows it: its stage and why, or `in`.
    pub fn stage(&self, front: usize, machine: &str) -> Option<(String, String)> {
        let (_, text) = self.work(front, &[]);
        let shown: Value = serde_json::from_str(&text).ok()?;
        if shown["contact"] != Value::Bool(true) {
            return None;
        }
        let machines = shown["machines"].as_array()?;
        let found = machines.iter().find(|m| m["machine"] == machine);
        let word = |key: &str| found.and_then(|m| m[key].as_str()).unwrap_or("").to_owned();
        Some(if found.is_some() { (word("stage"), word("why")) } else { ("in".into(), String::new()) })
    }

    /// Machines that a front shows as gone or failing without being out for work.
    pub fn missing(&self, front: usize) -> Vec<String> {
        let (_, text) = self.work(front, &[]);
        let shown: Value = serde_json::from_str(&text).unwrap_or_default();
        let missing = shown["missing"].as_array().cloned().unwrap_or_default();
        missing.iter().filter_map(|m| m.as_str().map(str::to_owned)).collect()
    }

    /// Waits until a front shows a machine at one of these stages.
    pub fn wait_stage(&self, front: usize, machine: &str, stages: &[&str]) -> Result<(), String> {
        let mut last = None;
        let is = until(|| {
            last = self.stage(front, machine);
            last.as_ref().is_some_and(|(stage, _)| stages.contains(&&stage[..]))
        });
        is.then_some(()).ok_or(format!("{machine} is {last:?}, {stages:?} wanted (seed {})", self.plan.seed))
    }

    /// The bus lists a node: since when it runs, in Unix milliseconds, and in which state.
    pub fn list(&self, node: usize, started_ms: f64, state: &str) {
        self.list_node(&self.nodes[node], started_ms, state);
    }

    pub fn list_node(&self, node: &Node, started_ms: f64, state: &str) {
        let parent = node.name.starts_with('p');
        let number = node.name.trim_start_matches("c-").parse::<usize>().unwrap_or(0);
        let of_site = self.plan.sites.as_ref().map(|s| format!("edge-{}", number % s.count));
        let near = of_site.as_deref().unwrap_or("edge-1");
        let (zone, kind) = if parent { ("east", "parent") } else { (near, "small") };
        let mut entry = listed(&node.name, node.at, zone, kind, state);
        entry["started_ms"] = serde_json::json!(started_ms);
        self.bus.list(false, &[entry]);
    }

    pub fn role(&self, front: usize) -> String {
        self.shown(front).map_or(String::new(), |s| s["role"].as_str().unwrap_or("").to_owned())
    }

    /// Who says it leads.
    pub fn leaders(&self) -> Vec<usize> {
        (0..self.plan.fronts).filter(|f| self.role(*f) == "leader").collect()
    }

    /// Waits for one leader among some, and gives it.
    pub fn leader_among(&self, some: &[usize]) -> Result<usize, String> {
        let mut found = None;
        let is = until(|| {
            let leaders: Vec<usize> = some.iter().copied().filter(|f| self.role(*f) == "leader").collect();
            found = leaders.first().copied().filter(|_| leaders.len() == 1);
            found.is_some()
        });
        found.filter(|_| is).ok_or_else(|| format!("no leader among {some:?} (seed {})", self.plan.seed))
    }

    pub fn leader(&self) -> Result<usize, String> {
        let up: Vec<usize> = (0..self.plan.fronts).filter(|f| self.is_up(*f)).collect();
        self.leader_among(&up)
    }

    /// The part of a budget that a front may spend by now: share and floor.
    pub fn part(&self, front: usize, budget: &str) -> (f64, f64) {
        let shown = self.shown(front).unwrap_or(Value::Null);
        let own = shown["own"].as_array().cloned().unwrap_or_default();
        // Of a box, a site or a shop: the first of this front.
        let named =
            |b: &&Value| b["budget"].as_str().is_some_and(|name| name.split(':').next() == Some(budget));
        let own = own.iter().find(named);
        let figure = |key: &str| own.and_then(|b| b[key].as_f64()).unwrap_or(0.0);
        (figure("share"), figure("floor"))
    }

    /// Waits until some fronts hold shares of so much together.
    pub fn wait_shares(&self, fronts: &[usize], budget: &str, least: f64) -> Result<Duration, String> {
        let began = Instant::now();
        let sum = || fronts.iter().map(|f| self.part(*f, budget).0).sum::<f64>();
        match until(|| sum() >= least) {
            true => Ok(began.elapsed()),
            false => Err(format!(
                "shares of {fronts:?} sum to {:.3}, {least} wanted within {PATIENCE:?} (seed {})",
                sum(),
                self.plan.seed
            )),
        }
    }

    /// How many spendings a front has put down so far.
    pub fn recorded(&self, front: usize) -> usize {
        let text = std::fs::read_to_string(self.records.join(NAME[front])).unwrap_or_default();
        text.lines().count()
    }

    /// All spendings of all fronts so far, in the order of their times: microseconds, kind, id, units. An error where records
    /// were lost: then nothing can be concluded.
    pub fn records(&self) -> Result<Vec<Spent>, String> {
        let mut all = Vec::new();
        for name in NAME.iter().take(self.plan.fronts) {
            let Ok(text) = std::fs::read_to_string(self.records.join(name)) else { continue };
            for line in text.lines() {
                let words: Vec<&str> = line.split(' ').collect();
                match words[..] {
                    ["lost", ..] => return Err(format!("{name}: records were lost")),
                    [at, kind, id, units, by] => {
                        let parsed = (|| {
                            Some(Spent {
                                at: at.parse().ok()?,
                                front: (*name).to_owned(),
                                kind: kind.to_owned(),
                                id: id.parse().ok()?,
                                units: units.parse().ok()?,
                                by_floor: by == "Floor",
                            })
                        })();
                        // The last line of a process that was killed may be torn.
                        all.extend(parsed);
                    }
                    _ => {}
                }
            }
        }
        all.sort_by_key(|s| s.at);
        Ok(all)
    }

    /// Adds up all records against the whole of each budget of a kind: of a box, a site or a shop.
    pub fn check(&self, kind: &str, whole: SpendLimit) -> Result<Checked, String> {
        let mut spends = SpendChecker::new();
        let mut by_front: BTreeMap<String, f64> = BTreeMap::new();
        let mut ids = std::collections::BTreeSet::new();
        for spent in self.records()?.iter().filter(|s| s.kind == kind) {
            if ids.insert(spent.id) {
                spends.set_limit(spent.id, whole);
            }
            spends.record(spent.id, spent.units, spent.at);
            *by_front.entry(spent.front.clone()).or_default() += spent.units;
        }
        let closest = ids.iter().map(|id| spends.peak_ratio(id)).fold(0.0, f64::max);
        let sum = ids.iter().map(|id| spends.total(id)).sum();
        match spends.excesses.first() {
            None => Ok(Checked { closest, sum, by_front }),
            Some(over) => Err(format!(
                "seed {}: a window up to {} us held {:.2} above the rate, {:.2} may; {} such moments",
                self.plan.seed,
                over.at,
                over.level,
                over.burst,
                spends.excesses.len()
            )),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.records);
    }
}

#[derive(Clone, Debug)]
pub struct Spent {
    pub at: u64,
    pub front: String,
    pub kind: String,
    pub id: u64,
    pub units: f64,
    pub by_floor: bool,
}

#[derive(Clone, Debug)]
pub struct Checked {
    /// How near the fullest window came: 1 is at the bound.
    pub closest: f64,
    pub sum: f64,
    pub by_front: BTreeMap<String, f64>,
}
