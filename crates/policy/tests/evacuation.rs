//! Availability zones and regions that may not process a request.

use {
    kernel::{RegionId, ServiceId, ZoneId},
    policy::{
        ChoiceQuery, EvacuationChange, EvacuationSet, StoreVersion, UpstreamRecord, UpstreamStage,
        UpstreamTable, ZoneFilter,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

fn record(zone: &str, stage: UpstreamStage) -> UpstreamRecord {
    let id = format!("{zone}-{stage:?}");
    UpstreamRecord {
        address: ([127, 0, 0, 1], 8_080).into(),
        cold_for: Duration::ZERO,
        id: id.as_str().into(),
        leaving: false,
        name: id.as_str().into(),
        report_number: None,
        service: "s".into(),
        slots: 6,
        software: "v1".into(),
        stage,
        zone: zone.into(),
    }
}

fn table(now: Instant) -> UpstreamTable {
    let mut records = Vec::new();
    for zone in ["near", "far"] {
        for stage in [
            UpstreamStage::Decode,
            UpstreamStage::Plain,
            UpstreamStage::Prefill,
        ] {
            records.push(record(zone, stage));
        }
    }
    let mut table = UpstreamTable::default();
    table.replace(&records, None, now);
    table
}

fn set(version: u64, zones: &[&str]) -> EvacuationSet {
    EvacuationSet {
        version: StoreVersion {
            era: 1,
            number: version,
        },
        zones: zones.iter().map(|zone| ZoneId::from(*zone)).collect(),
    }
}

/// The zones that a request from `near` is sent to, by stage; `None` where it is sent nowhere.
fn chosen_zones(table: &UpstreamTable, filter: &ZoneFilter, now: Instant) -> [Option<ZoneId>; 3] {
    let (service, zone) = (ServiceId::from("s"), ZoneId::from("near"));
    let connected = BTreeSet::new();
    let query = |stage| ChoiceQuery {
        avoid: &[],
        connected: &connected,
        filter,
        holders: &[],
        request: "r",
        service: &service,
        software: None,
        stage,
        zone: &zone,
    };
    let prefill = table.choose_prefill(&query(UpstreamStage::Prefill), 100, now);
    [
        table.choose(&query(UpstreamStage::Decode), now),
        table.choose(&query(UpstreamStage::Plain), now),
        prefill.map(|choice| choice.upstream),
    ]
    .map(|upstream| upstream.map(|upstream| upstream.zone.clone()))
}

fn all(zone: &str) -> [Option<ZoneId>; 3] {
    [(); 3].map(|()| Some(zone.into()))
}

#[test]
fn an_evacuated_zone_gets_no_work_in_any_stage_until_it_is_taken_back() {
    let now = Instant::now();
    let filter = ZoneFilter::default();
    let mut table = table(now);
    assert_eq!(chosen_zones(&table, &filter, now), all("near"));
    table.set_evacuations(&set(3, &["near"]), now);
    assert_eq!(chosen_zones(&table, &filter, now), all("far"));
    assert!(!table.accepts_work(&"near-Plain".into(), now));
    assert!(table.is_active(&"near-Plain".into()));
    assert_eq!(table.engines(&"s".into()).len(), 2);
    table.set_evacuations(&set(5, &["near", "far"]), now);
    assert_eq!(chosen_zones(&table, &filter, now), [None, None, None]);
    assert!(table.is_all_evacuated());
    table.set_evacuations(&set(8, &[]), now);
    assert_eq!(chosen_zones(&table, &filter, now), all("near"));
}

/// Guards against a set that another instance passes on late: it must neither evacuate a zone again nor take it back.
#[test]
fn an_older_set_changes_nothing() {
    let now = Instant::now();
    let mut table = table(now);
    table.set_evacuations(&set(5, &["near"]), now);
    let change = table.set_evacuations(&set(4, &["far"]), now);
    assert_eq!(change, EvacuationChange::default());
    assert!(table.is_evacuated(&"near".into()) && !table.is_evacuated(&"far".into()));
}

/// Upstreams that are listed later, such as replacements, are subject to it as well.
#[test]
fn an_upstream_that_appears_in_an_evacuated_zone_gets_no_work() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    table.set_evacuations(&set(5, &["near"]), now);
    table.replace(&[record("near", UpstreamStage::Plain)], None, now);
    assert_eq!(
        chosen_zones(&table, &ZoneFilter::default(), now),
        [None, None, None]
    );
}

#[test]
fn restrictions_to_regions_all_bind_and_exclude_zones_of_unknown_region() {
    let now = Instant::now();
    let table = table(now);
    let regions: BTreeMap<ZoneId, RegionId> = BTreeMap::from([
        ("near".into(), "north".into()),
        ("far".into(), "south".into()),
    ]);
    let allowed = |names: &[&str]| -> BTreeSet<RegionId> {
        names.iter().map(|name| RegionId::from(*name)).collect()
    };
    let mut filter = ZoneFilter::default();
    filter.restrict(&allowed(&["north", "south"]), &regions);
    assert_eq!(chosen_zones(&table, &filter, now), all("near"));
    filter.restrict(&allowed(&["south", "east"]), &regions);
    assert_eq!(chosen_zones(&table, &filter, now), all("far"));
    filter.restrict(&allowed(&["north"]), &regions);
    assert_eq!(chosen_zones(&table, &filter, now), [None, None, None]);
    let mut unknown = ZoneFilter::default();
    unknown.restrict(&allowed(&["north"]), &BTreeMap::new());
    assert!(!unknown.allows(&"near".into()));
}

// Guards against work in a zone whose evacuation the copy of a restored store lacks.
#[test]
fn an_evacuation_outlasts_a_restore_until_it_can_have_been_declared_again() {
    let now = Instant::now();
    let mut table = table(now);
    table.set_evacuations(&set(9, &["near"]), now);
    let mut restored = set(3, &[]);
    restored.version.era = 2;
    let change = table.set_evacuations(&restored, now);
    assert_eq!(change, EvacuationChange::default());
    let zone = ZoneId::from("near");
    let records = [record("near", UpstreamStage::Plain)];
    let later = now + Duration::from_secs(9);
    table.replace(&records, None, later);
    assert!(table.is_evacuated(&zone));
    table.replace(&records, None, later + Duration::from_secs(2));
    assert!(!table.is_evacuated(&zone));
}
