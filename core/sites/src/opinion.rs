//! Opinions of one front, or one site, on the health of another site.

use serde::{Deserialize, Serialize};

/// How well the machines of one kind at a site can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Reachability {
    /// All of them answer in time.
    Reachable,
    /// Some answer, but not all of them or not in time. This is treated as overload, not as a loss.
    Degraded,
    /// None answers.
    Unreachable,
}

/// An opinion of the health of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SiteOpinion {
    /// Reachability of its fronts.
    pub fronts: Reachability,
    /// Reachability of its cache nodes.
    pub caches: Reachability,
}

impl SiteOpinion {
    /// All machines are reachable.
    pub const HEALTHY: SiteOpinion =
        SiteOpinion { fronts: Reachability::Reachable, caches: Reachability::Reachable };

    /// Whether the site may be lost: neither its fronts nor its cache nodes are reachable. If only its fronts are
    /// unreachable, they may be cut off from other fronts and still serve clients. If only its cache nodes are, its own
    /// fronts handle that.
    pub fn indicates_loss(&self) -> bool {
        self.fronts == Reachability::Unreachable && self.caches == Reachability::Unreachable
    }
}

/// Combines the opinions of a site's fronts into one: the opinion of the majority, and in a tie the healthier one.
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
