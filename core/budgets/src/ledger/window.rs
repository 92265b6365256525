//! The quota of a sliding window: a rise takes effect one window after its grant, a reduction immediately.

use std::collections::VecDeque;

use crate::{Micros, PartsPerMillion};

/// Maximum number of rises waiting to take effect; a further one replaces the last.
const MAX_PENDING_RISES: usize = 16;

#[derive(Clone, Copy, Debug)]
struct PendingRise {
    effective_at: Micros,
    quota: PartsPerMillion,
}

#[derive(Clone, Debug, Default)]
pub(super) struct WindowQuota {
    in_force: PartsPerMillion,
    /// Earliest first; each quota is higher than the one before.
    pending: VecDeque<PendingRise>,
}

impl WindowQuota {
    /// The quota in force as of the last [`WindowQuota::advance`].
    pub(super) fn in_force(&self) -> PartsPerMillion {
        self.in_force
    }

    pub(super) fn grant(&mut self, quota: PartsPerMillion, window: Micros, now: Micros) {
        self.advance(now);
        self.in_force = self.in_force.min(quota);
        let mut highest = self.in_force;
        self.pending.retain_mut(|rise| {
            rise.quota = rise.quota.min(quota);
            let is_rise = rise.quota > highest;
            highest = rise.quota;
            is_rise
        });
        if quota > highest {
            // Each grant waits for its own window: a later grant does not delay earlier ones.
            if self.pending.len() >= MAX_PENDING_RISES {
                self.pending.pop_back();
            }
            self.pending.push_back(PendingRise { effective_at: now + window, quota });
        }
    }

    /// Applies the rises that are due.
    pub(super) fn advance(&mut self, now: Micros) {
        while let Some(rise) = self.pending.front().copied().filter(|rise| now >= rise.effective_at) {
            self.in_force = rise.quota;
            self.pending.pop_front();
        }
    }
}
