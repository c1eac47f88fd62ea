//! Merging and expiry of the marks of upstreams that take no new work.

use {
    proptest::prelude::*,
    route::{LeavingBound, LeavingCause, LeavingMark, LeavingTable},
    std::time::{Duration, SystemTime},
};

const FAILED_FOR: Duration = Duration::from_secs(10);
const FORGOTTEN_AFTER: Duration = Duration::from_secs(600);

fn at(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(seconds)
}

fn empty() -> LeavingTable {
    LeavingTable::new(FAILED_FOR, FORGOTTEN_AFTER)
}

fn mark(seconds: u64, cause: LeavingCause, leaving: bool, upstream: &str) -> LeavingMark {
    LeavingMark {
        at: at(seconds),
        cause,
        leaving,
        upstream: upstream.into(),
    }
}

fn any_mark() -> impl Strategy<Value = LeavingMark> {
    let cause = prop_oneof![
        Just(LeavingCause::Failed),
        Just(LeavingCause::Listed),
        Just(LeavingCause::Said)
    ];
    let name = prop_oneof![Just("a"), Just("b")];
    (1000..1010_u64, cause, any::<bool>(), name)
        .prop_map(|(seconds, cause, leaving, name)| mark(seconds, cause, leaving, name))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn merging_in_any_order_and_twice_gives_one_table(
        marks in prop::collection::vec(any_mark(), 0..12),
        order in any::<u64>(),
    ) {
        let mut first = empty();
        let mut second = empty();
        let mut shuffled = marks.clone();
        shuffled.sort_by_key(|mark| kernel::seeded_rng::mix(order, format!("{mark:?}").as_bytes()));
        for mark in &marks {
            first.merge(mark.clone());
        }
        for mark in shuffled.iter().chain(&marks) {
            second.merge(mark.clone());
        }
        prop_assert_eq!(first.marks().collect::<Vec<_>>(), second.marks().collect::<Vec<_>>());
    }
}

#[test]
fn a_cause_takes_back_only_its_own_mark() {
    let mut table = empty();
    assert!(table.merge(mark(100, LeavingCause::Said, true, "a")));
    assert!(table.merge(mark(101, LeavingCause::Listed, false, "a")));
    assert_eq!(
        table.leaving_cause(at(102), &"a".into()),
        Some(LeavingCause::Said)
    );
    assert!(table.merge(mark(103, LeavingCause::Said, false, "a")));
    assert_eq!(table.leaving_cause(at(104), &"a".into()), None);
    assert!(
        !table.merge(mark(100, LeavingCause::Said, true, "a")),
        "a mark that arrives late is outdated"
    );
}

#[test]
fn a_failed_mark_ends_by_itself_and_old_marks_are_forgotten() {
    let mut table = empty();
    table.merge(mark(100, LeavingCause::Failed, true, "a"));
    table.merge(mark(100, LeavingCause::Listed, true, "b"));
    assert_eq!(
        table.leaving_cause(at(109), &"a".into()),
        Some(LeavingCause::Failed)
    );
    assert_eq!(table.leaving_cause(at(110), &"a".into()), None);
    assert_eq!(
        table.leaving_cause(at(699), &"b".into()),
        Some(LeavingCause::Listed)
    );
    assert_eq!(table.expire(at(700)), 2);
}

#[test]
fn the_bound_is_the_worst_of_its_paths() {
    let bound = LeavingBound {
        call_timeout: Duration::from_secs(1),
        heartbeat: Duration::from_millis(500),
        hops: 2,
        list_lag: Duration::from_secs(10),
        list_poll: Duration::from_secs(1),
        report: Duration::from_millis(250),
    };
    assert_eq!(bound.announced(), Duration::from_millis(1250));
    assert_eq!(bound.worst(), Duration::from_secs(2));
}
