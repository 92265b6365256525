//! Replicated state of the sites: which are lost, and how far the recovery of each has come. Only commands of the
//! replicated log change it.
//!
//! **Invariant: a site is declared lost only by an operator, or by the opinions of a majority of the sites that are not
//! lost. That takes at least two opinions, one per site, each held without interruption for the site's patience.** Time
//! is taken from the commands and never goes backwards.
//!
//! | from | command | to | precondition |
//! | --- | --- | --- | --- |
//! | serving | `DeclareLost` | lost | the opinions, held for the site's patience |
//! | serving | `OverrideByOperator` lost | lost | - |
//! | lost | `AdvanceRecovery` | in contact | a majority of its fronts can be reached |
//! | in contact | `AdvanceRecovery` | caught up | its fronts report having the view and the purges that they missed |
//! | caught up | `AdvanceRecovery` | warmed up | its caches are warm, according to their slow-start budgets |
//! | warmed up, a quarter, a half | `AdvanceRecovery` | a quarter, a half, serving | nothing is overloaded |
//! | any phase of a recovery | `DeclareLost` | lost | the opinions, without patience; no phases in between |

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::command::{CommandRejected, SiteCommand, MAX_SITES};
use crate::opinion::SiteOpinion;
use crate::site::{RecoveryPhase, SiteId};

/// A loss after a completed recovery counts as a relapse within this multiple of the maximum patience.
const RELAPSE_WINDOW_FACTOR: u64 = 4;
/// Minimum number of opinions for declaring a loss, however few sites there are.
pub const MIN_OPINIONS: usize = 2;
/// Maximum number of times that the patience is doubled.
const MAX_PATIENCE_DOUBLINGS: u8 = 16;

/// The state of one site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteEntry {
    /// The site's phase.
    pub phase: RecoveryPhase,
    /// Revision of the site's last change.
    pub revision: u64,
    /// When the site entered its phase, by the leader's Unix clock in milliseconds.
    pub since_ms: u64,
    /// Whether an operator has declared the site lost.
    pub by_operator: bool,
    /// Number of recent recoveries that ended in another loss.
    pub failed_recoveries: u8,
}

/// One site's opinion of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HeldOpinion {
    opinion: SiteOpinion,
    /// When the opinion began to indicate a loss; `None` if it does not.
    loss_since_ms: Option<u64>,
}

/// The opinions that a site is lost.
struct OpinionsAgainst {
    /// When each opinion began.
    held_since_ms: Vec<u64>,
    /// Number of sites that may hold such an opinion.
    electorate: usize,
}

/// The replicated state of all sites.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteState {
    version: u64,
    patience_ms: u64,
    max_patience_ms: u64,
    sites: BTreeMap<SiteId, SiteEntry>,
    /// By the site that holds the opinion and the site that it concerns.
    opinions: BTreeMap<(SiteId, SiteId), HeldOpinion>,
    revision: u64,
    clock_ms: u64,
}

impl SiteState {
    /// Version of the current site configuration; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Revision of the last change to any site.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All sites, by identifier.
    pub fn sites(&self) -> &BTreeMap<SiteId, SiteEntry> {
        &self.sites
    }

    /// Sites that serve none of their own clients.
    pub fn lost(&self) -> Vec<SiteId> {
        let lost = self.sites.iter().filter(|(_, entry)| entry.phase.serves_no_clients());
        lost.map(|(site, _)| *site).collect()
    }

    /// How long opinions must currently be held before this site is declared lost, in milliseconds. The configured
    /// patience doubles with each failed recovery, up to the maximum.
    pub fn patience_ms(&self, site: SiteId) -> u64 {
        let failed = self.sites.get(&site).map_or(0, |entry| entry.failed_recoveries);
        let extended_ms = self.patience_ms << failed.min(MAX_PATIENCE_DOUBLINGS);
        extended_ms.min(self.max_patience_ms.max(self.patience_ms))
    }

