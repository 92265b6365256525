//! Identifiers of fronts, their incarnations, and budgets.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// Keys of the hash that derives an id from a name; changing them would change every id.
const NAME_HASH_KEYS: (u64, u64) = (0x656c_6d74_6964_6521, 0x6672_6f6e_7473_2e31);

/// A front, identified by its name across restarts of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FrontId(pub u64);

impl FrontId {
    /// Derives the id from a name; equal at every front. The configuration rejects two names with the same id.
    pub fn from_name(name: &str) -> FrontId {
        let mut hasher = SipHasher13::new_with_keys(NAME_HASH_KEYS.0, NAME_HASH_KEYS.1);
        hasher.write(name.as_bytes());
        FrontId(hasher.finish())
    }
}

/// Number of one run of a front's process; later runs have higher numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// One incarnation of a front, as the holder of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HolderId {
    /// The front.
    pub front: FrontId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Sequence number of a change in what a holder may use; it only increases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// What a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BudgetKind {
    /// Retried attempts.
    Retries,
    /// Work sent to a cache in slow start.
    SlowStartCache,
    /// Work sent to a parent in slow start.
    SlowStartParent,
    /// Fetches from the origin.
    OriginFetches,
    /// Cache fills through a location's incoming link.
    LinkFills,
    /// A shop's requests per second.
    ShopRate,
    /// A shop's concurrent requests.
    ShopConcurrency,
}

/// How a budget is spent, which determines when a spent unit becomes available again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpendingModel {
    /// Spent from a token bucket: a spent unit is not returned.
    TokenBucket,
    /// Spent within a sliding window: a unit counts until one window after it was spent.
    SlidingWindow,
    /// Held while a request runs: the unit is returned when the request ends.
    Concurrency,
}

impl BudgetKind {
    /// All kinds.
    pub const ALL: [BudgetKind; 7] = [
        BudgetKind::Retries,
        BudgetKind::SlowStartCache,
        BudgetKind::SlowStartParent,
        BudgetKind::OriginFetches,
        BudgetKind::LinkFills,
        BudgetKind::ShopRate,
        BudgetKind::ShopConcurrency,
    ];

    /// How budgets of this kind are spent.
    pub fn spending_model(self) -> SpendingModel {
        match self {
            BudgetKind::Retries
            | BudgetKind::OriginFetches
            | BudgetKind::LinkFills
            | BudgetKind::ShopRate => SpendingModel::TokenBucket,
            BudgetKind::SlowStartCache | BudgetKind::SlowStartParent => SpendingModel::SlidingWindow,
            BudgetKind::ShopConcurrency => SpendingModel::Concurrency,
        }
    }

    /// The kind's name in configuration files and records.
    pub fn name(self) -> &'static str {
        match self {
            BudgetKind::Retries => "retries",
            BudgetKind::SlowStartCache => "cold-cache",
            BudgetKind::SlowStartParent => "cold-parent",
            BudgetKind::OriginFetches => "origin",
            BudgetKind::LinkFills => "link-in",
            BudgetKind::ShopRate => "shop-rate",
            BudgetKind::ShopConcurrency => "shop-running",
        }
    }

    /// The kind with this name.
    pub fn from_name(name: &str) -> Option<BudgetKind> {
        BudgetKind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// One budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetId {
    /// What the budget limits.
    pub kind: BudgetKind,
    /// The cache node, location or shop that the budget belongs to; 0 for a budget of the whole fleet.
    pub resource: u64,
}
