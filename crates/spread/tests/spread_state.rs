//! What requesters that wait for an update are sent, and when.

use {
    kernel::{InstanceId, ZoneId},
    policy::{EvacuationSet, StoreVersion, UpstreamRecord, UpstreamStage},
    relay::{CallerLimits, RouteTable, UpstreamSnapshot},
    spread::{
        ListJournal, ListMirror, MemberRow, ReadFailure, SpreadReply, SpreadRequest, SpreadState,
        SpreadTimes,
    },
    std::time::{Duration, Instant},
};

fn store_version(number: u64) -> StoreVersion {
    StoreVersion { era: 1, number }
}

fn request() -> SpreadRequest {
    SpreadRequest {
        is_immediate: false,
        evacuations: Some(StoreVersion::default()),
        routes: Some(0),
        member: MemberRow {
            address: ([127, 0, 0, 1], 7_000).into(),
            capacity: 1,
            instance: "front-2".into(),
            zone: "gijon".into(),
        },
        is_refused: false,
        list: None,
        list_digests: Vec::new(),
        members_digest: 0,
        update_age: Some(Duration::ZERO),
        has_skipped_readers: false,
        reads_store: false,
        rates: Vec::new(),
        rates_digest: 0,
        reports: Vec::new(),
        reports_position: None,
        waited: Duration::ZERO,
    }
}

#[test]
fn routes_that_are_the_newest_again_after_an_outage_are_told_at_once() {
    let start = Instant::now();
    let zone: ZoneId = "gijon".into();
    let times = SpreadTimes::builder()
        .period(Duration::from_millis(900))
        .read_timeout(Duration::from_millis(700))
        .build();
    let mut state = SpreadState::new(1, zone, Duration::from_secs(600));
    state.apply_routes(RouteTable::default(), store_version(3), Some(start));
    let before = state.update_count;
    // A normal confirmation by a watch is sent with the next update.
    let soon = start + Duration::from_secs(1);
    state.note_current_routes(0, soon);
    assert!(!state.has_updates(&request(), before, &times, soon));
    let late = soon + Duration::from_secs(4);
    state.note_current_routes(0, late);
    assert!(state.has_updates(&request(), before, &times, late));
}

/// Guards against an edit staying in one zone that read it just before the store became silent. The
/// readers of the other zones ask that zone, which has no update of the upstreams, but must still
/// send the routes.
#[test]
fn an_edit_that_one_zone_has_read_goes_on_while_nobody_can_read_the_store() {
    let start = Instant::now();
    let times = SpreadTimes::builder()
        .period(Duration::from_millis(900))
        .read_timeout(Duration::from_millis(700))
        .build();
    let mut state = SpreadState::new(1, "gijon".into(), Duration::from_secs(600));
    let edited = RouteTable::new(2, Vec::new(), Vec::new(), CallerLimits::default());
    state.apply_routes(edited, store_version(3), Some(start));
    let from_elsewhere = SpreadRequest {
        routes: Some(1),
        member: MemberRow {
            zone: "ferrol".into(),
            ..request().member
        },
        is_refused: true,
        ..request()
    };
    let has_edit = SpreadRequest {
        routes: Some(2),
        ..from_elsewhere.clone()
    };
    let before = state.update_count;
    // A starting instance is not turned away as long as the store may still answer.
    assert!(!state.has_updates(&from_elsewhere, before, &times, start));
    let late = start + Duration::from_secs(3);
    state.record_failure(ReadFailure::TimedOut, late);
    assert!(state.has_updates(&from_elsewhere, before, &times, late));
    assert!(!state.has_updates(&has_edit, before, &times, late));
    let no_update =
        |requester: &SpreadRequest| match state.answer(requester, times.max_staleness, late) {
            SpreadReply::NoUpdate { routes, .. } => routes,
            SpreadReply::Update(update) => panic!("{update:?}"),
        };
    let (copy, version) = no_update(&from_elsewhere).copy.expect("the routes");
    assert_eq!((copy.into_table().version, version), (2, store_version(3)));
    assert!(no_update(&has_edit).copy.is_none());
    let age = no_update(&from_elsewhere).age.expect("the age goes along");
    assert_eq!((age.age, age.version), (late - start, 2));
}

/// An evacuation reaches instances that the store does not answer, the same way as an edit, and an older one does not
/// replace it.
#[test]
fn evacuations_are_passed_on_to_requesters_that_know_older_ones() {
    let start = Instant::now();
    let times = SpreadTimes::builder()
        .period(Duration::from_millis(900))
        .read_timeout(Duration::from_millis(700))
        .build();
    let mut state = SpreadState::new(1, "gijon".into(), Duration::from_secs(600));
    state.apply_routes(RouteTable::default(), store_version(3), Some(start));
    state.apply_store_list(&UpstreamSnapshot::default(), start);
    let before = state.update_count;
    assert!(!state.has_updates(&request(), before, &times, start));
    let evacuated = |version| EvacuationSet {
        version,
        zones: ["ferrol".into()].into(),
    };
    state.apply_evacuations(evacuated(store_version(7)));
    state.apply_evacuations(EvacuationSet {
        version: store_version(6),
        ..EvacuationSet::default()
    });
    assert!(state.has_updates(&request(), before, &times, start));
    assert!(state.has_routes_after(store_version(6)) && !state.has_routes_after(store_version(7)));
    let sent = |state: &SpreadState, requester: &SpreadRequest| match state.answer(
        requester,
        times.max_staleness,
        start,
    ) {
        SpreadReply::NoUpdate { routes, .. } => routes.evacuations,
        SpreadReply::Update(update) => update.routes.evacuations,
    };
    assert_eq!(sent(&state, &request()), Some(evacuated(store_version(7))));
    let knows = SpreadRequest {
        evacuations: Some(store_version(7)),
        ..request()
    };
    assert_eq!(sent(&state, &knows), None);
    assert!(!state.has_updates(&knows, before, &times, start));
    state.record_failure(ReadFailure::Refused, start);
    assert_eq!(sent(&state, &request()), Some(evacuated(store_version(7))));
}

