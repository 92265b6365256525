//! Endpoint updates: passes what the bus, the resolver and maintenance report on to the routers.

use std::sync::atomic::Ordering::Relaxed;

use elmtide::{Event, ListUpdate, Ms, ObjectId, Outcome, PurgeGroup};
use elmtide_cells::CellIx;

use super::routers::ChangedMembers;
use super::{cells, Engine};
use crate::exchange::{MembersUpdate, Upstream};
use crate::process::clock;

impl<U: Upstream> Engine<U> {
    /// Applies a list of the bus. The resolver's result is applied again if the bus may have overridden it.
    pub(super) fn apply_bus_endpoints(&mut self, members_update: &MembersUpdate, event: Event) {
        let changed = self.announced.heard(members_update, &event, self.now);
        let must_reapply = members_update.full || changed;
        self.upstream.update_members(members_update);
        self.apply_endpoint_update(members_update, event);
        if let Some((members_update, event)) = self.last_resolved.clone().filter(|_| must_reapply) {
            self.apply_resolved_endpoints(&members_update, event);
        }
        self.withdraw_from_unavailable();
    }

    /// Passes a purge to the routers, and keeps it for routers created later.
    pub(super) fn apply_purge(&mut self, object: Option<ObjectId>, group: PurgeGroup, at: Ms) {
        let ago = (self.now - at).max(0.0);
        self.knowledge.record_purge(object, group, self.now - ago, self.now);
        self.dispatch_to_all(&Event::Purged { object, group, ago });
    }

    /// Applies the resolver's result, except where the bus reports a node as draining.
    pub(super) fn apply_resolved_endpoints(&mut self, members_update: &MembersUpdate, mut event: Event) {
        self.announced.overrule(members_update, &mut event);
        self.upstream.update_members(members_update);
        self.apply_endpoint_update(members_update, event);
    }

    /// Passes a list to the routers.
    pub(super) fn apply_endpoint_update(&mut self, members_update: &MembersUpdate, event: Event) {
        self.knowledge.endpoints.update(members_update, &event);
        if let Some(maintenance) = &mut self.maintenance {
            maintenance.update_members(members_update);
            self.exclude_servers_under_maintenance();
        }
        let event = self.knowledge.endpoints.effective_event(event);
        self.failing.retain_present(self.knowledge.endpoints.present().map(|(member, _)| member));
        self.update_endpoint_figures();
        self.distribute_list(&event);
        self.update_slow_start_shares();
    }

    /// Gives every router what a list changes for it. Replaced routers still decide on their open requests.
    fn distribute_list(&mut self, event: &Event) {
        let changed = ChangedMembers::of(event);
        for router in self.routers.indices() {
            if self.routers.uses_all_servers(router) {
                self.dispatch(router, event.clone());
            } else if let Some(list) = self.routers.list_of_replaced(router, &changed, &self.knowledge) {
                self.dispatch(router, cells::full_list(list));
            }
        }
        if self.concerns_cells(&changed) {
            self.update_cell_endpoints();
        }
    }

    /// Whether the lists of cells may change with these members. A cell's list is made from those of the whole fleet, most of
    /// whose changes concern other locations.
    fn concerns_cells(&self, changed: &ChangedMembers) -> bool {
        let Some(cells) = &self.cells else { return false };
        let ChangedMembers::Some(members) = changed else { return true };
        members.iter().any(|member| {
            let endpoint = self.knowledge.endpoints.get(*member);
            self.routers.lists(*member) || endpoint.is_some_and(|e| cells.serves(e, &self.settings))
        })
    }

    /// Withdraws unwritten attempts that a member that is no longer ready would serve or fill, so that they go
    /// elsewhere: they were decided before the update and must not be written long after it.
    pub(super) fn withdraw_from_unavailable(&mut self) {
        let endpoints = &self.knowledge.endpoints;
        let withdrawn = self.upstream.withdraw_from(&|member| !endpoints.is_ready(member));
        self.ended_attempts.extend(withdrawn.into_iter().map(|key| (key, Outcome::Moot)));
    }

    /// Updates the routers on which servers are excluded for maintenance, and sends clients away if this front's
    /// machine is.
    pub(super) fn exclude_servers_under_maintenance(&mut self) {
        let Some(maintenance) = &mut self.maintenance else { return };
        let changed = maintenance.refresh();
        let own_machine_excluded = maintenance.is_own_machine_excluded();
        if own_machine_excluded != self.sends_clients_away {
            self.sends_clients_away = own_machine_excluded;
            self.counters.mode.machine_goes(own_machine_excluded, clock::uptime());
            let word =
                if own_machine_excluded { "is excluded: clients are sent away" } else { "is in use again" };
            eprintln!("work: this front's machine {word}");
        }
        if changed.is_empty() {
            return;
        }
        self.knowledge.endpoints.exclude(maintenance.excluded().clone());
        let entries = self.knowledge.endpoints.effective_listings(&changed);
        if entries.is_empty() {
            return;
        }
        self.distribute_list(&Event::List { update: ListUpdate::Delta, entries });
    }

    /// Updates the counts of listed cache nodes and of excluded ones: not ready, or failing since their last good
    /// answer.
    pub(super) fn update_endpoint_figures(&self) {
        let (mut known, mut avoided) = (0, 0);
        for (member, ready) in self.knowledge.endpoints.present() {
            known += 1;
            avoided += u64::from(!ready || self.failing.is_failing(member));
        }
        self.counters.figures.cache_nodes_known.store(known, Relaxed);
        self.counters.figures.cache_nodes_excluded.store(avoided, Relaxed);
    }

    /// Gives each cell's router its full list, and the cells their numbers of ready nodes.
    pub(super) fn update_cell_endpoints(&mut self) {
        let Some(cells) = &self.cells else { return };
        let now = self.now;
        let (lists, ready) = cells.lists(&self.knowledge.endpoints, &self.settings);
        if lists.iter().any(|(router, list)| self.routers.gains_server(*router, list)) {
            let handover = self.routers.handover(&self.knowledge, now);
            let mut actions = Vec::new();
            for (router, list) in lists {
                self.routers.replace_list(router, list, &handover, &mut actions);
            }
            debug_assert!(actions.is_empty(), "a full list orders nothing");
        } else {
            for (router, list) in lists {
                self.dispatch(router, cells::full_list(list));
            }
        }
        self.set_ready_nodes(ready);
    }

    /// Tells the cells how many of their nodes are ready.
    pub(super) fn set_ready_nodes(&mut self, ready: Vec<usize>) {
        let now = self.now;
        if let Some(cells) = &mut self.cells {
            for (index, ready) in ready.into_iter().enumerate() {
                cells.cells.set_ready_nodes(CellIx(index as u16), ready, now);
            }
        }
        self.apply_cell_decisions();
    }
}
