//! What the server is an authority for, compiled so that an answer is found with a few look-ups and copied.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;

use elmtide_steering::PoolId;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::records::{Rdata, RecordEntry};
use crate::wire::{self, is_within, labels, parent, parse_name, shown, Name, Type};

/// Links of a chain of aliases that are followed.
pub const CHAIN: usize = 8;
/// Records of a zone at most.
const RECORDS: usize = 20_000;
/// A static record may be kept for so long at most.
const LONGEST_TTL: u32 = 86_400;

/// Times of the SOA in seconds (RFC 1035, section 3.3.13).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SoaEntry {
    /// The first name server; the zone itself where it is not there.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mname: Option<String>,
    /// Who is answerable, with the first dot for the `@`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rname: Option<String>,
    pub refresh_s: u32,
    pub retry_s: u32,
    pub expire_s: u32,
    /// For so long a client may believe that there is no such name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub minimum_s: Option<u32>,
}

impl Default for SoaEntry {
    fn default() -> SoaEntry {
        SoaEntry { mname: None, rname: None, refresh_s: 60, retry_s: 30, expire_s: 600, minimum_s: None }
    }
}

/// A name whose addresses are chosen for each client.
#[derive(Clone, Debug, PartialEq)]
pub struct Steered {
    pub name: String,
    pub pool: PoolId,
    pub addresses: Vec<IpAddr>,
}

/// All that a zone is made of.
#[derive(Clone, Debug, Default)]
pub struct ZoneSource {
    pub origin: String,
    pub ttl: u32,
    pub soa: SoaEntry,
    pub steered: Vec<Steered>,
    pub records: Vec<RecordEntry>,
}

/// A record as a transfer tells it: no name compressed, in an order of its own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Plain {
    pub owner: Arc<[u8]>,
    pub kind: Type,
    pub ttl: u32,
    pub rdata: Box<[u8]>,
}

/// Records of one name and type.
#[derive(Clone, Debug)]
pub struct RrSet {
    pub kind: Type,
    pub ttl: u32,
    pub data: Vec<Rdata>,
    /// Names of this zone whose addresses are told besides.
    pub additional: Vec<u32>,
}

#[derive(Clone, Debug)]
pub struct Node {
    /// Its number in the zone.
    pub id: u32,
    pub name: Box<[u8]>,
    /// By type. An empty non-terminal has none.
    pub sets: Vec<RrSet>,
    pub steered: Option<(PoolId, Vec<IpAddr>)>,
    /// The delegation at or above this name, if there is one (RFC 1034, section 4.2.1).
    cut: Option<u32>,
    /// `*` directly below this name (RFC 4592).
    wildcard: Option<u32>,
}

impl Node {
    pub fn set(&self, kind: Type) -> Option<&RrSet> {
        self.sets.iter().find(|s| s.kind == kind)
    }
}

