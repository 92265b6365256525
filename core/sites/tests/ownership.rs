//! Who owns a key, in simulated time: sites are lost and return, fronts learn of it late or lose contact, and no key is taken by
//! two fronts within its lifetime.

use std::collections::BTreeSet;

use elmtide_sites::report::SiteViewEntry;
use elmtide_sites::{KeyOwner, OwnershipHistory, RecoveryPhase, SiteId, SiteView};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const FRONTS: usize = 5;
const LEASE_MS: f64 = 1000.0;
const KEY_LIFETIME_MS: f64 = 1500.0;
const STEP_MS: f64 = 50.0;
const STEPS: usize = 2000;

type Front = usize;

/// One front, which is a site of its own here, with the view that it decides by.
struct Node {
    history: OwnershipHistory<Front>,
    view: Option<SiteView>,
    lease_expires_at: f64,
    is_in_contact: bool,
}

impl Node {
    fn new() -> Node {
        Node { history: OwnershipHistory::default(), view: None, lease_expires_at: 0.0, is_in_contact: true }
    }

    /// Renews the lease: the front learns the agreed view.
    fn renew(&mut self, own: Front, agreed: &SiteView, now: f64, waits: Waits) {
        let until = now + waits.margin_ms;
        let excluded = fronts_of(&agreed.lost());
        match &self.view {
            None => self.history.begin(excluded, agreed.is_untouched(), now, until),
            Some(before) if before.sites != agreed.sites => {
                let missed = agreed.sites_with_missed_changes(before);
                let uncertain = if waits.for_missed { fronts_of(&missed) } else { BTreeSet::new() };
                self.history.change(&own, excluded, &uncertain, now, until);
            }
            Some(_) => {}
        }
        self.view = Some(agreed.clone());
        self.lease_expires_at = now + LEASE_MS;
    }

    fn owner(&self, own: Front, key: usize, now: f64) -> KeyOwner<Front> {
        let is_leased = self.view.is_some() && now < self.lease_expires_at;
        self.history.owner(&own, now, is_leased, now + LEASE_MS, |excluded| owner_without(key, excluded))
    }
}

/// What fronts wait for before they take a key that had another owner.
#[derive(Clone, Copy)]
struct Waits {
    margin_ms: f64,
    /// Also where they may have missed changes.
    for_missed: bool,
}

const RIGHT: Waits = Waits { margin_ms: LEASE_MS + KEY_LIFETIME_MS, for_missed: true };

fn fronts_of(sites: &[SiteId]) -> BTreeSet<Front> {
    sites.iter().map(|site| usize::from(site.0)).collect()
}

fn untouched() -> SiteView {
    let entry = SiteViewEntry { phase: RecoveryPhase::Serving, since_ms: 0, by_operator: false };
    SiteView { revision: 0, sites_version: 1, sites: vec![entry; FRONTS] }
}

/// A site is lost, or serves its clients again; not all of them are lost at once.
fn toggle(view: &mut SiteView, site: usize, now: f64) {
    let is_lost = view.sites[site].phase == RecoveryPhase::Lost;
    if !is_lost && view.lost().len() + 1 >= FRONTS {
        return;
    }
    view.revision += 1;
    let phase = if is_lost { RecoveryPhase::Serving } else { RecoveryPhase::Lost };
    view.sites[site] = SiteViewEntry { phase, since_ms: now as u64, by_operator: false };
}

/// The owner of a key among the fronts that are not excluded: another order of them for each key.
fn owner_without(key: usize, excluded: &BTreeSet<Front>) -> Option<Front> {
    (0..FRONTS).map(|n| (key + n) % FRONTS).find(|front| !excluded.contains(front))
}

/// Plays one seed; gives the first key that two fronts have taken within its lifetime, and how many were taken at all.
fn play(seed: u64, waits: Waits) -> (Option<String>, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut nodes: Vec<Node> = (0..FRONTS).map(|_| Node::new()).collect();
    let mut agreed = untouched();
    let mut last_taken: Vec<Option<(Front, f64)>> = vec![None; FRONTS];
    let mut taken = 0;
    for step in 0..STEPS {
        let now = 10_000.0 + step as f64 * STEP_MS;
        if random.random::<f64>() < 0.01 {
            toggle(&mut agreed, random.random_range(0..FRONTS), now);
        }
        for (front, node) in nodes.iter_mut().enumerate() {
            if random.random::<f64>() < 0.01 {
                node.is_in_contact = !node.is_in_contact;
            }
            if random.random::<f64>() < 0.001 {
                *node = Node::new();
            }
            if node.is_in_contact && random.random::<f64>() < 0.3 {
                node.renew(front, &agreed, now, waits);
            }
            for (key, last) in last_taken.iter_mut().enumerate() {
                if node.owner(front, key, now) != KeyOwner::Own {
                    continue;
                }
                if let Some((other, at)) = last.filter(|(other, _)| *other != front) {
                    if now < at + KEY_LIFETIME_MS {
                        let text = format!("key {key}: front {other} at {at}, front {front} at {now}");
                        return (Some(text), taken);
                    }
                }
                *last = Some((front, now));
                taken += 1;
            }
        }
    }
    (None, taken)
}

#[test]
fn no_key_is_taken_by_two_fronts_within_its_lifetime() {
    for seed in 0..300 {
        let (twice, taken) = play(seed, RIGHT);
        assert_eq!(twice, None, "seed {seed}");
        assert!(taken > 500, "seed {seed}: {taken} taken");
    }
}

/// The checker finds fronts that do not wait for the lease of the owner before.
#[test]
fn a_front_that_does_not_wait_for_the_former_owners_lease_is_found() {
    let hasty = Waits { margin_ms: KEY_LIFETIME_MS / 2.0, ..RIGHT };
    assert!((0..50).any(|seed| play(seed, hasty).0.is_some()));
}

/// A site that was lost and has returned while a front heard nothing looks as if nothing had happened.
#[test]
fn a_front_that_does_not_wait_after_missed_changes_is_found() {
    let forgetful = Waits { for_missed: false, ..RIGHT };
    assert!((0..50).any(|seed| play(seed, forgetful).0.is_some()));
}
