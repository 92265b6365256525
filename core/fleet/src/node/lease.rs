//! The lease that this front holds: when to request it and from which front, and how responses are applied.

use elmtide_budgets::{BudgetId, Clocks, Demand, Epoch, FrontId, Grant, LeaseHolder, LeaseResponse, Micros};

use super::voting::VoterState;
use super::{splitmix64, Departure, FleetNode};
use crate::message::Views;
use crate::output::{Event, Output};

/// Renewal intervals without a response after which another voter is asked.
const UNANSWERED_INTERVALS: u64 = 2;
/// Resolution of the random delay between requests while no voter responds, which lies between a quarter and a half of
/// the renewal interval.
const JITTER_STEPS: u64 = 1000;

/// The holder's side of the lease.
pub(super) struct LeaseClient {
    pub holder: LeaseHolder,
    pub demands: Vec<(BudgetId, Demand)>,
    pub next_request_at: Micros,
    last_request_at: Option<Micros>,
    /// The last front that granted a lease, asked for a renewal, or was named as the leader.
    pub leader: Option<FrontId>,
    /// Index of the voter that is asked while no leader is known, modulo their number.
    next_voter: usize,
    pub has_contact: bool,
    /// Version of the list of fronts in force, as told by the last response; 0 before the first one.
    pub front_list_version: u64,
    pub machines_version: u64,
    pub sites_version: u64,
    /// The epochs that the caller has applied.
    applied: AppliedEpochs,
}

/// The epochs of the quotas and guaranteed minimums that the caller uses.
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

    /// Schedules a request as soon as possible, at most one per half tick no matter how often this is called.
    fn request_soon(&mut self, tick: Micros, now: Clocks) {
        let earliest = self.last_request_at.map_or(now.monotonic, |at| at + tick / 2);
        self.request_no_later_than(earliest.max(now.monotonic));
    }
}

impl FleetNode {
    /// Sets the demands that are sent with lease requests.
    pub fn set_demands(&mut self, demands: Vec<(BudgetId, Demand)>) {
        self.lease.demands = demands;
    }

    /// Sets the report on machines in maintenance that is sent with lease requests. A request follows soon if the front
    /// has acknowledged another view, has drained a further machine, or needs details or no longer does.
    pub fn report_maintenance(&mut self, report: elmtide_maintenance::MaintenanceReport, now: Clocks) {
        let Some(previous) = &mut self.reports.maintenance else { return };
        let is_urgent = report.acknowledged != previous.acknowledged
            || report.drained.len() > previous.drained.len()
            || report.needs_details != previous.needs_details;
        *previous = report;
        if is_urgent {
            self.lease.request_soon(self.settings.tick, now);
        }
    }

    /// Sets the report on other sites that is sent with lease requests. A request follows soon if an opinion of a site
    /// or the view in use has changed.
    pub fn report_sites(&mut self, report: elmtide_sites::SiteReport, now: Clocks) {
        let Some(previous) = &mut self.reports.sites else { return };
        let is_urgent =
            report.opinions != previous.opinions || report.view_revision != previous.view_revision;
        *previous = report;
        if is_urgent {
            self.lease.request_soon(self.settings.tick, now);
        }
    }

    /// The caller uses no more than these epochs allow. A change is reported at once, because other holders wait for
    /// it.
    pub fn on_applied(&mut self, quotas: Epoch, minimums: Epoch, now: Clocks) {
        let applied = AppliedEpochs { quotas, minimums };
        if applied != self.lease.applied {
            self.lease.applied = applied;
            self.lease.holder.confirm_quotas(quotas);
            self.lease.holder.confirm_minimums(minimums);
            self.lease.request_no_later_than(now.monotonic);
        }
    }

    /// The front that receives requests: the leader if it is known, otherwise the voters in round-robin order.
    pub(super) fn request_target(&self) -> Option<FrontId> {
        if self.is_leading() {
            return Some(self.own);
        }
        let leader_known_to_voter = match &self.voting {
            VoterState::Active(_) => self.leader_front().filter(|leader| *leader != self.own),
            _ => None,
        };
        let voters = self.other_voters();
        let next_voter = || voters.get(self.lease.next_voter % voters.len().max(1)).copied();
        leader_known_to_voter.or(self.lease.leader).or_else(next_voter)
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
        let Some(to) = self.request_target() else { return };
        self.lease.last_request_at = Some(now.monotonic);
        let request = self.lease.holder.request(&self.lease.demands, now);
        let reports = self.reports.clone();
        if to == self.own {
            self.on_lease_request(self.own, request, reports, now);
        } else {
            self.send(to, &reports.into_message(request));
        }
    }

    /// Switches to the next voter after a missing response, and schedules the next request earlier than a renewal. The
    /// delay is random so that fronts that lost the same leader do not all ask the next voter at the same moment.
    fn try_next_voter(&mut self, interval: Micros, now: Clocks) {
        self.lease.leader = None;
        self.lease.next_voter = self.lease.next_voter.wrapping_add(1);
        let jitter = splitmix64(self.seed ^ self.lease.next_voter as u64) % JITTER_STEPS;
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
            self.update_front_list_version(response.front_list_version);
            self.apply_grant(grant, views);
        }
        if let Some(minimums) = renewal.minimums {
            self.outputs.push_back(Output::ApplyMinimums(minimums));
        }
    }

    fn update_front_list_version(&mut self, version: u64) {
        if version != self.lease.front_list_version {
            self.lease.front_list_version = version;
            self.report_event(Event::FrontListInForce { version });
        }
    }

    fn apply_grant(&mut self, grant: Grant, views: Views) {
        if grant.epoch > self.lease.applied.quotas {
            self.report_event(Event::LeaseGranted { epoch: grant.epoch, quotas: grant.quotas.len() });
        }
        let (lease_requested_at, lease_expires_at) = (grant.requested_at, grant.expires_at);
        if let Some(view) = views.sites {
            self.lease.sites_version = view.sites_version;
            let leased = elmtide_sites::LeasedSiteView {
                view,
                requested_at: lease_requested_at,
                expires_at: lease_expires_at,
            };
            self.outputs.push_back(Output::ApplySiteView(leased));
        }
        if let Some(view) = views.maintenance {
            self.lease.machines_version = view.machines_version;
            let leased = elmtide_maintenance::LeasedMaintenanceView {
                view,
                requested_at: lease_requested_at,
                expires_at: lease_expires_at,
            };
            self.outputs.push_back(Output::ApplyMaintenanceView(leased));
        }
        self.outputs.push_back(Output::ApplyGrant(grant));
    }

    /// A front is in contact if a leader answered within the duration of a lease.
    pub(super) fn update_contact(&mut self, now: Clocks) {
        let age = self.lease.holder.last_renewal().map(|at| now.monotonic.saturating_sub(at));
        let has_contact = age.is_some_and(|age| age <= self.settings.lease.duration);
        if has_contact != self.lease.has_contact {
            self.lease.has_contact = has_contact;
            self.report_event(if has_contact { Event::ContactGained } else { Event::ContactLost });
        }
    }

    /// Whether a leader has answered within the duration of a lease.
    pub fn has_contact(&self) -> bool {
        self.lease.has_contact
    }
}