fn upstream(leaving: bool) -> UpstreamRecord {
    UpstreamRecord {
        address: ([127, 0, 0, 1], 1_000).into(),
        cold_for: Duration::ZERO,
        id: "i-1".into(),
        leaving,
        name: "i-1".into(),
        report_number: None,
        service: "s".into(),
        slots: 6,
        software: "v1".into(),
        stage: UpstreamStage::Plain,
        zone: "z".into(),
    }
}

/// Guards against passing on an outdated list: an instance turns to a reader whose list is older,
/// and later that list becomes the newest one although nothing in it changed.
#[test]
fn a_list_that_is_the_newest_again_is_passed_on() {
    let start = Instant::now();
    let mut state = SpreadState::new(1, "gijon".into(), Duration::from_secs(600));
    let mut mirror = ListMirror::default();
    let updates = [
        ("reader-1", 11, upstream(true)),
        ("reader-2", 10, upstream(false)),
        ("reader-2", 12, upstream(false)),
    ];
    for (reader, version, record) in updates {
        let mut journal = ListJournal::new(2);
        journal.apply(std::slice::from_ref(&record));
        let reader = InstanceId::from(reader);
        let change = journal.change_since(mirror.position(&reader), mirror.digest().parts());
        assert!(mirror.apply(reader, change, journal.position()));
        let snapshot = UpstreamSnapshot {
            records: mirror.records(),
            version: store_version(version),
            ..UpstreamSnapshot::default()
        };
        state.apply_peer_list(&snapshot, start, mirror.digest());
    }
    let SpreadReply::Update(update) = state.answer(&request(), Duration::from_secs(2), start)
    else {
        panic!("no update");
    };
    let mut passed = ListMirror::default();
    assert!(passed.apply("front-1".into(), update.list, update.position));
    assert_eq!(passed.records(), [upstream(false)]);
}

/// Guards against taking an update for new that reached an instance only after it was suspended.
#[test]
fn news_that_were_long_on_their_way_are_as_old_as_that() {
    let start = Instant::now();
    let mut state = SpreadState::new(1, "gijon".into(), Duration::from_secs(600));
    state.apply_store_list(&UpstreamSnapshot::default(), start);
    let second = Duration::from_secs(1);
    let reply = state.answer(&request(), 2 * second, start + second);
    let SpreadReply::Update(update) = reply else {
        panic!("{reply:?}");
    };
    let transit = 3 * second;
    assert_eq!(update.read_at(transit, start + second + transit), start);
}

/// Guards against instances that count the grace period after an outage from the list that they happen to get first.
#[test]
fn an_update_says_when_the_store_was_last_out_of_reach_of_any_instance_on_its_way() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let mut state = SpreadState::new(1, "gijon".into(), Duration::from_secs(600));
    let failed_for = |state: &SpreadState, now| match state.answer(&request(), 9 * second, now) {
        SpreadReply::Update(update) => update.failed_for,
        SpreadReply::NoUpdate { .. } => panic!("no update"),
    };
    state.apply_store_list(&UpstreamSnapshot::default(), start);
    assert_eq!(failed_for(&state, start), None);
    state.note_failed_read(start + 2 * second);
    state.note_failed_read(start + second);
    state.apply_store_list(&UpstreamSnapshot::default(), start + 3 * second);
    assert_eq!(failed_for(&state, start + 4 * second), Some(2 * second));
}

// A restored store gives its versions out again, so that a number by itself says nothing.
#[test]
fn what_a_restored_store_says_is_newer_than_all_before() {
    let start = Instant::now();
    let before = StoreVersion {
        era: 1,
        number: 900,
    };
    let restored = StoreVersion { era: 2, number: 5 };
    let mut state = SpreadState::new(1, "gijon".into(), Duration::from_secs(600));
    let list = |version, records: &[UpstreamRecord]| UpstreamSnapshot {
        records: records.to_vec(),
        version,
        ..UpstreamSnapshot::default()
    };
    let count = |state: &SpreadState| match state.answer(&request(), Duration::from_secs(9), start)
    {
        SpreadReply::Update(update) => update.version,
        SpreadReply::NoUpdate { .. } => panic!("no update"),
    };
    state.apply_store_list(&list(before, &[upstream(false)]), start);
    state.apply_routes(RouteTable::default(), before, Some(start));
    state.apply_store_list(&list(restored, &[upstream(true)]), start);
    assert_eq!(count(&state), restored);
    // An instance that has not heard of the restore passes on what it has.
    state.apply_store_list(&list(before, &[upstream(false)]), start);
    assert_eq!(count(&state), restored);
    let edited = RouteTable::new(9, Vec::new(), Vec::new(), CallerLimits::default());
    state.apply_routes(edited, restored, Some(start));
    assert!(state.has_routes_after(before));
}
