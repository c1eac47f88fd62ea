//! Which engines hold the prompt of a caller that comes back.

use {
    kernel::UpstreamId,
    policy::CacheIndex,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SECOND: Duration = Duration::from_secs(1);

fn parts(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

#[test]
fn engines_that_listed_a_part_hold_it_for_a_second() {
    let now = Instant::now();
    let mut table = CacheIndex::default();
    table.note("a".into(), parts(&["shared", "one"]), now);
    table.note("b".into(), parts(&["shared", "two"]), now);
    assert_eq!(table.holders("one", now), [UpstreamId::from("a")]);
    let both = [UpstreamId::from("a"), UpstreamId::from("b")];
    assert_eq!(table.holders("shared", now + SECOND / 2), both);
    assert!(table.holders("three", now).is_empty());
    assert!(table.holders("one", now + SECOND).is_empty());
}

#[test]
fn an_engine_whose_list_is_there_is_not_asked_again_for_a_second() {
    let now = Instant::now();
    let engine = UpstreamId::from("a");
    let mut table = CacheIndex::default();
    assert!(table.needs_refresh(&engine, now));
    table.note(engine.clone(), parts(&["one"]), now);
    assert!(!table.needs_refresh(&engine, now + SECOND / 2));
    assert!(table.needs_refresh(&engine, now + SECOND));
}

#[test]
fn a_newer_list_takes_the_place_of_an_older_one() {
    let now = Instant::now();
    let mut table = CacheIndex::default();
    table.note("a".into(), parts(&["one"]), now);
    table.note("a".into(), parts(&["two"]), now + SECOND / 2);
    assert!(table.holders("one", now + SECOND / 2).is_empty());
    assert_eq!(table.holders("two", now + SECOND).len(), 1);
}