    /// The opinion that the site `by` holds on the site `of`.
    pub fn opinion(&self, by: SiteId, of: SiteId) -> SiteOpinion {
        self.opinions.get(&(by, of)).map_or(SiteOpinion::HEALTHY, |held| held.opinion)
    }

    /// Applies a command of the replicated log.
    ///
    /// # Errors
    /// The reason why the command had no effect.
    pub fn apply(&mut self, command: &SiteCommand) -> Result<(), CommandRejected> {
        match command {
            SiteCommand::UpdateSites { version, sites, patience_ms, max_patience_ms } => {
                self.update_sites(*version, *sites, *patience_ms, *max_patience_ms)
            }
            SiteCommand::ReportOpinions { by, opinions, at_ms } => {
                self.report_opinions(*by, opinions, *at_ms)
            }
            SiteCommand::DeclareLost { site, revision, at_ms } => self.declare_lost(*site, *revision, *at_ms),
            SiteCommand::OverrideByOperator { site, lost, at_ms } => {
                self.override_by_operator(*site, *lost, *at_ms)
            }
            SiteCommand::AdvanceRecovery { site, revision, to, at_ms } => {
                self.advance_recovery(*site, *revision, *to, *at_ms)
            }
        }
    }

    fn update_sites(
        &mut self,
        version: u64,
        sites: u16,
        patience_ms: u64,
        max_patience_ms: u64,
    ) -> Result<(), CommandRejected> {
        if version <= self.version {
            return Err(CommandRejected::StaleVersion);
        }
        if usize::from(sites) > MAX_SITES {
            return Err(CommandRejected::LimitExceeded);
        }
        self.version = version;
        self.patience_ms = patience_ms;
        self.max_patience_ms = max_patience_ms;
        self.sites.retain(|site, _| site.0 < sites);
        self.opinions.retain(|(by, of), _| by.0 < sites && of.0 < sites);
        for site in 0..sites {
            let new = SiteEntry {
                phase: RecoveryPhase::Serving,
                revision: self.revision,
                since_ms: self.clock_ms,
                by_operator: false,
                failed_recoveries: 0,
            };
            self.sites.entry(SiteId(site)).or_insert(new);
        }
        Ok(())
    }

    fn advance_clock(&mut self, at_ms: u64) -> u64 {
        self.clock_ms = self.clock_ms.max(at_ms);
        self.clock_ms
    }

    fn set_phase(&mut self, site: SiteId, to: RecoveryPhase, at_ms: u64) {
        let at_ms = self.advance_clock(at_ms);
        self.revision += 1;
        let Some(entry) = self.sites.get_mut(&site) else { return };
        if to == RecoveryPhase::Lost {
            // A loss during a recovery, or soon after it, counts as a failed recovery and doubles the patience. A loss
            // after a long time in service resets the patience.
            let is_relapse =
                at_ms.saturating_sub(entry.since_ms) < RELAPSE_WINDOW_FACTOR * self.max_patience_ms;
            entry.failed_recoveries = match entry.phase {
                RecoveryPhase::Lost => entry.failed_recoveries,
                RecoveryPhase::Serving if entry.revision == 0 || !is_relapse => 0,
                _ => entry.failed_recoveries.saturating_add(1),
            };
        }
        entry.phase = to;
        entry.revision = self.revision;
        entry.since_ms = at_ms;
    }

    fn report_opinions(
        &mut self,
        by: SiteId,
        opinions: &[(SiteId, SiteOpinion)],
        at_ms: u64,
    ) -> Result<(), CommandRejected> {
        if !self.sites.contains_key(&by) {
            return Err(CommandRejected::UnknownSite(by));
        }
        if opinions.len() > MAX_SITES {
            return Err(CommandRejected::LimitExceeded);
        }
        let at_ms = self.advance_clock(at_ms);
        let is_known = |site: &SiteId| self.sites.contains_key(site) && *site != by;
        let reported: BTreeMap<SiteId, SiteOpinion> =
            opinions.iter().copied().filter(|(site, _)| is_known(site)).collect();
        self.opinions.retain(|(observer, of), _| *observer != by || reported.contains_key(of));
        for (of, opinion) in reported {
            let held_since = self.opinions.get(&(by, of)).and_then(|held| held.loss_since_ms);
            let loss_since_ms = opinion.indicates_loss().then(|| held_since.unwrap_or(at_ms));
            self.opinions.insert((by, of), HeldOpinion { opinion, loss_since_ms });
        }
        Ok(())
    }

