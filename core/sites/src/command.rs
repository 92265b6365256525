//! Commands of the replicated log that change the state of sites.

use serde::{Deserialize, Serialize};

use crate::opinion::SiteOpinion;
use crate::site::{RecoveryPhase, SiteId};

/// Maximum number of sites.
pub const MAX_SITES: usize = 256;

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SiteCommand {
    /// Replaces the set of sites and their patience. Rejected unless the version is higher than the current one.
    UpdateSites {
        /// Version of the configuration.
        version: u64,
        /// Number of sites.
        sites: u16,
        /// How long opinions must be held before a site is declared lost, in milliseconds.
        patience_ms: u64,
        /// Upper limit of the patience, which grows with each failed recovery.
        max_patience_ms: u64,
    },
    /// Replaces the opinions of a site, as held by most of its fronts. Sites considered healthy are omitted.
    ReportOpinions {
        /// The site that holds the opinions.
        by: SiteId,
        /// The other sites, with the opinion of each.
        opinions: Vec<(SiteId, SiteOpinion)>,
        /// The leader's Unix clock, in milliseconds.
        at_ms: u64,
    },
    /// Declares a site lost because of the opinions of the other sites.
    DeclareLost {
        /// The site.
        site: SiteId,
        /// The site's revision at the time of the decision.
        revision: u64,
        /// The leader's Unix clock, in milliseconds.
        at_ms: u64,
    },
    /// An operator declares a site lost, or permits it to recover.
    OverrideByOperator {
        /// The site.
        site: SiteId,
        /// Whether it is lost.
        lost: bool,
        /// The leader's Unix clock, in milliseconds.
        at_ms: u64,
    },
    /// Advances a site's recovery by one phase.
    AdvanceRecovery {
        /// The site.
        site: SiteId,
        /// The site's revision at the time of the decision.
        revision: u64,
        /// The next phase.
        to: RecoveryPhase,
        /// The leader's Unix clock, in milliseconds.
        at_ms: u64,
    },
}

/// Why a command had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum CommandRejected {
    /// The current configuration of sites has the same version or a newer one.
    #[error("the current site configuration has the same version or a newer one")]
    StaleVersion,
    /// The command exceeds [`MAX_SITES`].
    #[error("too many sites in one command")]
    LimitExceeded,
    /// The site is not configured.
    #[error("there is no site {}", .0 .0)]
    UnknownSite(SiteId),
    /// The site has changed since the command was decided.
    #[error("the site has changed since the command was decided")]
    StaleRevision,
    /// Too few sites consider this one lost.
    #[error("{present} sites consider this one lost, {needed} are needed")]
    TooFewOpinions {
        /// Number of sites with that opinion.
        present: u16,
        /// Number of sites needed.
        needed: u16,
    },
    /// The opinions have not been held for the site's patience; contains the remaining milliseconds.
    #[error("the opinions must be held for another {0} ms")]
    PatienceNotElapsed(u64),
    /// A site that was declared lost by an operator recovers only after an operator permits it.
    #[error("an operator has declared the site lost")]
    DeclaredByOperator,
    /// A recovery cannot skip a phase.
    #[error("this is not the next phase of the recovery")]
    NotNextPhase,
}
