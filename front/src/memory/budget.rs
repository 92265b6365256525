//! A limit on the total number of bytes held by several owners.

use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// The bytes that are still available, shared by all owners.
#[derive(Clone, Debug)]
pub struct Budget {
    left: Arc<AtomicUsize>,
}

impl Budget {
    pub fn new(bytes: usize) -> Budget {
        Budget { left: Arc::new(AtomicUsize::new(bytes)) }
    }

    /// Returns a reservation of zero bytes.
    pub fn held(&self) -> Held {
        Held { left: self.left.clone(), bytes: 0 }
    }
}

/// A reservation from the budget, returned to it on drop.
#[derive(Debug)]
pub struct Held {
    left: Arc<AtomicUsize>,
    bytes: usize,
}

impl Held {
    /// Reserves more bytes; returns false, with nothing reserved, where fewer are available.
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
    fn dropped_bytes_are_available_again_and_the_budget_is_never_exceeded() {
        let budget = Budget::new(10);
        let (mut one, mut two) = (budget.held(), budget.held());
        assert!(one.grow(6) && !two.grow(5) && two.grow(4) && !one.grow(1));
        drop(one);
        assert!(two.grow(6) && !two.grow(1));
    }
}
