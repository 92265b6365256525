//! Heartbeats between sites: each front sends to one front of each other site, in round-robin order.

use std::collections::BTreeMap;

use elmtide_budgets::FrontId;
use elmtide_sites::SiteId;

use super::FleetNode;
use crate::message::PeerMessage;

const HEARTBEAT_INTERVAL_TICKS: u64 = 5;

impl FleetNode {
    pub(super) fn tick_site_heartbeats(&mut self) {
        if !self.ticks.is_multiple_of(HEARTBEAT_INTERVAL_TICKS) {
            return;
        }
        for to in self.heartbeat_targets() {
            self.send(to, &PeerMessage::SiteHeartbeat);
        }
    }

    /// One front of each other site. The fronts of a site start at different positions of the round robin, which
    /// spreads their heartbeats evenly over the fronts of the other site.
    fn heartbeat_targets(&self) -> Vec<FrontId> {
        let Some(failover) = &self.settings.sites else { return Vec::new() };
        let Some(own_site) = failover.site_of_front.get(&self.own) else { return Vec::new() };
        let mut by_site: BTreeMap<SiteId, Vec<FrontId>> = BTreeMap::new();
        for (front, site) in &failover.site_of_front {
            by_site.entry(*site).or_default().push(*front);
        }
        let own_site_fronts = by_site.get(own_site);
        let own_position =
            own_site_fronts.and_then(|fronts| fronts.iter().position(|front| *front == self.own));
        let round = (self.ticks / HEARTBEAT_INTERVAL_TICKS) as usize + own_position.unwrap_or(0);
        let others = by_site.iter().filter(|(site, _)| *site != own_site);
        others.map(|(_, fronts)| fronts[round % fronts.len()]).collect()
    }

    /// Returns the fronts that have sent a datagram since the last call; none if site failover is disabled.
    pub fn take_heard_fronts(&mut self) -> Vec<FrontId> {
        std::mem::take(&mut self.heard_fronts).into_iter().collect()
    }
}
