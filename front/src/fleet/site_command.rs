//! The command `elmtide site`: sends a request to the front on this machine, or prints failover plans by the file.

use std::path::Path;
use std::process::ExitCode;

use elmtide_sites::failover_plan::{expansion_gains, tightest_bottleneck, ExpansionGain};
use elmtide_sites::{plan, BindingConstraint, FailoverPlan, Loss, PlanError};

use crate::fleet::operator_client;
use crate::fleet::operator_request::OperatorRequest;
use crate::fleet::site_directory::{SiteDirectory, SiteEntry, SitesEntry};
use crate::fleet::status_view;

/// Runs `elmtide site`, `site lost SITE` and `site clear SITE`, which the front on this machine answers.
pub fn run_request(path: &Path, words: &[String], json: bool) -> Result<ExitCode, String> {
    let words: Vec<&str> = words.iter().map(|w| &w[..]).collect();
    let request = match words[..] {
        [] => {
            let status = operator_client::status(path).map_err(|error| error.to_string())?;
            if json {
                println!("{}", serde_json::to_string(&status.sites).map_err(|e| e.to_string())?);
            } else if status.sites.is_empty() {
                println!("no sites are watched, or nothing was heard of them yet");
            } else {
                status_view::print_sites(&status);
            }
            return Ok(ExitCode::SUCCESS);
        }
        ["lost", site] => OperatorRequest::SiteLost { site: site.into() },
        ["clear", site] => OperatorRequest::SiteClear { site: site.into() },
        _ => return Err("usage: site [lost SITE | clear SITE | plan ...]".into()),
    };
    let reply = operator_client::request(path, &request).map_err(|error| error.to_string())?.reply;
    match reply.done {
        true => println!("{}", reply.text),
        false => eprintln!("elmtide: refused: {}", reply.text),
    }
    Ok(if reply.done { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs `elmtide site plan [SITE...] [SITE.CLASS=RATE...]`; false if requests that must be served, such as signups,
/// can't be.
pub fn run_plan(sites: Option<(&SitesEntry, &[SiteEntry])>, words: &[String]) -> Result<bool, String> {
    let (table, entries) = sites.ok_or("the file has no [sites]")?;
    let mut sites = SiteDirectory::from_config(table, entries).map_err(|error| error.to_string())?;
    match words.split_first() {
        Some((first, rest)) if first == "plan" => {
            let (loads, names): (Vec<&String>, Vec<&String>) = rest.iter().partition(|w| w.contains('='));
            loads.iter().try_for_each(|load| sites.override_load(load))?;
            let names: Vec<&str> = names.iter().map(|n| &n[..]).collect();
            let losses = match names.is_empty() {
                false => vec![sites.loss_of(&names)?],
                true => sites.losses(),
            };
            let mut all_served = true;
            for loss in losses {
                match plan(&sites.layout, &loss, None) {
                    Ok(plan) => sites.print_plan(&loss, &plan)?,
                    Err(PlanError::MustServe { class, missing_rate: short, plan }) => {
                        all_served = false;
                        sites.print_plan(&loss, &plan)?;
                        let class = &sites.layout.classes[class].name;
                        println!("  NO PLAN: {short:.2} a second of {class} must be served and can't be");
                    }
                    Err(why) => return Err(format!("{}: {why}", sites.loss_title(&loss))),
                }
            }
            Ok(all_served)
        }
        _ => Err("usage: site plan [SITE...] [SITE.CLASS=RATE...]".into()),
    }
}

impl SiteDirectory {
    /// Replaces a load of the file by an argument `SITE.CLASS=RATE`.
    fn override_load(&mut self, text: &str) -> Result<(), String> {
        let invalid = || format!("{text:?}: expected SITE.CLASS=RATE");
        let (target, rate) = text.split_once('=').ok_or_else(invalid)?;
        let (site, class) = target.rsplit_once('.').ok_or_else(invalid)?;
        let rate: f64 = rate.parse().map_err(|_| invalid())?;
        let class = self.layout.classes.iter().position(|c| c.name == class).ok_or_else(invalid)?;
        let branch = self.layout.branches.iter_mut().find(|s| s.name == site).ok_or_else(invalid)?;
        branch.load[class] = rate;
        self.layout.check().map_err(|why| why.to_string())
    }

    /// The heading of a loss.
    fn loss_title(&self, loss: &Loss) -> String {
        let branches = loss.branches.iter().map(|b| &self.layout.branches[*b].name[..]);
        let names: Vec<&str> =
            branches.chain(loss.hubs.iter().map(|h| &self.layout.hubs[*h].name[..])).collect();
        match names.is_empty() {
            true => "nothing is lost".into(),
            false => format!("{} lost", names.join(" and ")),
        }
    }

    /// The name of a binding constraint.
    fn constraint_text(&self, constraint: &BindingConstraint) -> String {
        let (branches, hubs) = (&self.layout.branches, &self.layout.hubs);
        match constraint {
            BindingConstraint::Branch(at) => format!("the room of {}", branches[*at].name),
            BindingConstraint::Hub(hub) => format!("the room of {}", hubs[*hub].name),
            BindingConstraint::Link(at, hub) => {
                format!("the link of {} to {}", branches[*at].name, hubs[*hub].name)
            }
            BindingConstraint::Origin => "the origin".into(),
        }
    }

    /// Prints a plan, its tightest constraint and the best place for one more cache node.
    fn print_plan(&self, loss: &Loss, plan: &FailoverPlan) -> Result<(), String> {
        let layout = &self.layout;
        println!(
            "{}: worth {:.1} of {:.1} a second served, {:.1} refused",
            self.loss_title(loss),
            plan.value,
            plan.value_asked,
            plan.value_asked - plan.value
        );
        for displaced in &plan.moves {
            println!(
                "  {:>8.2} {:<12} of {} to {}",
                displaced.rate,
                layout.classes[displaced.class].name,
                layout.branches[displaced.from].name,
                layout.branches[displaced.to].name
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
                self.constraint_text(&bottleneck.constraint)
            );
            let gains = expansion_gains(layout, loss).map_err(|why| why.to_string())?;
            let best =
                gains.into_iter().max_by(|a, b| a.gain.total_cmp(&b.gain)).filter(|best| best.gain > 1e-6);
            if let Some(ExpansionGain { branch: at, gain }) = best {
                println!("  one more box at {} is worth {gain:.2} a second", layout.branches[at].name);
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
