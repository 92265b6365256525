//! Holds threads back until the configuration they serve with is in effect.

use std::sync::{Arc, Condvar, Mutex};

/// A gate that starts closed and is opened once.
#[derive(Clone, Debug, Default)]
pub struct StartGate(Arc<(Mutex<bool>, Condvar)>);

impl StartGate {
    /// Waits until the gate is open.
    pub fn wait(&self) {
        let (is_open, opened) = &*self.0;
        let guard = is_open.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        drop(opened.wait_while(guard, |is_open| !*is_open));
    }

    /// Lets all current and later waiters pass.
    pub fn open(&self) {
        let (is_open, opened) = &*self.0;
        *is_open.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = true;
        opened.notify_all();
    }
}
