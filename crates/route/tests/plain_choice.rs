//! Which replica of a plain service is taken.

use {
    kernel::UpstreamId,
    route::ReplicaSelector,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

fn choice_of(names: &[&str]) -> ReplicaSelector {
    let mut choice = ReplicaSelector::builder().seed(7).build();
    for name in names {
        choice.add((*name).into());
    }
    choice
}

#[test]
fn a_leaving_replica_gets_nothing() {
    let now = Instant::now();
    let mut choice = choice_of(&["a", "b"]);
    choice.mark_leaving(&"a".into());
    for _ in 0..50 {
        assert_eq!(choice.pick(now).as_deref(), Some("b"));
    }
    choice.mark_leaving(&"b".into());
    assert_eq!(choice.pick(now), None);
    choice.add("a".into());
    assert_eq!(choice.pick(now).as_deref(), Some("a"));
}

#[test]
fn an_outlier_backs_off_longer_each_time_and_comes_back() {
    let mut now = Instant::now();
    let mut choice = choice_of(&["a", "b"]);
    let bad: UpstreamId = "a".into();
    for round in 0..4 {
        for _ in 0..3 {
            choice.failed(now, &bad);
        }
        let back_off = Duration::from_secs(1 << round);
        for _ in 0..20 {
            assert_eq!(choice.pick(now).as_deref(), Some("b"));
        }
        now += back_off;
        let mut seen = false;
        for _ in 0..200 {
            seen |= choice.pick(now) == Some(bad.clone());
        }
        assert!(seen, "round {round}");
    }
}

#[test]
fn load_evens_out_and_outstanding_counts_down() {
    let now = Instant::now();
    let mut choice = choice_of(&["a", "b", "c"]);
    let mut picked: BTreeMap<UpstreamId, u32> = BTreeMap::new();
    for _ in 0..300 {
        let upstream = choice.pick(now).unwrap();
        *picked.entry(upstream).or_default() += 1;
    }
    assert!(
        picked.values().all(|count| (95..=105).contains(count)),
        "{picked:?}"
    );
    for upstream in picked.keys() {
        for _ in 0..picked[upstream] {
            choice.answered(upstream);
        }
        assert_eq!(choice.outstanding(upstream), 0);
    }
}

#[test]
fn when_all_back_off_the_first_back_is_tried() {
    let now = Instant::now();
    let mut choice = choice_of(&["a", "b"]);
    for (name, after) in [("b", 0), ("a", 1)] {
        for _ in 0..3 {
            choice.failed(now + Duration::from_millis(after), &name.into());
        }
    }
    assert_eq!(choice.pick(now).as_deref(), Some("b"));
}

#[test]
fn a_retry_goes_elsewhere_when_there_is_an_elsewhere() {
    let now = Instant::now();
    let mut choice = choice_of(&["a", "b"]);
    for _ in 0..20 {
        let upstream = choice.pick_except(now, &["a".into()]);
        assert_eq!(upstream.as_deref(), Some("b"));
    }
    let upstream = choice.pick_except(now, &["a".into(), "b".into()]);
    assert!(upstream.is_some());
}
