//! The sites of the fleet's file: their tables, numbers and names, and the layout for which failover plans are made.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use elmtide_sites::command::MAX_SITES;
use elmtide_sites::failover_plan::DisplacedLoad;
use elmtide_sites::{Class, FailoverPlan, Layout, Loss, SiteCapacity, SiteId};
use serde::Deserialize;

use crate::fleet::config_error::SiteTableError;

/// Settings of site failover.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SitesEntry {
    /// Maximum fills per second of the origin.
    pub origin: f64,
    /// Fraction of a hub's fills that are passed on to the origin.
    #[serde(default = "one")]
    pub to_origin: f64,
    /// Fraction of its own clients' requests that a branch may reject in favor of displaced clients.
    #[serde(default = "default_own_loss")]
    pub own_loss: f64,
    /// Pairs of sites that may be lost together; plans for them are made in advance.
    #[serde(default)]
    pub pairs: Vec<(String, String)>,
    /// The classes of requests.
    pub class: Vec<ClassEntry>,
    /// Time without an answer after which a site counts as silent.
    #[serde(default = "default_silence_ms")]
    pub silence_ms: f64,
    /// How long opinions must be held before a site is declared lost; doubled after each failed recovery, up to
    /// `ceiling_ms`.
    #[serde(default = "default_patience_ms")]
    pub patience_ms: f64,
    /// Upper limit of the patience.
    #[serde(default = "default_ceiling_ms")]
    pub ceiling_ms: f64,
    /// Minimum duration of each phase of a recovery.
    #[serde(default = "default_pace_ms")]
    pub pace_ms: f64,
    /// Longest wait that a client is told whose request the plan rejects; the shortest is half of it.
    #[serde(default = "default_pace_ms")]
    pub refused_ms: f64,
}

fn default_silence_ms() -> f64 {
    800.0
}

fn default_patience_ms() -> f64 {
    600.0
}

fn default_ceiling_ms() -> f64 {
    60_000.0
}

fn default_pace_ms() -> f64 {
    5_000.0
}

fn one() -> f64 {
    1.0
}

fn default_own_loss() -> f64 {
    0.02
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassEntry {
    /// Name of the class.
    pub name: String,
    /// Value of one served request.
    pub worth: f64,
    /// Work of one request, in units of a branch's capacity.
    #[serde(default = "one")]
    pub work: f64,
    /// Average number of fills caused by one request.
    #[serde(default)]
    pub misses: f64,
    /// Whether all of its requests must be served.
    #[serde(default)]
    pub must: bool,
}

/// The kind of a site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SiteKind {
    /// Serves clients.
    #[default]
    Branch,
    /// Fills the caches of branches.
    Hub,
}

/// A site.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteEntry {
    /// Name of the site.
    pub name: String,
    /// Its kind.
    #[serde(default)]
    pub kind: SiteKind,
    /// Maximum work per second of a branch, or maximum fills per second of a hub.
    pub room: f64,
    /// Capacity that one more cache node would add.
    #[serde(default, rename = "box")]
    pub a_box: f64,
    /// Requests per second from a branch's own clients, by class.
    #[serde(default)]
    pub load: BTreeMap<String, f64>,
    /// Maximum fills per second over a branch's link to each hub.
    #[serde(default)]
    pub links: BTreeMap<String, f64>,
    /// Addresses of the site's cache nodes or parents, which fronts of other sites probe.
    #[serde(default)]
    pub boxes: Vec<SocketAddr>,
}

/// The layout made from the tables, with the names and numbers of the sites.
#[derive(Debug)]
pub struct SiteDirectory {
    /// The input of failover plans.
    pub layout: Layout,
    /// Pairs of sites that may be lost together.
    pairs: Vec<(String, String)>,
    /// All sites in the file's order, which determines their numbers.
    pub names: Vec<(String, SiteKind)>,
}

