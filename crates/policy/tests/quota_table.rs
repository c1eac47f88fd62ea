//! One instance's buckets.

use {
    kernel::CustomerId,
    policy::{CustomerLimit, QuotaRule, QuotaTable, QuotaUnit, UsageTotals},
    std::time::{Duration, Instant},
};

fn limit(rate: f64, burst: f64) -> CustomerLimit {
    CustomerLimit {
        burst,
        rate,
        unit: QuotaUnit::Tokens { plain: 200 },
    }
}

fn customer() -> CustomerId {
    "port-a".into()
}

/// The buckets of an instance that is alone, and when they were made.
fn alone() -> (QuotaTable, Instant) {
    let born = Instant::now();
    (QuotaTable::new(QuotaRule::default(), true, born), born)
}

/// How many requests of a size fit at a moment.
fn fitting(table: &mut QuotaTable, limit: &CustomerLimit, cost: u64, now: Instant) -> usize {
    let takes = std::iter::repeat_with(|| table.take(&customer(), limit, Some(cost), now));
    takes.take_while(Result::is_ok).count()
}

#[test]
fn an_instance_that_is_alone_fills_its_bucket_from_empty_and_no_further_than_the_burst() {
    let (mut table, born) = alone();
    let limit = limit(1_000.0, 3_000.0);
    assert_eq!(fitting(&mut table, &limit, 500, born), 0);
    assert_eq!(
        fitting(&mut table, &limit, 500, born + Duration::from_secs(1)),
        2
    );
    // An hour later there is one burst, not an hour's rate.
    let later = born + Duration::from_secs(3_600);
    assert_eq!(fitting(&mut table, &limit, 500, later), 6);
    assert_eq!(fitting(&mut table, &limit, 500, later), 0);
}

#[test]
fn a_refusal_says_when_there_is_room_and_what_did_not_run_is_given_back() {
    let (mut table, born) = alone();
    let limit = limit(1_000.0, 1_000.0);
    let now = born + Duration::from_secs(1);
    assert_eq!(table.take(&customer(), &limit, Some(900), now), Ok(900));
    let refusal = table.take(&customer(), &limit, None, now).unwrap_err();
    assert_eq!(
        (refusal.cost, refusal.wait),
        (200, Duration::from_millis(100))
    );
    table.give_back(&customer(), 900);
    assert_eq!(table.take(&customer(), &limit, None, now), Ok(200));
}

#[test]
fn a_request_that_is_larger_than_the_bucket_takes_a_full_one() {
    let (mut table, born) = alone();
    let limit = limit(1_000.0, 1_000.0);
    let full = born + Duration::from_secs(1);
    assert!(
        table
            .take(
                &customer(),
                &limit,
                Some(2_500),
                full - Duration::from_millis(10)
            )
            .is_err()
    );
    assert!(table.take(&customer(), &limit, Some(2_500), full).is_ok());
    // The rest is owed.
    assert!(
        table
            .take(
                &customer(),
                &limit,
                Some(100),
                full + Duration::from_millis(1_500)
            )
            .is_err()
    );
    assert!(
        table
            .take(
                &customer(),
                &limit,
                Some(100),
                full + Duration::from_millis(1_700)
            )
            .is_ok()
    );
}

#[test]
fn what_others_use_is_taken_out_and_an_instance_that_hears_nothing_keeps_to_its_part() {
    let born = Instant::now();
    let mut table = QuotaTable::new(QuotaRule::default(), false, born);
    let limit = limit(1_000.0, 1_000.0);
    table.set_limits([(&customer(), limit)], born);
    let mut now = born;
    let mut others = 0;
    for _ in 0..10 {
        now += Duration::from_millis(100);
        others += 90;
        let totals = UsageTotals::from([(customer(), others)]);
        table.note_synced(now);
        table.note_others(&totals, &UsageTotals::new(), now);
    }
    // Of 1,000 in a second others used 900.
    assert_eq!(fitting(&mut table, &limit, 50, now), 2);
    // Nothing is heard for ten seconds: a sixteenth of the rate and of the burst is left to it.
    now += Duration::from_secs(10);
    assert!(fitting(&mut table, &limit, 10, now) <= 6);
}

#[test]
fn a_new_life_that_hears_of_nobody_keeps_to_a_small_part() {
    let born = Instant::now();
    let mut table = QuotaTable::new(QuotaRule::default(), false, born);
    let limit = limit(16_000.0, 16_000.0);
    // A sixteenth of the rate in half a second.
    let now = born + Duration::from_millis(500);
    assert_eq!(fitting(&mut table, &limit, 100, now), 5);
}
