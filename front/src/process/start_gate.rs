//! Holds threads back until what they serve with is in force.

use std::sync::{Arc, Condvar, Mutex};

/// A gate that is closed at first, and opened once.
#[derive(Clone, Debug, Default)]
pub struct StartGate(Arc<(Mutex<bool>, Condvar)>);

impl StartGate {
    /// Waits until the gate is open.
    pub fn wait(&self) {
        let (is_open, opened) = &*self.0;
        let guard = is_open.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        drop(opened.wait_while(guard, |is_open| !*is_open));
    }

    /// Lets all threads pass, those that come later too.
    pub fn open(&self) {
        let (is_open, opened) = &*self.0;
        *is_open.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = true;
        opened.notify_all();
    }
}
