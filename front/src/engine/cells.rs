//! Cells in service: each cell has a router of its own over its own list; what is common (parents, origin, drains and
//! purges) is told to all, and what they may fill from it has one owner, `elmtide_cells`.

use std::collections::HashMap;

use elmtide::{Availability, Event, ListUpdate, Listing, Ms, Request, RequestId, Settings};
use elmtide_cells::{CellIx, Cells, Layout, ShopId};

use super::endpoint_set::{Endpoint, EndpointSet};

/// Routers at most, those of cells that are no more included.
const MAX_CELL_ROUTERS: usize = 128;

/// One router's part of the fleet: a cell, or the shard of it that some shops have.
#[derive(Clone, Debug, PartialEq)]
struct Part {
    cell: CellIx,
    /// Places of the shard's boxes in the cell; all of them for none.
    shard: Option<Vec<usize>>,
    router: usize,
}

/// What the engine keeps while there are cells.
pub struct CellRouting {
    pub cells: Cells,
    parts: Vec<Part>,
    /// What each router was made for; the first is of the time without cells.
    pub names: Vec<String>,
    /// Requests that wait for room in their cell, and whom they are for.
    pub waiting: HashMap<RequestId, (Request, ShopId)>,
}

/// Settings of a router of a cell: of what is common it has its cell's share, as if so many more fronts were there; of the
/// cell's boxes it has the part that the cell's other routers leave.
pub fn settings(set: &Settings, layout: &Layout, cell: CellIx, sharing: usize) -> Settings {
    let cells = layout.cells();
    let share = cells[usize::from(cell.0)].source_share.max(1.0 / (8.0 * cells.len() as f64));
    let more = if cells.len() == 1 { 1.0 } else { 1.0 / share } * sharing as f64;
    let zone = usize::from(set.zone.0);
    let mut own = set.clone();
    own.fronts = Some((f64::from(set.fronts.unwrap_or(1).max(1)) * more).ceil() as u32);
    if own.zone_fronts.len() <= zone {
        own.zone_fronts.resize(zone + 1, set.fronts.unwrap_or(1));
    }
    own.zone_fronts[zone] = own.zone_fronts[zone].max(1) * sharing as u32;
    // The link into this location is common to all cells too.
    if let Some(link) = own.zone_link_kb_per_s.get_mut(zone) {
        *link *= sharing as f64 / more;
    }
    own
}

/// A router that has yet to be made: its place, the cell, and how many routers share the cell's boxes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fresh {
    pub router: usize,
    pub cell: CellIx,
    pub sharing: usize,
}

impl CellRouting {
    /// With the routers that there are, by what they were made for.
    pub fn new(layout: Layout, seed: u64, now: Ms, names: Vec<String>) -> CellRouting {
        CellRouting {
            cells: Cells::new(layout, seed, now),
            parts: Vec::new(),
            names,
            waiting: HashMap::new(),
        }
    }

    /// Gives each cell and shard of the layout in force a router; those that have none yet are returned, in order.
    pub fn place_routers(&mut self) -> Result<Vec<Fresh>, String> {
        let layout = self.cells.layout();
        let mut wanted: Vec<(CellIx, Option<Vec<usize>>)> = Vec::new();
        for place in 0..layout.cells().len() {
            wanted.push((CellIx(place as u16), None));
        }
        let sharded = |shop: &ShopId| layout.rule(*shop).is_some_and(|r| r.shard.is_some());
        for shop in layout.shops().filter(sharded) {
            let part = (layout.cell_of(shop), Some(layout.shard_of(shop)));
            if !wanted.contains(&part) {
                wanted.push(part);
            }
            if wanted.len() > MAX_CELL_ROUTERS {
                return Err(format!("over {MAX_CELL_ROUTERS} different cells and shards"));
            }
        }
        let sharing = |cell: CellIx| wanted.iter().filter(|(c, _)| *c == cell).count();
        let (mut names, mut fresh, mut parts) = (self.names.clone(), Vec::new(), Vec::new());
        for (cell, shard) in &wanted {
            let many = sharing(*cell);
            let name = format!("{} {shard:?} {many}", layout.cells()[usize::from(cell.0)].name);
            let known = names.iter().skip(1).position(|n| *n == name).map(|p| p + 1);
            let router = known.unwrap_or_else(|| {
                names.push(name);
                fresh.push(Fresh { router: names.len() - 1, cell: *cell, sharing: many });
                names.len() - 1
            });
            parts.push(Part { cell: *cell, shard: shard.clone(), router });
        }
        if names.len() > 2 * MAX_CELL_ROUTERS {
            return Err(format!(
                "over {} cells and shards since the start: restart the front",
                2 * MAX_CELL_ROUTERS
            ));
        }
        (self.names, self.parts) = (names, parts);
        Ok(fresh)
    }

    /// Who decides on a request of a shop in a cell: in its own cell, the router of its shard.
    pub fn router(&self, cell: CellIx, shop: ShopId) -> usize {
        let layout = self.cells.layout();
        let own = layout.cell_of(shop) == cell && layout.rule(shop).is_some_and(|r| r.shard.is_some());
        let shard = own.then(|| layout.shard_of(shop));
        let part =
            |shard: &Option<Vec<usize>>| self.parts.iter().find(|p| p.cell == cell && p.shard == *shard);
        part(&shard).or_else(|| part(&None)).map_or(0, |p| p.router)
    }

    /// The cell that a router is for, while the layout has it.
    pub fn cell(&self, router: usize) -> Option<CellIx> {
        self.parts.iter().find(|p| p.router == router).map(|p| p.cell)
    }

    /// The list for each router, and how many boxes of each cell are ready. A cache node that no cell has is nobody's.
    pub fn lists(&self, endpoints: &EndpointSet, set: &Settings) -> (Vec<(usize, Vec<Listing>)>, Vec<usize>) {
        let layout = self.cells.layout();
        let common = |l: &Listing| Some(l.kind) == set.parent_kind || Some(l.kind) == set.origin_kind;
        let mut ready = vec![0; layout.cells().len()];
        let mut lists: Vec<(usize, Vec<Listing>)> =
            self.parts.iter().map(|p| (p.router, Vec::new())).collect();
        for Endpoint { listing, name, addr } in endpoints.effective_endpoints() {
            let listing = &listing;
            if common(listing) {
                lists.iter_mut().for_each(|(_, list)| list.push(*listing));
                continue;
            }
            let by_address = || layout.cell_of_node(&addr.as_ref()?.to_string());
            let Some(cell) = layout.cell_of_node(&name).or_else(by_address) else { continue };
            let boxes = &layout.cells()[usize::from(cell.0)].boxes;
            let addr = addr.map(|a| a.to_string());
            let place = boxes.iter().position(|b| **b == *name || Some(b) == addr.as_ref());
            for (part, (_, list)) in self.parts.iter().zip(&mut lists) {
                let has = part.shard.as_ref().is_none_or(|s| place.is_some_and(|p| s.contains(&p)));
                if part.cell == cell && has {
                    list.push(*listing);
                }
            }
            ready[usize::from(cell.0)] +=
                usize::from(listing.availability == Availability::Ready && listing.zone == set.zone);
        }
        (lists, ready)
    }
}

/// A whole list for a router.
pub fn whole(entries: Vec<Listing>) -> Event {
    Event::List { update: ListUpdate::Full, entries }
}
