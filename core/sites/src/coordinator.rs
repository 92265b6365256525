//! The leader's proposals on sites, based on the reports that fronts send with their lease requests and on the leader's
//! own clock. All of this state is volatile: it starts empty with each election, and a new leader receives the reports
//! again.
//!
//! A site's opinion is that of the majority of its fronts with recent reports. A site without recent reports has no
//! opinion. Thus a single front cannot decide its site's opinion, and a site with a broken link contributes only one
//! opinion among many.

use std::collections::BTreeMap;

use elmtide_budgets::{FrontId, HolderId, Micros};

use crate::command::{SiteCommand, MAX_SITES};
use crate::opinion::{majority_opinion, SiteOpinion};
use crate::report::{SiteReport, SiteView, SiteViewEntry};
use crate::site::{RecoveryPhase, SiteId};
use crate::state::{SiteEntry, SiteState};

/// Maximum number of fronts whose reports are kept.
const MAX_FRONTS: usize = 4096;

/// The configuration of sites and their failover.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverSettings {
    /// Number of sites.
    pub sites: u16,
    /// How long opinions must be held before a site is declared lost, in milliseconds.
    pub patience_ms: u64,
    /// Upper limit of the patience, which grows with each failed recovery, in milliseconds.
    pub max_patience_ms: u64,
    /// Minimum duration of each phase of a recovery, in milliseconds.
    pub min_phase_ms: u64,
    /// The site of each front.
    pub site_of_front: BTreeMap<FrontId, SiteId>,
}

/// The leader's clocks and the lease length, as inputs of a decision.
pub struct CoordinatorInput {
    /// The leader's monotonic clock.
    pub monotonic: Micros,
    /// The leader's Unix clock, in milliseconds.
    pub wall_ms: u64,
    /// The length of a lease.
    pub lease: Micros,
}

#[derive(Clone, Debug)]
struct ReceivedReport {
    holder: HolderId,
    received_at: Micros,
    report: SiteReport,
}

/// The leader's record of reports, created anew with each election.
#[derive(Clone, Debug, Default)]
pub struct FailoverCoordinator {
    reports: BTreeMap<FrontId, ReceivedReport>,
}

impl FailoverCoordinator {
    /// Records the report of a front, unless a newer incarnation of the front has reported.
    pub fn on_report(&mut self, holder: HolderId, mut report: SiteReport, now: Micros) {
        report.opinions.truncate(MAX_SITES);
        let known = self.reports.get(&holder.front);
        let is_superseded = known.is_some_and(|known| known.holder.incarnation > holder.incarnation);
        if !is_superseded && (self.reports.len() < MAX_FRONTS || known.is_some()) {
            self.reports.insert(holder.front, ReceivedReport { holder, received_at: now, report });
        }
    }

    /// The view to send with a response to a front; `None` if the front does not report on sites or none are
    /// configured.
    pub fn view(&self, state: &SiteState, front: FrontId) -> Option<SiteView> {
        self.reports.get(&front)?;
        let entry = |entry: &SiteEntry| SiteViewEntry {
            phase: entry.phase,
            since_ms: entry.since_ms,
            by_operator: entry.by_operator,
        };
        (state.version() > 0).then(|| SiteView {
            revision: state.revision(),
            sites_version: state.version(),
            sites: state.sites().values().map(entry).collect(),
        })
    }

    /// Lease holders that still use an older view.
    pub fn holders_behind<'a>(&'a self, state: &'a SiteState) -> impl Iterator<Item = HolderId> + 'a {
        let revision = state.revision();
        let is_behind = move |received: &&ReceivedReport| {
            received.report.view_revision.is_some_and(|seen| seen < revision)
        };
        self.reports.values().filter(is_behind).map(|received| received.holder)
    }

