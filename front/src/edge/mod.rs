//! Configuration and current state of the second front. Its servers and its resolver client read them from here; the
//! `lifecycle` module puts them in force.

pub mod cells;
pub mod config;
pub mod in_force;
pub mod plan;
pub mod serial;