/// Where a name leads.
#[derive(Clone, Copy, Debug)]
pub enum Found<'z> {
    /// No name of this zone.
    Outside,
    /// The name exists, or a wildcard stands for it.
    Node(&'z Node),
    /// It is delegated.
    Referral(&'z Node),
    NoName,
}

/// Data by name and type, with the TTL.
type Sets = BTreeMap<Box<[u8]>, BTreeMap<Type, (u32, Vec<Rdata>)>>;
/// Names whose addresses are chosen.
type Chosen = BTreeMap<Box<[u8]>, (PoolId, Vec<IpAddr>)>;

#[derive(Clone, Debug)]
pub struct Zone {
    pub origin: Box<[u8]>,
    pub serial: u32,
    pub ttl: u32,
    pub soa: Rdata,
    /// Of the SOA in a negative answer (RFC 2308, section 3).
    pub negative_ttl: u32,
    names: FxHashMap<Box<[u8]>, u32>,
    nodes: Vec<Node>,
    /// Labels of the longest name: what is longer is stripped to it before it is looked for.
    deepest: u8,
    /// All records but the SOA, for transfers.
    pub plain: Arc<BTreeSet<Plain>>,
}

impl Zone {
    /// Checks all of it; an error names the entry and the cause.
    pub fn compile(source: &ZoneSource, serial: u32) -> Result<Zone, String> {
        let origin = parse_name(&source.origin, &[0]).map_err(|e| format!("zone: {e}"))?;
        if origin.len() == 1 {
            return Err("zone is missing".into());
        }
        if source.records.len() > RECORDS {
            return Err(format!("{} records: {RECORDS} at most", source.records.len()));
        }
        let mut sets: Sets = BTreeMap::new();
        sets.entry(origin.clone()).or_default();
        for entry in &source.records {
            add(&mut sets, &origin, source.ttl, entry).map_err(|why| {
                let kind = if entry.kind.is_empty() { "(no type)" } else { &entry.kind };
                format!("record {} {kind}: {why}", entry.name)
            })?;
        }
        let apex = sets.entry(origin.clone()).or_default();
        apex.entry(Type::NS).or_insert_with(|| (source.ttl, vec![Rdata::name(origin.clone())]));
        let mut steered: Chosen = BTreeMap::new();
        for entry in &source.steered {
            let name = parse_name(&entry.name, &origin).map_err(|e| format!("name {}: {e}", entry.name))?;
            if !is_within(&name, &origin) {
                return Err(format!("name {} is outside the zone", entry.name));
            }
            let kinds = sets.entry(name.clone()).or_default();
            if [Type::A, Type::AAAA, Type::CNAME].iter().any(|t| kinds.contains_key(t)) {
                return Err(format!(
                    "name {}: its addresses are chosen, so it has no such records",
                    entry.name
                ));
            }
            if steered.insert(name, (entry.pool, entry.addresses.clone())).is_some() {
                return Err(format!("name {} is there twice", entry.name));
            }
        }
        let minimum = source.soa.minimum_s.unwrap_or(source.ttl);
        let name_of = |text: &Option<String>, key: &str| match text {
            None => Ok(origin.clone()),
            Some(text) => parse_name(text, &origin).map_err(|e| format!("soa {key}: {e}")),
        };
        let (mname, rname) = (name_of(&source.soa.mname, "mname")?, name_of(&source.soa.rname, "rname")?);
        let times = [source.soa.refresh_s, source.soa.retry_s, source.soa.expire_s, minimum];
        let mut zone = Zone {
            soa: Rdata::soa(&mname, &rname, serial, times),
            serial,
            ttl: source.ttl,
            negative_ttl: minimum.min(source.ttl),
            names: FxHashMap::default(),
            nodes: Vec::new(),
            deepest: 0,
            plain: Arc::default(),
            origin,
        };
        zone.plain = Arc::new(plain(&sets, &steered, source.ttl));
        zone.place(sets, steered);
        zone.check()?;
        Ok(zone)
    }

    /// Makes the nodes, the empty ones between them too, and links them.
    fn place(&mut self, sets: Sets, mut steered: Chosen) {
        for (name, kinds) in sets {
            // The names between this one and the zone exist by it.
            let mut above: &[u8] = parent(&name);
            while above.len() >= self.origin.len() {
                self.node(above);
                above = match above.len() > self.origin.len() {
                    true => parent(above),
                    false => break,
                };
            }
            let place = self.node(&name);
            let node = &mut self.nodes[place];
            node.steered = steered.remove(&name);
            node.sets = kinds
                .into_iter()
                .map(|(kind, (ttl, data))| RrSet { kind, ttl, data, additional: Vec::new() })
                .collect();
        }
        for place in 0..self.nodes.len() {
            let node = &self.nodes[place];
            let star = [b"\x01*", &node.name[..]].concat();
            let wildcard = self.names.get(&star[..]).copied();
            // The highest delegation counts: what lies below it is not ours.
            let (mut cut, mut above) = (None, &node.name[..]);
            while above.len() > self.origin.len() {
                let at = self.names[above];
                if self.nodes[at as usize].set(Type::NS).is_some() {
                    cut = Some(at);
                }
                above = parent(above);
            }
            let targets = |set: &RrSet| -> Vec<u32> {
                let names = set.data.iter().filter_map(|d| d.target.as_ref());
                let mut places: Vec<u32> = names.filter_map(|n| self.names.get(n).copied()).collect();
                places.sort_unstable();
                places.dedup();
                places
            };
            let additional: Vec<Vec<u32>> = node
                .sets
                .iter()
                .map(|s| if s.kind == Type::CNAME { Vec::new() } else { targets(s) })
                .collect();
            let node = &mut self.nodes[place];
            (node.cut, node.wildcard) = (cut, wildcard);
            node.sets.iter_mut().zip(additional).for_each(|(set, a)| set.additional = a);
        }
    }

    fn node(&mut self, name: &[u8]) -> usize {
        if let Some(place) = self.names.get(name) {
            return *place as usize;
        }
        let place = self.nodes.len();
        self.names.insert(name.into(), place as u32);
        self.deepest = self.deepest.max(labels(name));
        self.nodes.push(Node {
            id: place as u32,
            name: name.into(),
            sets: Vec::new(),
            steered: None,
            cut: None,
            wildcard: None,
        });
        place
    }

    /// What can be seen only of the whole: chains that loop, data below delegations, targets that are aliases.
    fn check(&self) -> Result<(), String> {
        for node in &self.nodes {
            let name = shown(&node.name);
            if let Some(cut) = node.cut.map(|c| &self.nodes[c as usize]) {
                let own = |kind: Type| match std::ptr::eq(cut, node) {
                    true => matches!(kind, Type::NS | Type::DS | Type::A | Type::AAAA),
                    false => matches!(kind, Type::A | Type::AAAA),
                };
                if node.steered.is_some() || node.sets.iter().any(|s| !own(s.kind)) {
                    let at = shown(&cut.name);
                    return Err(format!(
                        "name {name}: {at} is delegated, only addresses of name servers fit"
                    ));
                }
            }
            for set in &node.sets {
                let alias = set.additional.iter().map(|a| self.at(*a)).find(|n| n.set(Type::CNAME).is_some());
                if let Some(alias) = alias.filter(|_| matches!(set.kind, Type::NS | Type::SRV)) {
                    // RFC 2181, section 10.3; RFC 2782.
                    return Err(format!("record {name}: its target {} is an alias", shown(&alias.name)));
                }
            }
            let (mut at, mut links) = (node, 0);
            while let Some(target) = at.set(Type::CNAME).and_then(|s| s.data[0].target.as_ref()) {
                links += 1;
                if links > CHAIN {
                    return Err(format!(
                        "record {name} CNAME: a loop, or more than {CHAIN} aliases in a row"
                    ));
                }
                match Name::read(target, 0).map(|(n, _)| self.find(&n)) {
                    Ok(Found::Node(next)) => at = next,
                    _ => break,
                }
            }
        }
        Ok(())
    }

    pub fn at(&self, place: u32) -> &Node {
        &self.nodes[place as usize]
    }

    /// Names that exist, the empty ones between too.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Looks a name up: RFC 1034, section 4.3.2, with wildcards by RFC 4592.
    pub fn find(&self, name: &Name) -> Found<'_> {
        let wire = name.wire();
        if !is_within(wire, &self.origin) {
            return Found::Outside;
        }
        if let Some(place) = self.names.get(wire) {
            let node = self.at(*place);
            return match node.cut {
                Some(cut) => Found::Referral(self.at(cut)),
                None => Found::Node(node),
            };
        }
        // The closest name above that exists; none is deeper than the deepest.
        let mut above = wire;
        for _ in self.deepest..name.labels() {
            above = parent(above);
        }
        let encloser = loop {
            match self.names.get(above) {
                Some(place) => break self.at(*place),
                None if above.len() <= self.origin.len() => return Found::NoName,
                None => above = parent(above),
            }
        };
        match (encloser.cut, encloser.wildcard) {
            (Some(cut), _) => Found::Referral(self.at(cut)),
            (None, Some(wildcard)) => Found::Node(self.at(wildcard)),
            (None, None) => Found::NoName,
        }
    }
}

