//! One node of the fleet, without I/O: its inputs are datagrams and the clock, its outputs are what the caller has to
//! send, sync and apply. The caller owns the sockets and files.
//!
//! **Invariants:**
//! - No message from a peer is decoded before the datagram's length and MAC have been checked and its counter has
//!   passed the replay window.
//! - Nothing that depends on stable storage is sent before [`FleetNode::on_synced`].
//!
//! They depend on the installation's key being secret, and on a store that keeps what it has reported as synced. They
//! do not depend on the network, the clocks, or failure detection.
//!
//! - [`datagram`]: version, MAC, replay window, fragments;
//! - [`message`]: the messages between nodes;
//! - [`agreed_state`]: the replicated state of all subsystems;
//! - [`settings`]: the configuration, and what a node recovers from its store;
//! - [`output`]: the actions that the caller has to carry out;
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
