//! Which engines are left to resumed streams that can go on at one software version only.

use {
    kernel::{ServiceId, SoftwareVersion, ZoneId},
    policy::{CallVerdict, ChoiceQuery, UpstreamRecord, UpstreamStage, UpstreamTable, ZoneFilter},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// The time after which the callers of resumed streams are told to come back.
const PAUSE: Duration = Duration::from_secs(2);

fn engine(number: u16, software: &str) -> UpstreamRecord {
    UpstreamRecord {
        address: ([127, 0, 0, 1], 1000 + number).into(),
        cold_for: Duration::ZERO,
        id: format!("{software}-{number}").into(),
        leaving: false,
        name: "engine".into(),
        report_number: None,
        service: "s".into(),
        slots: 6,
        software: software.into(),
        stage: UpstreamStage::Decode,
        zone: "near".into(),
    }
}

/// A table of engines, `counts` at each version.
fn table_of(counts: &[(&str, u16)], now: Instant) -> UpstreamTable {
    let engines = counts
        .iter()
        .flat_map(|(software, count)| (0..*count).map(|number| engine(number, software)));
    let mut table = UpstreamTable::default();
    table.replace(&engines.collect::<Vec<_>>(), None, now);
    table
}

fn want(table: &mut UpstreamTable, software: &str, now: Instant) {
    let service: ServiceId = "s".into();
    table.wanted.note(&service, &software.into(), PAUSE, now);
}

/// The versions at which requests are placed that ask engine after engine.
fn versions_asked(
    table: &UpstreamTable,
    software: Option<&SoftwareVersion>,
    now: Instant,
) -> BTreeSet<SoftwareVersion> {
    let service: ServiceId = "s".into();
    let zone: ZoneId = "near".into();
    let mut versions = BTreeSet::new();
    for request in ["one", "two", "three"] {
        let mut avoid = Vec::new();
        loop {
            let query = ChoiceQuery {
                avoid: &avoid,
                filter: &ZoneFilter::default(),
                holders: &[],
                connected: &BTreeSet::new(),
                request,
                service: &service,
                software,
                stage: UpstreamStage::Decode,
                zone: &zone,
            };
            let Some(chosen) = table.choose(&query, now) else {
                break;
            };
            versions.insert(chosen.software.clone());
            avoid.push(chosen.id.clone());
        }
    }
    versions
}

fn set(versions: &[&str]) -> BTreeSet<SoftwareVersion> {
    versions.iter().map(|version| (*version).into()).collect()
}

#[test]
fn new_requests_leave_the_engines_of_a_version_that_resumed_streams_wait_for() {
    let now = Instant::now();
    let mut table = table_of(&[("v1", 1), ("v2", 3)], now);
    assert_eq!(versions_asked(&table, None, now), set(&["v1", "v2"]));
    want(&mut table, "v1", now);
    assert_eq!(versions_asked(&table, None, now), set(&["v2"]));
    assert_eq!(
        versions_asked(&table, Some(&"v1".into()), now),
        set(&["v1"])
    );
}

#[test]
fn the_engines_are_free_again_once_the_callers_had_the_time_to_come_back() {
    let now = Instant::now();
    let mut table = table_of(&[("v1", 1), ("v2", 3)], now);
    want(&mut table, "v1", now);
    let back = now + PAUSE;
    assert_eq!(versions_asked(&table, None, back), set(&["v2"]));
    let later = back + Duration::from_secs(2);
    assert_eq!(versions_asked(&table, None, later), set(&["v1", "v2"]));
}

#[test]
fn at_least_half_of_the_engines_stay_with_new_requests() {
    let now = Instant::now();
    let mut table = table_of(&[("v1", 3), ("v2", 2)], now);
    want(&mut table, "v1", now);
    assert_eq!(versions_asked(&table, None, now), set(&["v1", "v2"]));
    want(&mut table, "v2", now);
    assert_eq!(versions_asked(&table, None, now), set(&["v1"]));

    let mut table = table_of(&[("v1", 1), ("v2", 1), ("v3", 2)], now);
    for version in ["v1", "v2", "v3"] {
        want(&mut table, version, now);
    }
    assert_eq!(versions_asked(&table, None, now), set(&["v3"]));
}

#[test]
fn the_only_version_of_a_service_serves_everybody() {
    let now = Instant::now();
    let mut table = table_of(&[("v1", 3)], now);
    want(&mut table, "v1", now);
    want(&mut table, "gone", now);
    assert_eq!(versions_asked(&table, None, now), set(&["v1"]));
}

/// Guards against new requests that fail since the engines that may take them are gone, while others are kept free.
#[test]
fn engines_that_cannot_be_reached_or_refuse_do_not_count_as_left_to_new_requests() {
    let now = Instant::now();
    for is_unreachable in [true, false] {
        let mut table = table_of(&[("v1", 1), ("v2", 3)], now);
        want(&mut table, "v1", now);
        for id in ["v2-0", "v2-1", "v2-2"].map(Into::into) {
            if !is_unreachable {
                table.note_refusal(&id, false, now);
                continue;
            }
            table.begin(&id, 0);
            table.end(&id, 0, CallVerdict::Unreachable, now);
        }
        let asked = versions_asked(&table, None, now);
        assert!(asked.contains("v1"), "unreachable: {is_unreachable}");
    }
}
