//! The cell configuration in force, and its replacement.

use std::path::Path;
use std::sync::{Mutex, MutexGuard};

use crossbeam_channel::{bounded, Sender};
use elmtide::Ms;
use elmtide_cells::ShopId;

use crate::edge::cells::CellsConfig;
use crate::exchange::{CellsChange, Input};

/// The cell configuration in force and the channel by which the engine receives a new one.
pub struct CellsInForce {
    config: Mutex<CellsConfig>,
    inputs: Sender<Input>,
    longest: Ms,
}

impl CellsInForce {
    pub fn new(inputs: Sender<Input>, longest: Ms) -> CellsInForce {
        CellsInForce { config: Mutex::default(), inputs, longest }
    }

    fn lock(&self) -> MutexGuard<'_, CellsConfig> {
        self.config.lock().unwrap_or_else(|p| p.into_inner())
    }

    pub fn now(&self) -> CellsConfig {
        self.lock().clone()
    }

    /// Applies the file at startup. If it can't be used, the front runs without cells and logs the reason.
    pub fn start(&self, file: &Path) {
        if file.exists() {
            let applied = CellsConfig::load(file).and_then(|config| self.apply(config, None));
            if let Err(why) = applied {
                eprintln!("cells: none are in force: {why}");
            }
        }
    }

    /// Checks whether a plan made against the state with fingerprint `from` can be applied.
    pub fn check(&self, to: &CellsConfig, from: &str) -> Result<(), String> {
        to.layout(self.longest)?;
        let now = self.lock();
        match *now == *to || now.fingerprint() == from {
            true => Ok(()),
            false => Err("the plan was made against other cells than those in force".into()),
        }
    }

    /// Puts a configuration in force, completely or not at all; returns false if it is in force already.
    pub fn apply(&self, to: CellsConfig, from: Option<&str>) -> Result<bool, String> {
        if let Some(from) = from {
            self.check(&to, from)?;
        }
        let mut now = self.lock();
        if *now == to {
            return Ok(false);
        }
        let layout = to.layout(self.longest)?.map(Box::new);
        let (sender, result) = bounded(1);
        let done = Box::new(move |result| drop(sender.send(result)));
        self.inputs.send(Input::Cells(CellsChange { layout, done })).map_err(|_| "the engine has stopped")?;
        result.recv().map_err(|_| "the engine has stopped")??;
        *now = to;
        Ok(true)
    }

    /// Reverts the move of a shop.
    pub fn undo(&self, shop: &str) -> Result<(), String> {
        self.inputs.send(Input::UndoMove(ShopId::of(shop))).map_err(|_| "the engine has stopped".into())
    }
}
