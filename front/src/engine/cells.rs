//! Routing with cells. Each cell has its own router and server list. What cells share (parents, origin, drains and
//! purges) is given to all routers; `elmtide_cells` alone limits the fills from shared servers.

use std::collections::HashMap;

use elmtide::{Availability, Event, ListUpdate, Listing, Ms, Request, RequestId, Settings};
use elmtide_cells::{CellIx, Cells, Layout, ShopId};

use super::endpoint_set::{Endpoint, EndpointSet};
use super::routers::{RouterScope, RouterSpec, TooManyRouters};

/// Maximum number of routers that take requests.
const MAX_CELL_ROUTERS: usize = 128;

/// Why a layout can't be put in force.
#[derive(Debug, thiserror::Error)]
pub enum LayoutError {
    #[error("more than {MAX_CELL_ROUTERS} different cells and shards")]
    TooManyScopes,
    #[error(transparent)]
    TooManyRouters(#[from] TooManyRouters),
    #[error("{0}")]
    Invalid(String),
}

/// What one router serves: a cell, or the shard of a cell that some shops use.
#[derive(Clone, Debug, PartialEq)]
pub struct CellScope {
    cell: CellIx,
    /// Indices of the shard's boxes in the cell; `None` for all of them.
    shard: Option<Vec<usize>>,
}

/// The engine's state while cells are in use.
pub struct CellRouting {
    pub cells: Cells,
    /// Each scope of the layout, and the index of its router.
    scopes: Vec<(CellScope, usize)>,
    /// Requests queued in their cell, and the shop of each.
    pub waiting: HashMap<RequestId, (Request, ShopId)>,
}

/// The settings of a cell's router. It gets its cell's share of shared servers by counting correspondingly more
/// fronts, and an equal part of the cell's boxes among the cell's routers.
fn router_settings(settings: &Settings, layout: &Layout, cell: CellIx, routers_in_cell: usize) -> Settings {
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

/// The scopes of a layout, and how the router of each is specified.
///
/// # Errors
/// If there are too many.
pub fn required_routers(
    layout: &Layout,
    settings: &Settings,
) -> Result<Vec<(CellScope, RouterSpec)>, LayoutError> {
    let whole_cells = (0..layout.cells().len()).map(|index| CellIx(index as u16));
    let mut scopes: Vec<CellScope> = whole_cells.map(|cell| CellScope { cell, shard: None }).collect();
    let is_sharded = |shop: &ShopId| layout.rule(*shop).is_some_and(|r| r.shard.is_some());
    for shop in layout.shops().filter(is_sharded) {
        let scope = CellScope { cell: layout.cell_of(shop), shard: Some(layout.shard_of(shop)) };
        if !scopes.contains(&scope) {
            scopes.push(scope);
        }
        if scopes.len() > MAX_CELL_ROUTERS {
            return Err(LayoutError::TooManyScopes);
        }
    }
    let routers_in = |cell: CellIx| scopes.iter().filter(|scope| scope.cell == cell).count();
    let specify = |scope: &CellScope| {
        let name = &layout.cells()[usize::from(scope.cell.0)].name;
        let settings = router_settings(settings, layout, scope.cell, routers_in(scope.cell));
        RouterSpec { scope: RouterScope::Named(format!("{name} {:?}", scope.shard)), settings }
    };
    Ok(scopes.iter().map(|scope| (scope.clone(), specify(scope))).collect())
}

/// Whether all cells use the server.
fn is_shared(listing: &Listing, settings: &Settings) -> bool {
    Some(listing.kind) == settings.parent_kind || Some(listing.kind) == settings.origin_kind
}

/// The cell that has the endpoint by its name or, if none has, by its address.
fn cell_of(layout: &Layout, endpoint: &Endpoint) -> Option<CellIx> {
    let by_address = || layout.cell_of_node(&endpoint.addr?.to_string());
    layout.cell_of_node(&endpoint.name).or_else(by_address)
}

/// The listings of the servers of each scope, and the number of ready boxes of each cell. A cache node in no cell is
/// left out.
pub fn lists<'a>(
    layout: &Layout,
    scopes: impl Iterator<Item = &'a CellScope> + Clone,
    endpoints: &EndpointSet,
    settings: &Settings,
) -> (Vec<Vec<Listing>>, Vec<usize>) {
    let mut ready = vec![0; layout.cells().len()];
    let mut lists: Vec<Vec<Listing>> = scopes.clone().map(|_| Vec::new()).collect();
    for endpoint in endpoints.effective_endpoints() {
        let listing = &endpoint.listing;
        if is_shared(listing, settings) {
            lists.iter_mut().for_each(|list| list.push(*listing));
            continue;
        }
        let Some(cell) = cell_of(layout, &endpoint) else { continue };
        let boxes = &layout.cells()[usize::from(cell.0)].boxes;
        let addr = endpoint.addr.map(|a| a.to_string());
        let index = boxes.iter().position(|b| **b == *endpoint.name || Some(b) == addr.as_ref());
        for (scope, list) in scopes.clone().zip(&mut lists) {
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

impl CellRouting {
    /// Creates the state for a layout, which has no routers yet.
    pub fn new(layout: Layout, seed: u64, now: Ms) -> CellRouting {
        CellRouting { cells: Cells::new(layout, seed, now), scopes: Vec::new(), waiting: HashMap::new() }
    }

    /// Sets the layout's scopes and the index of the router of each.
    pub fn set_routers(&mut self, scopes: Vec<(CellScope, usize)>) {
        self.scopes = scopes;
    }

    /// The router for a shop's request in a cell: in the shop's own cell, the router of its shard.
    pub fn router(&self, cell: CellIx, shop: ShopId) -> usize {
        let layout = self.cells.layout();
        let is_own_sharded =
            layout.cell_of(shop) == cell && layout.rule(shop).is_some_and(|r| r.shard.is_some());
        let shard = is_own_sharded.then(|| layout.shard_of(shop));
        let find = |shard: &Option<Vec<usize>>| {
            self.scopes.iter().find(|(scope, _)| scope.cell == cell && scope.shard == *shard)
        };
        find(&shard).or_else(|| find(&None)).map_or(0, |(_, router)| *router)
    }

    /// Whether the endpoint is in a cell or shared by all.
    pub fn serves(&self, endpoint: &Endpoint, settings: &Settings) -> bool {
        is_shared(&endpoint.listing, settings) || cell_of(self.cells.layout(), endpoint).is_some()
    }

    /// The cell that a router serves; `None` if the layout does not use the router.
    pub fn cell(&self, router: usize) -> Option<CellIx> {
        self.scopes.iter().find(|(_, index)| *index == router).map(|(scope, _)| scope.cell)
    }

    /// The list of each router, and the number of ready boxes of each cell.
    pub fn lists(
        &self,
        endpoints: &EndpointSet,
        settings: &Settings,
    ) -> (Vec<(usize, Vec<Listing>)>, Vec<usize>) {
        let scopes = self.scopes.iter().map(|(scope, _)| scope);
        let (lists, ready) = lists(self.cells.layout(), scopes, endpoints, settings);
        (self.scopes.iter().map(|(_, router)| *router).zip(lists).collect(), ready)
    }
}

/// An event with a full list for a router.
pub fn full_list(entries: Vec<Listing>) -> Event {
    Event::List { update: ListUpdate::Full, entries }
}
