//! This front's part in the fleet. One thread with a UDP socket and a store runs the node of `elmtide_fleet` and turns
//! its outputs into inputs of the engine. The engine never waits for it: it spends the quotas that it already holds.

pub mod config;
mod config_check;
pub mod config_error;
mod config_limits;
mod config_settings;
mod datagram_socket;
mod display_names;
pub mod events;
pub mod hooks;
pub mod maintenance_command;
mod maintenance_view;
pub mod node_store;
pub mod operator;
pub mod operator_client;
mod operator_request;
mod operator_socket;
pub mod probe;
pub mod runner;
pub mod site_command;
mod site_directory;
pub mod site_failover;
pub mod site_watch;
pub mod spend_log;
pub mod start;
pub mod start_error;
pub mod status_view;

pub use start::{start, FleetStart, StartedFleet};
