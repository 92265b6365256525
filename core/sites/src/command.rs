//! Commands of the replicated log that change which sites are lost.

use serde::{Deserialize, Serialize};

use crate::opinion::SiteOpinion;
use crate::site::{RecoveryPhase, SiteId};

/// Most sites.
pub const MAX_SITES: usize = 256;

/// One command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SiteCommand {
    /// Replaces the sites and their patience; a version that is not higher changes nothing.
    UpdateSites {
        /// Of the configuration.
        version: u64,
        /// Number of sites.
        sites: u16,
        /// For how long opinions have to be held before a loss, in milliseconds.
        patience_ms: u64,
        /// The longest that this can become by failed recoveries.
        max_patience_ms: u64,
    },
    /// The opinions of a site from now on, by most of its fronts; a healthy site is not named.
    ReportOpinions {
        /// Whose opinions.
        by: SiteId,
        /// Of which sites.
        opinions: Vec<(SiteId, SiteOpinion)>,
        /// The leader's Unix clock, in milliseconds.
        at_ms: u64,
    },
    /// Declares a site lost by the opinions of the others.
    DeclareLost {
        /// The site.
        site: SiteId,
        /// Its revision when that was decided.
        revision: u64,
        /// The leader's Unix clock, in milliseconds.
        at_ms: u64,
    },
    /// An operator declares a site lost, or lets it recover.
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
        /// Its revision when that was decided.
        revision: u64,
        /// The next phase.
        to: RecoveryPhase,
        /// The leader's Unix clock, in milliseconds.
        at_ms: u64,
    },
}

/// Why a command did nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum CommandRejected {
    /// The sites in force are as new.
    #[error("the sites in force are as new")]
    StaleVersion,
    /// More sites than are accounted for.
    #[error("more sites than are accounted for")]
    LimitExceeded,
    /// The site is not configured.
    #[error("there is no site {}", .0 .0)]
    UnknownSite(SiteId),
    /// Something has changed since the command was decided.
    #[error("something has changed since")]
    StaleRevision,
    /// Too few sites are of the opinion that this one is lost.
    #[error("{present} sites are of that opinion, {needed} are needed")]
    TooFewOpinions {
        /// Sites of that opinion.
        present: u16,
        /// Sites that are needed.
        needed: u16,
    },
    /// The opinions have not been held for long enough; the milliseconds that are missing.
    #[error("the opinions have to be held for another {0} ms")]
    PatienceNotElapsed(u64),
    /// Only an operator lets a site recover that an operator declared lost.
    #[error("an operator has declared the site lost")]
    DeclaredByOperator,
    /// A recovery does not skip a phase.
    #[error("this is not the next phase")]
    NotNextPhase,
}
