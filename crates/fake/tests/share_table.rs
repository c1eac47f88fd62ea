//! Tests of jobs that share a rate.

use {
    fake::{FairShareTable, RateLink},
    proptest::{
        collection::vec,
        prelude::{ProptestConfig, prop_assert, prop_assert_eq, proptest},
        test_runner::RngSeed,
    },
    std::time::{Duration, Instant},
};

#[test]
fn a_job_alone_has_the_whole_rate_and_two_share_it() {
    let start = Instant::now();
    let mut table = FairShareTable::new(100.0);
    table.start(start, "a", 100.0);
    let half = start + Duration::from_millis(500);
    assert!(table.advance(half).is_empty());
    table.start(half, "b", 25.0);
    let later = start + Duration::from_millis(1001);
    assert_eq!(table.advance(later), ["b"]);
    assert_eq!(table.advance(start + Duration::from_millis(1251)), ["a"]);
    assert!(table.is_empty());
}

#[test]
fn a_stopped_job_gives_its_share_back() {
    let start = Instant::now();
    let mut table = FairShareTable::new(100.0);
    table.start(start, 1, 100.0);
    table.start(start, 2, 100.0);
    let second = start + Duration::from_secs(1);
    table.advance(second);
    assert_eq!(table.stop(&1), Some(50.0));
    let end = table.next_completion().unwrap();
    assert!(end.duration_since(second) <= Duration::from_millis(501));
    assert_eq!(table.advance(end), [2]);
}

#[test]
fn a_link_without_a_limit_carries_at_once() {
    let start = Instant::now();
    let mut table = FairShareTable::new(0.0);
    table.start(start, 1, 1e12);
    assert_eq!(
        table.next_completion().unwrap(),
        start + Duration::from_nanos(1)
    );
    assert_eq!(table.advance(start), [1]);
}

#[tokio::test]
async fn a_transfer_that_is_given_up_leaves_the_link_to_the_others() {
    let link = RateLink::new(1e6);
    let endless = tokio::spawn({
        let link = link.clone();
        async move { link.transfer(1e18).await }
    });
    let short = tokio::spawn({
        let link = link.clone();
        async move { link.transfer(1e3).await }
    });
    short.await.unwrap();
    endless.abort();
    assert!(endless.await.unwrap_err().is_cancelled());
    link.transfer(1e3).await;
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(2),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_rate_is_always_used_up(units in vec(1.0..1000.0, 1..20), gaps in vec(0..50_u64, 20)) {
        let start = Instant::now();
        let mut table = FairShareTable::new(10_000.0);
        let mut now = start;
        let mut ended = Vec::new();
        for (key, units) in units.iter().enumerate() {
            ended.extend(table.advance(now));
            table.start(now, key, *units);
            now += Duration::from_millis(gaps[key]);
        }
        while let Some(end) = table.next_completion() {
            now = now.max(end);
            ended.extend(table.advance(now));
        }
        prop_assert_eq!(ended.len(), units.len());
        let busy = units.iter().sum::<f64>() / 10_000.0;
        let idle: u64 = gaps.iter().take(units.len()).sum();
        let passed = now.duration_since(start).as_secs_f64();
        prop_assert!(passed + 1e-6 >= busy);
        prop_assert!(passed <= busy + Duration::from_millis(idle).as_secs_f64() + 1e-6);
    }
}
