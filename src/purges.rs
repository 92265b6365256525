//! The purges that may still concern kept copies: when each object and each group was last purged.
//!
//! Invariant: no purge is forgotten within the retention. Where memory is full, the older half gives way to one time for
//! all objects, before which every copy counts as purged: that costs fetches, but never serves a purged copy.

use std::collections::BTreeMap;

use crate::interface::*;

const RETENTION_FACTOR: f64 = 1.5; // purges are kept for this multiple of their duration
const DEFAULT_DURATION_MS: Ms = 10_000.0; // time until all caches have dropped old copies, if not set

/// What was purged. A purge of an object may come without the object's group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PurgeKey {
    Object(ObjectId),
    Group(PurgeGroup),
}

/// The last purge of each object and group.
#[derive(Clone, Debug)]
pub struct PurgeLog {
    /// How long a purge is kept.
    retention: Ms,
    last: BTreeMap<PurgeKey, Ms>,
    /// Every object counts as purged then.
    all_purged_at: Ms,
    swept_at: Ms,
}

impl Default for PurgeLog {
    fn default() -> PurgeLog {
        PurgeLog::new(&Settings::default())
    }
}

impl PurgeLog {
    /// The most objects and groups that are kept one by one: a few hundred KB.
    pub const MAX_KEYS: usize = 4096;

    /// An empty log for caches of these settings.
    pub fn new(settings: &Settings) -> PurgeLog {
        PurgeLog {
            retention: retention(settings),
            last: BTreeMap::new(),
            all_purged_at: f64::NEG_INFINITY,
            swept_at: f64::NEG_INFINITY,
        }
    }

    /// The same purges, kept for as long as other settings require.
    pub fn with_settings(self, settings: &Settings) -> PurgeLog {
        PurgeLog { retention: retention(settings), ..self }
    }

    /// Records that copies made until `at` must not be served; without an object those of the entire group.
    pub fn record(&mut self, object: Option<ObjectId>, group: PurgeGroup, at: Ms, now: Ms) {
        if at <= self.all_purged_at {
            return;
        }
        self.sweep(now);
        let key = object.map_or(PurgeKey::Group(group), PurgeKey::Object);
        self.last.entry(key).and_modify(|last| *last = last.max(at)).or_insert(at);
        if self.last.len() > Self::MAX_KEYS {
            self.merge_older_half();
        }
    }

    /// The last purge that a copy of this object must be newer than, while older copies may exist.
    pub fn last(&self, object: ObjectId, group: PurgeGroup, now: Ms) -> Option<Ms> {
        let last_of = |key| self.last.get(&key).copied().unwrap_or(f64::NEG_INFINITY);
        let at = last_of(PurgeKey::Group(group)).max(last_of(PurgeKey::Object(object)));
        Some(at.max(self.all_purged_at)).filter(|at| now - at <= self.retention)
    }

    /// The number of objects and groups that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.last.len()
    }

    /// Whether none is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.last.is_empty()
    }

    fn sweep(&mut self, now: Ms) {
        let oldest_kept = now - self.retention;
        if self.swept_at < oldest_kept {
            self.last.retain(|_, at| *at >= oldest_kept);
            self.swept_at = now;
        }
    }

    fn merge_older_half(&mut self) {
        let mut times: Vec<Ms> = self.last.values().copied().collect();
        let middle = times.len() / 2;
        let median = *times.select_nth_unstable_by(middle, f64::total_cmp).1;
        self.all_purged_at = self.all_purged_at.max(median);
        self.last.retain(|_, at| *at > median);
    }
}

/// How long a purge must be kept: until no cache has an older copy any more.
fn retention(settings: &Settings) -> Ms {
    let duration = settings.purge_duration.filter(|duration| duration.is_finite() && *duration > 0.0);
    duration.unwrap_or(DEFAULT_DURATION_MS) * RETENTION_FACTOR
}
