//! Replay window of one peer: each counter of an incarnation is accepted once.

/// Number of counters, up to the highest, that are still accepted if they have not been seen.
const WINDOW_COUNTERS: u64 = 1024;
const BITS_PER_WORD: u64 = 64;

/// The counters accepted from a peer, as a bitmap that moves along with the highest counter.
#[derive(Debug, Default)]
pub(super) struct ReplayWindow {
    incarnation: u64,
    highest_counter: u64,
    /// One bit for each counter of the window, at the counter modulo [`WINDOW_COUNTERS`].
    accepted: [u64; (WINDOW_COUNTERS / BITS_PER_WORD) as usize],
}

impl ReplayWindow {
    /// The highest incarnation that was seen.
    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Marks a counter as accepted. Returns false for a counter that was accepted before, is older than the window, or
    /// is of an earlier incarnation, and for 0, which is never sent. A later incarnation starts with an empty window.
    pub(super) fn accept(&mut self, incarnation: u64, counter: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = ReplayWindow { incarnation, ..ReplayWindow::default() };
        }
        if counter == 0 || counter + WINDOW_COUNTERS <= self.highest_counter {
            return false;
        }
        if counter > self.highest_counter {
            self.advance_to(counter);
        }
        let is_new = !self.is_accepted(counter);
        self.set(counter, true);
        is_new
    }

    /// Moves the window to a new highest counter and clears the bits of the counters that enter it.
    fn advance_to(&mut self, counter: u64) {
        let steps = (counter - self.highest_counter).min(WINDOW_COUNTERS);
        for entering in (counter - steps + 1)..=counter {
            self.set(entering, false);
        }
        self.highest_counter = counter;
    }

    /// The word and the bit mask of a counter.
    fn bit_of(counter: u64) -> (usize, u64) {
        let slot = counter % WINDOW_COUNTERS;
        ((slot / BITS_PER_WORD) as usize, 1 << (slot % BITS_PER_WORD))
    }

    fn is_accepted(&self, counter: u64) -> bool {
        let (word, bit) = ReplayWindow::bit_of(counter);
        self.accepted[word] & bit != 0
    }

    fn set(&mut self, counter: u64, accepted: bool) {
        let (word, bit) = ReplayWindow::bit_of(counter);
        if accepted {
            self.accepted[word] |= bit;
        } else {
            self.accepted[word] &= !bit;
        }
    }
}
