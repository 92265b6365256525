//! The sites of the fleet's file: their tables, their numbers and names, and the layout that failover plans are made for.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use elmtide_sites::command::MAX_SITES;
use elmtide_sites::failover_plan::DisplacedLoad;
use elmtide_sites::{Class, FailoverPlan, Layout, Loss, SiteCapacity, SiteId};
use serde::Deserialize;

use crate::fleet::config_error::SiteTableError;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SitesEntry {
    /// Fills a second that the origin bears, and the part of the hubs' fills that go on to it.
    pub origin: f64,
    #[serde(default = "whole")]
    pub to_origin: f64,
    /// Part of a taker's own clients' requests that it may lose.
    #[serde(default = "two")]
    pub own_loss: f64,
    /// Two sites that may be lost together.
    #[serde(default)]
    pub pairs: Vec<(String, String)>,
    pub class: Vec<ClassEntry>,
    /// A site of which nothing was heard for so long is silent to this front.
    #[serde(default = "silence")]
    pub silence_ms: f64,
    /// Words have to be held for so long before a site is declared lost, twice as long after each return that failed, up to the ceiling.
    #[serde(default = "patience")]
    pub patience_ms: f64,
    #[serde(default = "ceiling")]
    pub ceiling_ms: f64,
    /// Each step of a return takes so long at the least.
    #[serde(default = "pace")]
    pub pace_ms: f64,
    /// Those who are refused are told to wait so long at the most, and half of it at the least.
    #[serde(default = "pace")]
    pub refused_ms: f64,
}

fn silence() -> f64 {
    800.0
}

fn patience() -> f64 {
    600.0
}

fn ceiling() -> f64 {
    60_000.0
}

fn pace() -> f64 {
    5_000.0
}

fn whole() -> f64 {
    1.0
}

