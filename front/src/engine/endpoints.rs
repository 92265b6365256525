//! Endpoint updates: what the bus, the resolver and maintenance say of the members, on its way to the routers.

use std::sync::atomic::Ordering::Relaxed;

use elmtide::{Event, ListUpdate, Ms, ObjectId, Outcome, PurgeGroup};
use elmtide_cells::CellIx;

use super::{cells, Engine, MAX_REMEMBERED_PURGES};
use crate::exchange::{MembersNews, Upstream};
use crate::process::clock;

impl<U: Upstream> Engine<U> {
    /// A list of the bus. What the resolver found is applied again where the bus may have overruled it.
    pub(super) fn apply_bus_endpoints(&mut self, news: &MembersNews, event: Event) {
        let changed = self.announced.heard(news, &event, self.now);
        let again = news.full || changed;
        self.upstream.learn(news);
        self.apply_endpoint_update(news, event);
        if let Some((news, event)) = self.resolved.clone().filter(|_| again) {
            self.apply_resolved_endpoints(&news, event);
        }
        self.withdraw_from_unavailable();
    }

    /// Tells the routers of a purge, and remembers it for routers to come.
    pub(super) fn apply_purge(&mut self, object: Option<ObjectId>, group: PurgeGroup, at: Ms) {
        if self.purges.len() >= MAX_REMEMBERED_PURGES {
            self.purges.pop_front();
        }
        // On the engine's own time line from here on: who stamped it goes by another clock.
        let ago = clock::age_of(at);
        self.purges.push_back((object, group, self.now - ago));
        self.dispatch_to_all(&Event::Purged { object, group, ago });
    }

    /// What names lead to, as far as the bus does not say that it drains.
    pub(super) fn apply_resolved_endpoints(&mut self, news: &MembersNews, mut event: Event) {
        self.announced.overrule(news, &mut event);
        self.upstream.learn(news);
        self.apply_endpoint_update(news, event);
    }

    /// A list for whoever decides: the one router as it came, cells' routers each its own whole one.
    pub(super) fn apply_endpoint_update(&mut self, news: &MembersNews, event: Event) {
        self.endpoints.learn(news, &event);
        if let Some(maintenance) = &mut self.maintenance {
            maintenance.learn(news);
            self.exclude_servers_under_maintenance();
        }
        let event = self.endpoints.effective_event(event);
        self.failing.retain_present(self.endpoints.present().map(|(member, _)| member));
        self.update_endpoint_figures();
        // Without cells every router is told: those from before a reload still decide on what they hold.
        match self.cells {
            None => self.dispatch_to_all(&event),
            Some(_) => self.dispatch(0, event),
        }
        self.update_cell_endpoints();
        self.update_slow_start_shares();
    }

    /// What has not been written yet to a member that is not ready any more, or for a fill from it, goes elsewhere: it
    /// was decided before this was told, and must not be written long after.
    pub(super) fn withdraw_from_unavailable(&mut self) {
        let listed = &self.endpoints;
        let back = self.upstream.withdraw_from(&|member| !listed.is_ready(member));
        self.ended.extend(back.into_iter().map(|key| (key, Outcome::Moot)));
    }

    /// Has the routers drain what is to be kept off by now, and take back what is not.
    pub(super) fn exclude_servers_under_maintenance(&mut self) {
        let Some(maintenance) = &mut self.maintenance else { return };
        let changed = maintenance.refresh();
        let goes = maintenance.goes();
        if goes != self.sent_away {
            self.sent_away = goes;
            self.counters.mode.machine_goes(goes, clock::uptime());
            let word = if goes { "goes: clients are sent away" } else { "stays" };
            eprintln!("work: this front's machine {word}");
        }
        if changed.is_empty() {
            return;
        }
        self.endpoints.exclude(maintenance.off().clone());
        let entries = self.endpoints.effective_listings(&changed);
        if entries.is_empty() {
            return;
        }
        match self.cells {
            None => self.dispatch_to_all(&Event::List { update: ListUpdate::Delta, entries }),
            Some(_) => self.update_cell_endpoints(),
        }
    }

    /// The cache nodes in the list, and those avoided now: not ready, or failing since their last good answer.
    pub(super) fn update_endpoint_figures(&self) {
        let (mut known, mut avoided) = (0, 0);
        for (member, ready) in self.endpoints.present() {
            known += 1;
            avoided += u64::from(!ready || self.failing.is_failing(member));
        }
        self.counters.figures.cache_nodes_known.store(known, Relaxed);
        self.counters.figures.cache_nodes_excluded.store(avoided, Relaxed);
    }

    pub(super) fn update_cell_endpoints(&mut self) {
        let Some(cells) = &self.cells else { return };
        let now = self.now;
        let (lists, ready) = cells.lists(&self.endpoints, &self.settings);
        for (router, entries) in lists {
            self.dispatch(router, cells::whole(entries));
        }
        if let Some(cells) = &mut self.cells {
            for (place, ready) in ready.into_iter().enumerate() {
                cells.cells.set_ready_nodes(CellIx(place as u16), ready, now);
            }
        }
        self.apply_cell_decisions();
    }
}
