//! Engine selection, the prefix index, load estimates from stale reports, and the retry budget.

use {
    kernel::UpstreamId,
    proptest::prelude::*,
    route::{DecodeOption, EngineSelector, LaggedLoad, PrefillOption, PrefixTable, RetryBudget},
    std::time::{Duration, Instant},
};

fn prefill_option<'a>(upstream: &'a UpstreamId, cached: f64, queue: f64) -> PrefillOption<'a> {
    PrefillOption {
        cached_tokens: cached,
        queue_seconds: queue,
        rate: 10_000.0,
        upstream,
    }
}

fn decode_option<'a>(upstream: &'a UpstreamId, used: u32, free: u32) -> DecodeOption<'a> {
    DecodeOption {
        base_seconds: 0.01,
        free,
        slope_seconds: 0.001,
        upstream,
        used,
    }
}

#[test]
fn a_cached_prefix_beats_an_idle_engine_until_its_queue_is_longer() {
    let (idle, warm): (UpstreamId, UpstreamId) = ("a".into(), "b".into());
    let mut selector = EngineSelector::new(7);
    let mut pick = |queue| {
        let options = [
            prefill_option(&idle, 0.0, 0.0),
            prefill_option(&warm, 8_000.0, queue),
        ];
        selector
            .prefill(10_000.0, &options)
            .unwrap()
            .upstream
            .clone()
    };
    assert_eq!(pick(0.5), warm);
    assert_eq!(pick(0.9), idle);
}

#[test]
fn a_decode_engine_is_taken_by_its_step_and_never_when_full() {
    let (full, near, far): (UpstreamId, UpstreamId, UpstreamId) =
        ("a".into(), "b".into(), "c".into());
    let mut selector = EngineSelector::new(7);
    let options = [
        decode_option(&full, 0, 0),
        decode_option(&near, 5, 9),
        decode_option(&far, 9, 9),
    ];
    assert_eq!(selector.decode(&options).unwrap().upstream, &near);
    assert!(selector.decode(&options[..1]).is_none());
}

#[test]
fn a_report_is_corrected_by_what_was_granted_since() {
    let start = Instant::now();
    let after = |millis| start + Duration::from_millis(millis);
    let mut load = LaggedLoad::default();
    load.add(after(0), 4);
    load.add(after(500), 3);
    assert!(load.report(after(400), 6));
    assert_eq!((load.foreign(), load.used()), (2, 9));
    assert!(!load.report(after(300), 20), "an older report is ignored");
    load.sub(after(600), 7);
    assert_eq!(load.used(), 2);
    assert!(
        load.report(after(650), 7),
        "the engine may release load later than this process"
    );
    assert_eq!(load.foreign(), 0);
}

#[test]
fn retries_are_a_share_of_successes() {
    let mut budget = RetryBudget::new(0.1, 2);
    assert!(budget.take() && budget.take() && !budget.take());
    let mut granted = 0;
    for _ in 0..1000 {
        budget.succeeded();
        granted += u32::from(budget.take());
    }
    assert!((99..=100).contains(&granted), "{granted}");
}

#[test]
fn a_long_prompt_is_matched_within_an_eighth() {
    let mut table = PrefixTable::new(1000);
    let engine: UpstreamId = "a".into();
    let sent: Vec<u64> = (1..=700).collect();
    table.sent(&engine, &sent);
    assert_eq!(table.matched(&engine, &sent), 700);
    let mut other = sent[..500].to_vec();
    other.extend(10_000..10_300);
    let matched = table.matched(&engine, &other);
    assert!((430..=500).contains(&matched), "{matched}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn the_prefix_table_is_bounded_and_drops_what_was_evicted(
        steps in prop::collection::vec((any::<bool>(), 0..60_u64, 1..40_u64), 1..60),
    ) {
        let mut table = PrefixTable::new(50);
        let engine: UpstreamId = "a".into();
        for (stored, from, length) in steps {
            let blocks: Vec<u64> = (from..from + length).collect();
            if stored {
                table.sent(&engine, &blocks);
                prop_assert!(table.blocks(&engine) <= 50);
                continue;
            }
            table.evicted(&engine, &blocks);
            prop_assert_eq!(table.matched(&engine, &blocks), 0);
        }
    }
}
