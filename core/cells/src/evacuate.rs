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
mod tests {
    use super::*;

    #[test]
    fn a_host_is_kept_while_it_has_room() {
        let load = |n: u64, host| Load { shop: ShopId(n), running: 2.0, worth: 1.0, host: CellIx(host) };
        let room = [(CellIx(1), 3.0), (CellIx(2), 9.0)];
        let plan = plan(&[load(1, 1), load(2, 1), load(3, 2), load(4, 0)], &room);
        let moved = [(1, 1), (2, 2), (3, 2), (4, 2)].map(|(shop, cell)| (ShopId(shop), CellIx(cell)));
        assert_eq!(plan.moved, moved);
    }

    #[test]
    fn the_most_worth_first_and_never_over_the_room() {
        let load = |n: u64, running, worth| Load { shop: ShopId(n), running, worth, host: CellIx(0) };
        let loads = [load(1, 5.0, 1.0), load(2, 5.0, 10.0), load(3, 4.0, 8.0), load(4, f64::NAN, 9.0)];
        let plan = plan(&loads, &[(CellIx(1), 6.0), (CellIx(2), 4.0)]);
        assert_eq!(plan.moved, [(ShopId(2), CellIx(1)), (ShopId(3), CellIx(2))]);
        assert_eq!(plan.refused, [ShopId(1), ShopId(4)]);
    }

    proptest::proptest! {
        #![proptest_config(proptest::prelude::ProptestConfig { failure_persistence: None, ..Default::default() })]

        #[test]
        fn everyone_is_told_and_no_room_is_overrun(
            loads in proptest::collection::vec((0.0f64..20.0, 0.0f64..20.0, 0u16..8), 0..60),
            room in proptest::collection::vec(0.0f64..60.0, 0..6),
        ) {
            let loads: Vec<Load> = loads.iter().enumerate()
                .map(|(n, (running, worth, host))| {
                    Load { shop: ShopId(n as u64), running: *running, worth: *worth, host: CellIx(*host) }
                }).collect();
            let room: Vec<(CellIx, f64)> = room.iter().enumerate().map(|(n, r)| (CellIx(n as u16), *r)).collect();
            let plan = plan(&loads, &room);
            proptest::prop_assert_eq!(plan.moved.len() + plan.refused.len(), loads.len());
            for (cell, most) in room {
                let used: f64 = plan.moved.iter().filter(|(_, c)| *c == cell)
                    .map(|(s, _)| loads[s.0 as usize].running).sum();
                proptest::prop_assert!(used <= most + 1e-9);
            }
        }
    }
}
