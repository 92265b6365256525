//! Configuration changes applied while the engine runs: classes, limits, and the layout of cells.

use std::collections::HashSet;

use elmtide::{ClassId, Listing, RequestId, Settings};
use elmtide_cells::{Layout, ShopId};

use super::cells::{self, CellRouting, CellScope, LayoutError};
use super::routers::{RouterScope, RouterSpec};
use super::timers::{Timer, CELL_INTERVAL_MS};
use super::{configured_max_retry_after, Engine, MAX_CLASSES};
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
        self.remove_idle_routers();
        self.routers.has_room_for(1).map_err(|error| error.to_string())?;
        self.max_retry_after_ms = configured_max_retry_after(&settings);
        (self.settings, self.class_names) = (settings, names);
        self.replace_current_router();
        Ok(class_table)
    }

    /// Gives new requests to a new router for all servers; the routers before it keep their open requests.
    fn replace_current_router(&mut self) {
        self.heed_lease_changes();
        self.knowledge.apply_settings(&self.settings);
        let spec = RouterSpec { scope: RouterScope::AllServers, settings: self.settings.clone() };
        let list = self.knowledge.endpoints.present_listings();
        let handover = self.routers.handover(&self.knowledge, self.now);
        let mut actions = Vec::new();
        let index = self.routers.create(spec, list, &handover, &mut actions);
        self.routers.replace_all_but(&[index]);
        self.current_router = index;
        actions.into_iter().for_each(|action| self.carry_out(index, action));
    }

    /// Removes the routers that were replaced and have no requests any more.
    pub(super) fn remove_idle_routers(&mut self) {
        let in_use: HashSet<usize> = self.exchanges.routers().collect();
        self.routers.remove_idle(&in_use, &mut self.knowledge, self.now);
    }

    /// Applies another layout of cells, or none. If it can't be applied, nothing changes.
    pub(super) fn reconfigure_cells(&mut self, layout: Option<Box<Layout>>) -> Result<(), String> {
        self.remove_idle_routers();
        let applied = match layout {
            Some(layout) => self.apply_layout(*layout),
            None => self.remove_cells(),
        };
        let message =
            applied.map_err(|error| error.to_string()).inspect_err(|error| eprintln!("cells: {error}"))?;
        eprintln!("cells: {message}");
        Ok(())
    }

    /// Returns to one list and one budget. Running requests finish where they are; waiting ones are rejected.
    fn remove_cells(&mut self) -> Result<String, LayoutError> {
        self.routers.has_room_for(1)?;
        let waiting: Vec<RequestId> = self.cells.iter().flat_map(|c| c.waiting.keys().copied()).collect();
        if self.cells.take().is_some() {
            self.replace_current_router();
        }
        waiting.into_iter().for_each(|id| self.reject(id, self.retry_after(id)));
        Ok("no cells are configured any more".into())
    }

    fn apply_layout(&mut self, layout: Layout) -> Result<String, LayoutError> {
        let required = cells::required_routers(&layout, &self.settings)?;
        let found: Vec<Option<usize>> =
            required.iter().map(|(_, spec)| self.routers.find_current(spec)).collect();
        self.routers.has_room_for(found.iter().filter(|index| index.is_none()).count())?;
        let names: Vec<&str> = layout.cells().iter().map(|c| &c.name[..]).collect();
        let message = format!("{} are in force: {}", names.len(), names.join(", "));
        self.heed_lease_changes();
        let scopes = required.iter().map(|(scope, _)| scope);
        let (lists, ready) = cells::lists(&layout, scopes, &self.knowledge.endpoints, &self.settings);
        match &mut self.cells {
            Some(cells) => cells.cells.apply_layout(layout, self.now).map_err(LayoutError::Invalid)?,
            None => {
                self.cells = Some(Box::new(CellRouting::new(layout, self.seed, self.now)));
                self.timers.schedule(self.now + CELL_INTERVAL_MS, Timer::Cells);
            }
        }
        self.assign_cell_routers(required, found, lists);
        self.set_ready_nodes(ready);
        Ok(message)
    }

    /// Gives each scope the router that was found for it, or a new one; other routers take no more requests.
    fn assign_cell_routers(
        &mut self,
        required: Vec<(CellScope, RouterSpec)>,
        found: Vec<Option<usize>>,
        lists: Vec<Vec<Listing>>,
    ) {
        let handover = self.routers.handover(&self.knowledge, self.now);
        let (mut scopes, mut ordered) = (Vec::new(), Vec::new());
        for (((scope, spec), found), list) in required.into_iter().zip(found).zip(lists) {
            let mut actions = Vec::new();
            let index = match found {
                Some(index) => {
                    self.routers.replace_list(index, list, &handover, &mut actions);
                    index
                }
                None => self.routers.create(spec, list, &handover, &mut actions),
            };
            scopes.push((scope, index));
            ordered.extend(actions.into_iter().map(|action| (index, action)));
        }
        let current: Vec<usize> = scopes.iter().map(|(_, index)| *index).collect();
        self.routers.replace_all_but(&current);
        if let Some(cells) = &mut self.cells {
            cells.set_routers(scopes);
        }
        ordered.into_iter().for_each(|(index, action)| self.carry_out(index, action));
    }

    /// Undoes a shop's move between cells.
    pub(super) fn undo_move(&mut self, shop: ShopId) {
        let now = self.now;
        if self.cells.as_mut().is_some_and(|cells| cells.cells.undo_move(shop, now)) {
            eprintln!("cells: the move of a shop was undone");
        }
    }
}
