//! Cells, their allocators and the split of limits.

use {
    crate::small_cell::patient,
    admit::CellPlan,
    kernel::{InstanceId, ModelId, ZoneId},
    proptest::prelude::*,
    std::collections::BTreeMap,
};

fn zones() -> Vec<ZoneId> {
    vec!["gijon".into(), "santander".into(), "ferrol".into()]
}

#[test]
fn an_instance_that_dies_moves_only_its_own_cells() {
    let plan = CellPlan::new(zones(), 40);
    let model: ModelId = "glaze".into();
    let live: Vec<InstanceId> = vec!["a".into(), "b".into(), "c".into()];
    let mut owned: BTreeMap<InstanceId, u32> = BTreeMap::new();
    for cell in plan.cells_of(&zones()[0], &model) {
        let owner = plan.allocator(&cell, &live).unwrap();
        *owned.entry(owner.clone()).or_default() += 1;
        let after = plan.allocator(&cell, &live[1..]).unwrap();
        assert!(owner == &live[0] || owner == after);
    }
    assert!(owned.values().all(|count| *count > 5), "{owned:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn the_parts_of_a_limit_sum_to_it(limit in 0..200_u32, cells in 1..9_u32, zone_count in 0..4_usize) {
        let plan = CellPlan::new(zones(), cells);
        let mut row = patient("report");
        row.limit = Some(limit);
        row.zones = zones()[..zone_count].to_vec();
        let mut sum = 0;
        for zone in zones() {
            for cell in plan.cells_of(&zone, &"glaze".into()) {
                sum += plan.limit_share(&row, &cell).unwrap();
            }
        }
        prop_assert_eq!(sum, limit);
        prop_assert_eq!(plan.cells_with_capacity(&row).is_empty(), limit == 0);
    }
}
