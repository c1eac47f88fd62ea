//! Calls to upstreams that are cold: after a start, after all instances restarted, and after an evacuation.

use {
    kernel::{InstanceId, ServiceId, ZoneId},
    policy::{
        ChoiceQuery, ColdRule, EvacuationSet, StoreVersion, UpstreamRecord, UpstreamStage,
        UpstreamTable, ZoneFilter,
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
};

const RULE: ColdRule = ColdRule {
    call_rate: 41.0,
    duration: Duration::from_secs(3),
};
const SECOND: Duration = Duration::from_secs(1);

fn record(id: &str, cold_for: Duration) -> UpstreamRecord {
    UpstreamRecord {
        address: ([127, 0, 0, 1], 8_080).into(),
        cold_for,
        id: id.into(),
        leaving: false,
        name: id.into(),
        report_number: None,
        service: "s".into(),
        slots: 6,
        software: "v1".into(),
        stage: UpstreamStage::Plain,
        zone: "near".into(),
    }
}

fn table(instance: usize, instances: Option<usize>) -> UpstreamTable {
    let mut table = UpstreamTable::new(InstanceId::from(format!("front-{instance}")));
    table.set_cold_rules(BTreeMap::from([("s".into(), RULE)]));
    table.set_instance_count(instances);
    table
}

fn query<T>(use_query: impl FnOnce(&ChoiceQuery<'_>) -> T) -> T {
    use_query(&ChoiceQuery {
        avoid: &[],
        connected: &BTreeSet::new(),
        filter: &ZoneFilter::default(),
        holders: &[],
        request: "r",
        service: &ServiceId::from("s"),
        software: None,
        stage: UpstreamStage::Plain,
        zone: &ZoneId::from("near"),
    })
}

/// Calls the chosen upstream, if there is one.
fn call(table: &mut UpstreamTable, now: Instant) -> Option<String> {
    let upstream = query(|query| table.choose(query, now))?;
    table.note_call(&upstream.id, now);
    Some(upstream.id.to_string())
}

/// The largest number of calls in any second, when all instances call whenever they may.
fn busiest_second(tables: &mut [UpstreamTable], start: Instant, span: Duration) -> usize {
    let (mut calls, mut most) = (VecDeque::new(), 0);
    let mut now = start;
    while now < start + span {
        for table in &mut *tables {
            if call(table, now).is_some() {
                calls.push_back(now);
            }
        }
        while calls
            .front()
            .is_some_and(|at| now.duration_since(*at) >= SECOND)
        {
            calls.pop_front();
        }
        most = most.max(calls.len());
        now += Duration::from_millis(10);
    }
    most
}

/// All instances start at the same moment and find the upstream cold. Users' bound: half more than the rate, and five.
#[test]
fn instances_that_restart_together_stay_within_the_rate_without_communication() {
    let start = Instant::now();
    for count in [1, 3, 86, 1_000] {
        let mut tables: Vec<_> = (0..count).map(|index| table(index, Some(count))).collect();
        for table in &mut tables {
            table.replace(&[record("a", 20 * SECOND)], None, start);
        }
        let most = busiest_second(&mut tables, start, 10 * SECOND);
        assert!(most as f64 <= RULE.call_rate * 1.5 + 5.0, "{count}: {most}");
        assert!(most >= 20, "{count}: {most}");
    }
}

/// Turns that nobody needed must not be kept for the moment at which all need one.
#[test]
fn a_burst_after_a_calm_finds_no_saved_turns() {
    let start = Instant::now();
    let mut tables: Vec<_> = (0..300).map(|index| table(index, Some(300))).collect();
    for table in &mut tables {
        table.replace(&[record("a", 60 * SECOND)], None, start);
    }
    let most = busiest_second(&mut tables, start + 30 * SECOND, 2 * SECOND);
    assert!(most as f64 <= RULE.call_rate * 1.5 + 5.0, "{most}");
}

#[test]
fn while_the_number_of_instances_is_unknown_a_cold_upstream_gets_no_call() {
    let start = Instant::now();
    let mut table = table(1, None);
    table.replace(&[record("a", 2 * SECOND)], None, start);
    assert_eq!(call(&mut table, start + SECOND), None);
    let wait = query(|query| table.cold_wait(query, start + SECOND));
    assert_eq!(wait, Some(SECOND));
    assert_eq!(call(&mut table, start + 2 * SECOND).as_deref(), Some("a"));
}

#[test]
fn a_caller_learns_when_the_next_turn_begins() {
    let start = Instant::now();
    let mut table = table(1, Some(300));
    table.replace(&[record("a", 60 * SECOND)], None, start);
    let wait = query(|query| table.cold_wait(query, start)).unwrap();
    let late = start + wait;
    if !wait.is_zero() {
        assert_eq!(call(&mut table, start), None);
    }
    assert_eq!(call(&mut table, late).as_deref(), Some("a"));
    let next = query(|query| table.cold_wait(query, late)).unwrap();
    assert_eq!(call(&mut table, late), None);
    assert_eq!(call(&mut table, late + next).as_deref(), Some("a"));
}

#[test]
fn warm_upstreams_go_first_and_a_service_without_a_rule_has_no_limit() {
    let start = Instant::now();
    let mut limited = table(1, Some(1));
    limited.replace(
        &[record("a", 20 * SECOND), record("b", Duration::ZERO)],
        None,
        start,
    );
    let mut unlimited = UpstreamTable::default();
    unlimited.replace(&[record("a", 20 * SECOND)], None, start);
    for step in 0..50 {
        let now = start + step * Duration::from_millis(10);
        assert_eq!(call(&mut limited, now).as_deref(), Some("b"));
        assert_eq!(call(&mut unlimited, now).as_deref(), Some("a"));
    }
}

/// Upstreams may become cold just before their zone is evacuated, and their next report arrives seconds after its end.
#[test]
fn upstreams_of_a_zone_that_was_evacuated_count_as_cold_at_first() {
    let start = Instant::now();
    let mut table = table(1, Some(1_000));
    table.replace(&[record("a", Duration::ZERO)], None, start);
    let evacuated = EvacuationSet {
        version: StoreVersion { era: 1, number: 5 },
        zones: BTreeSet::from(["near".into()]),
    };
    table.set_evacuations(&evacuated, start);
    assert_eq!(call(&mut table, start), None);
    let ended = EvacuationSet {
        version: StoreVersion { era: 1, number: 9 },
        ..EvacuationSet::default()
    };
    let change = table.set_evacuations(&ended, start + SECOND);
    assert_eq!(change.ended, ["near".into()]);
    let wait = query(|query| table.cold_wait(query, start + SECOND));
    assert!(wait.is_some_and(|wait| wait <= RULE.duration), "{wait:?}");
    let warm = start + SECOND + RULE.duration;
    assert_eq!(query(|query| table.cold_wait(query, warm)), None);
    assert_eq!(call(&mut table, warm).as_deref(), Some("a"));
}

/// Rates and times come from operators and upstreams; none of them may end the process.
#[test]
fn extreme_rates_and_times_are_bounded() {
    let start = Instant::now();
    for call_rate in [f64::MIN_POSITIVE, 1e-9, 1e12, f64::MAX, f64::INFINITY] {
        for duration in [Duration::ZERO, Duration::MAX] {
            let rule = ColdRule {
                call_rate,
                duration,
            };
            let mut table = table(1, Some(1_000));
            table.set_cold_rules(BTreeMap::from([("s".into(), rule)]));
            table.replace(&[record("a", duration)], None, start);
            for second in 0..5 {
                call(&mut table, start + second * SECOND);
                let wait = query(|query| table.cold_wait(query, start + second * SECOND));
                assert!(wait.is_none_or(|wait| wait <= 3_600 * SECOND), "{wait:?}");
            }
        }
    }
}
