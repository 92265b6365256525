//! Who owns a key: which front runs the signups of an idempotency key while sites are lost and return.
//!
//! **Invariant: a front takes a signup of a key that it owns only while its lease on a view is in force, by the clocks of that
//! moment; and one whose owner's site is lost only after every lease that the owner could have had must have expired, and a key's
//! lifetime besides.** Fronts are named by `F`, whatever identifies them; which front owns a key among those of sites that are
//! not lost is a function of the caller's.

use std::collections::BTreeSet;

/// Milliseconds of a Unix clock.
pub type UnixMs = f64;

/// Most sets of excluded fronts that are remembered while keys change hands.
const MAX_FORMER: usize = 16;

/// Who runs a request of a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyOwner<F> {
    /// This front.
    Own,
    /// Another one.
    Other(F),
    /// Nobody may take it before this moment.
    NobodyUntil(UnixMs),
}

/// Fronts that owned no key before, and until when an owner by that may still be running a request.
#[derive(Clone, Debug, PartialEq)]
struct FormerExclusion<F> {
    /// `None` if every front may have been an owner of every key.
    excluded: Option<BTreeSet<F>>,
    until: UnixMs,
}

/// The fronts that own no key now, and those that owned none before.
#[derive(Clone, Debug)]
pub struct OwnershipHistory<F> {
    excluded: BTreeSet<F>,
    former: Vec<FormerExclusion<F>>,
}

impl<F> Default for OwnershipHistory<F> {
    fn default() -> Self {
        OwnershipHistory { excluded: BTreeSet::new(), former: Vec::new() }
    }
}

impl<F: Ord + Clone> OwnershipHistory<F> {
    /// Fronts of sites that are lost: they own no key.
    pub fn excluded(&self) -> &BTreeSet<F> {
        &self.excluded
    }

    /// The first view of a run. Unless no site has ever changed, nothing is known of who owned which key before.
    pub fn begin(&mut self, excluded: BTreeSet<F>, is_untouched: bool, now: UnixMs, until: UnixMs) {
        self.forget_expired(now);
        if !is_untouched {
            self.remember(FormerExclusion { excluded: None, until });
        }
        self.excluded = excluded;
    }

    /// Other fronts own no key from now on. An owner by an earlier view may be taking a request until its lease must have
    /// expired, and running it for as long as a key lives: until `until`.
    ///
    /// `uncertain` are the fronts of sites of which `own` may have missed changes since the view before: each of them may have
    /// been excluded meanwhile, or not. If `own` is one of them, any other front may have owned any key; else only those could
    /// come before it that were not excluded.
    pub fn change(
        &mut self,
        own: &F,
        excluded: BTreeSet<F>,
        uncertain: &BTreeSet<F>,
        now: UnixMs,
        until: UnixMs,
    ) {
        self.forget_expired(now);
        let before = std::mem::replace(&mut self.excluded, excluded);
        if uncertain.contains(own) {
            self.remember(FormerExclusion { excluded: None, until });
            return;
        }
        let least: BTreeSet<F> = before.difference(uncertain).cloned().collect();
        let formers = if least == before { vec![before] } else { vec![before, least] };
        for former in formers.into_iter().filter(|former| *former != self.excluded).collect::<Vec<_>>() {
            self.remember(FormerExclusion { excluded: Some(former), until });
        }
    }

    fn forget_expired(&mut self, now: UnixMs) {
        self.former.retain(|former| former.until > now);
    }

    fn remember(&mut self, former: FormerExclusion<F>) {
        self.former.push(former);
        while self.former.len() > MAX_FORMER {
            // The last ones are kept longest; more than these at once means that nobody knows who owned what.
            self.former.remove(0);
            if let Some(oldest) = self.former.first_mut() {
                oldest.excluded = None;
            }
        }
    }

    /// Who runs a request of a key that came at `came_at`. `owner_without` gives the owner of the key among the fronts that are
    /// not excluded; `retry_at` is when a request can come again that comes while this front's lease is not in force.
    pub fn owner(
        &self,
        own: &F,
        came_at: UnixMs,
        has_valid_lease: bool,
        retry_at: UnixMs,
        owner_without: impl Fn(&BTreeSet<F>) -> Option<F>,
    ) -> KeyOwner<F> {
        if let Some(other) = owner_without(&self.excluded).filter(|owner| owner != own) {
            return KeyOwner::Other(other);
        }
        // Without a lease nobody here knows who else takes it.
        if !has_valid_lease {
            return KeyOwner::NobodyUntil(retry_at);
        }
        let was_elsewhere = |former: &&FormerExclusion<F>| match &former.excluded {
            Some(excluded) => owner_without(excluded).is_some_and(|owner| owner != *own),
            None => true,
        };
        let in_doubt = self.former.iter().filter(|former| former.until > came_at).filter(was_elsewhere);
        match in_doubt.map(|former| former.until).max_by(f64::total_cmp) {
            Some(until) => KeyOwner::NobodyUntil(until),
            None => KeyOwner::Own,
        }
    }
}