impl SiteDirectory {
    /// Checks the tables and makes the layout from them.
    ///
    /// # Errors
    /// If the tables are inconsistent or a figure is out of range.
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
            let figures_in_order = |names: &[&str], of: &BTreeMap<String, f64>| {
                names.iter().map(|n| of.get(*n).copied().unwrap_or(0.0)).collect()
            };
            SiteCapacity {
                name: s.name.clone(),
                capacity: s.room,
                capacity_per_cache: s.a_box,
                load: figures_in_order(&classes, &s.load),
                link_capacity: figures_in_order(&hubs, &s.links),
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
        let is_valid_duration = |ms: f64| (10.0..=3_600_000.0).contains(&ms);
        if ![sites.silence_ms, sites.patience_ms, sites.ceiling_ms, sites.pace_ms, sites.refused_ms]
            .into_iter()
            .all(is_valid_duration)
        {
            return Err(SiteTableError::Time);
        }
        if entries.len() > MAX_SITES {
            return Err(SiteTableError::TooManySites);
        }
        let names = entries.iter().map(|s| (s.name.clone(), s.kind)).collect();
        Ok(SiteDirectory { layout, pairs: sites.pairs.clone(), names })
    }

    /// The site with this name.
    pub fn site(&self, name: &str) -> Option<SiteId> {
        self.names.iter().position(|(n, _)| n == name).map(|index| SiteId(index as u16))
    }

    /// The site with this index among those of its kind, as plans count them.
    pub fn nth_of_kind(&self, kind: SiteKind, index: usize) -> Option<SiteId> {
        let of_kind = self.names.iter().enumerate().filter(|(_, (_, k))| *k == kind);
        of_kind.map(|(at, _)| SiteId(at as u16)).nth(index)
    }

    /// The index of a branch in plans; `None` for a hub.
    pub fn branch_index(&self, site: SiteId) -> Option<usize> {
        let (_, kind) = self.names.get(usize::from(site.0))?;
        let before = self.names[..usize::from(site.0)].iter().filter(|(_, k)| *k == SiteKind::Branch).count();
        (*kind == SiteKind::Branch).then_some(before)
    }

    /// The name of a site; empty if the site does not exist.
    pub fn name(&self, site: SiteId) -> String {
        self.names.get(usize::from(site.0)).map_or_else(String::new, |(name, _)| name.clone())
    }

    /// The index of the branch with this name in plans.
    pub fn branch_named(&self, name: &str) -> Option<usize> {
        self.layout.branches.iter().position(|b| b.name == name)
    }

    /// A substitute for a missing plan: clients of each lost branch are spread evenly over the others, and no request
    /// is rejected.
    pub fn spread_evenly(&self, loss: &Loss) -> FailoverPlan {
        let branches = 0..self.layout.branches.len();
        let remaining: Vec<usize> = branches.filter(|b| !loss.branches.contains(b)).collect();
        let moves = loss.branches.iter().flat_map(|from| {
            let classes = self.layout.branches[*from].load.iter().enumerate();
            let rate_to_each = classes.map(|(class, rate)| (class, rate / remaining.len().max(1) as f64));
            let moves_to_all = |(class, rate): (usize, f64)| {
                remaining
                    .iter()
                    .map(move |to| DisplacedLoad { from: *from, to: *to, class, rate })
                    .collect::<Vec<_>>()
            };
            rate_to_each.flat_map(moves_to_all).collect::<Vec<_>>()
        });
        FailoverPlan { moves: moves.collect(), ..FailoverPlan::default() }
    }

    /// The loss of the sites with these names.
    ///
    /// # Errors
    /// If a site does not exist.
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

    /// The losses for which plans are made in advance: of nothing, of each site, and of the pairs of the file.
    pub fn losses(&self) -> Vec<Loss> {
        let pairs = self.pairs.iter().filter_map(|(a, b)| self.loss_of(&[a, b]).ok());
        [Loss::default()].into_iter().chain(self.layout.single_losses()).chain(pairs).collect()
    }
}
