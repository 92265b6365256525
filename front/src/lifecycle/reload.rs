//! Reload of the configuration of a running front at SIGHUP.

use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;

use crossbeam_channel::Sender;

use crate::client::bus::{BusAddress, BusFollower};
use crate::exchange::{Class, Input, Reconfiguration};
use crate::lifecycle::config::{Config, Shape};
use crate::memory::counters::Counters;
use crate::memory::longest::Longest;
use crate::server::Intake;

/// What a reload needs: the values that a new file must match, and the parts of the front that take the new ones.
pub struct Reload<R> {
    pub read: R,
    pub name: String,
    pub listen: SocketAddr,
    pub bus: Arc<BusAddress>,
    /// Applies what the new file knows of the bus.
    pub follower: Arc<BusFollower>,
    pub counters: Arc<Counters>,
    /// The keys of the file at startup.
    pub shape: Shape,
    /// Sends the new settings to the engine.
    pub inputs: Sender<Input>,
    /// Receives the new classes.
    pub intake: Arc<Intake>,
    /// Raised to the longest deadline of the new file.
    pub longest: Longest,
}

impl<R: Fn() -> Result<Config, String>> Reload<R> {
    /// Reads and checks the whole file before any part of it is in force: an invalid file changes nothing.
    pub fn run(&self) {
        let taken = catch_unwind(AssertUnwindSafe(|| self.apply_file()));
        match taken.unwrap_or_else(|_| Err("a panic".into())) {
            Ok(what) => {
                self.counters.figures.reloads_ok.fetch_add(1, Relaxed);
                eprintln!("reload: {what}")
            }
            Err(why) => {
                self.counters.figures.reloads_failed.fetch_add(1, Relaxed);
                eprintln!("reload: nothing changes: {why}")
            }
        }
    }

    /// Open requests are not affected; the event bus is read from the last event number at its new address.
    fn apply_file(&self) -> Result<String, String> {
        let config = (self.read)()?;
        if let Some(key) = config.shape.missing_key(&self.shape) {
            return Err(format!("the file is incomplete: it has no {key}"));
        }
        if config.name != self.name {
            return Err(format!("the file is for {}, this is {}", config.name, self.name));
        }
        if config.listen != self.listen {
            eprintln!("reload: listen is {} from the next start on", config.listen);
        }
        self.longest.raise(config.longest_deadline);
        let intake = self.intake.clone();
        let done = move |taken: Result<Vec<Class>, String>| match taken {
            Ok(classes) => {
                let names: Vec<_> = classes.iter().map(|c| c.name.clone()).collect();
                intake.replace_classes(classes);
                // Logged last: whoever waits for this line may send requests of the new classes immediately.
                eprintln!("reload: {} classes are in force: {}", names.len(), names.join(", "));
            }
            Err(why) => eprintln!("reload: the classes stay as they were: {why}"),
        };
        // Before the settings, so that the routers of the new settings know it.
        self.follower.apply_following(config.known).map_err(|error| error.to_string())?;
        let retune =
            Reconfiguration { settings: config.settings, classes: config.classes, done: Box::new(done) };
        if self.inputs.send(Input::Reconfigure(Box::new(retune))).is_err() {
            return Err("the engine has stopped".into());
        }
        Ok(match self.bus.move_to(config.bus) {
            true => format!("the bus is at {}", config.bus),
            false => format!("the bus stays at {}", config.bus),
        })
    }
}