fn two() -> f64 {
    0.02
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassEntry {
    pub name: String,
    pub worth: f64,
    #[serde(default = "whole")]
    pub work: f64,
    /// Fills for one request.
    #[serde(default)]
    pub misses: f64,
    #[serde(default)]
    pub must: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SiteKind {
    #[default]
    Branch,
    Hub,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteEntry {
    pub name: String,
    #[serde(default)]
    pub kind: SiteKind,
    /// Work a second of a branch, fills a second of a hub; and what one box of it adds.
    pub room: f64,
    #[serde(default, rename = "box")]
    pub a_box: f64,
    /// Requests a second by class.
    #[serde(default)]
    pub load: BTreeMap<String, f64>,
    /// Fills a second over its link to each hub.
    #[serde(default)]
    pub links: BTreeMap<String, f64>,
    /// Boxes or parents of the site that are asked whether they are there, by fronts of other sites.
    #[serde(default)]
    pub boxes: Vec<SocketAddr>,
}

/// The layout that the tables make, with names.
#[derive(Debug)]
pub struct SiteDirectory {
    pub layout: Layout,
    pairs: Vec<(String, String)>,
    /// All sites in the file's order, by which they are numbered.
    pub names: Vec<(String, SiteKind)>,
}

impl SiteDirectory {
    pub fn from_config(sites: &SitesEntry, entries: &[SiteEntry]) -> Result<SiteDirectory, SiteTableError> {
        let of = |kind| entries.iter().filter(move |s| s.kind == kind);
        let hubs: Vec<&str> = of(SiteKind::Hub).map(|s| &s.name[..]).collect();
        let mut names: Vec<&str> = entries.iter().map(|s| &s.name[..]).collect();
        names.sort_unstable();
        if names.windows(2).any(|w| w[0] == w[1]) {
            return Err(SiteTableError::DuplicateSite);
        }
        let classes: Vec<&str> = sites.class.iter().map(|c| &c.name[..]).collect();
        for entry in entries {
            if let Some(class) = entry.load.keys().find(|c| !classes.contains(&&c[..])) {
                return Err(SiteTableError::UnknownClass { site: entry.name.clone(), class: class.clone() });
            }
            if let Some(hub) = entry.links.keys().find(|h| !hubs.contains(&&h[..])) {
                return Err(SiteTableError::UnknownHub { site: entry.name.clone(), hub: hub.clone() });
            }
        }
        let unknown = sites.pairs.iter().flat_map(|(a, b)| [a, b]).find(|s| !names.contains(&&s[..]));
        if let Some(site) = unknown {
            return Err(SiteTableError::UnknownPairedSite(site.clone()));
        }
        let site = |s: &SiteEntry| {
            let figures = |names: &[&str], of: &BTreeMap<String, f64>| {
                names.iter().map(|n| of.get(*n).copied().unwrap_or(0.0)).collect()
            };
            SiteCapacity {
                name: s.name.clone(),
                capacity: s.room,
                capacity_per_cache: s.a_box,
                load: figures(&classes, &s.load),
                link_capacity: figures(&hubs, &s.links),
            }
        };
        let layout = Layout {
            classes: (sites.class.iter())
                .map(|c| Class {
                    name: c.name.clone(),
                    priority_weight: c.worth,
                    work: c.work,
                    fills_per_request: c.misses,
                    must_be_served: c.must,
                })
                .collect(),
            branches: of(SiteKind::Branch).map(site).collect(),
            hubs: of(SiteKind::Hub).map(site).collect(),
            origin_fraction: sites.to_origin,
            origin_capacity: sites.origin,
            max_own_loss: sites.own_loss,
        };
        layout.check().map_err(|why| SiteTableError::Layout(why.to_string()))?;
        let within = |ms: f64| (10.0..=3_600_000.0).contains(&ms);
        if ![sites.silence_ms, sites.patience_ms, sites.ceiling_ms, sites.pace_ms, sites.refused_ms]
            .into_iter()
            .all(within)
        {
            return Err(SiteTableError::Time);
        }
        if entries.len() > MAX_SITES {
            return Err(SiteTableError::TooManySites);
        }
        let names = entries.iter().map(|s| (s.name.clone(), s.kind)).collect();
        Ok(SiteDirectory { layout, pairs: sites.pairs.clone(), names })
    }

    pub fn site(&self, name: &str) -> Option<SiteId> {
        self.names.iter().position(|(n, _)| n == name).map(|place| SiteId(place as u16))
    }

    /// The site that is the so-manieth of its kind in the plan.
    pub fn nth_of_kind(&self, kind: SiteKind, place: usize) -> Option<SiteId> {
        let of_kind = self.names.iter().enumerate().filter(|(_, (_, k))| *k == kind);
        of_kind.map(|(at, _)| SiteId(at as u16)).nth(place)
    }

    /// A branch's place in the plan.
    pub fn branch_index(&self, site: SiteId) -> Option<usize> {
        let (_, kind) = self.names.get(usize::from(site.0))?;
        let before = self.names[..usize::from(site.0)].iter().filter(|(_, k)| *k == SiteKind::Branch).count();
        (*kind == SiteKind::Branch).then_some(before)
    }

    pub fn name(&self, site: SiteId) -> String {
        self.names.get(usize::from(site.0)).map_or_else(String::new, |(name, _)| name.clone())
    }

    pub fn branch_named(&self, name: &str) -> Option<usize> {
        self.layout.branches.iter().position(|b| b.name == name)
    }

    /// Where there is no plan: clients of each lost branch go to all others alike, and nothing is refused by plan.
    pub fn spread_evenly(&self, loss: &Loss) -> FailoverPlan {
        let branches = 0..self.layout.branches.len();
        let takers: Vec<usize> = branches.filter(|b| !loss.branches.contains(b)).collect();
        let moves = loss.branches.iter().flat_map(|from| {
            let classes = self.layout.branches[*from].load.iter().enumerate();
            let each = classes.map(|(class, rate)| (class, rate / takers.len().max(1) as f64));
            let to = |(class, rate): (usize, f64)| {
                takers
                    .iter()
                    .map(move |to| DisplacedLoad { from: *from, to: *to, class, rate })
                    .collect::<Vec<_>>()
            };
            each.flat_map(to).collect::<Vec<_>>()
        });
        FailoverPlan { moves: moves.collect(), ..FailoverPlan::default() }
    }

    pub fn loss_of(&self, names: &[&str]) -> Result<Loss, String> {
        let mut loss = Loss::default();
        for name in names {
            let at = |sites: &[SiteCapacity]| sites.iter().position(|s| s.name == *name);
            match (at(&self.layout.branches), at(&self.layout.hubs)) {
                (Some(branch), _) => drop(loss.branches.insert(branch)),
                (_, Some(hub)) => drop(loss.hubs.insert(hub)),
                _ => return Err(format!("there is no site {name:?}")),
            }
        }
        Ok(loss)
    }

    /// What plans are made for before it happens: nothing, each site, and the pairs of the file.
    pub fn losses(&self) -> Vec<Loss> {
        let pairs = self.pairs.iter().filter_map(|(a, b)| self.loss_of(&[a, b]).ok());
        [Loss::default()].into_iter().chain(self.layout.single_losses()).chain(pairs).collect()
    }
}
