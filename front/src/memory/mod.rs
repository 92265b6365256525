//! What is kept in memory. All of it is bounded.

pub mod budget;
pub mod counters;
pub mod exchanges;
pub mod ledger;
pub mod members;
