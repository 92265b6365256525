//! Places the shops of an evacuated cell into other cells, as far as those have capacity, by value per load. The
//! remaining shops are refused as a whole; the shortage is not spread over all.

use crate::{CellIx, ShopId};

/// The load that a shop brings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    pub shop: ShopId,
    /// Concurrent requests.
    pub running: f64,
    /// Value of serving it, by the operators' setting.
    pub worth: f64,
    /// The cell that serves it now and has its copies.
    pub host: CellIx,
}

/// Where each shop goes, and the shops that are refused.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evacuation {
    pub placed: Vec<(ShopId, CellIx)>,
    pub refused: Vec<ShopId>,
}

/// Places shops into cells with spare capacity, given as the concurrent requests that each cell can take in addition.
/// Shops are taken in the order of value per load; each goes to the cell that serves it now if that has capacity, else
/// to the cell with most capacity left.
pub fn plan(loads: &[Load], capacities: &[(CellIx, f64)]) -> Evacuation {
    let mut order: Vec<&Load> =
        loads.iter().filter(|l| l.running.is_finite() && l.worth.is_finite()).collect();
    let density = |l: &Load| l.worth / l.running.max(1e-9);
    order.sort_by(|a, b| density(b).total_cmp(&density(a)).then(a.shop.cmp(&b.shop)));
    let mut left: Vec<(CellIx, f64)> = capacities.iter().filter(|(_, c)| c.is_finite()).copied().collect();
    let mut plan = Evacuation::default();
    for load in order {
        match choose_host(load, &mut left) {
            Some((cell, capacity)) => {
                *capacity -= load.running;
                plan.placed.push((load.shop, *cell));
            }
            None => plan.refused.push(load.shop),
        }
    }
    let decided = |shop: &ShopId| plan.placed.iter().any(|(s, _)| s == shop) || plan.refused.contains(shop);
    let undecided: Vec<ShopId> = loads.iter().map(|l| l.shop).filter(|s| !decided(s)).collect();
    plan.refused.extend(undecided);
    plan
}

/// The cell for a shop among those with enough capacity, and the capacity left there.
fn choose_host<'a>(load: &Load, left: &'a mut [(CellIx, f64)]) -> Option<&'a mut (CellIx, f64)> {
    let candidates = left.iter_mut().filter(|(_, capacity)| *capacity >= load.running);
    candidates.max_by(|a, b| {
        let is_host = |cell: CellIx| cell == load.host;
        is_host(a.0).cmp(&is_host(b.0)).then(a.1.total_cmp(&b.1))
    })
}

#[cfg(test)]
mod tests;
