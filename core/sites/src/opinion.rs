//! What one front, or one site, says of another site.

use serde::{Deserialize, Serialize};

/// How well one kind of machines of a site is heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Reachability {
    /// All of them answer in time.
    Reachable,
    /// Some answer, late or not all: planned for as load, not as a loss.
    Degraded,
    /// None answers.
    Unreachable,
}

/// An opinion of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SiteOpinion {
    /// Of its fronts.
    pub fronts: Reachability,
    /// Of its cache nodes.
    pub caches: Reachability,
}

impl SiteOpinion {
    /// Everything is heard.
    pub const HEALTHY: SiteOpinion =
        SiteOpinion { fronts: Reachability::Reachable, caches: Reachability::Reachable };

    /// Only a site of which nothing at all is heard can be lost: its fronts alone may be cut off from the others, and its cache
    /// nodes alone are its own fronts' matter.
    pub fn indicates_loss(&self) -> bool {
        self.fronts == Reachability::Unreachable && self.caches == Reachability::Unreachable
    }
}

/// One opinion of a site from those of its fronts: what most of them say, and the better one in doubt.
pub fn majority_opinion(opinions: &[SiteOpinion]) -> SiteOpinion {
    SiteOpinion {
        fronts: lower_median(opinions.iter().map(|opinion| opinion.fronts).collect()),
        caches: lower_median(opinions.iter().map(|opinion| opinion.caches).collect()),
    }
}

fn lower_median(mut values: Vec<Reachability>) -> Reachability {
    values.sort_unstable();
    let middle = values.len().saturating_sub(1) / 2;
    values.get(middle).copied().unwrap_or(Reachability::Reachable)
}
