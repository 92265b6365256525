//! Routing with cells. Each cell has its own router and server list. What cells share (parents, origin, drains and
//! purges) is given to all routers; `elmtide_cells` alone limits the fills from shared servers.

use std::collections::HashMap;

use elmtide::{Availability, Event, ListUpdate, Listing, Ms, Request, RequestId, Settings};
use elmtide_cells::{CellIx, Cells, Layout, ShopId};

use super::endpoint_set::{Endpoint, EndpointSet};

/// Maximum number of routers in use at a time. Twice as many may be created in total since the start, including those
/// of removed cells.
const MAX_CELL_ROUTERS: usize = 128;

/// What one router serves: a cell, or the shard of a cell that some shops use.
#[derive(Clone, Debug, PartialEq)]
struct RouterScope {
    cell: CellIx,
    /// Indices of the shard's boxes in the cell; `None` for all of them.
    shard: Option<Vec<usize>>,
    router: usize,
}

/// The engine's state while cells are in use.
pub struct CellRouting {
    pub cells: Cells,
    scopes: Vec<RouterScope>,
    /// A name for what each router was created for; the first is the router that is used while no cells are
    /// configured.
    pub names: Vec<String>,
    /// Requests queued in their cell, and the shop of each.
    pub waiting: HashMap<RequestId, (Request, ShopId)>,
}

/// The settings of a cell's router. It gets its cell's share of shared servers by counting correspondingly more
/// fronts, and an equal part of the cell's boxes among the cell's routers.
pub fn router_settings(
    settings: &Settings,
    layout: &Layout,
    cell: CellIx,
    routers_in_cell: usize,
) -> Settings {
    let cells = layout.cells();
    let share = cells[usize::from(cell.0)].source_share.max(1.0 / (8.0 * cells.len() as f64));
    let front_multiple = if cells.len() == 1 { 1.0 } else { 1.0 / share } * routers_in_cell as f64;
    let zone = usize::from(settings.zone.0);
    let mut scaled = settings.clone();
    scaled.fronts = Some((f64::from(settings.fronts.unwrap_or(1).max(1)) * front_multiple).ceil() as u32);
    if scaled.zone_fronts.len() <= zone {
        scaled.zone_fronts.resize(zone + 1, settings.fronts.unwrap_or(1));
    }
    scaled.zone_fronts[zone] = scaled.zone_fronts[zone].max(1) * routers_in_cell as u32;
    // All cells also share the link into this location.
    if let Some(link) = scaled.zone_link_kb_per_s.get_mut(zone) {
        *link *= routers_in_cell as f64 / front_multiple;
    }
    scaled
}

/// A router that is still to be created: its index, its cell, and the number of routers that share the cell's boxes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRouter {
    pub router: usize,
    pub cell: CellIx,
    pub routers_in_cell: usize,
}

impl CellRouting {
    /// Creates the state for a layout; `names` are those of the existing routers.
    pub fn new(layout: Layout, seed: u64, now: Ms, names: Vec<String>) -> CellRouting {
        CellRouting {
            cells: Cells::new(layout, seed, now),
            scopes: Vec::new(),
            names,
            waiting: HashMap::new(),
        }
    }

