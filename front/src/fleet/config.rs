//! The fleet's file, `deploy/fleet.toml`: the fronts, who votes, the budgets and their floors. Without it nothing of the fleet
//! is there: no socket, thread, file or cost.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use crate::fleet::sites::{SiteEntry, Sites, SitesEntry};
use elmtide_budgets::command::MAX_FRONTS;
use elmtide_budgets::MinimumRule;
use elmtide_budgets::TotalLimit;
use elmtide_budgets::{BudgetId, BudgetKind, FrontId, LeaseSettings, Micros, SpendingModel, TOTAL};
use elmtide_cells::ShopId;
use elmtide_fleet::{FleetSettings, FrontSettings, MaintenanceSettings};
use elmtide_maintenance::{DisruptionBudget, HostedFront, MachineId, MachineSpec, ReturnPolicy};
use elmtide_sites::{FailoverSettings, SiteId};
use serde::Deserialize;

/// Where the file is, if nothing else is said.
pub const FILE: &str = "deploy/fleet.toml";
const LONGEST: u64 = 1 << 20;

fn tick_ms() -> f64 {
    50.0
}

fn lease_ms() -> f64 {
    2000.0
}

fn drift() -> f64 {
    0.001
}

fn gap_ms() -> f64 {
    50.0
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Its name is in every MAC.
    pub installation: String,
    /// One line of at least 32 hex digits, of mode 0600.
    pub key_file: PathBuf,
    /// Of this list; a higher one takes the place of a lower.
    pub version: u64,
    /// The store; none only with `no_store = true`.
    pub store: Option<PathBuf>,
    #[serde(default)]
    pub no_store: bool,
    #[serde(default = "tick_ms")]
    pub tick_ms: f64,
    #[serde(default = "lease_ms")]
    pub lease_ms: f64,
    /// How much faster one machine's clock may run than another's.
    #[serde(default = "drift")]
    pub drift: f64,
    /// How far a machine's two clocks may part during a lease.
    #[serde(default = "gap_ms")]
    pub gap_ms: f64,
    /// Where each spending is written down; for tests and trials.
    pub record: Option<PathBuf>,
    /// Where `elmtide fleet` asks.
    pub look: Option<PathBuf>,
    #[serde(default)]
    pub log: LogForm,
    #[serde(default)]
    pub front: Vec<FrontEntry>,
    #[serde(default)]
    pub budget: Vec<BudgetEntry>,
    /// Machines go out for work by these bounds; without it, none do.
    pub work: Option<WorkEntry>,
    #[serde(default)]
    pub machine: Vec<MachineEntry>,
    /// For the plan of a loss; see `elmtide site plan`.
    pub sites: Option<SitesEntry>,
    #[serde(default)]
    pub site: Vec<SiteEntry>,
}

/// Bounds of machines that are out for work together; 0 is none.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkEntry {
    /// Of one kind at one location.
    #[serde(default = "one")]
    pub per_location: u16,
    #[serde(default = "one")]
    pub per_hub: u16,
    #[serde(default)]
    pub per_kind: u16,
    /// What is left at a location bears the measured load and so many hundredths more.
    #[serde(default = "twenty")]
    pub margin_percent: u32,
    /// And one further loss.
    #[serde(default = "yes")]
    pub further_loss: bool,
    #[serde(default)]
    pub back: BackEntry,
    /// Never out together.
    #[serde(default)]
    pub pairs: Vec<(String, String)>,
    /// Hours (UTC) in which nothing new goes out, as `"07:00-19:30"`.
    #[serde(default)]
    pub closed: Vec<String>,
    /// Commands that the leader runs at a step (`next`, `leave`, `empty`, `release`, `return`, `in`, `overdue`, `call-back`), argument by
    /// argument; the machine's name follows as the last one.
    #[serde(default)]
    pub hooks: std::collections::BTreeMap<String, Vec<String>>,
    #[serde(default = "thirty")]
    pub hook_seconds: f64,
}

fn one() -> u16 {
    1
}

fn twenty() -> u32 {
    20
}

fn thirty() -> f64 {
    30.0
}

