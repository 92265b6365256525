use super::*;

#[test]
fn a_shop_stays_with_its_host_while_there_is_capacity() {
    let load = |n: u64, host| Load { shop: ShopId(n), running: 2.0, worth: 1.0, host: CellIx(host) };
    let capacities = [(CellIx(1), 3.0), (CellIx(2), 9.0)];
    let plan = plan(&[load(1, 1), load(2, 1), load(3, 2), load(4, 0)], &capacities);
    let placed = [(1, 1), (2, 2), (3, 2), (4, 2)].map(|(shop, cell)| (ShopId(shop), CellIx(cell)));
    assert_eq!(plan.placed, placed);
}

#[test]
fn shops_are_placed_by_value_and_within_the_capacity() {
    let load = |n: u64, running, worth| Load { shop: ShopId(n), running, worth, host: CellIx(0) };
    let loads = [load(1, 5.0, 1.0), load(2, 5.0, 10.0), load(3, 4.0, 8.0), load(4, f64::NAN, 9.0)];
    let plan = plan(&loads, &[(CellIx(1), 6.0), (CellIx(2), 4.0)]);
    assert_eq!(plan.placed, [(ShopId(2), CellIx(1)), (ShopId(3), CellIx(2))]);
    assert_eq!(plan.refused, [ShopId(1), ShopId(4)]);
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig { failure_persistence: None, ..Default::default() })]

    #[test]
    fn every_shop_is_decided_and_no_capacity_is_exceeded(
        loads in proptest::collection::vec((0.0f64..20.0, 0.0f64..20.0, 0u16..8), 0..60),
        capacities in proptest::collection::vec(0.0f64..60.0, 0..6),
    ) {
        let loads: Vec<Load> = loads.iter().enumerate()
            .map(|(n, (running, worth, host))| {
                Load { shop: ShopId(n as u64), running: *running, worth: *worth, host: CellIx(*host) }
            }).collect();
        let capacities: Vec<(CellIx, f64)> =
            capacities.iter().enumerate().map(|(n, c)| (CellIx(n as u16), *c)).collect();
        let plan = plan(&loads, &capacities);
        proptest::prop_assert_eq!(plan.placed.len() + plan.refused.len(), loads.len());
        for (cell, capacity) in capacities {
            let used: f64 = plan.placed.iter().filter(|(_, c)| *c == cell)
                .map(|(s, _)| loads[s.0 as usize].running).sum();
            proptest::prop_assert!(used <= capacity + 1e-9);
        }
    }
}
