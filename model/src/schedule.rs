//! Faults drawn from a seed: kills with stores kept or lost, stalls, sleeps, splits, one-way cuts, loss, clocks, steps of demand.

use elmtide_budgets::{BudgetId, BudgetKind};
use elmtide_maintenance::{JobId, MachineId, MaintenanceCommand};
use elmtide_sites::RecoveryPhase;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::setup::{Disk, Machines, Net, Report, Setup};
use crate::world::World;

const KEY: BudgetId = BudgetId { kind: BudgetKind::Retries, resource: 0 };

/// How rough a schedule is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rough {
    /// Faults that the invariant holds under.
    Stated,
    /// One front goes on spending after its lease: the checkers have to find it.
    Breach,
}

/// Plays `steps` faults, one every 0.2 to 1.5 s, then heals everything, and gives what was found. All is drawn from the
/// seed.
pub fn play(seed: u64, steps: usize, rough: Rough) -> Report {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let fronts = random.random_range(3..=7usize);
    let mut world = World::new(Setup::new(fronts, seed));
    for node in 0..fronts {
        world.demand(node, KEY, random.random_range(1.0..120.0));
    }
    if rough == Rough::Breach {
        world.ignore_leases(random.random_range(0..fronts));
    }
    world.run(2_000_000);
    for _ in 0..steps {
        fault(&mut world, &mut random, fronts, Stores::MayBeLost);
        world.run(random.random_range(200_000..1_500_000));
    }
    heal(&mut world, fronts);
    world.run(6_000_000);
    world.report()
}

/// Everything is there again.
fn heal(world: &mut World, fronts: usize) {
    world.heal();
    world.net(Net::default());
    for node in 0..fronts {
        if !world.is_up(node) {
            world.start(node);
        }
    }
}

/// Plays `steps` faults while all machines are taken out for work, and one more now and then; then heals everything and waits for all
/// jobs to end. Machines that do not come back in within a simulated minute are told as a breach.
pub fn play_work(seed: u64, steps: usize, rough: Rough) -> Report {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x0003_07e1);
    let fronts = random.random_range(3..=7usize);
    let machines = Machines::new(random.random_range(4..=12), 3);
    let ids = machines.ids();
    let mut world = World::new(Setup { machines: Some(machines), ..Setup::new(fronts, seed) });
    if rough == Rough::Breach {
        world.ignore_leases(random.random_range(0..fronts));
    }
    world.run(3_000_000);
    let out = |machines: Vec<MachineId>| MaintenanceCommand::Request {
        machines,
        requested_by: "model".into(),
        reason: String::new(),
        expected_minutes: 0,
        at_ms: 0,
    };
    world.command(random.random_range(0..fronts), out(ids.clone()));
    for _ in 0..steps {
        // Stores that are lost one after the other end a log: then no job goes on, whatever heals.
        fault(&mut world, &mut random, fronts, Stores::Kept);
        if random.random_range(0..4u32) == 0 {
            // One is lost that nobody has let go, and is there again at the worker's next look.
            world.machine(ids[random.random_range(0..ids.len())], None);
        }
        for _ in 0..random.random_range(1..8u32) {
            world.run(200_000);
            world.work_on();
        }
        let node = random.random_range(0..fronts);
        let machine = ids[random.random_range(0..ids.len())];
        let command = match random.random_range(0..12u32) {
            0..3 => out(vec![machine]),
            3 => MaintenanceCommand::PauseJob { job: JobId(1) },
            4 | 5 => MaintenanceCommand::ResumeJob { job: JobId(1) },
            6 => MaintenanceCommand::Cancel { job: JobId(random.random_range(1..4)), machine: Some(machine) },
            7 => MaintenanceCommand::ConfirmReturn { machine },
            _ => continue,
        };
        world.command(node, command);
    }
    heal(&mut world, fronts);
    let over = |world: &World| world.agreed().is_some_and(|s| s.progress().is_empty());
    for _ in 0..300 {
        world.run(200_000);
        world.work_on();
        let held: Vec<JobId> = world.agreed().map_or(Vec::new(), |s| {
            s.jobs()
                .iter()
                .filter(|(_, j)| j.is_paused && j.ended_at_ms.is_none())
                .map(|(id, _)| *id)
                .collect()
        });
        for job in held {
            world.command(0, MaintenanceCommand::ResumeJob { job });
        }
        if over(&world) {
            break;
        }
    }
    let mut report = world.report();
    if !over(&world) {
        let left = world.agreed().map(|s| s.progress().clone());
        report.over.push(format!("a minute after all was healed machines are still out: {left:?}"));
    }
    report
}