    /// The opinions that a site is lost, from sites that are not lost themselves.
    fn opinions_against(&self, site: SiteId) -> OpinionsAgainst {
        let may_vote = |by: &SiteId| {
            *by != site && self.sites.get(by).is_some_and(|entry| entry.phase != RecoveryPhase::Lost)
        };
        let held = self.opinions.iter().filter(|((by, of), _)| *of == site && may_vote(by));
        OpinionsAgainst {
            held_since_ms: held.filter_map(|(_, held)| held.loss_since_ms).collect(),
            electorate: self.sites.keys().filter(|by| may_vote(by)).count(),
        }
    }

    fn declare_lost(&mut self, site: SiteId, revision: u64, at_ms: u64) -> Result<(), CommandRejected> {
        let entry = self.sites.get(&site).ok_or(CommandRejected::UnknownSite(site))?;
        if entry.revision != revision || entry.phase == RecoveryPhase::Lost {
            return Err(CommandRejected::StaleRevision);
        }
        let is_recovering = entry.phase != RecoveryPhase::Serving;
        let OpinionsAgainst { mut held_since_ms, electorate } = self.opinions_against(site);
        let needed = (electorate / 2 + 1).max(MIN_OPINIONS);
        if held_since_ms.len() < needed {
            let present = held_since_ms.len() as u16;
            return Err(CommandRejected::TooFewOpinions { present, needed: needed as u16 });
        }
        // The moment from which the needed number of opinions have all been held.
        held_since_ms.sort_unstable();
        let since_ms = held_since_ms[needed - 1];
        let patience_ms = if is_recovering { 0 } else { self.patience_ms(site) };
        let remaining_ms = (since_ms + patience_ms).saturating_sub(self.clock_ms.max(at_ms));
        if remaining_ms > 0 {
            return Err(CommandRejected::PatienceNotElapsed(remaining_ms));
        }
        self.set_phase(site, RecoveryPhase::Lost, at_ms);
        Ok(())
    }

    fn override_by_operator(&mut self, site: SiteId, lost: bool, at_ms: u64) -> Result<(), CommandRejected> {
        let entry = self.sites.get(&site).ok_or(CommandRejected::UnknownSite(site))?;
        let to = if lost { RecoveryPhase::Lost } else { entry.phase };
        self.set_phase(site, to, at_ms);
        if let Some(entry) = self.sites.get_mut(&site) {
            entry.by_operator = lost;
        }
        Ok(())
    }

    fn advance_recovery(
        &mut self,
        site: SiteId,
        revision: u64,
        to: RecoveryPhase,
        at_ms: u64,
    ) -> Result<(), CommandRejected> {
        let entry = self.sites.get(&site).ok_or(CommandRejected::UnknownSite(site))?;
        if entry.revision != revision {
            return Err(CommandRejected::StaleRevision);
        }
        if entry.by_operator {
            return Err(CommandRejected::DeclaredByOperator);
        }
        if entry.phase.next() != Some(to) {
            return Err(CommandRejected::NotNextPhase);
        }
        self.set_phase(site, to, at_ms);
        Ok(())
    }

    /// The losses that the leader may propose now: those with enough opinions, held for long enough.
    pub fn declarable_losses(&self, at_ms: u64) -> Vec<SiteCommand> {
        let candidates = self.sites.iter().filter(|(_, entry)| entry.phase != RecoveryPhase::Lost);
        let commands = candidates.map(|(site, entry)| SiteCommand::DeclareLost {
            site: *site,
            revision: entry.revision,
            at_ms,
        });
        commands.filter(|command| self.clone().apply(command).is_ok()).collect()
    }
}
