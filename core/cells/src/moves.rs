//! Moves a shop from one cell to another while it is being served.
//!
//! | step | condition to reach the next step | who serves the shop | effect of an undo |
//! | --- | --- | --- | --- |
//! | prepared | the target has a ready cache node, and no other move is warming it | the old cell | nothing to undo |
//! | warming | the target is not overloaded at each doubling of the share | the new cell for a growing share of the objects, the old cell for the rest and for signups | all back to the old cell at once |
//! | switching | the share is complete | the new cell, the old cell for signups | all back to the old cell at once |
//! | settling | none | the new cell; signups that began in the old cell end there | all back to the old cell, signups in flight end where they are |
//! | done | no signup is in flight in the old cell, or the longest deadline has passed | the new cell | needs another move |

use crate::{hash_to_unit, CellIx, Ms, ShopId};

/// Fraction of the objects that move first.
const INITIAL_SHARE: f64 = 1.0 / 16.0;

/// Progress of a move; the module's table describes the steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    Prepared,
    Warming { share: f64 },
    Switching,
    Settling,
    Done,
    Undone,
}

/// State of the two cells that decides whether a move may proceed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveConditions {
    /// The target has a ready cache node.
    pub target_ready: bool,
    /// The target's latency is above the tolerated one, or it has requests waiting.
    pub target_overloaded: bool,
    /// Another move is warming the target.
    pub target_busy: bool,
    /// The shop's signups in flight in the old cell.
    pub signups_in_old_cell: usize,
}

/// A move of one shop between two cells.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    pub shop: ShopId,
    pub from: CellIx,
    pub to: CellIx,
    pub step: Step,
    pub(crate) step_started_at: Ms,
    /// Time before the share doubles, and the longest time that a signup may run in the old cell.
    pub(crate) step_interval: Ms,
    pub(crate) max_request_ms: Ms,
}

impl Move {
    /// A move that has not started yet.
    pub fn new(
        shop: ShopId,
        from: CellIx,
        to: CellIx,
        step_interval: Ms,
        max_request_ms: Ms,
        now: Ms,
    ) -> Move {
        Move { shop, from, to, step: Step::Prepared, step_started_at: now, step_interval, max_request_ms }
    }

    /// Whether the move is done or undone.
    pub fn is_finished(&self) -> bool {
        matches!(self.step, Step::Done | Step::Undone)
    }

    /// Whether the move is adding load to the target's cache nodes.
    pub fn is_warming(&self) -> bool {
        matches!(self.step, Step::Warming { .. } | Step::Switching)
    }

    /// The cell that serves a request of the shop now.
    pub fn serving_cell(&self, object: u64, once: bool) -> CellIx {
        let moved = match self.step {
            Step::Prepared | Step::Undone => false,
            // The same objects each time, so that each is fetched into the new cell only once.
            Step::Warming { share } => !once && hash_to_unit(object ^ self.shop.0) < share,
            Step::Switching => !once,
            Step::Settling | Step::Done => true,
        };
        if moved {
            self.to
        } else {
            self.from
        }
    }

    /// Takes the next step if its condition holds; returns whether the step has changed.
    pub fn advance(&mut self, conditions: MoveConditions, now: Ms) -> bool {
        let interval_passed = now - self.step_started_at >= self.step_interval;
        let next = match self.step {
            Step::Prepared if conditions.target_ready && !conditions.target_busy => {
                Step::Warming { share: INITIAL_SHARE }
            }
            // A target that loses its cache nodes while warming is abandoned at once: the old cell still has all
            // copies.
            Step::Warming { .. } | Step::Switching if !conditions.target_ready => Step::Undone,
            Step::Warming { share } if interval_passed && !conditions.target_overloaded => {
                match share * 2.0 {
                    doubled if doubled >= 1.0 => Step::Switching,
                    partial => Step::Warming { share: partial },
                }
            }
            // Overload for two intervals halves the share.
            Step::Warming { share }
                if now - self.step_started_at >= 2.0 * self.step_interval && share > INITIAL_SHARE =>
            {
                Step::Warming { share: share / 2.0 }
            }
            Step::Switching if interval_passed && !conditions.target_overloaded => Step::Settling,
            Step::Settling
                if conditions.signups_in_old_cell == 0
                    || now - self.step_started_at >= self.max_request_ms =>
            {
                Step::Done
            }
            _ => return false,
        };
        (self.step, self.step_started_at) = (next, now);
        true
    }

    /// Returns the shop to the old cell, from any step; returns whether there was something to undo.
    pub fn undo(&mut self, now: Ms) -> bool {
        let undone = !self.is_finished();
        if undone {
            (self.step, self.step_started_at) = (Step::Undone, now);
        }
        undone
    }
}

#[cfg(test)]
mod tests;
