//! The replay window of one peer: each counter of an incarnation is accepted once.

/// Counters behind the highest that are still accepted.
const WINDOW: u64 = 1024;
const BITS_PER_WORD: u64 = 64;

#[derive(Debug, Default)]
pub(super) struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// A bit for each counter up to [`WINDOW`] behind the highest.
    accepted: [u64; (WINDOW / BITS_PER_WORD) as usize],
}

impl ReplayWindow {
    /// The highest incarnation that was seen.
    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether this counter comes for the first time; it is accepted with the call.
    pub(super) fn accept(&mut self, incarnation: u64, counter: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = ReplayWindow { incarnation, ..ReplayWindow::default() };
        }
        if counter == 0 || counter + WINDOW <= self.highest {
            return false;
        }
        if counter > self.highest {
            self.advance_to(counter);
        }
        let is_new = !self.is_accepted(counter);
        self.set(counter, true);
        is_new
    }

    fn advance_to(&mut self, counter: u64) {
        let steps = (counter - self.highest).min(WINDOW);
        for entered in (counter - steps + 1)..=counter {
            self.set(entered, false);
        }
        self.highest = counter;
    }

    fn position(counter: u64) -> (usize, u64) {
        let place = counter % WINDOW;
        ((place / BITS_PER_WORD) as usize, 1 << (place % BITS_PER_WORD))
    }

    fn is_accepted(&self, counter: u64) -> bool {
        let (word, bit) = ReplayWindow::position(counter);
        self.accepted[word] & bit != 0
    }

    fn set(&mut self, counter: u64, accepted: bool) {
        let (word, bit) = ReplayWindow::position(counter);
        if accepted {
            self.accepted[word] |= bit;
        } else {
            self.accepted[word] &= !bit;
        }
    }
}
