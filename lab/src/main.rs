//! `elmtide-lab`: what a front does, tried and measured on loopback.

#![expect(unreachable_pub, reason = "not all items have their narrowest visibility yet: see docs/ROADMAP.md")]

mod cells;
mod conformance;
mod cost;
mod demo;
mod dns;
mod fleet;
mod schedules;
mod signups;
mod site;
mod work;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};

/// What is allocated is counted, so that a path without allocation is shown to be one.
#[global_allocator]
static COUNTED: &StatsAlloc<std::alloc::System> = &INSTRUMENTED_SYSTEM;

#[derive(Parser)]
#[command(name = "elmtide-lab", version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Start stand-ins and a front, ask it for names, objects and a signup, and print what comes back
    Demo {
        /// Leave all of it running, with the lines to try by hand
        #[arg(long)]
        stay: bool,
        /// The program; beside this one where it is not named
        #[arg(long)]
        front: Option<PathBuf>,
    },
    /// Start fronts that share a budget, play faults between them and check the rules; or measure what sharing is worth
    Fleet {
        #[arg(long)]
        front: Option<PathBuf>,
        /// Three, where nothing is said
        #[arg(long)]
        fronts: Option<usize>,
        /// Measure what is used of the whole with 3, 5 and 7 fronts, or as many as are named, beside a fixed division
        #[arg(long)]
        worth: bool,
        /// Measure what is served through a cold box, a storm of further attempts and a crowd at the origin
        #[arg(long)]
        storm: bool,
        /// Take all machines out for work under load, calm and with faults, beside a naive roller and no work at all
        #[arg(long)]
        work: bool,
        /// Lose a whole site and bring it back: by the plan that fronts agree on, beside a static overflow and an oracle
        #[arg(long)]
        site: bool,
        /// Where the picture of it goes
        #[arg(long, default_value = "site.svg")]
        picture: PathBuf,
        /// Seconds of each measurement
        #[arg(long, default_value_t = 8)]
        seconds: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Print what a fleet costs in messages, bytes and syncs at 5, 50 and 300 fronts, in simulated time
    FleetCost {
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Play seeded schedules of faults on a fleet in simulated time, and check that no budget is exceeded
    Schedules {
        /// How many, one after the other from the seed
        #[arg(long, default_value_t = 1000)]
        count: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Faults of each
        #[arg(long, default_value_t = 20)]
        steps: usize,
        /// With a front that spends after its lease: it has to be found
        #[arg(long)]
        breach: bool,
        /// While machines go out for work
        #[arg(long)]
        work: bool,
        /// While sites are lost and return
        #[arg(long, conflicts_with_all = ["work", "breach"])]
        sites: bool,
    },
    /// Measure a name server against a bare UDP echo loop, in turns, and its latency under a steady rate
    Dns {
        /// An address to measure instead of a front that is started for it
        #[arg(long)]
        at: Option<SocketAddr>,
        /// The program; beside this one where it is not named
        #[arg(long)]
        front: Option<PathBuf>,
        /// Queries a second of the steady part, open loop
        #[arg(long, default_value_t = 20_000)]
        rate: u32,
        /// Seconds of each part
        #[arg(long, default_value_t = 2)]
        seconds: u32,
        /// Turns of server and echo loop
        #[arg(long, default_value_t = 5)]
        turns: u32,
        /// Sockets that ask at once, in the part without a rate
        #[arg(long, default_value_t = 4)]
        clients: u32,
    },
    /// Run the conformance cases against a name server that has the suite's zone, or a front started for it
    Conformance {
        #[arg(long)]
        at: Option<SocketAddr>,
        /// The program; beside this one where it is not named
        #[arg(long)]
        front: Option<PathBuf>,
        /// Print a line for each case, as a table of clauses
        #[arg(long)]
        table: bool,
    },
    /// One shop floods: what others notice, with cells and without; and the blast radius of shuffle shards
    Cells {
        #[arg(long)]
        front: Option<PathBuf>,
        /// Seconds of each run
        #[arg(long, default_value_t = 6)]
        seconds: u32,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// CPU time of an ordinary request of one build against another's, in turns
    Cost {
        #[arg(long)]
        front: Option<PathBuf>,
        /// The other build's program
        #[arg(long)]
        against: PathBuf,
        /// With one cell in force in the first
        #[arg(long)]
        one_cell: bool,
        /// With shared budgets in force in the first
        #[arg(long)]
        fleet: bool,
        #[arg(long, default_value_t = 20)]
        turns: u32,
    },
    /// Many shoppers, many signups, resolvers that ignore TTLs, one front killed and started again
    Signups {
        #[arg(long)]
        front: Option<PathBuf>,
        #[arg(long, default_value_t = 1000)]
        clients: u32,
        #[arg(long, default_value_t = 10)]
        each: u32,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// The program: as named, or beside this one.
fn program(named: Option<PathBuf>) -> Result<PathBuf, String> {
    let own = || Some(std::env::current_exe().ok()?.with_file_name("elmtide"));
    let path = named.or_else(own).ok_or("where the program is can't be told; name it with --front")?;
    match path.exists() {
        true => Ok(path),
        false => {
            Err(format!("{} is not there: cargo build --release, or name it with --front", path.display()))
        }
    }
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Demo { stay, front } => program(front).and_then(|p| demo::run(&p, stay)),
        Command::Dns { at, front, rate, seconds, turns, clients } => {
            let load = dns::Load { rate, length: Duration::from_secs(u64::from(seconds)), turns, clients };
            dns::run(at, || program(front), &load)
        }
        Command::Fleet { front, fronts, worth, storm, work, site, picture, seconds, seed } => program(front)
            .and_then(|p| match (worth, storm) {
                _ if work => work::run(&p, seed),
                _ if site => site::run(&p, seed, &picture),
                (true, _) => fleet::worth(&p, fronts, seconds, seed),
                (_, true) => fleet::storms(&p, seed..seed + 3),
                _ => fleet::play(&p, fronts.unwrap_or(3), seed),
            }),
        Command::FleetCost { seed } => {
            schedules::cost(seed).and_then(|()| work::cost()).and_then(|()| site::cost())
        }
        Command::Schedules { count, seed, steps, breach, work, sites } => {
            let during = match (work, sites) {
                (true, _) => schedules::While::Work,
                (_, true) => schedules::While::Sites,
                _ => schedules::While::Budgets,
            };
            schedules::run(count, seed, steps, breach, during)
        }
        Command::Conformance { at, front, table } => conformance::run(at, || program(front), table),
        Command::Cells { front, seconds, seed } => {
            program(front).and_then(|p| cells::run(&p, Duration::from_secs(u64::from(seconds)), seed))
        }
        Command::Cost { front, against, one_cell, fleet, turns } => {
            program(front).and_then(|p| cost::run(&p, &against, one_cell, fleet, turns))
        }
        Command::Signups { front, clients, each, seed } => {
            program(front).and_then(|p| signups::run(&p, clients, each, seed))
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("elmtide-lab: {why}");
            ExitCode::FAILURE
        }
    }
}
