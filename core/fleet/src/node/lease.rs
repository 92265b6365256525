//! The lease that this front holds: whom to ask for it and when, and what a response gives.

use elmtide_budgets::{BudgetId, Clocks, Demand, Epoch, FrontId, Grant, LeaseHolder, LeaseResponse, Micros};

use super::voting::VoterState;
use super::{mix, Departure, FleetNode};
use crate::message::Views;
use crate::output::{Event, Output};

/// Renewal intervals without a response after which another voter is asked.
const UNANSWERED_INTERVALS: u64 = 2;
/// A request to the next voter follows after between a quarter and a half of the renewal interval, drawn in this many steps.
const JITTER_STEPS: u64 = 1000;

/// The holder's side of the lease.
pub(super) struct LeaseClient {
    pub holder: LeaseHolder,
    pub demands: Vec<(BudgetId, Demand)>,
    pub next_request_at: Micros,
    last_request_at: Option<Micros>,
    /// Who answered last.
    pub leader: Option<FrontId>,
    /// Place of the voter that is asked while no leader is known.
    next_voter: usize,
    pub has_contact: bool,
    /// Version of the list of fronts in force, as far as this front was told; 0 before.
    pub front_list_version: u64,
    pub machines_version: u64,
    pub sites_version: u64,
    /// What the caller has applied.
    applied: AppliedEpochs,
}

/// Epochs that the caller spends by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AppliedEpochs {
    quotas: Epoch,
    minimums: Epoch,
}

impl LeaseClient {
    pub(super) fn new(holder: LeaseHolder, minimums: Epoch, first_voter: usize, now: Clocks) -> LeaseClient {
        LeaseClient {
            holder,
            demands: Vec::new(),
            next_request_at: now.monotonic,
            last_request_at: None,
            leader: None,
            next_voter: first_voter,
            has_contact: false,
            front_list_version: 0,
            machines_version: 0,
            sites_version: 0,
            applied: AppliedEpochs { quotas: Epoch(0), minimums },
        }
    }

    pub(super) fn request_no_later_than(&mut self, at: Micros) {
        self.next_request_at = self.next_request_at.min(at);
    }

    /// Requests soon, but no more often than each half tick, however often this is called.
    fn request_soon(&mut self, tick: Micros, now: Clocks) {
        let earliest = self.last_request_at.map_or(now.monotonic, |at| at + tick / 2);
        self.request_no_later_than(earliest.max(now.monotonic));
    }
}

impl FleetNode {
    /// What the front needs, from now on.
    pub fn set_demands(&mut self, demands: Vec<(BudgetId, Demand)>) {
        self.lease.demands = demands;
    }

    /// What the front reports on machines in maintenance, from now on. That it decides by another view, that it has drained
    /// another machine, and that details are needed is reported at once.
    pub fn report_maintenance(&mut self, report: elmtide_maintenance::MaintenanceReport, now: Clocks) {
        let Some(before) = &mut self.reports.maintenance else { return };
        let is_urgent = report.acknowledged != before.acknowledged
            || report.drained.len() > before.drained.len()
            || report.needs_details != before.needs_details;
        *before = report;
        if is_urgent {
            self.lease.request_soon(self.settings.tick, now);
        }
    }

    /// What the front reports on other sites, from now on. Another opinion of a site, and that it decides by another view, is
    /// reported at once.
    pub fn report_sites(&mut self, report: elmtide_sites::SiteReport, now: Clocks) {
        let Some(before) = &mut self.reports.sites else { return };
        let is_urgent = report.opinions != before.opinions || report.view_revision != before.view_revision;
        *before = report;
        if is_urgent {
            self.lease.request_soon(self.settings.tick, now);
        }
    }

    /// The caller spends no more than by these epochs. A change is reported at once: other holders wait for it.
    pub fn on_applied(&mut self, quotas: Epoch, minimums: Epoch, now: Clocks) {
        let applied = AppliedEpochs { quotas, minimums };
        if applied != self.lease.applied {
            self.lease.applied = applied;
            self.lease.holder.confirm_quotas(quotas);
            self.lease.holder.confirm_minimums(minimums);
            self.lease.request_no_later_than(now.monotonic);
        }
    }

    /// Whom to ask: who leads, as far as it is known, or the voters in turns.
    pub(super) fn whom_to_ask(&self) -> Option<FrontId> {
        if self.is_leading() {
            return Some(self.own);
        }
        let known_to_voter = match &self.voting {
            VoterState::Active(_) => self.leader_front().filter(|leader| *leader != self.own),
            _ => None,
        };
        let voters = self.other_voters();
        let next_voter = || voters.get(self.lease.next_voter % voters.len().max(1)).copied();
        known_to_voter.or(self.lease.leader).or_else(next_voter)
    }

