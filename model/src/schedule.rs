//! Fault schedules drawn from a seed: kills with stores kept or lost, stalls, suspensions, partitions, one-way cuts,
//! datagram loss, clock steps and drift, and steps of demand.

use elmtide_budgets::{BudgetId, BudgetKind};
use elmtide_maintenance::{JobId, MachineId, MaintenanceCommand};
use elmtide_sites::RecoveryPhase;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::setup::{Machines, NetworkConditions, Report, Setup, StoreFate};
use crate::world::World;

const RETRY_BUDGET: BudgetId = BudgetId { kind: BudgetKind::Retries, resource: 0 };

/// The kind of faults in a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultMode {
    /// Faults under which all rules must hold.
    Tolerated,
    /// In addition one front ignores the expiry of its leases, which the checkers must find.
    LeaseViolation,
}

/// Injects `steps` faults, one every 0.2 to 1.5 s, then heals everything and returns the report. Everything is drawn
/// from the seed.
pub fn run_budget_faults(seed: u64, steps: usize, mode: FaultMode) -> Report {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let fronts = random.random_range(3..=7usize);
    let mut world = World::new(Setup::new(fronts, seed));
    for node in 0..fronts {
        world.set_demand(node, RETRY_BUDGET, random.random_range(1.0..120.0));
    }
    if mode == FaultMode::LeaseViolation {
        world.ignore_leases(random.random_range(0..fronts));
    }
    world.run(2_000_000);
    for _ in 0..steps {
        inject_fault(&mut world, &mut random, fronts, StoreLoss::Possible);
        world.run(random.random_range(200_000..1_500_000));
    }
    heal_all(&mut world, fronts);
    world.run(6_000_000);
    world.report()
}

/// Heals the network and starts all fronts that are down.
fn heal_all(world: &mut World, fronts: usize) {
    world.heal_network();
    world.set_network(NetworkConditions::default());
    for node in 0..fronts {
        if !world.is_up(node) {
            world.start(node);
        }
    }
}

/// Injects `steps` faults while a maintenance job covers all machines, with more commands now and then, then heals
/// everything and waits for all jobs to end. Machines that do not return to service within a simulated minute are
/// reported as a violation.
pub fn run_maintenance_faults(seed: u64, steps: usize, mode: FaultMode) -> Report {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x0003_07e1);
    let fronts = random.random_range(3..=7usize);
    let machines = Machines::new(random.random_range(4..=12), 3);
    let ids = machines.ids();
    let mut world = World::new(Setup { machines: Some(machines), ..Setup::new(fronts, seed) });
    if mode == FaultMode::LeaseViolation {
        world.ignore_leases(random.random_range(0..fronts));
    }
    world.run(3_000_000);
    let maintenance_request = |machines: Vec<MachineId>| MaintenanceCommand::Request {
        machines,
        requested_by: "model".into(),
        reason: String::new(),
        expected_minutes: 0,
        at_ms: 0,
    };
    world.request_maintenance(random.random_range(0..fronts), maintenance_request(ids.clone()));
    for _ in 0..steps {
        // Stores are kept: losing one after the other destroys the log, and then no job continues after healing.
        inject_fault(&mut world, &mut random, fronts, StoreLoss::Never);
        if random.random_range(0..4u32) == 0 {
            // A machine fails without having been released and is up again at the next call of `perform_maintenance`.
            world.set_machine_start(ids[random.random_range(0..ids.len())], None);
        }
        for _ in 0..random.random_range(1..8u32) {
            world.run(200_000);
            world.perform_maintenance();
        }
        let node = random.random_range(0..fronts);
        let machine = ids[random.random_range(0..ids.len())];
        let command = match random.random_range(0..12u32) {
            0..3 => maintenance_request(vec![machine]),
            3 => MaintenanceCommand::PauseJob { job: JobId(1) },
            4 | 5 => MaintenanceCommand::ResumeJob { job: JobId(1) },
            6 => MaintenanceCommand::Cancel { job: JobId(random.random_range(1..4)), machine: Some(machine) },
            7 => MaintenanceCommand::ConfirmReturn { machine },
            _ => continue,
        };
        world.request_maintenance(node, command);
    }
    heal_all(&mut world, fronts);
    let all_returned = |world: &World| world.agreed_maintenance().is_some_and(|s| s.progress().is_empty());
    for _ in 0..300 {
        world.run(200_000);
        world.perform_maintenance();
        let paused_jobs: Vec<JobId> = world.agreed_maintenance().map_or(Vec::new(), |s| {
            s.jobs()
                .iter()
                .filter(|(_, j)| j.is_paused && j.ended_at_ms.is_none())
                .map(|(id, _)| *id)
                .collect()
        });
        for job in paused_jobs {
            world.request_maintenance(0, MaintenanceCommand::ResumeJob { job });
        }
        if all_returned(&world) {
            break;
        }
    }
    let mut report = world.report();
    if !all_returned(&world) {
        let left = world.agreed_maintenance().map(|s| s.progress().clone());
        report
            .violations
            .push(format!("machines are still in maintenance a minute after all faults ended: {left:?}"));
    }
    report
}

