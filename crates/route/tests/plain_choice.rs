//! Selection among the replicas of a plain service.

use {
    kernel::UpstreamId,
    route::ReplicaSelector,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

fn selector_of(names: &[&str]) -> ReplicaSelector {
    let mut selector = ReplicaSelector::builder().seed(7).build();
    for name in names {
        selector.add((*name).into());
    }
    selector
}

#[test]
fn a_leaving_replica_gets_nothing() {
    let now = Instant::now();
    let mut selector = selector_of(&["a", "b"]);
    selector.mark_leaving(&"a".into());
    for _ in 0..50 {
        assert_eq!(selector.pick(now).as_deref(), Some("b"));
    }
    selector.mark_leaving(&"b".into());
    assert_eq!(selector.pick(now), None);
    selector.add("a".into());
    assert_eq!(selector.pick(now).as_deref(), Some("a"));
}

#[test]
fn an_outlier_backs_off_longer_each_time_and_comes_back() {
    let mut now = Instant::now();
    let mut selector = selector_of(&["a", "b"]);
    let failing: UpstreamId = "a".into();
    for round in 0..4 {
        for _ in 0..3 {
            selector.failed(now, &failing);
        }
        let back_off = Duration::from_secs(1 << round);
        for _ in 0..20 {
            assert_eq!(selector.pick(now).as_deref(), Some("b"));
        }
        now += back_off;
        let mut is_selected = false;
        for _ in 0..200 {
            is_selected |= selector.pick(now) == Some(failing.clone());
        }
        assert!(is_selected, "round {round}");
    }
}

#[test]
fn load_evens_out_and_outstanding_counts_down() {
    let now = Instant::now();
    let mut selector = selector_of(&["a", "b", "c"]);
    let mut picked: BTreeMap<UpstreamId, u32> = BTreeMap::new();
    for _ in 0..300 {
        let upstream = selector.pick(now).unwrap();
        *picked.entry(upstream).or_default() += 1;
    }
    assert!(
        picked.values().all(|count| (95..=105).contains(count)),
        "{picked:?}"
    );
    for upstream in picked.keys() {
        for _ in 0..picked[upstream] {
            selector.answered(upstream);
        }
        assert_eq!(selector.outstanding(upstream), 0);
    }
}

#[test]
fn when_all_back_off_the_first_back_is_tried() {
    let now = Instant::now();
    let mut selector = selector_of(&["a", "b"]);
    for (name, after) in [("b", 0), ("a", 1)] {
        for _ in 0..3 {
            selector.failed(now + Duration::from_millis(after), &name.into());
        }
    }
    assert_eq!(selector.pick(now).as_deref(), Some("b"));
}

#[test]
fn a_retry_goes_elsewhere_when_there_is_an_elsewhere() {
    let now = Instant::now();
    let mut selector = selector_of(&["a", "b"]);
    for _ in 0..20 {
        let upstream = selector.pick_except(now, &["a".into()]);
        assert_eq!(upstream.as_deref(), Some("b"));
    }
    let upstream = selector.pick_except(now, &["a".into(), "b".into()]);
    assert!(upstream.is_some());
}
