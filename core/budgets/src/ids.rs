//! Fronts, their incarnations, and budgets by their identities.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// Keys of the hash that makes an id of a name; a change of them would change every id.
const NAME_HASH_KEYS: (u64, u64) = (0x656c_6d74_6964_6521, 0x6672_6f6e_7473_2e31);

/// A front by its name, whatever process runs under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FrontId(pub u64);

impl FrontId {
    /// The id of a name, the same at every front; the configuration rejects two names with one id.
    pub fn from_name(name: &str) -> FrontId {
        let mut hasher = SipHasher13::new_with_keys(NAME_HASH_KEYS.0, NAME_HASH_KEYS.1);
        hasher.write(name.as_bytes());
        FrontId(hasher.finish())
    }
}

/// Which run of a front it is: a later one has a higher number.
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

/// Number of a change of what a holder may use; it only rises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// What a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BudgetKind {
    /// Retries.
    Retries,
    /// Work sent to a cache in slow start.
    SlowStartCache,
    /// Work sent to a parent in slow start.
    SlowStartParent,
    /// Fetches from the origin.
    OriginFetches,
    /// Fills through a location's incoming link.
    LinkFills,
    /// A shop's requests per second.
    ShopRate,
    /// A shop's concurrent requests.
    ShopConcurrency,
}

/// How a budget is spent, which decides what makes a part of it free again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpendingModel {
    /// From a token bucket: what was spent does not come back.
    TokenBucket,
    /// Within a sliding window: what was spent counts for one window.
    SlidingWindow,
    /// While a request runs: it comes back when the request ends.
    Concurrency,
}

impl BudgetKind {
    /// Every kind.
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

    /// Its name in configuration files and records.
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

    /// The kind of this name.
    pub fn from_name(name: &str) -> Option<BudgetKind> {
        BudgetKind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// One budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetId {
    /// What it limits.
    pub kind: BudgetKind,
    /// The cache node, location or shop that it is of; 0 for a budget of the whole fleet.
    pub resource: u64,
}