/// Whether faults include the loss of a store.
#[derive(Clone, Copy, PartialEq)]
enum StoreLoss {
    /// Stores are never lost.
    Never,
    /// A store may be lost while all fronts are up.
    Possible,
}

/// Injects one random fault or recovery.
fn inject_fault(world: &mut World, random: &mut ChaCha8Rng, fronts: usize, store_loss: StoreLoss) {
    let node = random.random_range(0..fronts);
    let other = (node + random.random_range(1..fronts)) % fronts;
    match random.random_range(0..14u32) {
        0 => world.kill(node, StoreFate::Kept),
        1 => {
            // At most a minority of the stores is lost at a time; after losing a majority operators must intervene.
            let up = (0..fronts).filter(|n| world.is_up(*n)).count();
            if up == fronts && store_loss == StoreLoss::Possible {
                world.kill(node, StoreFate::Lost);
            }
        }
        2 | 3 => (0..fronts).for_each(|n| {
            if !world.is_up(n) {
                world.start(n);
            }
        }),
        4 => world.stall(node, random.random_range(50_000..6_000_000)),
        5 => world.suspend_machine(node, random.random_range(50_000..6_000_000)),
        6 => {
            let boundary = random.random_range(1..fronts);
            let (one, two): (Vec<usize>, Vec<usize>) = (0..fronts).partition(|n| *n < boundary);
            world.partition_network(&[&one, &two]);
        }
        7 => world.set_cut(node, other, true),
        8 | 9 => world.heal_network(),
        10 => world.set_network(NetworkConditions {
            loss: random.random_range(0.0..0.3),
            duplication: random.random_range(0.0..0.3),
            delay: (200, random.random_range(1_000..200_000)),
        }),
        11 => world.set_network(NetworkConditions::default()),
        12 => {
            let hour = 3_600_000_000i64;
            world.step_wall_clock(node, if random.random::<bool>() { hour } else { -hour });
        }
        _ => {
            world.set_clock_drift(node, random.random_range(-200.0..200.0));
            world.set_demand(node, RETRY_BUDGET, random.random_range(1.0..200.0));
        }
    }
}

/// Injects `steps` faults into sites that are lost and return, then heals everything and waits until all sites serve.
pub fn run_site_faults(seed: u64, steps: usize) -> Report {
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
            2 | 3 => world.restore_site(site),
            // The site's fronts are cut off, and in half the cases its cache nodes as well.
            4 => {
                let (one, rest): (Vec<usize>, Vec<usize>) = (0..fronts).partition(|n| n % count == site);
                world.partition_network(&[&one, &rest]);
                if random.random() {
                    (0..count).filter(|by| *by != site).for_each(|by| world.set_cache_cut(by, site, true));
                }
            }
            5 => world.set_cache_cut(site, other, true),
            6 => {
                world.heal_network();
                (0..count).for_each(|by| (0..count).for_each(|of| world.set_cache_cut(by, of, false)));
            }
            7 => world.set_network(NetworkConditions {
                loss: random.random::<f64>() * 0.2,
                duplication: 0.1,
                delay: (1_000, 60_000),
            }),
            _ => {
                let node = random.random_range(0..fronts);
                match random.random_range(0..4u8) {
                    0 => world.stall(node, random.random_range(100_000..3_000_000)),
                    1 => world.step_wall_clock(node, random.random_range(-5_000_000..5_000_000)),
                    2 => world.suspend_machine(node, random.random_range(100_000..2_000_000)),
                    _ => {
                        world.kill(node, StoreFate::Kept);
                        world.start(node);
                    }
                }
            }
        }
        world.run(random.random_range(200_000..3_000_000));
    }
    world.heal_network();
    world.set_network(NetworkConditions::default());
    for site in 0..count {
        (0..count).for_each(|by| world.set_cache_cut(by, site, false));
        world.restore_site(site);
    }
    let all_serving = |w: &World| (0..count).all(|s| w.site_phase(s) == RecoveryPhase::Serving);
    if !world.run_until(90_000_000, all_serving) {
        let left: Vec<RecoveryPhase> = (0..count).map(|s| world.site_phase(s)).collect();
        world.record_violation(format!("not all sites serve 90 s after all faults ended: {left:?}"));
    }
    world.report()
}