    /// Assigns a router to each cell and shard of the current layout, and returns the routers to create, in order.
    pub fn assign_routers(&mut self) -> Result<Vec<NewRouter>, String> {
        let layout = self.cells.layout();
        let mut required: Vec<(CellIx, Option<Vec<usize>>)> = Vec::new();
        for index in 0..layout.cells().len() {
            required.push((CellIx(index as u16), None));
        }
        let sharded = |shop: &ShopId| layout.rule(*shop).is_some_and(|r| r.shard.is_some());
        for shop in layout.shops().filter(sharded) {
            let scope = (layout.cell_of(shop), Some(layout.shard_of(shop)));
            if !required.contains(&scope) {
                required.push(scope);
            }
            if required.len() > MAX_CELL_ROUTERS {
                return Err(format!("more than {MAX_CELL_ROUTERS} different cells and shards"));
            }
        }
        let count_routers = |cell: CellIx| required.iter().filter(|(c, _)| *c == cell).count();
        let (mut names, mut new_routers, mut scopes) = (self.names.clone(), Vec::new(), Vec::new());
        for (cell, shard) in &required {
            let many = count_routers(*cell);
            let name = format!("{} {shard:?} {many}", layout.cells()[usize::from(cell.0)].name);
            let known = names.iter().skip(1).position(|n| *n == name).map(|p| p + 1);
            let router = known.unwrap_or_else(|| {
                names.push(name);
                new_routers.push(NewRouter { router: names.len() - 1, cell: *cell, routers_in_cell: many });
                names.len() - 1
            });
            scopes.push(RouterScope { cell: *cell, shard: shard.clone(), router });
        }
        if names.len() > 2 * MAX_CELL_ROUTERS {
            return Err(format!(
                "more than {} cells and shards since the start: restart the front",
                2 * MAX_CELL_ROUTERS
            ));
        }
        (self.names, self.scopes) = (names, scopes);
        Ok(new_routers)
    }

    /// The router for a shop's request in a cell: in the shop's own cell, the router of its shard.
    pub fn router(&self, cell: CellIx, shop: ShopId) -> usize {
        let layout = self.cells.layout();
        let is_own_sharded =
            layout.cell_of(shop) == cell && layout.rule(shop).is_some_and(|r| r.shard.is_some());
        let shard = is_own_sharded.then(|| layout.shard_of(shop));
        let scope =
            |shard: &Option<Vec<usize>>| self.scopes.iter().find(|p| p.cell == cell && p.shard == *shard);
        scope(&shard).or_else(|| scope(&None)).map_or(0, |p| p.router)
    }

    /// The cell that a router serves; `None` if the layout does not use the router.
    pub fn cell(&self, router: usize) -> Option<CellIx> {
        self.scopes.iter().find(|p| p.router == router).map(|p| p.cell)
    }

    /// The list of each router, and the number of ready boxes of each cell. A cache node in no cell is left out.
    pub fn lists(
        &self,
        endpoints: &EndpointSet,
        settings: &Settings,
    ) -> (Vec<(usize, Vec<Listing>)>, Vec<usize>) {
        let layout = self.cells.layout();
        let is_shared =
            |l: &Listing| Some(l.kind) == settings.parent_kind || Some(l.kind) == settings.origin_kind;
        let mut ready = vec![0; layout.cells().len()];
        let mut lists: Vec<(usize, Vec<Listing>)> =
            self.scopes.iter().map(|p| (p.router, Vec::new())).collect();
        for Endpoint { listing, name, addr } in endpoints.effective_endpoints() {
            let listing = &listing;
            if is_shared(listing) {
                lists.iter_mut().for_each(|(_, list)| list.push(*listing));
                continue;
            }
            let by_address = || layout.cell_of_node(&addr.as_ref()?.to_string());
            let Some(cell) = layout.cell_of_node(&name).or_else(by_address) else { continue };
            let boxes = &layout.cells()[usize::from(cell.0)].boxes;
            let addr = addr.map(|a| a.to_string());
            let index = boxes.iter().position(|b| **b == *name || Some(b) == addr.as_ref());
            for (scope, (_, list)) in self.scopes.iter().zip(&mut lists) {
                let in_scope = scope.shard.as_ref().is_none_or(|s| index.is_some_and(|p| s.contains(&p)));
                if scope.cell == cell && in_scope {
                    list.push(*listing);
                }
            }
            ready[usize::from(cell.0)] +=
                usize::from(listing.availability == Availability::Ready && listing.zone == settings.zone);
        }
        (lists, ready)
    }
}

/// An event with a full list for a router.
pub fn full_list(entries: Vec<Listing>) -> Event {
    Event::List { update: ListUpdate::Full, entries }
}
