//! Properties of the keeper: versions and row stamps never decrease, and the order of patches does not matter.

use {
    proptest::{collection, prelude::*, test_runner::RngSeed},
    std::{collections::BTreeMap, sync::Arc, time::Instant},
    table::{
        KeeperEvent, RowChange, StampedRow, StampedTable, TableKeeper, TableSource, WorkRow,
        merge_rows,
    },
};

const KEYS: [&str; 4] = ["a", "b", "c", "d"];

fn fixed_config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    }
}

fn row(key: usize, weight: u8) -> WorkRow {
    WorkRow {
        between_tokens: None,
        first_token: None,
        limit: None,
        model: None,
        patience: std::time::Duration::from_secs(1),
        rank: 0,
        repeat: false,
        retries: 0,
        service: "s".into(),
        waste: 0.0,
        weight: f64::from(weight),
        work: KEYS[key].into(),
        zones: Vec::new(),
    }
}

prop_compose! {
    /// A table with an arbitrary history and arbitrary stamps.
    fn any_table()(
        rows in collection::btree_map(0..KEYS.len(), (0_u8..4, 1_u64..6), 0..4),
        ahead in 0_u64..3,
    ) -> StampedTable {
        let mut version = ahead;
        let mut stamped = BTreeMap::new();
        for (key, (weight, stamp)) in rows {
            version = version.max(stamp + ahead);
            let row = (weight > 0).then(|| row(key, weight));
            stamped.insert(Arc::from(KEYS[key]), StampedRow { row, stamp, written: stamp });
        }
        StampedTable::from_rows(version, stamped)
    }
}

fn offer(keeper: &mut TableKeeper, now: Instant, table: &StampedTable, since: u64) {
    let event = KeeperEvent::Pulled {
        patch: table.patch_since(since),
        source: TableSource::Platform,
    };
    keeper.on_event(now, event, &mut Vec::new());
}

proptest! {
    #![proptest_config(fixed_config())]

    #[test]
    fn versions_and_rows_never_go_down(offers in collection::vec((any_table(), 0_u64..4), 1..8)) {
        let now = Instant::now();
        let mut keeper = TableKeeper::new(now);
        for (table, since) in &offers {
            let before = keeper.table().clone();
            offer(&mut keeper, now, table, *since);
            let after = keeper.table();
            prop_assert!(after.version() >= before.version());
            for (work, held) in before.rows() {
                prop_assert!(after.rows()[work].stamp >= held.stamp);
            }
        }
    }

    #[test]
    fn the_order_of_offers_does_not_count(offers in collection::vec(any_table(), 1..6), turn in 0_usize..6) {
        let now = Instant::now();
        let mut left = TableKeeper::new(now);
        let mut right = TableKeeper::new(now);
        for table in &offers {
            offer(&mut left, now, table, 0);
        }
        let turn = turn % offers.len();
        for table in offers[turn..].iter().chain(&offers[..turn]).rev() {
            offer(&mut right, now, table, 0);
            offer(&mut right, now, table, 0);
        }
        prop_assert_eq!(left.head(), right.head());
        prop_assert_eq!(left.table().rows(), right.table().rows());
    }

    #[test]
    fn the_digest_is_that_of_the_rows(offers in collection::vec(any_table(), 1..6)) {
        let now = Instant::now();
        let mut keeper = TableKeeper::new(now);
        for table in &offers {
            offer(&mut keeper, now, table, 0);
        }
        let table = keeper.table();
        let fresh = StampedTable::from_rows(table.version(), table.rows().clone());
        prop_assert_eq!(fresh.digest(), table.digest());
    }

    #[test]
    fn a_merge_agrees_with_a_cell_by_cell_oracle(
        base in any_table(),
        mine in any_table(),
        theirs in any_table(),
    ) {
        let (base, mine, theirs) = (base.live_rows(), mine.live_rows(), theirs.live_rows());
        let merge = merge_rows(&base, &mine, &theirs);
        let mut merged = theirs.clone();
        for RowChange { after, work, .. } in &merge.changes {
            match after {
                Some(row) => merged.insert(work.clone(), row.clone()),
                None => merged.remove(work),
            };
        }
        for key in KEYS {
            let (old, edited, current) = (base.get(key), mine.get(key), theirs.get(key));
            let conflict = merge.conflicts.iter().any(|conflict| &*conflict.work == key);
            prop_assert_eq!(conflict, edited != old && current != old && edited != current);
            let expected = if edited == old || conflict { current } else { edited };
            prop_assert_eq!(merged.get(key), expected);
        }
    }
}
