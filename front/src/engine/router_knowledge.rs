//! What the process knows and every router must know, from its first decision to its last.

use std::collections::BTreeMap;

use elmtide::{MemberId, Ms, ObjectId, ProcessShare, PurgeGroup, PurgeLog, ServerHistories, Settings};

use super::budget_client::SlowStartShare;
use super::endpoint_set::EndpointSet;

/// The process's knowledge. A router can be created only from it (see [`super::routers::RouterSet::create`]).
#[derive(Debug)]
pub struct RouterKnowledge {
    /// All lists, with the servers under maintenance.
    pub endpoints: EndpointSet,
    pub purges: PurgeLog,
    /// What routers that are gone have learned of the servers.
    pub past_histories: ServerHistories,
    /// The number of fronts among which the budget of each server in slow start is divided, where a fleet divides it.
    pub slow_start_fronts: BTreeMap<MemberId, f64>,
    /// This process's part of the front's cold budgets, where other processes of the front may run.
    pub process_share: Option<ProcessShare>,
}

impl RouterKnowledge {
    /// That of a process that starts now.
    pub fn new(settings: &Settings, now: Ms) -> RouterKnowledge {
        RouterKnowledge {
            endpoints: EndpointSet::default(),
            purges: PurgeLog::new(settings),
            past_histories: ServerHistories::new(now),
            slow_start_fronts: BTreeMap::new(),
            process_share: None,
        }
    }

    /// Keeps what is known for as long as these settings require.
    pub fn apply_settings(&mut self, settings: &Settings) {
        self.purges = std::mem::take(&mut self.purges).with_settings(settings);
    }

    /// Records a purge made at this time of the engine's clock.
    pub fn record_purge(&mut self, object: Option<ObjectId>, group: PurgeGroup, at: Ms, now: Ms) {
        self.purges.record(object, group, at, now);
    }

    /// Records how a server's slow-start budget is divided.
    pub fn record_slow_start_share(&mut self, share: SlowStartShare) {
        match share.fronts {
            Some(fronts) => drop(self.slow_start_fronts.insert(share.member, fronts)),
            None => drop(self.slow_start_fronts.remove(&share.member)),
        }
    }

    /// The number by which a router that takes requests divides this front's cold budgets.
    pub fn process_divisor(&self, settings: &Settings, now: Ms) -> f64 {
        let window = settings.overload_window.unwrap_or(0.0);
        self.process_share.as_ref().map_or(1.0, |share| share.divisor(now, window))
    }
}
