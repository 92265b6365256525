//! The fleet in simulated time. The very members that are in service run here, with a network that loses, delays, doubles
//! and cuts, clocks that drift and jump, machines that stall and crash, stores that are kept or lost; one seed is one run, to the byte.
//!
//! [`World`] is the driver, [`schedule`] draws faults from a seed, [`Report`] is what the checkers of `rules/` found.

#![expect(missing_docs, reason = "not documented in full yet: see docs/ROADMAP.md")]
#![expect(unreachable_pub, reason = "not all items have their narrowest visibility yet: see docs/ROADMAP.md")]

pub mod schedule;
pub mod setup;
mod simulated_node;
mod site_state;
pub mod world;

pub use setup::{Disk, Machines, Net, Report, Setup};
pub use world::World;