fn add(sets: &mut Sets, origin: &[u8], usual_ttl: u32, entry: &RecordEntry) -> Result<(), String> {
    let name = parse_name(&entry.name, origin)?;
    if entry.name.is_empty() {
        return Err("name is missing".into());
    }
    if !is_within(&name, origin) {
        return Err("it is outside the zone".into());
    }
    let (kind, data) = entry.data(origin)?;
    let ttl = entry.ttl_s.unwrap_or(usual_ttl);
    if ttl > LONGEST_TTL {
        return Err(format!("ttl_s is {ttl}: {LONGEST_TTL} at most"));
    }
    let starred = name.starts_with(b"\x01*");
    if kind == Type::NS && starred {
        return Err("a wildcard can't be delegated".into());
    }
    let kinds = sets.entry(name.clone()).or_default();
    // RFC 1034, section 3.6.2: an alias has no other data.
    let alias = if kind == Type::CNAME {
        !kinds.is_empty() || *name == *origin
    } else {
        kinds.contains_key(&Type::CNAME)
    };
    if alias {
        return Err("an alias (CNAME) stands alone at its name, and never at the zone's own".into());
    }
    let (set_ttl, set) = kinds.entry(kind).or_insert((ttl, Vec::new()));
    // RFC 2181, section 5.2.
    if *set_ttl != ttl {
        return Err(format!("ttl_s is {ttl}, another record of this name and type has {set_ttl}"));
    }
    if set.contains(&data) {
        return Err("it is there twice".into());
    }
    set.push(data);
    Ok(())
}

fn plain(sets: &Sets, steered: &Chosen, ttl: u32) -> BTreeSet<Plain> {
    let mut all = BTreeSet::new();
    for (name, kinds) in sets {
        let owner: Arc<[u8]> = Arc::from(&name[..]);
        for (kind, (ttl, data)) in kinds {
            let of_set =
                |d: &Rdata| Plain { owner: owner.clone(), kind: *kind, ttl: *ttl, rdata: d.bytes.clone() };
            all.extend(data.iter().map(of_set));
        }
        for address in steered.get(name).iter().flat_map(|(_, addresses)| addresses) {
            let kind = if address.is_ipv4() { Type::A } else { Type::AAAA };
            all.insert(Plain { owner: owner.clone(), kind, ttl, rdata: Rdata::address(*address).bytes });
        }
    }
    all
}

/// The serial of a zone that has changed: the given one if it is later, else the next (RFC 1982: it never goes back).
pub fn next_serial(last: Option<u32>, wanted: u32) -> u32 {
    match last {
        Some(last) if !wire::serial_later(wanted, last) => last.wrapping_add(1).max(1),
        _ => wanted.max(1),
    }
}
