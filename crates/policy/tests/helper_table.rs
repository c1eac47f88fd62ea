//! Which instances are asked for help, and which of them is chosen.

use {
    kernel::{InstanceId, ServiceId, ZoneId},
    policy::{FleetMember, FleetMembers, HelperTable, ReachReport},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

const INTERVAL: Duration = Duration::from_millis(500);
const REACHES: ReachReport = ReachReport {
    contact_age: Some(Duration::from_millis(50)),
    is_lost: false,
    open_requests: 0,
};
const LOST: ReachReport = ReachReport {
    is_lost: true,
    ..REACHES
};
const ZONES: [&str; 3] = ["near", "far", "further"];

fn fleet(count: usize) -> FleetMembers {
    let member = |index: usize| FleetMember {
        capacity: 1,
        instance: format!("front-{index}").into(),
        zone: ZONES[index % ZONES.len()].into(),
    };
    FleetMembers::new((0..count).map(member).collect())
}

fn survey(table: &mut HelperTable, own: usize, count: usize, now: Instant) -> Vec<InstanceId> {
    let own = InstanceId::from(format!("front-{own}"));
    let zone = ZoneId::from("near");
    table.begin_survey(&ServiceId::from("s"), (&own, &zone), &fleet(count), now)
}

/// Lets all asked instances report.
fn report(table: &mut HelperTable, asked: &[InstanceId], report: ReachReport, now: Instant) {
    for instance in asked {
        table.note_report(&ServiceId::from("s"), instance, Some(report), now);
    }
}

fn choose(table: &HelperTable, request: &str, now: Instant) -> Option<InstanceId> {
    table.choose(&ServiceId::from("s"), request, &[], now)
}

#[test]
fn the_number_of_instances_that_are_asked_does_not_grow_with_the_fleet() {
    let now = Instant::now();
    for (count, expected) in [(1, 0), (2, 1), (9, 6), (300, 7), (1_500, 7)] {
        let mut table = HelperTable::default();
        let asked = survey(&mut table, 0, count, now);
        assert_eq!(asked.len(), expected, "{count}");
        assert!(!asked.contains(&"front-0".into()));
        assert!(survey(&mut table, 0, count, now + INTERVAL / 2).is_empty());
    }
}

#[test]
fn a_survey_that_finds_nobody_is_followed_by_one_of_others() {
    let mut table = HelperTable::default();
    let mut now = Instant::now();
    let mut all = BTreeSet::new();
    for _ in 0..20 {
        let asked = survey(&mut table, 0, 90, now);
        report(&mut table, &asked, LOST, now);
        assert_eq!(choose(&table, "r", now), None);
        all.extend(asked);
        now += INTERVAL;
    }
    assert!(all.len() > 60, "{}", all.len());
}

#[test]
fn the_first_that_reaches_the_service_is_asked_again_and_the_own_zone_goes_first() {
    let mut table = HelperTable::default();
    let now = Instant::now();
    let asked = survey(&mut table, 0, 90, now);
    report(&mut table, &asked, REACHES, now);
    let chosen = choose(&table, "r", now).unwrap();
    assert!(asked[..3].contains(&chosen));
    assert_eq!(survey(&mut table, 0, 90, now + INTERVAL), asked);
}

#[test]
fn open_requests_spread_over_the_helpers_and_over_zones() {
    let mut table = HelperTable::default();
    let service = ServiceId::from("s");
    let now = Instant::now();
    let asked = survey(&mut table, 0, 90, now);
    report(&mut table, &asked, REACHES, now);
    let mut used = BTreeSet::new();
    for request in 0..40 {
        let chosen = choose(&table, &format!("r{request}"), now).unwrap();
        table.begin(&service, &chosen);
        used.insert(chosen);
    }
    assert_eq!(used.len(), asked.len());
}

#[test]
fn instances_ask_different_ones_so_that_no_helper_is_asked_by_all() {
    let now = Instant::now();
    let mut first = std::collections::BTreeMap::new();
    for own in 0..300 {
        let asked = survey(&mut HelperTable::default(), own * 3, 900, now);
        *first.entry(asked[0].clone()).or_insert(0) += 1;
    }
    let most = first.values().max().copied().unwrap();
    assert!(most <= 12, "{most} of 300 turn to one instance first");
}

#[test]
fn an_old_report_or_a_failed_request_is_no_reason_to_choose_an_instance() {
    let mut table = HelperTable::default();
    let service = ServiceId::from("s");
    let now = Instant::now();
    let asked = survey(&mut table, 0, 2, now);
    report(&mut table, &asked, REACHES, now);
    assert!(choose(&table, "r", now).is_some());
    assert_eq!(choose(&table, "r", now + 10 * INTERVAL), None);
    table.note_failure(&service, &asked[0]);
    assert_eq!(choose(&table, "r", now), None);
}

/// Guards against requests that wait for an answer which is not to come.
#[test]
fn answers_are_awaited_until_all_asked_have_answered_or_failed_to() {
    let mut table = HelperTable::default();
    let service = ServiceId::from("s");
    let now = Instant::now();
    assert!(!table.has_pending(&service));
    let asked = survey(&mut table, 0, 9, now);
    for instance in &asked {
        assert!(table.has_pending(&service));
        table.note_report(&service, instance, None, now);
    }
    assert!(!table.has_pending(&service));
}
