//! The fleet: this front among the others. One thread with a UDP socket and a store turns what `elmtide_fleet` says into
//! inputs of the engine. The engine never asks it anything: it spends by what it has in hand.

pub mod config;
pub mod events;
pub mod hooks;
pub mod look;
pub mod operator;
pub mod probe;
pub mod runner;
pub mod site_failover;
pub mod site_watch;
pub mod sites;
pub mod spend_log;
pub mod start;
pub mod work;

pub use start::{start, FleetStart, Started};

/// Events of the fleet go to standard error, as text or as JSON.
pub fn log(form: config::LogForm) {
    let base = tracing_subscriber::fmt().with_writer(std::io::stderr).with_target(false).with_ansi(false);
    // Whoever has set a subscriber already keeps it.
    let _ = match form {
        config::LogForm::Text => base.try_init(),
        config::LogForm::Json => base.json().try_init(),
    };
}