    /// The reports of a site's fronts that are no older than a lease.
    fn recent_reports<'a>(
        &'a self,
        settings: &FailoverSettings,
        input: &CoordinatorInput,
        site: SiteId,
    ) -> Vec<&'a SiteReport> {
        let is_at_site = |front: &FrontId| settings.site_of_front.get(front) == Some(&site);
        let is_recent = |at: Micros| input.monotonic.saturating_sub(at) <= input.lease;
        let reports = self.reports.iter();
        reports
            .filter(|(front, received)| is_at_site(front) && is_recent(received.received_at))
            .map(|(_, received)| &received.report)
            .collect()
    }

    /// The commands to propose now: changed opinions, losses, and recoveries that advance.
    pub fn propose(
        &self,
        state: &SiteState,
        settings: &FailoverSettings,
        input: &CoordinatorInput,
    ) -> Vec<SiteCommand> {
        let at_ms = input.wall_ms;
        let sites = state.sites().keys();
        let mut commands: Vec<SiteCommand> =
            sites.filter_map(|by| self.changed_opinions(state, settings, input, *by)).collect();
        commands.extend(state.declarable_losses(at_ms));
        commands.extend(self.advanced_recoveries(state, settings, input));
        commands
    }

    fn changed_opinions(
        &self,
        state: &SiteState,
        settings: &FailoverSettings,
        input: &CoordinatorInput,
        by: SiteId,
    ) -> Option<SiteCommand> {
        let reports = self.recent_reports(settings, input, by);
        let others = || state.sites().keys().copied().filter(|of| *of != by);
        let unhealthy = |(_, opinion): &(SiteId, SiteOpinion)| *opinion != SiteOpinion::HEALTHY;
        let opinions: Vec<(SiteId, SiteOpinion)> = if reports.is_empty() {
            Vec::new()
        } else {
            others().map(|of| (of, opinion_of_site(&reports, of))).filter(unhealthy).collect()
        };
        let previous: Vec<(SiteId, SiteOpinion)> =
            others().map(|of| (of, state.opinion(by, of))).filter(unhealthy).collect();
        let has_changed = opinions != previous;
        has_changed.then_some(SiteCommand::ReportOpinions { by, opinions, at_ms: input.wall_ms })
    }

    fn advanced_recoveries(
        &self,
        state: &SiteState,
        settings: &FailoverSettings,
        input: &CoordinatorInput,
    ) -> Vec<SiteCommand> {
        let at_ms = input.wall_ms;
        let mut commands = Vec::new();
        for (site, entry) in state.sites() {
            let is_recovering = entry.phase != RecoveryPhase::Serving && !entry.by_operator;
            let is_due = at_ms.saturating_sub(entry.since_ms) >= settings.min_phase_ms;
            if !is_recovering || !is_due || !self.can_advance(state, settings, input, *site) {
                continue;
            }
            if let Some(to) = entry.phase.next() {
                let (site, revision) = (*site, entry.revision);
                commands.push(SiteCommand::AdvanceRecovery { site, revision, to, at_ms });
            }
        }
        commands
    }

    /// Whether the preconditions for the next phase of a site's recovery hold.
    fn can_advance(
        &self,
        state: &SiteState,
        settings: &FailoverSettings,
        input: &CoordinatorInput,
        site: SiteId,
    ) -> bool {
        let Some(entry) = state.sites().get(&site) else { return false };
        let fronts = settings.site_of_front.values().filter(|of| **of == site).count();
        let reports = self.recent_reports(settings, input, site);
        // A hub has no fronts: it counts as reachable again when no site considers it lost.
        let is_reachable = fronts == 0 || reports.len() * 2 > fronts;
        let is_considered_lost =
            state.sites().keys().any(|by| *by != site && state.opinion(*by, site).indicates_loss());
        if !is_reachable || is_considered_lost {
            return false;
        }
        let has_current_view = reports.iter().all(|r| r.view_revision == Some(state.revision()));
        match entry.phase {
            RecoveryPhase::Lost => true,
            RecoveryPhase::InContact => has_current_view && reports.iter().all(|r| r.has_caught_up),
            RecoveryPhase::CaughtUp => {
                has_current_view && reports.iter().all(|r| r.has_caught_up && r.caches_warm)
            }
            // Only overload of the site itself holds back its clients' return; overload elsewhere does not.
            RecoveryPhase::WarmedUp | RecoveryPhase::QuarterTraffic | RecoveryPhase::HalfTraffic => {
                has_current_view && reports.iter().all(|r| !r.is_overloaded)
            }
            RecoveryPhase::Serving => false,
        }
    }
}

fn opinion_of_site(reports: &[&SiteReport], of: SiteId) -> SiteOpinion {
    let opinion = |report: &&SiteReport| {
        let reported = report.opinions.iter().find(|(site, _)| *site == of);
        reported.map_or(SiteOpinion::HEALTHY, |(_, opinion)| *opinion)
    };
    majority_opinion(&reports.iter().map(opinion).collect::<Vec<_>>())
}
