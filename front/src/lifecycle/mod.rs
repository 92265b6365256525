//! Start and stop: configuration, threads, signals, drain.

pub mod clock;
pub mod config;
pub mod control;
pub mod edge;
pub mod log;
pub mod plan;
pub mod reload;
pub mod serve;

use std::io;
use std::thread::{Builder, JoinHandle};

/// Stack of a connection's thread. Hundreds of them have to fit into the memory of a front.
const STACK: usize = 128 * 1024;

pub fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    Builder::new().name(name.into()).stack_size(STACK).spawn(body)
}
