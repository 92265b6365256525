//! A bound on bytes that many hold together.

use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

#[derive(Clone, Debug)]
pub struct Budget {
    left: Arc<AtomicUsize>,
}

impl Budget {
    pub fn new(bytes: usize) -> Budget {
        Budget { left: Arc::new(AtomicUsize::new(bytes)) }
    }

    /// Holds nothing yet.
    pub fn held(&self) -> Held {
        Held { left: self.left.clone(), bytes: 0 }
    }
}

/// A part of the budget, given back when it is dropped.
#[derive(Debug)]
pub struct Held {
    left: Arc<AtomicUsize>,
    bytes: usize,
}

impl Held {
    /// Takes so much more; false where that is not to be had.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let taken = self.left.fetch_update(Relaxed, Relaxed, |left| left.checked_sub(bytes)).is_ok();
        self.bytes += if taken { bytes } else { 0 };
        taken
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.left.fetch_add(self.bytes, Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_dropped_can_be_had_again_and_no_more_than_there_is() {
        let budget = Budget::new(10);
        let (mut one, mut two) = (budget.held(), budget.held());
        assert!(one.grow(6) && !two.grow(5) && two.grow(4) && !one.grow(1));
        drop(one);
        assert!(two.grow(6) && !two.grow(1));
    }
}
