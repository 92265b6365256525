//! Sites by the file, and the plan for the loss of each: what `elmtide site plan` shows, and what [`crate::fleet::site_failover`] goes by.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use elmtide_sites::command::MAX_SITES;
use elmtide_sites::failover_plan::{expansion_gains, tightest_bottleneck, DisplacedLoad, ExpansionGain};
use elmtide_sites::{
    plan, BindingConstraint, Class, FailoverPlan, Layout, Loss, PlanError, SiteCapacity, SiteId,
};
use serde::Deserialize;

use crate::fleet::look;
use crate::fleet::work::{Reply, Request};

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
pub struct Sites {
    pub layout: Layout,
    pairs: Vec<(String, String)>,
    /// All sites in the file's order, by which they are numbered.
    pub names: Vec<(String, SiteKind)>,
}

impl Sites {
    pub fn of(sites: &SitesEntry, entries: &[SiteEntry]) -> Result<Sites, String> {
        let of = |kind| entries.iter().filter(move |s| s.kind == kind);
        let hubs: Vec<&str> = of(SiteKind::Hub).map(|s| &s.name[..]).collect();
        let mut names: Vec<&str> = entries.iter().map(|s| &s.name[..]).collect();
        names.sort_unstable();
        if names.windows(2).any(|w| w[0] == w[1]) {
            return Err("two sites have one name".into());
        }
        let classes: Vec<&str> = sites.class.iter().map(|c| &c.name[..]).collect();
        for entry in entries {
            if let Some(class) = entry.load.keys().find(|c| !classes.contains(&&c[..])) {
                return Err(format!("site {}: there is no class {class:?}", entry.name));
            }
            if let Some(hub) = entry.links.keys().find(|h| !hubs.contains(&&h[..])) {
                return Err(format!("site {}: there is no hub {hub:?}", entry.name));
            }
        }
        let unknown = sites.pairs.iter().flat_map(|(a, b)| [a, b]).find(|s| !names.contains(&&s[..]));
        if let Some(site) = unknown {
            return Err(format!("pairs: there is no site {site:?}"));
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
        layout.check().map_err(|why| why.to_string())?;
        let within = |ms: f64| (10.0..=3_600_000.0).contains(&ms);
        if ![sites.silence_ms, sites.patience_ms, sites.ceiling_ms, sites.pace_ms, sites.refused_ms]
            .into_iter()
            .all(within)
        {
            return Err("sites: a time is not from 10 ms to an hour".into());
        }
        if entries.len() > MAX_SITES {
            return Err(format!("over {MAX_SITES} sites"));
        }
        let names = entries.iter().map(|s| (s.name.clone(), s.kind)).collect();
        Ok(Sites { layout, pairs: sites.pairs.clone(), names })
    }

    pub fn site(&self, name: &str) -> Option<SiteId> {
        self.names.iter().position(|(n, _)| n == name).map(|place| SiteId(place as u16))
    }

    /// The site that is the so-manieth of its kind in the plan.
    pub fn id(&self, kind: SiteKind, place: usize) -> Option<SiteId> {
        let of_kind = self.names.iter().enumerate().filter(|(_, (_, k))| *k == kind);
        of_kind.map(|(at, _)| SiteId(at as u16)).nth(place)
    }

    /// A branch's place in the plan.
    pub fn branch(&self, site: SiteId) -> Option<usize> {
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

    fn lost(&self, names: &[&str]) -> Result<Loss, String> {
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

    /// Another load in place of the file's: `SITE.CLASS=RATE`.
    fn set(&mut self, text: &str) -> Result<(), String> {
        let wrong = || format!("{text:?}: SITE.CLASS=RATE is wanted");
        let (place, rate) = text.split_once('=').ok_or_else(wrong)?;
        let (site, class) = place.rsplit_once('.').ok_or_else(wrong)?;
        let rate: f64 = rate.parse().map_err(|_| wrong())?;
        let class = self.layout.classes.iter().position(|c| c.name == class).ok_or_else(wrong)?;
        let branch = self.layout.branches.iter_mut().find(|s| s.name == site).ok_or_else(wrong)?;
        branch.load[class] = rate;
        self.layout.check().map_err(|why| why.to_string())
    }

    /// What plans are made for before it happens: nothing, each site, and the pairs of the file.
    pub fn losses(&self) -> Vec<Loss> {
        let pairs = self.pairs.iter().filter_map(|(a, b)| self.lost(&[a, b]).ok());
        [Loss::default()].into_iter().chain(self.layout.single_losses()).chain(pairs).collect()
    }

    fn title(&self, loss: &Loss) -> String {
        let branches = loss.branches.iter().map(|b| &self.layout.branches[*b].name[..]);
        let names: Vec<&str> =
            branches.chain(loss.hubs.iter().map(|h| &self.layout.hubs[*h].name[..])).collect();
        match names.is_empty() {
            true => "nothing is lost".into(),
            false => format!("{} lost", names.join(" and ")),
        }
    }

    fn bound(&self, bound: &BindingConstraint) -> String {
        let (branches, hubs) = (&self.layout.branches, &self.layout.hubs);
        match bound {
            BindingConstraint::Branch(at) => format!("the room of {}", branches[*at].name),
            BindingConstraint::Hub(hub) => format!("the room of {}", hubs[*hub].name),
            BindingConstraint::Link(at, hub) => {
                format!("the link of {} to {}", branches[*at].name, hubs[*hub].name)
            }
            BindingConstraint::Origin => "the origin".into(),
        }
    }

    fn print(&self, loss: &Loss, plan: &FailoverPlan) -> Result<(), String> {
        let layout = &self.layout;
        println!(
            "{}: worth {:.1} of {:.1} a second served, {:.1} refused",
            self.title(loss),
            plan.value,
            plan.value_asked,
            plan.value_asked - plan.value
        );
        for m in &plan.moves {
            println!(
                "  {:>8.2} {:<12} of {} to {}",
                m.rate,
                layout.classes[m.class].name,
                layout.branches[m.from].name,
                layout.branches[m.to].name
            );
        }
        for rejected in &plan.rejected {
            println!(
                "  {:>8.2} {:<12} of {} refused",
                rejected.rate, layout.classes[rejected.class].name, layout.branches[rejected.branch].name
            );
        }
        for (at, fills) in plan.fills.iter().enumerate().filter(|_| !loss.hubs.is_empty()) {
            for (hub, rate) in fills.iter().enumerate().filter(|(_, rate)| **rate > 0.0) {
                println!(
                    "  {rate:>8.2} fills of {} through {}",
                    layout.branches[at].name, layout.hubs[hub].name
                );
            }
        }
        if let Some(bottleneck) = tightest_bottleneck(layout, loss).map_err(|why| why.to_string())? {
            let more = bottleneck.gain;
            println!(
                "  tightest: {}; a hundredth more of it is worth {more:.2} a second",
                self.bound(&bottleneck.constraint)
            );
            let boxes = expansion_gains(layout, loss).map_err(|why| why.to_string())?;
            let best =
                boxes.into_iter().max_by(|a, b| a.gain.total_cmp(&b.gain)).filter(|best| best.gain > 1e-6);
            if let Some(ExpansionGain { branch: at, gain }) = best {
                println!("  one more box at {} is worth {gain:.2} a second", layout.branches[at].name);
            }
        }
        Ok(())
    }
}

/// `elmtide site`, `site lost SITE`, `site clear SITE`: asks the front that runs here.
pub fn ask(path: &Path, words: &[String], json: bool) -> Result<ExitCode, String> {
    let words: Vec<&str> = words.iter().map(|w| &w[..]).collect();
    let request = match words[..] {
        [] => {
            let shown = look::ask(path)?;
            if json {
                println!("{}", serde_json::to_string(&shown.sites).map_err(|e| e.to_string())?);
            } else if shown.sites.is_empty() {
                println!("no sites are watched, or nothing was heard of them yet");
            } else {
                look::print_sites(&shown);
            }
            return Ok(ExitCode::SUCCESS);
        }
        ["lost", site] => Request::SiteLost { site: site.into() },
        ["clear", site] => Request::SiteClear { site: site.into() },
        _ => return Err("site [lost SITE | clear SITE | plan ...] is all that there is".into()),
    };
    let line = serde_json::to_string(&request).map_err(|e| e.to_string())?;
    let text = look::call(path, &format!("work {line}"))?;
    let reply: Reply = serde_json::from_str(&text).map_err(|_| text.clone())?;
    match reply.done {
        true => println!("{}", reply.text),
        false => eprintln!("elmtide: refused: {}", reply.text),
    }
    Ok(if reply.done { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// `elmtide site plan [SITE...] [SITE.CLASS=RATE...]`: false where signups, or what else must be served, can't be.
pub fn run(sites: Option<(&SitesEntry, &[SiteEntry])>, words: &[String]) -> Result<bool, String> {
    let (table, entries) = sites.ok_or("the file has no [sites]")?;
    let mut sites = Sites::of(table, entries)?;
    match words.split_first() {
        Some((first, rest)) if first == "plan" => {
            let (loads, names): (Vec<&String>, Vec<&String>) = rest.iter().partition(|w| w.contains('='));
            loads.iter().try_for_each(|load| sites.set(load))?;
            let names: Vec<&str> = names.iter().map(|n| &n[..]).collect();
            let losses = match names.is_empty() {
                false => vec![sites.lost(&names)?],
                true => sites.losses(),
            };
            let mut whole = true;
            for loss in losses {
                match plan(&sites.layout, &loss, None) {
                    Ok(plan) => sites.print(&loss, &plan)?,
                    Err(PlanError::MustServe { class, missing_rate: short, plan }) => {
                        whole = false;
                        sites.print(&loss, &plan)?;
                        let class = &sites.layout.classes[class].name;
                        println!("  NO PLAN: {short:.2} a second of {class} must be served and can't be");
                    }
                    Err(why) => return Err(format!("{}: {why}", sites.title(&loss))),
                }
            }
            Ok(whole)
        }
        _ => Err("site plan [SITE...] [SITE.CLASS=RATE...] is all that there is yet".into()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Deserialize)]
    struct File {
        sites: SitesEntry,
        site: Vec<SiteEntry>,
    }

    const FILE: &str = r#"
        [sites]
        origin = 40.0
        to_origin = 0.5
        pairs = [["pest", "buda"]]
        class = [{ name = "signup", worth = 20.0, must = true }, { name = "files", worth = 1.0, misses = 0.2 }]
        [[site]]
        name = "pest"
        room = 100.0
        box = 25.0
        load = { signup = 5.0, files = 60.0 }
        links = { east = 30.0 }
        [[site]]
        name = "buda"
        room = 100.0
        load = { signup = 5.0, files = 50.0 }
        links = { east = 30.0 }
        [[site]]
        name = "east"
        kind = "hub"
        room = 60.0
    "#;

    fn read(text: &str) -> Result<bool, String> {
        let file: File = toml::from_str(text).map_err(|e| e.to_string())?;
        run(Some((&file.sites, &file.site)), &["plan".into(), "pest".into()])
    }

    #[test]
    fn a_file_is_planned_and_a_bad_one_says_why() {
        assert_eq!(read(FILE), Ok(true));
        assert_eq!(read(&FILE.replace("signup = 5.0", "signup = 90.0")), Ok(false), "signups do not fit");
        for (from, to, why) in [
            ("\"pest\", \"buda\"]]", "\"pest\", \"far\"]]", "no site"),
            ("files = 60.0", "fools = 60.0", "no class"),
            ("east = 30.0", "west = 30.0", "no hub"),
            ("name = \"buda\"", "name = \"pest\"", "one name"),
            ("room = 60.0", "room = -1.0", "a figure is none"),
        ] {
            let said = read(&FILE.replacen(from, to, 1)).unwrap_err();
            assert!(said.contains(why), "{said}");
        }
    }

    #[test]
    fn another_load_is_taken_in_place_of_the_files() {
        let file: File = toml::from_str(FILE).unwrap();
        let mut sites = Sites::of(&file.sites, &file.site).unwrap();
        sites.set("pest.files=80").unwrap();
        assert_eq!(sites.layout.branches[0].load, [5.0, 80.0]);
        for wrong in ["pest=3", "pest.files", "far.files=2", "pest.fools=2", "pest.files=x", "pest.files=-1"]
        {
            assert!(sites.set(wrong).is_err(), "{wrong}");
        }
    }
}
