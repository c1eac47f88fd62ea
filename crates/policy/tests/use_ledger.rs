//! Reported usage adds up correctly when reports are lost or repeated.

use {
    kernel::CustomerId,
    policy::{UsageLedger, UsageReporter, UsageRow, UsageTotals},
    std::time::{Duration, Instant},
};

fn customer() -> CustomerId {
    "port-a".into()
}

fn reporter(name: &str, life: u64) -> UsageReporter {
    UsageReporter {
        instance: name.into(),
        life,
    }
}

fn row(total: i64, fresh: i64) -> [UsageRow; 1] {
    [UsageRow {
        customer: customer(),
        fresh,
        total,
    }]
}

fn totals(amount: i64) -> UsageTotals {
    UsageTotals::from([(customer(), amount)])
}

fn others(ledger: &UsageLedger) -> i64 {
    ledger.others_of([customer()].iter())[&customer()]
}

#[test]
fn what_is_told_twice_counts_once_and_a_new_life_counts_anew() {
    let now = Instant::now();
    let mut ledger = UsageLedger::default();
    ledger.note_report(&reporter("front-1", 1), &row(500, 500), now);
    ledger.note_report(&reporter("front-1", 1), &row(500, 500), now);
    ledger.note_report(&reporter("front-1", 1), &row(700, 200), now);
    assert_eq!(others(&ledger), 700);
    ledger.note_report(&reporter("front-1", 2), &row(50, 50), now);
    assert_eq!(others(&ledger), 750);
    // A refund lowers the total.
    ledger.note_report(&reporter("front-1", 2), &row(20, 20), now);
    assert_eq!(others(&ledger), 720);
}

#[test]
fn one_that_told_another_before_adds_only_what_nobody_knows() {
    let mut ledger = UsageLedger::default();
    ledger.note_report(&reporter("front-1", 1), &row(90_000, 300), Instant::now());
    assert_eq!(others(&ledger), 300);
}

#[test]
fn nobody_hears_of_its_own_use() {
    let now = Instant::now();
    let mut ledger = UsageLedger::default();
    ledger.note_report(&reporter("front-1", 1), &row(500, 500), now);
    ledger.note_report(&reporter("front-2", 1), &row(80, 80), now);
    let own = totals(7);
    assert_eq!(ledger.others_for(&"front-1".into(), &own)[&customer()], 87);
    assert_eq!(ledger.others_for(&"front-2".into(), &own)[&customer()], 507);
    let rows = ledger.report(Some(&"front-2".into()), &own);
    assert_eq!(rows, row(507, 507));
    ledger.confirm(&rows);
    assert_eq!(ledger.report(Some(&"front-2".into()), &own), row(507, 0));
}

#[test]
fn a_zone_that_is_silent_is_taken_to_use_its_part_until_it_tells() {
    let start = Instant::now();
    let mut ledger = UsageLedger::default();
    let limits = [(customer(), 900.0)].into();
    let zones = ["ferrol".into(), "gijon".into()];
    ledger.expect_zones(&zones, start);
    let aggregator = reporter("front-9", 1);
    ledger.note_zone(&zones[0], &aggregator, &totals(0), start);
    ledger.note_zone(&zones[1], &reporter("front-5", 1), &totals(0), start);
    assert!((ledger.coverage(start) - 1.0).abs() < 1e-9);
    ledger.note_silence(&zones[0]);
    assert!((ledger.coverage(start) - 2.0 / 3.0).abs() < 1e-9);
    let mut now = start;
    for _ in 0..10 {
        now += Duration::from_millis(100);
        ledger.note_zone(&zones[1], &reporter("front-5", 1), &totals(0), now);
        ledger.assume(&limits, now);
    }
    // Without any usage, the silent zone is assumed to use a third of the rate for one second.
    assert!(
        (290..=310).contains(&others(&ledger)),
        "{}",
        others(&ledger)
    );
    ledger.note_zone(&zones[0], &aggregator, &totals(40), now);
    assert_eq!(others(&ledger), 40);
}
