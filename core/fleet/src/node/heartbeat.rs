//! Signs of life between sites: each front sends to one front of each other site, in turns.

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

    /// The turns of a site's fronts are spread over the other's, so that each of them hears each site at this pace.
    fn heartbeat_targets(&self) -> Vec<FrontId> {
        let Some(rules) = &self.settings.sites else { return Vec::new() };
        let Some(own_site) = rules.site_of_front.get(&self.own) else { return Vec::new() };
        let mut by_site: BTreeMap<SiteId, Vec<FrontId>> = BTreeMap::new();
        for (front, site) in &rules.site_of_front {
            by_site.entry(*site).or_default().push(*front);
        }
        let neighbours = by_site.get(own_site);
        let rank = neighbours.and_then(|fronts| fronts.iter().position(|front| *front == self.own));
        let turn = (self.ticks / HEARTBEAT_INTERVAL_TICKS) as usize + rank.unwrap_or(0);
        let others = by_site.iter().filter(|(site, _)| *site != own_site);
        others.map(|(_, fronts)| fronts[turn % fronts.len()]).collect()
    }

    /// Takes the fronts of which something came since this was called last, where sites are watched.
    pub fn take_heard_fronts(&mut self) -> Vec<FrontId> {
        std::mem::take(&mut self.heard_fronts).into_iter().collect()
    }
}
