//! Which listed members are failing, for the management address: a member is failing after `FAILURE_STREAK` consecutive
//! failed attempts, until an attempt succeeds. Only listed members are tracked.

use std::collections::BTreeMap;

use elmtide::{MemberId, Outcome};

/// Consecutive failures after which a member counts as failing.
const FAILURE_STREAK: u8 = 2;

/// Consecutive failures of each member.
#[derive(Debug, Default)]
pub struct Failing(BTreeMap<MemberId, u8>);

impl Failing {
    pub fn heard(&mut self, member: MemberId, outcome: Outcome) {
        match outcome {
            Outcome::Ok | Outcome::Miss | Outcome::Full => {
                self.0.remove(&member);
            }
            Outcome::Error | Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => {
                let streak = self.0.entry(member).or_default();
                *streak = streak.saturating_add(1);
            }
            Outcome::Cancelled | Outcome::Moot => {}
        }
    }

    pub fn is_failing(&self, member: MemberId) -> bool {
        self.0.get(&member).is_some_and(|streak| *streak >= FAILURE_STREAK)
    }

    /// Clears the failures of a member that returns from maintenance: they say nothing about it any more. Nothing
    /// would be sent to a member that is still excluded, so it could never succeed again.
    pub fn forget(&mut self, member: MemberId) {
        self.0.remove(&member);
    }

    /// Forgets members that are no longer listed.
    pub fn retain_present(&mut self, present: impl Iterator<Item = MemberId>) {
        let present: Vec<MemberId> = present.collect();
        self.0.retain(|member, _| present.contains(member));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_member_fails_after_two_consecutive_failures_until_one_success() {
        let mut failing = Failing::default();
        let m = MemberId(3);
        failing.heard(m, Outcome::Timeout);
        assert!(!failing.is_failing(m));
        failing.heard(m, Outcome::Cancelled);
        failing.heard(m, Outcome::ConnectFailed);
        assert!(failing.is_failing(m));
        failing.heard(m, Outcome::Ok);
        assert!(!failing.is_failing(m));
    }
}
