//! Bringing a shop from one cell to another in service.
//!
//! | step | what holds before it | who is served where | what undoes it |
//! | --- | --- | --- | --- |
//! | prepared | the target has a box that is ready, and no other move warms it | all in the old cell | nothing to undo |
//! | warming | the target is not strained each time that the share doubles | a rising share of the objects in the new cell, signups in the old | all back to the old at once |
//! | switching | the share is whole | all but signups in the new cell | all back to the old at once |
//! | settling | none | all in the new cell; signups that began in the old end there | all back to the old, signups in flight end where they are |
//! | done | no signup is in flight in the old cell, or the longest deadline has passed | all in the new cell | another move |

use crate::{unit, CellIx, Ms, ShopId};

/// Objects that move first, as a part of all.
const FIRST: f64 = 1.0 / 16.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    Prepared,
    Warming { share: f64 },
    Switching,
    Settling,
    Done,
    Undone,
}

/// What is known of the two cells at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Facts {
    /// The target has a box that is ready.
    pub target_ready: bool,
    /// The target's latency is above what is borne, or it refuses.
    pub target_strained: bool,
    /// Another move warms the target.
    pub target_taken: bool,
    /// Requests of the shop that must run once and are in flight in the old cell.
    pub once_in_old: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    pub shop: ShopId,
    pub from: CellIx,
    pub to: CellIx,
    pub step: Step,
    pub(crate) since: Ms,
    /// How long a share takes before it doubles, and a signup in the old cell at most.
    pub(crate) every: Ms,
    pub(crate) longest: Ms,
}

impl Move {
    pub fn new(shop: ShopId, from: CellIx, to: CellIx, every: Ms, longest: Ms, now: Ms) -> Move {
        Move { shop, from, to, step: Step::Prepared, since: now, every, longest }
    }

    /// Whether nothing more is to come of it.
    pub fn is_over(&self) -> bool {
        matches!(self.step, Step::Done | Step::Undone)
    }

    /// Whether it puts new work on the target's boxes step by step.
    pub fn warms(&self) -> bool {
        matches!(self.step, Step::Warming { .. } | Step::Switching)
    }

    /// Where a request of the shop is served now.
    pub fn place(&self, object: u64, once: bool) -> CellIx {
        let moved = match self.step {
            Step::Prepared | Step::Undone => false,
            // Always the same objects, so that each is fetched into the new cell once.
            Step::Warming { share } => !once && unit(object ^ self.shop.0) < share,
            Step::Switching => !once,
            Step::Settling | Step::Done => true,
        };
        if moved {
            self.to
        } else {
            self.from
        }
    }

    /// Goes a step on if what has to hold does; true where something has changed.
    pub fn advance(&mut self, facts: Facts, now: Ms) -> bool {
        let waited = now - self.since >= self.every;
        let next = match self.step {
            Step::Prepared if facts.target_ready && !facts.target_taken => Step::Warming { share: FIRST },
            // A target that loses its boxes while it warms is left at once: the old cell still has all of it.
            Step::Warming { .. } | Step::Switching if !facts.target_ready => Step::Undone,
            Step::Warming { share } if waited && !facts.target_strained => match share * 2.0 {
                whole if whole >= 1.0 => Step::Switching,
                more => Step::Warming { share: more },
            },
            // Two spans of strain on end take half back.
            Step::Warming { share } if now - self.since >= 2.0 * self.every && share > FIRST => {
                Step::Warming { share: share / 2.0 }
            }
            Step::Switching if waited && !facts.target_strained => Step::Settling,
            Step::Settling if facts.once_in_old == 0 || now - self.since >= self.longest => Step::Done,
            _ => return false,
        };
        (self.step, self.since) = (next, now);
        true
    }

    /// Back to the old cell, from whatever step; true where there was something to undo.
    pub fn undo(&mut self, now: Ms) -> bool {
        let undone = !self.is_over();
        if undone {
            (self.step, self.since) = (Step::Undone, now);
        }
        undone
    }
}

#[cfg(test)]
mod tests;
