//! Emptying a cell into others: as much as they have room for, the most worth first; the rest is refused, and never
//! spread over all.

use crate::{CellIx, ShopId};

/// What a shop brings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    pub shop: ShopId,
    /// Requests running at once.
    pub running: f64,
    /// What serving it is worth, by the operators' order.
    pub worth: f64,
    /// The cell that serves it now, where its copies lie.
    pub host: CellIx,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evacuation {
    pub moved: Vec<(ShopId, CellIx)>,
    pub refused: Vec<ShopId>,
}

/// Places shops into cells with room (running requests that they could bear besides): by worth for what they take,
/// each into the cell that serves it now if that has room, else into the one with most room left.
pub fn plan(loads: &[Load], room: &[(CellIx, f64)]) -> Evacuation {
    let mut order: Vec<&Load> =
        loads.iter().filter(|l| l.running.is_finite() && l.worth.is_finite()).collect();
    let density = |l: &Load| l.worth / l.running.max(1e-9);
    order.sort_by(|a, b| density(b).total_cmp(&density(a)).then(a.shop.cmp(&b.shop)));
    let mut left: Vec<(CellIx, f64)> = room.iter().filter(|(_, r)| r.is_finite()).copied().collect();
    let mut out = Evacuation::default();
    for load in order {
        match host_for(load, &mut left) {
            Some((cell, room)) => {
                *room -= load.running;
                out.moved.push((load.shop, *cell));
            }
            None => out.refused.push(load.shop),
        }
    }
    let placed = |shop: &ShopId| out.moved.iter().any(|(s, _)| s == shop) || out.refused.contains(shop);
    let unplaced: Vec<ShopId> = loads.iter().map(|l| l.shop).filter(|s| !placed(s)).collect();
    out.refused.extend(unplaced);
    out
}

/// The cell for a shop among those with enough room, and the room left there.
fn host_for<'a>(load: &Load, left: &'a mut [(CellIx, f64)]) -> Option<&'a mut (CellIx, f64)> {
    let fitting = left.iter_mut().filter(|(_, room)| *room >= load.running);
    fitting.max_by(|one, other| {
        let is_host = |cell: CellIx| cell == load.host;
        is_host(one.0).cmp(&is_host(other.0)).then(one.1.total_cmp(&other.1))
    })
}

#[cfg(test)]
mod tests;
