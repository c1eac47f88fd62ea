//! Which engines have the KV cache of the prompt of a reconnecting caller.

use {
    kernel::UpstreamId,
    policy::{CacheIndex, UpstreamRecord, UpstreamStage},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SECOND: Duration = Duration::from_secs(1);

fn prompts(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

#[test]
fn engines_that_listed_a_part_hold_it_for_a_second() {
    let now = Instant::now();
    let mut index = CacheIndex::default();
    index.note("a".into(), prompts(&["shared", "one"]), now);
    index.note("b".into(), prompts(&["shared", "two"]), now);
    assert_eq!(index.holders("one", now), [UpstreamId::from("a")]);
    let both = [UpstreamId::from("a"), UpstreamId::from("b")];
    assert_eq!(index.holders("shared", now + SECOND / 2), both);
    assert!(index.holders("three", now).is_empty());
    assert!(index.holders("one", now + SECOND).is_empty());
}

#[test]
fn an_engine_whose_list_is_there_is_not_asked_again_for_a_second() {
    let now = Instant::now();
    let engine = UpstreamId::from("a");
    let mut index = CacheIndex::default();
    assert!(index.needs_refresh(&engine, now));
    index.note(engine.clone(), prompts(&["one"]), now);
    assert!(!index.needs_refresh(&engine, now + SECOND / 2));
    assert!(index.needs_refresh(&engine, now + SECOND));
}

#[test]
fn a_newer_list_takes_the_place_of_an_older_one() {
    let now = Instant::now();
    let mut index = CacheIndex::default();
    index.note("a".into(), prompts(&["one"]), now);
    index.note("a".into(), prompts(&["two"]), now + SECOND / 2);
    assert!(index.holders("one", now + SECOND / 2).is_empty());
    assert_eq!(index.holders("two", now + SECOND).len(), 1);
}

fn engines(count: usize, zone: &str) -> Vec<Arc<UpstreamRecord>> {
    let mut list = Vec::new();
    for number in 0..count {
        let id: UpstreamId = format!("{zone}-{number}").into();
        list.push(Arc::new(UpstreamRecord {
            address: ([127, 0, 0, 1], 8_080).into(),
            cold_for: Duration::ZERO,
            id: id.clone(),
            leaving: false,
            name: id,
            report_number: None,
            service: "s".into(),
            slots: 12,
            software: "v1".into(),
            stage: UpstreamStage::Decode,
            zone: zone.into(),
        }));
    }
    list
}

/// Ten times as many engines must not make a reconnecting caller cost more calls, nor calls that hardly ever help.
#[test]
fn a_search_asks_few_engines_and_none_where_it_covers_too_few() {
    let now = Instant::now();
    let index = CacheIndex::default();
    for (count, asked) in [
        (12, 24),
        (30, 32),
        (52, 32),
        (64, 32),
        (65, 0),
        (640, 0),
        (6_400, 0),
    ] {
        let mut all = engines(count, "far");
        all.extend(engines(count, "near"));
        let targets = index.search_targets(all, &"near".into(), now);
        assert_eq!(targets.len(), asked, "{count}");
        let near = targets
            .iter()
            .filter(|engine| &*engine.zone == "near")
            .count();
        assert_eq!(near, asked.min(count), "{count}");
    }
}