    pub(super) fn request_lease(&mut self, now: Clocks) {
        let interval = self.settings.lease.renewal_interval();
        self.lease.next_request_at = now.monotonic + interval;
        if self.departure != Departure::Staying {
            return;
        }
        let last_renewal = self.lease.holder.last_renewal();
        let age = last_renewal.map(|at| now.monotonic.saturating_sub(at));
        if age.is_none_or(|age| age > UNANSWERED_INTERVALS * interval) {
            self.try_next_voter(interval, now);
        }
        let Some(to) = self.whom_to_ask() else { return };
        self.lease.last_request_at = Some(now.monotonic);
        let request = self.lease.holder.request(&self.lease.demands, now);
        let reports = self.reports.clone();
        if to == self.own {
            self.on_lease_request(self.own, request, reports, now);
        } else {
            self.send(to, &reports.into_message(request));
        }
    }

    /// A request that had no response goes to the next voter; while there is none, more often. Fronts that all lost the same
    /// leader do not ask the next one at the same moment.
    fn try_next_voter(&mut self, interval: Micros, now: Clocks) {
        self.lease.leader = None;
        self.lease.next_voter = self.lease.next_voter.wrapping_add(1);
        let jitter = mix(self.seed ^ self.lease.next_voter as u64) % JITTER_STEPS;
        let delay = interval / 2 * (JITTER_STEPS / 2 + jitter / 2) / JITTER_STEPS;
        self.lease.next_request_at = now.monotonic + delay.max(1);
    }

    pub(super) fn on_not_leader(&mut self, from: FrontId, leader: Option<FrontId>, now: Clocks) {
        if self.lease.leader == Some(from) {
            self.lease.leader = leader.filter(|leader| *leader != self.own);
            self.lease.request_no_later_than(now.monotonic + self.settings.tick);
        }
    }

    pub(super) fn on_renew_now(&mut self, from: FrontId, now: Clocks) {
        self.lease.leader = Some(from);
        self.lease.request_soon(self.settings.tick, now);
    }

    pub(super) fn on_lease_response(
        &mut self,
        from: FrontId,
        response: &LeaseResponse,
        views: Views,
        now: Clocks,
    ) {
        if self.departure != Departure::Staying {
            return;
        }
        let renewal = self.lease.holder.on_response(response, now);
        if let Some(grant) = renewal.grant {
            if from != self.own {
                self.lease.leader = Some(from);
            }
            self.note_front_list(response.front_list_version);
            self.apply_grant(grant, views);
        }
        if let Some(minimums) = renewal.minimums {
            self.outputs.push_back(Output::ApplyMinimums(minimums));
        }
    }

    fn note_front_list(&mut self, version: u64) {
        if version != self.lease.front_list_version {
            self.lease.front_list_version = version;
            self.report_event(Event::FrontListInForce { version });
        }
    }

    fn apply_grant(&mut self, grant: Grant, views: Views) {
        if grant.epoch > self.lease.applied.quotas {
            self.report_event(Event::LeaseGranted { epoch: grant.epoch, quotas: grant.quotas.len() });
        }
        let (asked, ends) = (grant.requested_at, grant.expires_at);
        if let Some(view) = views.sites {
            self.lease.sites_version = view.sites_version;
            let leased = elmtide_sites::LeasedSiteView { view, requested_at: asked, expires_at: ends };
            self.outputs.push_back(Output::ApplySiteView(leased));
        }
        if let Some(view) = views.maintenance {
            self.lease.machines_version = view.machines_version;
            let leased =
                elmtide_maintenance::LeasedMaintenanceView { view, requested_at: asked, expires_at: ends };
            self.outputs.push_back(Output::ApplyMaintenanceView(leased));
        }
        self.outputs.push_back(Output::ApplyGrant(grant));
    }

    /// In contact is a front that was answered within a lease.
    pub(super) fn update_contact(&mut self, now: Clocks) {
        let age = self.lease.holder.last_renewal().map(|at| now.monotonic.saturating_sub(at));
        let has_contact = age.is_some_and(|age| age <= self.settings.lease.duration);
        if has_contact != self.lease.has_contact {
            self.lease.has_contact = has_contact;
            self.report_event(if has_contact { Event::ContactGained } else { Event::ContactLost });
        }
    }

    /// Whether a leader has answered within a lease.
    pub fn has_contact(&self) -> bool {
        self.lease.has_contact
    }
}
