//! Properties of the CSV form: valid tables survive a round trip, and no input makes the reader panic.

use {
    proptest::{collection, option, prelude::*, test_runner::RngSeed},
    std::time::Duration,
    table::{FileBase, WorkRow, read_csv, write_csv},
};

fn fixed_config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    }
}

prop_compose! {
    fn any_duration()(value in 1_u64..600_000_000_000) -> Duration {
        Duration::from_nanos(value)
    }
}

prop_compose! {
    fn any_row()(
        work in "[a-z0-9][A-Za-z0-9._-]{0,20}",
        service in "[a-z][a-z-]{0,9}",
        model in option::of("[a-z][a-z0-9/:@+._-]{0,20}"),
        zones in collection::btree_set("[a-z]{1,4}-[a-c]", 0..4),
        targets in (option::of(any_duration()), option::of(any_duration())),
        patience in any_duration(),
        limit in option::of(1_u32..=1_000_000),
        numbers in (0_u8..=9, 0_u8..=9, any::<bool>()),
        waste in 0.0..=1.0,
        weight in 0.001..=1_000_000.0,
    ) -> WorkRow {
        WorkRow {
            between_tokens: targets.1.filter(|_| model.is_some()),
            first_token: targets.0,
            limit,
            model: model.map(Into::into),
            patience,
            rank: numbers.0,
            repeat: numbers.2,
            retries: numbers.1,
            service: service.into(),
            waste,
            weight,
            work: work.into(),
            zones: zones.into_iter().map(Into::into).collect(),
        }
    }
}

proptest! {
    #![proptest_config(fixed_config())]

    #[test]
    fn a_table_comes_back_from_its_csv(
        rows in collection::vec(any_row(), 0..8),
        version in any::<u64>(),
        digest in option::of(any::<u64>()),
        foreign in any::<bool>(),
    ) {
        let rows = rows.into_iter().map(|row| (row.work.clone(), row)).collect::<std::collections::BTreeMap<_, _>>();
        let base = FileBase { digest, version };
        let text = write_csv(Some(base), rows.values());
        let text = if foreign { text.replace(',', ";").replace('\n', "\r\n") } else { text };
        let file = read_csv("work.csv", text.as_bytes()).unwrap_or_else(|error| panic!("{error}"));
        prop_assert_eq!(file.base, Some(base));
        prop_assert_eq!(file.rows, rows);
    }

    #[test]
    fn no_bytes_make_the_reader_panic(content in collection::vec(any::<u8>(), 0..400)) {
        let _ = read_csv("work.csv", &content);
    }

    #[test]
    fn no_cells_make_the_reader_panic(cells in "([a-z0-9#=;,\"\n\r .é-]|work|service){0,200}") {
        let headings = "work,service,model,rank,weight,limit,zones,first_token,between_tokens,patience,repeat,retries,waste";
        let text = format!("{headings}\n{cells}");
        let _ = read_csv("work.csv", text.as_bytes());
    }
}
