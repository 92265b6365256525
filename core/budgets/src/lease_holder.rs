//! The holder's side of a lease: sends requests and evaluates the responses.
//!
//! The lease expires at (time before sending the request) + duration, by the holder's clock. New guaranteed minimums
//! are stored before they are used; see [`LeaseHolder::on_response`].

use std::collections::VecDeque;

use crate::lease::{Demand, Grant, GuaranteedMinimums, LeaseRequest, LeaseResponse, MAX_BUDGETS_PER_LEASE};
use crate::{BudgetId, Clocks, Epoch, HolderId, LeaseSettings, Micros};

/// Maximum number of requests in flight; beyond it the response to the oldest is ignored.
const MAX_OUTSTANDING_REQUESTS: usize = 8;

#[derive(Clone, Copy, Debug)]
struct OutstandingRequest {
    id: u64,
    sent_at: Clocks,
}

/// What a response contains that is new to the holder.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Renewal {
    /// For the ledger; `None` if the response came too late or is older than the current grant.
    pub grant: Option<Grant>,
    /// New minimums, which must be stored before use.
    pub minimums: Option<GuaranteedMinimums>,
}

/// One incarnation of a front as the holder of a lease.
#[derive(Debug)]
pub struct LeaseHolder {
    id: HolderId,
    settings: LeaseSettings,
    next_request: u64,
    outstanding: VecDeque<OutstandingRequest>,
    /// The highest epoch granted so far.
    granted_epoch: Epoch,
    /// The ledger uses no more than the quotas of this epoch.
    confirmed_epoch: Epoch,
    confirmed_minimums: Epoch,
    last_renewal: Option<Micros>,
}

impl LeaseHolder {
    /// `first_request` must differ between incarnations, so that a response to an earlier one's request is not
    /// accepted.
    pub fn new(id: HolderId, settings: LeaseSettings, first_request: u64, minimums: Epoch) -> LeaseHolder {
        LeaseHolder {
            id,
            settings,
            next_request: first_request,
            outstanding: VecDeque::new(),
            granted_epoch: Epoch(0),
            confirmed_epoch: Epoch(0),
            confirmed_minimums: minimums,
            last_renewal: None,
        }
    }

    /// The id of this holder.
    pub fn id(&self) -> HolderId {
        self.id
    }

    /// The lease settings in use.
    pub fn settings(&self) -> LeaseSettings {
        self.settings
    }

    /// Records that the ledger uses no more than the quotas of this epoch.
    pub fn confirm_quotas(&mut self, epoch: Epoch) {
        self.confirmed_epoch = self.confirmed_epoch.max(epoch);
    }

    /// Records that the minimums of this epoch are stored and that the ledger uses no more than these.
    pub fn confirm_minimums(&mut self, epoch: Epoch) {
        self.confirmed_minimums = self.confirmed_minimums.max(epoch);
    }

    /// When the last response with a grant arrived, by the monotonic clock.
    pub fn last_renewal(&self) -> Option<Micros> {
        self.last_renewal
    }

    /// Creates a request, to be sent now.
    pub fn request(&mut self, demands: &[(BudgetId, Demand)], now: Clocks) -> LeaseRequest {
        let request_id = self.next_request;
        self.next_request += 1;
        if self.outstanding.len() >= MAX_OUTSTANDING_REQUESTS {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back(OutstandingRequest { id: request_id, sent_at: now });
        LeaseRequest {
            holder: self.id,
            request_id,
            quota_epoch: self.confirmed_epoch,
            minimums_epoch: self.confirmed_minimums,
            demands: demands.iter().take(MAX_BUDGETS_PER_LEASE).copied().collect(),
        }
    }

    /// Evaluates a response: it must answer an outstanding request of this incarnation. Returns no grant if the
    /// response is older than the current grant or arrives after the lease, which counts from before the request, has
    /// expired. Returns minimums only if they are new; they must be stored before they are used.
    pub fn on_response(&mut self, response: &LeaseResponse, now: Clocks) -> Renewal {
        if response.holder != self.id || response.quotas.len() > MAX_BUDGETS_PER_LEASE {
            return Renewal::default();
        }
        let Some(requested_at) = self.take_outstanding(response.request_id) else {
            return Renewal::default();
        };
        let minimums = self.new_minimums(response);
        let expires_at = requested_at.monotonic + response.duration;
        if response.epoch < self.granted_epoch || now.monotonic >= expires_at {
            return Renewal { grant: None, minimums };
        }
        self.granted_epoch = response.epoch;
        self.last_renewal = Some(now.monotonic);
        let quotas = response.quotas.clone();
        let grant = Grant { epoch: response.epoch, requested_at, expires_at, quotas };
        Renewal { grant: Some(grant), minimums }
    }

    fn take_outstanding(&mut self, request_id: u64) -> Option<Clocks> {
        let index = self.outstanding.iter().position(|request| request.id == request_id)?;
        self.outstanding.remove(index).map(|request| request.sent_at)
    }

    fn new_minimums(&self, response: &LeaseResponse) -> Option<GuaranteedMinimums> {
        let is_new = response.minimums_epoch > self.confirmed_minimums;
        is_new.then(|| GuaranteedMinimums {
            epoch: response.minimums_epoch,
            minimums: response.minimums.clone(),
        })
    }
}
