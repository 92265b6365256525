//! One node of the fleet: datagrams and the clock go in, what is to be sent, synced and applied comes out. Sockets and files are
//! the caller's.
//!
//! **Invariants: no message of a peer is decoded before its length, its installation's MAC and its replay window have been
//! checked; and nothing that depends on stable storage is sent before [`FleetNode::on_synced`].** Both rest on the
//! installation's key being secret and on a store that keeps what it has reported as synced. They do not rest on the network,
//! the clocks, or failure detection.
//!
//! - [`datagram`]: version, MAC, replay window, fragments;
//! - [`message`]: what nodes say to each other;
//! - [`agreed_state`]: the replicated state of all subsystems;
//! - [`settings`]: what the configuration says, and what a node recovers from its store;
//! - [`output`]: what the caller has to do;
//! - [`node`]: the node itself.

#![warn(clippy::needless_pass_by_value, clippy::too_many_lines, clippy::fn_params_excessive_bools)]

pub mod agreed_state;
pub mod datagram;
pub mod message;
pub mod node;
pub mod output;
pub mod settings;

pub use agreed_state::{AgreedCommand, AgreedState, CommandOutcome};
pub use datagram::{DatagramCodec, DropReason};
pub use message::PeerMessage;
pub use node::status::NodeStatus;
pub use node::{FleetNode, NodeError, SyncResult, TooManyCommands, Traffic};
pub use output::{CommandSummary, Event, Output};
pub use settings::{FleetSettings, FrontSettings, MaintenanceSettings, NodeConfig, RecoveredState};