#[derive(Clone, Copy, PartialEq)]
enum Stores {
    Kept,
    MayBeLost,
}

fn fault(world: &mut World, random: &mut ChaCha8Rng, fronts: usize, stores: Stores) {
    let node = random.random_range(0..fronts);
    let other = (node + random.random_range(1..fronts)) % fronts;
    match random.random_range(0..14u32) {
        0 => world.kill(node, Disk::Kept),
        1 => {
            // Stores of a minority are lost at most: losing a majority's is the operators' matter.
            let up = (0..fronts).filter(|n| world.is_up(*n)).count();
            if up == fronts && stores == Stores::MayBeLost {
                world.kill(node, Disk::Lost);
            }
        }
        2 | 3 => (0..fronts).for_each(|n| {
            if !world.is_up(n) {
                world.start(n);
            }
        }),
        4 => world.stall(node, random.random_range(50_000..6_000_000)),
        5 => world.sleep(node, random.random_range(50_000..6_000_000)),
        6 => {
            let place = random.random_range(1..fronts);
            let (one, two): (Vec<usize>, Vec<usize>) = (0..fronts).partition(|n| *n < place);
            world.split(&[&one, &two]);
        }
        7 => world.cut(node, other, true),
        8 | 9 => world.heal(),
        10 => world.net(Net {
            loss: random.random_range(0.0..0.3),
            double: random.random_range(0.0..0.3),
            delay: (200, random.random_range(1_000..200_000)),
        }),
        11 => world.net(Net::default()),
        12 => {
            let hour = 3_600_000_000i64;
            world.set_wall(node, if random.random::<bool>() { hour } else { -hour });
        }
        _ => {
            world.drift(node, random.random_range(-200.0..200.0));
            world.demand(node, KEY, random.random_range(1.0..200.0));
        }
    }
}

/// Plays `steps` faults on sites that come and go, then heals all, and waits for every return to end.
pub fn play_sites(seed: u64, steps: usize) -> Report {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x51fe5);
    let count = random.random_range(3..=6usize);
    let fronts = count * random.random_range(1..=2usize);
    let mut world = World::new(Setup { sites: Some(count), ..Setup::new(fronts, seed) });
    world.run(5_000_000);
    for _ in 0..steps {
        let site = random.random_range(0..count);
        let other = (site + random.random_range(1..count)) % count;
        match random.random_range(0..9u8) {
            0 | 1 => world.lose_site(site),
            2 | 3 => world.bring_site(site),
            // Cut off, with boxes that others reach, or not.
            4 => {
                let (one, rest): (Vec<usize>, Vec<usize>) = (0..fronts).partition(|n| n % count == site);
                world.split(&[&one, &rest]);
                if random.random() {
                    (0..count).filter(|by| *by != site).for_each(|by| world.cut_boxes(by, site, true));
                }
            }
            5 => world.cut_boxes(site, other, true),
            6 => {
                world.heal();
                (0..count).for_each(|by| (0..count).for_each(|of| world.cut_boxes(by, of, false)));
            }
            7 => world.net(Net { loss: random.random::<f64>() * 0.2, double: 0.1, delay: (1_000, 60_000) }),
            _ => {
                let node = random.random_range(0..fronts);
                match random.random_range(0..4u8) {
                    0 => world.stall(node, random.random_range(100_000..3_000_000)),
                    1 => world.set_wall(node, random.random_range(-5_000_000..5_000_000)),
                    2 => world.sleep(node, random.random_range(100_000..2_000_000)),
                    _ => {
                        world.kill(node, Disk::Kept);
                        world.start(node);
                    }
                }
            }
        }
        world.run(random.random_range(200_000..3_000_000));
    }
    world.heal();
    world.net(Net::default());
    for site in 0..count {
        (0..count).for_each(|by| world.cut_boxes(by, site, false));
        world.bring_site(site);
    }
    let back = |w: &World| (0..count).all(|s| w.standing(s) == RecoveryPhase::Serving);
    if !world.until(90_000_000, back) {
        let left: Vec<RecoveryPhase> = (0..count).map(|s| world.standing(s)).collect();
        world.breach(format!("not all sites are back after 90 s: {left:?}"));
    }
    world.report()
}
