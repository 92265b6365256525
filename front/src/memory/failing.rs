//! Which listed members are failing now, as the figures show them: a member is failing after `STREAK` ends in a
//! row that prove it did not do its work, until it answers well again. Only members in the list are held.

use std::collections::BTreeMap;

use elmtide::{MemberId, Outcome};

/// Failed ends in a row from which a member counts as avoided.
const STREAK: u8 = 2;

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
        self.0.get(&member).is_some_and(|streak| *streak >= STREAK)
    }

    /// What it has failed says nothing of it any more: it was let go for work, and comes back another one. Nothing would be sent to
    /// one that is kept off, so that it could never answer well again.
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
    fn two_failures_in_a_row_avoid_a_member_and_one_good_answer_takes_it_back() {
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
