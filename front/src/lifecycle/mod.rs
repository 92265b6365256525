//! Start and stop of the process: configuration, threads, signals, drain.

pub mod activation;
pub mod apply_error;
pub mod cells;
pub mod config;
pub mod control;
pub mod cookie_secrets;
pub mod edge;
pub mod handover;
pub mod key_owners;
pub mod listen_address;
pub mod listener;
pub mod peer_sockets;
pub mod plan;
pub mod process_registry;
pub mod reload;
pub mod second_front;
pub mod serve;
pub mod shutdown;
