//! Configuration changes that the engine takes over while it runs: classes and limits, and the layout of cells.

use elmtide::{ClassId, Event, RequestId, Router, Settings};
use elmtide_cells::{Layout, ShopId};

use super::cells::{self, CellRouting};
use super::timers::{Timer, CELL_INTERVAL_MS};
use super::{longest_wait, Engine, MAX_CLASSES, MAX_ROUTERS};
use crate::exchange::{Class, Upstream};

impl<U: Upstream> Engine<U> {
    /// New settings: a router of their own takes new requests, the one before keeps what it has open. Where a file brings
    /// the settings that there are, as one that only moves the bus does, all stays as it is.
    pub(super) fn reconfigure(&mut self, new: Settings, classes: Vec<Class>) -> Result<Vec<Class>, String> {
        if self.cells.is_some() {
            return Err("classes are taken over at the next start while cells are in force".into());
        }
        let (mut merged, mut names) = (self.settings.classes.clone(), self.class_names.clone());
        let mut table = Vec::new();
        for class in classes {
            let rules = new.classes.get(usize::from(class.id.0)).ok_or("a class without its settings")?;
            let same = names.iter().zip(&merged).position(|(n, c)| *n == class.name && c == rules);
            let id = match same {
                Some(id) => id,
                None if merged.len() < MAX_CLASSES => {
                    merged.push(rules.clone());
                    names.push(class.name.clone());
                    merged.len() - 1
                }
                None => return Err(format!("more than {MAX_CLASSES} classes since the start")),
            };
            table.push(Class { id: ClassId(id as u16), ..class });
        }
        let settings = Settings { classes: merged, ..new };
        if settings == self.settings {
            // Nothing to decide by is new: the router keeps what it has seen of the nodes, and what it has sent to cold ones.
            return Ok(table);
        }
        let busy: std::collections::HashSet<usize> = self.exchanges.routers().collect();
        let free = (0..self.routers.len()).find(|r| *r != self.current && !busy.contains(r));
        let place = match free {
            Some(place) => place,
            None if self.routers.len() < MAX_ROUTERS => self.routers.len(),
            None => return Err("too many routers still have requests open".into()),
        };
        let mut actions = Vec::new();
        let router = Router::new(settings.clone(), self.seed, self.now, &mut actions);
        match place == self.routers.len() {
            true => self.routers.push(router),
            false => self.routers[place] = router,
        }
        self.wait_ms = longest_wait(&settings);
        (self.settings, self.class_names, self.current) = (settings, names, place);
        for action in actions {
            self.carry_out(place, action);
        }
        let entries = self.endpoints.present_listings();
        self.dispatch(place, cells::whole(entries));
        // A copy from before a purge must not be served by the new router either.
        let purges: Vec<_> = self.purges.iter().copied().collect();
        for (object, group, at) in purges {
            let ago = (self.now - at).max(0.0);
            self.dispatch(place, Event::Purged { object, group, ago });
        }
        Ok(table)
    }

    /// Another layout of cells. It has been checked; what can't be done leaves all as it was.
    pub(super) fn reconfigure_cells(&mut self, layout: Option<Box<Layout>>) {
        let Some(layout) = layout else {
            // What runs ends where it is; what waits is refused.
            let waiting: Vec<RequestId> = self.cells.iter().flat_map(|c| c.waiting.keys().copied()).collect();
            if let Some(cells) = self.cells.take() {
                self.router_names = cells.names;
            }
            waiting.into_iter().for_each(|id| self.reject(id, self.retry_after(id)));
            eprintln!("cells: there are none any more");
            return;
        };
        let names: Vec<&str> = layout.cells().iter().map(|c| &c.name[..]).collect();
        let told = format!("cells: {} are in force: {}", names.len(), names.join(", "));
        let (seed, now) = (self.seed, self.now);
        let relaid = match &mut self.cells {
            Some(cells) => cells.cells.apply_layout(*layout, now),
            None => {
                self.cells = Some(Box::new(CellRouting::new(
                    *layout,
                    seed,
                    now,
                    std::mem::take(&mut self.router_names),
                )));
                self.timers.schedule(now + CELL_INTERVAL_MS, Timer::Cells);
                Ok(())
            }
        };
        let fresh = relaid.and_then(|()| self.cells.as_mut().map_or(Ok(Vec::new()), |c| c.place_routers()));
        let told = match fresh {
            Err(why) => format!("cells: {why}"),
            Ok(fresh) => {
                for cells::Fresh { router: place, cell, sharing } in fresh {
                    let Some(cells) = &self.cells else { break };
                    let own = cells::settings(&self.settings, cells.cells.layout(), cell, sharing);
                    // All cells' routers build their tables alike: the same seed.
                    let mut actions = Vec::new();
                    let router = Router::new(own, seed, now, &mut actions);
                    debug_assert_eq!(place, self.routers.len());
                    self.routers.push(router);
                }
                told
            }
        };
        self.update_cell_endpoints();
        eprintln!("{told}");
    }

    /// Takes a tenant's move between cells back.
    pub(super) fn undo_move(&mut self, shop: ShopId) {
        let now = self.now;
        if self.cells.as_mut().is_some_and(|cells| cells.cells.undo_move(shop, now)) {
            eprintln!("cells: a move is undone");
        }
    }
}
