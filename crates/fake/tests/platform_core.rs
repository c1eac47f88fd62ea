//! Tests of the platform's core in virtual time and of its rows against a reference model.

use {
    fake::{
        InstanceRegistry, PlatformCore, PlatformFaults, PlatformSettings, RowTable,
        platform::platform_core::ReplyDelivery,
    },
    plat::{
        InstanceKind, InstanceRecord, InstanceState, RowCondition, RowWrite, Transaction,
        TransactionReply,
    },
    proptest::{
        collection::vec,
        option,
        prelude::{ProptestConfig, Strategy, any, proptest},
        test_runner::RngSeed,
    },
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

fn record(name: &str, state: InstanceState) -> InstanceRecord {
    InstanceRecord {
        address: Arc::from("127.0.0.1:1"),
        checks_fence: false,
        kind: InstanceKind::Plain,
        model: None,
        name: Arc::from(name),
        service: None,
        state,
        zone: Arc::from("riga-a"),
    }
}

fn write(key: &str) -> Transaction {
    Transaction {
        conditions: Vec::new(),
        writes: vec![RowWrite {
            key: Arc::from(key),
            value: Some(Arc::from("value")),
        }],
    }
}

#[test]
fn the_list_shows_each_change_after_its_lag() {
    let lag = Duration::from_secs(3);
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut registry = InstanceRegistry::default();
    registry.put(at(0), record("a", InstanceState::Live));
    registry.put(at(2), record("a", InstanceState::Leaving));
    registry.remove(at(4), "a");
    assert!(registry.list(at(2), lag).is_empty());
    assert_eq!(registry.list(at(3), lag)[0].state, InstanceState::Live);
    assert_eq!(registry.list(at(6), lag)[0].state, InstanceState::Leaving);
    assert!(registry.list(at(7), lag).is_empty());
    assert!(registry.list(at(4), Duration::ZERO).is_empty());
}

#[test]
fn a_row_written_after_its_removal_starts_again() {
    let mut table = RowTable::default();
    table.commit(&write("a"));
    table.commit(&write("a"));
    assert_eq!(table.get("a").unwrap().version, 2);
    let removal = Transaction {
        conditions: Vec::new(),
        writes: vec![RowWrite {
            key: Arc::from("a"),
            value: None,
        }],
    };
    table.commit(&removal);
    table.commit(&write("a"));
    assert_eq!(table.get("a").unwrap().version, 1);
}

#[test]
fn lost_replies_follow_the_seed() {
    let deliveries = |seed| {
        let settings = PlatformSettings::builder().seed(seed).build();
        let mut core = PlatformCore::new(&settings);
        core.set_faults(PlatformFaults {
            lose_reply_probability: 0.5,
            ..PlatformFaults::default()
        });
        let now = Instant::now();
        (0..64)
            .map(|_| core.commit(now, &write("a")).1)
            .collect::<Vec<_>>()
    };
    let first = deliveries(1);
    assert_eq!(first, deliveries(1));
    assert_ne!(first, deliveries(2));
    assert!(first.contains(&ReplyDelivery::Lost) && first.contains(&ReplyDelivery::Sent));
}

#[test]
fn the_counters_tell_the_peak_of_a_second() {
    let mut core = PlatformCore::new(&PlatformSettings::default());
    let start = Instant::now();
    for millis in [0, 100, 200, 1100, 1200] {
        core.get_row(start + Duration::from_millis(millis), "a");
    }
    assert_eq!(core.counters().reads, 5);
    assert_eq!(core.counters().peak_reads, 3);
}

type OracleRows = BTreeMap<Arc<str>, (Arc<str>, u64)>;

fn key(number: u8) -> Arc<str> {
    Arc::from(format!("k{number}"))
}

fn transaction() -> impl Strategy<Value = Transaction> {
    let conditions = vec((0..4_u8, 0..3_u64), 0..3);
    let writes = vec((0..4_u8, option::of(any::<u8>())), 0..4);
    (conditions, writes).prop_map(|(conditions, writes)| Transaction {
        conditions: conditions
            .into_iter()
            .map(|(number, version)| RowCondition {
                key: key(number),
                version,
            })
            .collect(),
        writes: writes
            .into_iter()
            .map(|(number, value)| RowWrite {
                key: key(number),
                value: value.map(|value| Arc::from(value.to_string())),
            })
            .collect(),
    })
}

fn oracle_commit(rows: &mut OracleRows, transaction: &Transaction) -> bool {
    for condition in &transaction.conditions {
        let version = rows.get(&condition.key).map_or(0, |row| row.1);
        if version != condition.version {
            return false;
        }
    }
    for write in &transaction.writes {
        let old = rows.remove(&write.key);
        let Some(value) = &write.value else {
            continue;
        };
        let version = old.map_or(1, |row| row.1 + 1);
        rows.insert(write.key.clone(), (value.clone(), version));
    }
    true
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn rows_do_as_the_oracle_does(transactions in vec(transaction(), 1..40)) {
        let mut rows = OracleRows::new();
        let mut table = RowTable::default();
        for transaction in &transactions {
            let committed = oracle_commit(&mut rows, transaction);
            let reply = table.commit(transaction);
            assert_eq!(reply == TransactionReply::Committed, committed);
            let kept: OracleRows = table
                .scan("k")
                .into_iter()
                .map(|row| (row.key, (row.value, row.version)))
                .collect();
            assert_eq!(kept, rows);
        }
    }
}
