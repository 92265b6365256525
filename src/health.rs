//! Evidence on whether a server works: decaying counts of its failures and successes, and its ejection.

use crate::interface::Ms;

const EVIDENCE_DECAY_MS: Ms = 3000.0; // decays by e: a few requests per member, so short faults are forgotten
const EJECT_FAILURES: f64 = 2.5; // weighted failures before a member can be ejected
pub(crate) const EJECT_SHARE: f64 = 0.25; // failure share that ejects, added to PEER_FACTOR times the mean of the peers
const EJECTION_MS: Ms = 4000.0; // after an ejection half the evidence ejects again

/// Decaying counts of a member's failures and successes, and its ejection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    failures: f64,
    successes: f64,
    updated_at: Ms,
    ejected_until: Ms,
}

impl Health {
    /// Adds evidence after decaying the earlier evidence.
    pub(crate) fn add(&mut self, now: Ms, failures: f64, successes: f64) {
        let decay = (-(now - self.updated_at).max(0.0) / EVIDENCE_DECAY_MS).exp();
        (self.failures, self.successes, self.updated_at) =
            (self.failures * decay + failures, self.successes * decay + successes, now);
    }

    /// Share of failures in the decayed evidence, with one assumed success.
    pub(crate) fn share(&self, now: Ms) -> f64 {
        let decay = (-(now - self.updated_at).max(0.0) / EVIDENCE_DECAY_MS).exp();
        self.failures * decay / (self.failures * decay + self.successes * decay + 1.0)
    }

    pub(crate) fn ejected(&self, now: Ms) -> bool {
        now < self.ejected_until
    }

    /// A recently ejected member keeps most of its evidence, so half as many failures eject it again.
    pub(crate) fn add_failure(&mut self, now: Ms, amount: f64, may_eject: bool) {
        self.add(now, amount, 0.0);
        let min =
            if now - self.ejected_until < EVIDENCE_DECAY_MS { EJECT_FAILURES / 2.0 } else { EJECT_FAILURES };
        if self.failures >= min && self.share(now) > EJECT_SHARE && now >= self.ejected_until && may_eject {
            self.ejected_until = now + EJECTION_MS;
        }
    }

    /// When the last evidence came.
    pub(crate) fn updated_at(&self) -> Ms {
        self.updated_at
    }
}
