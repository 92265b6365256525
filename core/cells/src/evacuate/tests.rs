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
