//! The quota buckets of one instance.

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

/// The table of a single instance, and when it was created.
fn standalone() -> (QuotaTable, Instant) {
    let started = Instant::now();
    (
        QuotaTable::new(QuotaRule::default(), true, started),
        started,
    )
}

/// How many requests of a given cost are granted at `now`.
fn granted(table: &mut QuotaTable, limit: &CustomerLimit, cost: u64, now: Instant) -> usize {
    let results = std::iter::repeat_with(|| table.take(&customer(), limit, Some(cost), now));
    results.take_while(Result::is_ok).count()
}

#[test]
fn an_instance_that_is_alone_fills_its_bucket_from_empty_and_no_further_than_the_burst() {
    let (mut table, started) = standalone();
    let limit = limit(1_000.0, 3_000.0);
    assert_eq!(granted(&mut table, &limit, 500, started), 0);
    assert_eq!(
        granted(&mut table, &limit, 500, started + Duration::from_secs(1)),
        2
    );
    // An hour later one burst is available, not the refill of an hour.
    let later = started + Duration::from_secs(3_600);
    assert_eq!(granted(&mut table, &limit, 500, later), 6);
    assert_eq!(granted(&mut table, &limit, 500, later), 0);
}

#[test]
fn a_refusal_says_when_there_is_room_and_what_did_not_run_is_given_back() {
    let (mut table, started) = standalone();
    let limit = limit(1_000.0, 1_000.0);
    let now = started + Duration::from_secs(1);
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
    let (mut table, started) = standalone();
    let limit = limit(1_000.0, 1_000.0);
    let full = started + Duration::from_secs(1);
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
    // The excess is a debt.
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
    let started = Instant::now();
    let mut table = QuotaTable::new(QuotaRule::default(), false, started);
    let limit = limit(1_000.0, 1_000.0);
    table.set_limits([(&customer(), limit)], started);
    let mut now = started;
    let mut others = 0;
    for _ in 0..10 {
        now += Duration::from_millis(100);
        others += 90;
        let totals = UsageTotals::from([(customer(), others)]);
        table.note_synced(now);
        table.note_others(&totals, &UsageTotals::new(), now);
    }
    // Others used 900 of the 1,000 per second.
    assert_eq!(granted(&mut table, &limit, 50, now), 2);
    // Without an exchange for ten seconds, a sixteenth of the rate and of the burst is granted.
    now += Duration::from_secs(10);
    assert!(granted(&mut table, &limit, 10, now) <= 6);
}

#[test]
fn a_new_life_that_hears_of_nobody_keeps_to_a_small_part() {
    let started = Instant::now();
    let mut table = QuotaTable::new(QuotaRule::default(), false, started);
    let limit = limit(16_000.0, 16_000.0);
    // A sixteenth of the refill of half a second.
    let now = started + Duration::from_millis(500);
    assert_eq!(granted(&mut table, &limit, 100, now), 5);
}
