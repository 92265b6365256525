//! Configuration changes applied while the engine runs: classes, limits, and the layout of cells.

use elmtide::{ClassId, Event, RequestId, Router, Settings};
use elmtide_cells::{Layout, ShopId};

use super::cells::{self, CellRouting};
use super::timers::{Timer, CELL_INTERVAL_MS};
use super::{configured_max_retry_after, Engine, MAX_CLASSES, MAX_ROUTERS};
use crate::exchange::{Class, Upstream};

impl<U: Upstream> Engine<U> {
    /// Applies new settings: a new router takes new requests, the previous one keeps its open requests. If the
    /// settings are unchanged, as when only the address of the bus changed, everything stays as it is.
    pub(super) fn reconfigure(&mut self, new: Settings, classes: Vec<Class>) -> Result<Vec<Class>, String> {
        if self.cells.is_some() {
            return Err("while cells are in force, classes change only at the next start".into());
        }
        let (mut merged, mut names) = (self.settings.classes.clone(), self.class_names.clone());
        let mut class_table = Vec::new();
        for class in classes {
            let rules = new.classes.get(usize::from(class.id.0)).ok_or("a class without its settings")?;
            let unchanged = names.iter().zip(&merged).position(|(n, c)| *n == class.name && c == rules);
            let id = match unchanged {
                Some(id) => id,
                None if merged.len() < MAX_CLASSES => {
                    merged.push(rules.clone());
                    names.push(class.name.clone());
                    merged.len() - 1
                }
                None => return Err(format!("more than {MAX_CLASSES} classes since the start")),
            };
            class_table.push(Class { id: ClassId(id as u16), ..class });
        }
        let settings = Settings { classes: merged, ..new };
        if settings == self.settings {
            // Unchanged settings: the router keeps what it knows of the nodes, and what it has sent to cold ones.
            return Ok(class_table);
        }
        let routers_in_use: std::collections::HashSet<usize> = self.exchanges.routers().collect();
        let free_index =
            (0..self.routers.len()).find(|r| *r != self.current_router && !routers_in_use.contains(r));
        let index = match free_index {
            Some(index) => index,
            None if self.routers.len() < MAX_ROUTERS => self.routers.len(),
            None => return Err("too many routers still have requests open".into()),
        };
        let mut actions = Vec::new();
        let router = Router::new(settings.clone(), self.seed, self.now, &mut actions);
        match index == self.routers.len() {
            true => self.routers.push(router),
            false => self.routers[index] = router,
        }
        self.max_retry_after_ms = configured_max_retry_after(&settings);
        (self.settings, self.class_names, self.current_router) = (settings, names, index);
        for action in actions {
            self.carry_out(index, action);
        }
        let entries = self.endpoints.present_listings();
        self.dispatch(index, cells::full_list(entries));
        // The new router must not serve a copy from before a purge either.
        let purges: Vec<_> = self.purges.iter().copied().collect();
        for (object, group, at) in purges {
            let ago = (self.now - at).max(0.0);
            self.dispatch(index, Event::Purged { object, group, ago });
        }
        Ok(class_table)
    }

    /// Applies another layout of cells, or none. The layout has been checked; if it can't be applied, nothing changes.
    pub(super) fn reconfigure_cells(&mut self, layout: Option<Box<Layout>>) {
        let Some(layout) = layout else {
            // Running requests finish where they are; waiting ones are rejected.
            let waiting: Vec<RequestId> = self.cells.iter().flat_map(|c| c.waiting.keys().copied()).collect();
            if let Some(cells) = self.cells.take() {
                self.router_names = cells.names;
            }
            waiting.into_iter().for_each(|id| self.reject(id, self.retry_after(id)));
            eprintln!("cells: no cells are configured any more");
            return;
        };
        let names: Vec<&str> = layout.cells().iter().map(|c| &c.name[..]).collect();
        let message = format!("cells: {} are in force: {}", names.len(), names.join(", "));
        let (seed, now) = (self.seed, self.now);
        let layout_result = match &mut self.cells {
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
        let new_routers =
            layout_result.and_then(|()| self.cells.as_mut().map_or(Ok(Vec::new()), |c| c.assign_routers()));
        let message = match new_routers {
            Err(why) => format!("cells: {why}"),
            Ok(new_routers) => {
                for cells::NewRouter { router: index, cell, routers_in_cell } in new_routers {
                    let Some(cells) = &self.cells else { break };
                    let scaled =
                        cells::router_settings(&self.settings, cells.cells.layout(), cell, routers_in_cell);
                    // All cells' routers use the same seed, so that they build their tables alike.
                    let mut actions = Vec::new();
                    let router = Router::new(scaled, seed, now, &mut actions);
                    debug_assert_eq!(index, self.routers.len());
                    self.routers.push(router);
                }
                message
            }
        };
        self.update_cell_endpoints();
        eprintln!("{message}");
    }

    /// Undoes a shop's move between cells.
    pub(super) fn undo_move(&mut self, shop: ShopId) {
        let now = self.now;
        if self.cells.as_mut().is_some_and(|cells| cells.cells.undo_move(shop, now)) {
            eprintln!("cells: the move of a shop was undone");
        }
    }
}
