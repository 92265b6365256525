//! Sends attempts on to cache nodes, and follows the event bus.

pub mod bus;
pub mod connection;
pub mod pool;
mod purge_ages;
pub mod resolver;
pub mod shortage;
pub mod start_times;
pub mod streams;
