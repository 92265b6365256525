//! Ownership of idempotency keys: which front runs the signups of a key while sites are lost and recover.
//!
//! **Invariant: a front accepts a signup for a key that it owns only while its lease on a view is valid, by its clocks
//! at that moment. It takes over a key from a front of a lost site only after every lease that this front could have
//! held must have expired, plus the lifetime of a key.** `F` is the type that identifies a front. The caller provides
//! the function that maps a key to its owner among the fronts of sites that are not lost.

use std::collections::BTreeSet;

/// A moment, in milliseconds of a Unix clock.
pub type UnixMs = f64;

/// Maximum number of previous exclusions that are kept while keys change owners.
const MAX_PREVIOUS_EXCLUSIONS: usize = 16;

/// The front that may run a request of a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyOwner<F> {
    /// This front.
    Own,
    /// Another front.
    Other(F),
    /// No front may accept the request before this moment.
    NobodyUntil(UnixMs),
}

/// A previous set of fronts that owned no key, with the time until which an owner under that set may still run a
/// request.
#[derive(Clone, Debug, PartialEq)]
struct PreviousExclusion<F> {
    /// `None` if any front may have owned any key.
    excluded: Option<BTreeSet<F>>,
    until: UnixMs,
}

/// The fronts that currently own no key, and the previous sets of such fronts.
#[derive(Clone, Debug)]
pub struct OwnershipHistory<F> {
    excluded: BTreeSet<F>,
    previous: Vec<PreviousExclusion<F>>,
}

impl<F> Default for OwnershipHistory<F> {
    fn default() -> Self {
        OwnershipHistory { excluded: BTreeSet::new(), previous: Vec::new() }
    }
}

impl<F: Ord + Clone> OwnershipHistory<F> {
    /// The fronts of lost sites, which own no key.
    pub fn excluded(&self) -> &BTreeSet<F> {
        &self.excluded
    }

    /// Sets the excluded fronts from the first view after a start. `is_initial` tells that no site has ever changed.
    /// Otherwise the previous owners of keys are unknown, and this front owns no key until `until`.
    pub fn set_initial(&mut self, excluded: BTreeSet<F>, is_initial: bool, now: UnixMs, until: UnixMs) {
        self.remove_expired(now);
        if !is_initial {
            self.add_previous(PreviousExclusion { excluded: None, until });
        }
        self.excluded = excluded;
    }

    /// Replaces the excluded fronts, and remembers the previous ones until `until`. An owner under an earlier view may
    /// accept a request until its lease must have expired, and run it for the lifetime of a key; both have passed at
    /// `until`.
    ///
    /// `uncertain` are the fronts of sites with changes since the previous view that `own` may have missed: each of
    /// these fronts may or may not have been excluded in between. If `own` is one of them, any other front may have
    /// owned any key meanwhile. Otherwise only fronts that were not excluded can have owned a key instead of `own`.
    pub fn update(
        &mut self,
        own: &F,
        excluded: BTreeSet<F>,
        uncertain: &BTreeSet<F>,
        now: UnixMs,
        until: UnixMs,
    ) {
        self.remove_expired(now);
        let replaced = std::mem::replace(&mut self.excluded, excluded);
        if uncertain.contains(own) {
            self.add_previous(PreviousExclusion { excluded: None, until });
            return;
        }
        let smallest: BTreeSet<F> = replaced.difference(uncertain).cloned().collect();
        let candidates = if smallest == replaced { vec![replaced] } else { vec![replaced, smallest] };
        for set in candidates.into_iter().filter(|set| *set != self.excluded).collect::<Vec<_>>() {
            self.add_previous(PreviousExclusion { excluded: Some(set), until });
        }
    }

    fn remove_expired(&mut self, now: UnixMs) {
        self.previous.retain(|exclusion| exclusion.until > now);
    }

    fn add_previous(&mut self, exclusion: PreviousExclusion<F>) {
        self.previous.push(exclusion);
        while self.previous.len() > MAX_PREVIOUS_EXCLUSIONS {
            // The newest entries are kept. The oldest remaining one then stands for unknown owners: any front may have
            // owned any key.
            self.previous.remove(0);
            if let Some(oldest) = self.previous.first_mut() {
                oldest.excluded = None;
            }
        }
    }

    /// The front that may run a request of a key that arrived at `arrived_at`. `owner_without` returns the key's owner
    /// among the fronts outside the given set. `retry_at` is when a request may be retried that arrives while this
    /// front's lease is not valid.
    pub fn owner(
        &self,
        own: &F,
        arrived_at: UnixMs,
        has_valid_lease: bool,
        retry_at: UnixMs,
        owner_without: impl Fn(&BTreeSet<F>) -> Option<F>,
    ) -> KeyOwner<F> {
        if let Some(other) = owner_without(&self.excluded).filter(|owner| owner != own) {
            return KeyOwner::Other(other);
        }
        // Without a valid lease this front cannot know whether another front accepts the same key.
        if !has_valid_lease {
            return KeyOwner::NobodyUntil(retry_at);
        }
        let may_have_other_owner = |exclusion: &&PreviousExclusion<F>| match &exclusion.excluded {
            Some(excluded) => owner_without(excluded).is_some_and(|owner| owner != *own),
            None => true,
        };
        let blocking = self
            .previous
            .iter()
            .filter(|exclusion| exclusion.until > arrived_at)
            .filter(may_have_other_owner);
        match blocking.map(|exclusion| exclusion.until).max_by(f64::total_cmp) {
            Some(until) => KeyOwner::NobodyUntil(until),
            None => KeyOwner::Own,
        }
    }
}