fn yes() -> bool {
    true
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BackEntry {
    #[default]
    Bus,
    Word,
    Both,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineEntry {
    /// As the bus calls it, or any name where its address is told.
    pub name: String,
    pub address: Option<SocketAddr>,
    #[serde(default)]
    pub location: String,
    #[serde(default)]
    pub hub: String,
    #[serde(default = "box_")]
    pub kind: String,
    #[serde(default = "unit")]
    pub weight: f64,
    /// The front that runs on it.
    pub front: Option<String>,
}

fn box_() -> String {
    "box".into()
}

fn unit() -> f64 {
    1.0
}

/// Minutes of the day, from and to.
fn hours(text: &str) -> Option<(u16, u16)> {
    let minute = |text: &str| {
        let (hour, minute) = text.split_once(':')?;
        let (hour, minute): (u16, u16) = (hour.parse().ok()?, minute.parse().ok()?);
        (hour <= 24 && minute < 60 && hour * 60 + minute <= 1440).then_some(hour * 60 + minute)
    };
    let (from, to) = text.split_once('-')?;
    Some((minute(from.trim())?, minute(to.trim())?))
}

/// Steps that a hook may be named for.
pub const HOOKS: [&str; 8] = ["next", "leave", "empty", "release", "return", "in", "overdue", "call-back"];

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogForm {
    #[default]
    Text,
    Json,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontEntry {
    pub name: String,
    /// Where the others send to.
    pub address: SocketAddr,
    /// Where it listens, if that is not where the others send to.
    pub listen: Option<SocketAddr>,
    #[serde(default)]
    pub site: String,
    #[serde(default)]
    pub votes: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetEntry {
    pub kind: String,
    /// Units a second, and units at once; `running` units at a time. Cold boxes have theirs from the settings.
    #[serde(default)]
    pub rate: f64,
    #[serde(default)]
    pub burst: f64,
    /// Part of it that is divided into floors.
    pub floor: f64,
    /// Of a shop's budget.
    pub shop: Option<String>,
}

impl FrontEntry {
    fn hosted(&self) -> HostedFront {
        HostedFront { id: FrontId::from_name(&self.name), is_voter: self.votes }
    }
}

impl BudgetEntry {
    pub fn kind(&self) -> Result<BudgetKind, String> {
        BudgetKind::from_name(&self.kind).ok_or_else(|| {
            let known: Vec<&str> = BudgetKind::ALL.iter().map(|k| k.name()).collect();
            format!("budget {:?} is not known; there are {}", self.kind, known.join(", "))
        })
    }

    /// The budget, where the file says how large it is; kinds of which each box has its own are found in service. A link is that
    /// of the front's own site: each site has one of that size.
    pub fn limit(&self, site: &str) -> Result<Option<(BudgetId, TotalLimit)>, String> {
        let kind = self.kind()?;
        let id = match kind {
            BudgetKind::LinkFills => FrontId::from_name(site).0,
            _ => self.shop.as_deref().map_or(0, |shop| ShopId::of(shop).0),
        };
        let whole = TotalLimit { rate: self.rate, burst: self.burst, window: 0 };
        Ok((kind.spending_model() != SpendingModel::SlidingWindow)
            .then_some((BudgetId { kind, resource: id }, whole)))
    }
}

fn micros(ms: f64) -> Micros {
    (ms * 1000.0) as Micros
}

impl FleetConfig {
    pub fn load(path: &Path) -> Result<FleetConfig, String> {
        let failed = |why: String| format!("{}: {why}", path.display());
        let about = std::fs::metadata(path).map_err(|e| failed(e.to_string()))?;
        if about.len() > LONGEST {
            return Err(failed(format!("over {LONGEST} bytes")));
        }
        let text = std::fs::read_to_string(path).map_err(|e| failed(e.to_string()))?;
        FleetConfig::parse(&text).map_err(failed)
    }

    pub fn parse(text: &str) -> Result<FleetConfig, String> {
        let config: FleetConfig = toml::from_str(text).map_err(|e| e.to_string())?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), String> {
        let within = |what: &str, value: f64, least: f64, most: f64| match (least..=most).contains(&value) {
            true => Ok(()),
            false => Err(format!("{what} is {value}, which is not from {least} to {most}")),
        };
        within("tick_ms", self.tick_ms, 1.0, 1000.0)?;
        within("lease_ms", self.lease_ms, 8.0 * self.tick_ms, 3_600_000.0)?;
        within("drift", self.drift, 0.0, 0.1)?;
        within("gap_ms", self.gap_ms, 1.0, self.lease_ms)?;
        if self.version == 0 {
            return Err("version begins at 1".into());
        }
        if self.store.is_some() == self.no_store {
            return Err("name a store, or say no_store = true: one of them".into());
        }
        if self.front.is_empty() || self.front.len() > MAX_FRONTS {
            return Err(format!("{} fronts: from 1 to {MAX_FRONTS} are possible", self.front.len()));
        }
        let ids: BTreeSet<FrontId> = self.front.iter().map(|f| FrontId::from_name(&f.name)).collect();
        if ids.len() != self.front.len() {
            return Err("two fronts have one name".into());
        }
        let voters = self.front.iter().filter(|f| f.votes).count();
        if !elmtide_consensus::is_valid_cluster_size(voters) {
            return Err(format!("{voters} fronts vote: three or five do, or one to try it out"));
        }
        let mut floors = std::collections::BTreeMap::new();
        for budget in &self.budget {
            let kind = budget.kind()?;
            within(&format!("floor of {}", budget.kind), budget.floor, 0.0, 1.0)?;
            if kind.spending_model() != SpendingModel::SlidingWindow {
                within(&format!("burst of {}", budget.kind), budget.burst, 1e-3, 1e9)?;
            }
            if kind.spending_model() == SpendingModel::TokenBucket {
                within(&format!("rate of {}", budget.kind), budget.rate, 1e-3, 1e9)?;
            }
            let of_shop = matches!(kind, BudgetKind::ShopRate | BudgetKind::ShopConcurrency);
            if of_shop != budget.shop.is_some() {
                return Err(format!("{}: a shop's budget names its shop, others name none", budget.kind));
            }
            if *floors.entry(kind).or_insert(budget.floor) != budget.floor {
                return Err(format!("{}: all budgets of a kind have the same floor", budget.kind));
            }
        }
        self.check_work()?;
        match &self.sites {
            Some(sites) => Sites::of(sites, &self.site).map(drop),
            None if self.site.is_empty() => Ok(()),
            None => Err("[[site]] without [sites]".into()),
        }
    }

    fn check_work(&self) -> Result<(), String> {
        let Some(work) = &self.work else {
            return match self.machine.is_empty() {
                true => Ok(()),
                false => Err("[[machine]] without [work]: say by which bounds they go out".into()),
            };
        };
        if self.machine.len() > elmtide_maintenance::state::MAX_MACHINES {
            return Err(format!("over {} machines", elmtide_maintenance::state::MAX_MACHINES));
        }
        let names: BTreeSet<&str> = self.machine.iter().map(|m| &m.name[..]).collect();
        if names.len() != self.machine.len() {
            return Err("two machines have one name".into());
        }
        for machine in &self.machine {
            if machine.name.is_empty() || machine.name.len() > 64 {
                return Err(format!("machine {:?}: a name has 1 to 64 bytes", machine.name));
            }
            if !(1e-3..=1e5).contains(&machine.weight) {
                return Err(format!("weight of {} is {}", machine.name, machine.weight));
            }
            if let Some(front) = machine.front.as_ref().filter(|f| self.own(f).is_none()) {
                return Err(format!("{}: no [[front]] has the name {front:?}", machine.name));
            }
        }
        let unknown = work.pairs.iter().flat_map(|(a, b)| [a, b]).find(|m| !names.contains(&m[..]));
        if let Some(machine) = unknown {
            return Err(format!("pairs: there is no machine {machine:?}"));
        }
        if let Some(text) = work.closed.iter().find(|text| hours(text).is_none()) {
            return Err(format!("closed: {text:?} is not as \"07:00-19:30\""));
        }
        if let Some(step) = work.hooks.keys().find(|step| !HOOKS.contains(&&step[..])) {
            return Err(format!("hooks: there is no step {step:?}; there are {}", HOOKS.join(", ")));
        }
        if work.hooks.values().any(Vec::is_empty) || !(0.1..=3600.0).contains(&work.hook_seconds) {
            return Err("hooks: a command, and hook_seconds from 0.1 to 3600".into());
        }
        Ok(())
    }

    /// The machines and their bounds, as all fronts have to agree on them.
    pub fn layout(&self) -> Option<MaintenanceSettings> {
        let work = self.work.as_ref()?;
        let number = |of: &dyn Fn(&MachineEntry) -> String| {
            let mut names: Vec<String> = self.machine.iter().map(of).filter(|n| !n.is_empty()).collect();
            names.sort_unstable();
            names.dedup();
            names
        };
        let (locations, hubs, kinds) =
            (number(&|m| m.location.clone()), number(&|m| m.hub.clone()), number(&|m| m.kind.clone()));
        // Nought is for no name.
        let place = |names: &[String], name: &str| {
            names.binary_search_by(|n| n[..].cmp(name)).map_or(0, |place| place as u16 + 1)
        };
        let spec = |m: &MachineEntry| MachineSpec {
            name: m.name.clone(),
            location: place(&locations, &m.location),
            hub: place(&hubs, &m.hub),
            kind: place(&kinds, &m.kind),
            weight: (m.weight * 1000.0) as u32,
            address: m.address,
            front: m.front.as_ref().and_then(|f| self.own(f)).map(FrontEntry::hosted),
        };
        let pair = |(a, b): &(String, String)| (MachineId::from_name(a), MachineId::from_name(b));
        let bounds = DisruptionBudget {
            per_location: work.per_location,
            per_hub: work.per_hub,
            per_kind: work.per_kind,
            exclusive_pairs: work.pairs.iter().map(pair).collect(),
            capacity_margin_percent: work.margin_percent,
            tolerates_further_loss: work.further_loss,
            return_policy: match work.back {
                BackEntry::Bus => ReturnPolicy::EndpointListed,
                BackEntry::Word => ReturnPolicy::OperatorConfirmed,
                BackEntry::Both => ReturnPolicy::Both,
            },
            blackout_minutes: work.closed.iter().filter_map(|text| hours(text)).collect(),
        };
        Some(MaintenanceSettings { machines: self.machine.iter().map(spec).collect(), bounds })
    }

    pub fn own(&self, name: &str) -> Option<&FrontEntry> {
        self.front.iter().find(|f| f.name == name)
    }

    pub fn key(&self) -> Result<Vec<u8>, String> {
        let path = &self.key_file;
        let failed = |why: String| format!("{}: {why}", path.display());
        let about = std::fs::metadata(path).map_err(|e| failed(e.to_string()))?;
        if about.permissions().mode() & 0o077 != 0 {
            return Err(failed("others may read it: it has to be of mode 0600".into()));
        }
        if about.len() > 4096 {
            return Err(failed("it is no key".into()));
        }
        let text = std::fs::read_to_string(path).map_err(|e| failed(e.to_string()))?;
        let digits = text.trim();
        let pair = |p: &[u8]| u8::from_str_radix(std::str::from_utf8(p).ok()?, 16).ok();
        let key: Option<Vec<u8>> = digits.as_bytes().chunks(2).map(pair).collect();
        key.filter(|k| digits.len() % 2 == 0 && k.len() >= 16)
            .ok_or_else(|| failed("one line of at least 32 hex digits is wanted".into()))
    }

    /// `longest`: the longest deadline of a request, in milliseconds.
    pub fn terms(&self, longest: f64) -> LeaseSettings {
        LeaseSettings {
            duration: micros(self.lease_ms),
            drift: self.drift,
            slack: micros(2.0 * self.tick_ms),
            max_clock_divergence: micros(self.gap_ms),
            max_request_deadline: micros(longest),
        }
    }

    /// What all fronts have to agree on.
    pub fn settings(&self, longest: f64) -> Result<FleetSettings, String> {
        let mut sites: Vec<&str> = self.front.iter().map(|f| &f.site[..]).collect();
        sites.sort_unstable();
        sites.dedup();
        let site = |name: &str| sites.iter().position(|s| *s == name).unwrap_or(0) as u16;
        let fronts = self.front.iter();
        let fronts = fronts.map(|f| FrontSettings {
            id: FrontId::from_name(&f.name),
            site: site(&f.site),
            is_voter: f.votes,
        });
        let mut floors = std::collections::BTreeMap::new();
        for budget in &self.budget {
            let kind = budget.kind()?;
            // One unit over the burst: a floor below it is of no use. Windows and wholes in parts have no least one.
            let least = match kind.spending_model() {
                SpendingModel::SlidingWindow => 1,
                _ => (f64::from(TOTAL) / budget.burst).ceil().clamp(1.0, f64::from(TOTAL)) as u32,
            };
            let parts = (budget.floor * f64::from(TOTAL)) as u32;
            floors.insert(kind, MinimumRule { set_aside: parts, unit: least });
        }
        Ok(FleetSettings {
            version: self.version,
            fronts: fronts.collect(),
            minimums: floors.into_iter().collect(),
            lease: self.terms(longest),
            tick: micros(self.tick_ms),
            maintenance: self.layout(),
            sites: self.watched(),
        })
    }

    /// Sites as all fronts have to agree on them; none without fronts that are of one.
    fn watched(&self) -> Option<FailoverSettings> {
        let table = self.sites.as_ref()?;
        let fronts: BTreeMap<FrontId, SiteId> = self
            .fronts_of_sites()
            .into_iter()
            .map(|(name, site)| (FrontId::from_name(&name), site))
            .collect();
        (!fronts.is_empty()).then_some(FailoverSettings {
            sites: self.site.len() as u16,
            patience_ms: table.patience_ms as u64,
            max_patience_ms: table.ceiling_ms as u64,
            min_phase_ms: table.pace_ms as u64,
            site_of_front: fronts,
        })
    }

    pub fn fronts_of_sites(&self) -> Vec<(String, SiteId)> {
        let site = |name: &str| self.site.iter().position(|s| s.name == name).map(|p| SiteId(p as u16));
        self.front.iter().filter_map(|f| Some((f.name.clone(), site(&f.site)?))).collect()
    }

    /// Where `elmtide fleet` asks a front of this name.
    pub fn look(&self, name: &str) -> PathBuf {
        let usual = || std::env::temp_dir().join(format!("elmtide-{name}-fleet.sock"));
        self.look.clone().unwrap_or_else(usual)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const GOOD: &str = r#"
        installation = "duna"
        key_file = "fleet.key"
        version = 1
        store = "fleet.redb"
        [[front]]
        name = "n1"
        address = "127.0.0.1:7001"
        votes = true
        [[budget]]
        kind = "retries"
        rate = 100.0
        burst = 50.0
        floor = 0.2
    "#;

    #[test]
    fn a_good_file_is_read() {
        let config = FleetConfig::parse(GOOD).unwrap();
        let settings = config.settings(3000.0).unwrap();
        assert_eq!(
            settings.minimums,
            [(BudgetKind::Retries, MinimumRule { set_aside: 200_000, unit: 20_000 })]
        );
        assert_eq!((settings.lease.duration, settings.tick), (2_000_000, 50_000));
    }

    #[rstest]
    #[case("version = 1", "version = 0", "version begins")]
    #[case("store = \"fleet.redb\"", "", "name a store")]
    #[case("votes = true", "", "0 fronts vote")]
    #[case("rate = 100.0", "rate = -1.0", "rate of retries")]
    #[case("kind = \"retries\"", "kind = \"hopes\"", "not known")]
    #[case("floor = 0.2", "floor = 1.5", "floor of retries")]
    #[case("floor = 0.2", "floor = 0.2\nshop = \"x\"", "names its shop")]
    #[case("version = 1", "version = 1\nlease_ms = 10.0", "lease_ms")]
    #[case("version = 1", "versions = 1", "versions")]
    #[case("[[budget]]", "[[machine]]\nname = \"c-1\"\n[[budget]]", "without [work]")]
    #[case("[[budget]]", "[work]\nclosed = [\"7-8\"]\n[[budget]]", "closed")]
    #[case("[[budget]]", "[work]\npairs = [[\"a\", \"b\"]]\n[[budget]]", "there is no machine")]
    #[case("[[budget]]", "[work]\nhooks = { fly = [\"x\"] }\n[[budget]]", "there is no step")]
    #[case("[[budget]]", "[work]\n[[machine]]\nname = \"a\"\nfront = \"n9\"\n[[budget]]", "no [[front]]")]
    fn a_bad_file_says_why(#[case] from: &str, #[case] to: &str, #[case] why: &str) {
        let said = FleetConfig::parse(&GOOD.replace(from, to)).unwrap_err();
        assert!(said.contains(why), "{said}");
    }

    /// What all fronts have to agree on, from a file with every key.
    #[test]
    fn the_settings_of_the_golden_file_keep_their_encoding() {
        let golden = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden");
        let text = std::fs::read_to_string(format!("{golden}/fleet.toml")).unwrap();
        let settings = FleetConfig::parse(&text).unwrap().settings(3000.0).unwrap();
        let mut file = elmtide_golden::GoldenFile::new(format!("{golden}/fleet_settings.txt"));
        file.line(&format!("version {} tick {}", settings.version, settings.tick));
        for front in &settings.fronts {
            file.line(&format!("front {:x} site {} votes {}", front.id.0, front.site, front.is_voter));
        }
        file.value("floors", &settings.minimums);
        file.value("terms", &settings.lease);
        let elmtide_fleet::MaintenanceSettings { machines, bounds } = settings.maintenance.unwrap();
        file.value("machines", &machines);
        file.value("bounds", &bounds);
        let rules = settings.sites.unwrap();
        let (sites, patience, ceiling, pace) =
            (rules.sites, rules.patience_ms, rules.max_patience_ms, rules.min_phase_ms);
        file.line(&format!("sites {sites} patience {patience} ceiling {ceiling} pace {pace}"));
        file.value("fronts_of_sites", &rules.site_of_front);
        file.check();
    }
}
