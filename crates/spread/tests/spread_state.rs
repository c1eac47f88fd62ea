//! What an instance tells those that wait for its next reading, and when.

use {
    kernel::{InstanceId, ZoneId},
    policy::{UpstreamRecord, UpstreamStage},
    relay::{CallerLimits, RouteTable, UpstreamSnapshot},
    spread::{
        ListJournal, ListMirror, MemberRow, ReadFailure, SpreadReply, SpreadRequest, SpreadState,
        SpreadTimes,
    },
    std::time::{Duration, Instant},
};

fn request() -> SpreadRequest {
    SpreadRequest {
        is_immediate: false,
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
        members: 0,
        update_age: Some(Duration::ZERO),
        has_skipped_readers: false,
        reads_store: false,
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
    state.apply_routes(RouteTable::default(), 3, Some(start));
    let before = state.update_count;
    // An ordinary answer to a watch goes along with the next reading.
    let soon = start + Duration::from_secs(1);
    state.note_current_routes(0, soon);
    assert!(!state.has_updates(&request(), before, &times, soon));
    let late = soon + Duration::from_secs(4);
    state.note_current_routes(0, late);
    assert!(state.has_updates(&request(), before, &times, late));
}

/// An edit that one zone has read just before the store fell silent: the readers of the others ask it, which has no news of the
/// upstreams, and theirs ask them.
#[test]
fn an_edit_that_one_zone_has_read_goes_on_while_nobody_can_read_the_store() {
    let start = Instant::now();
    let times = SpreadTimes::builder()
        .period(Duration::from_millis(900))
        .read_timeout(Duration::from_millis(700))
        .build();
    let mut state = SpreadState::new(1, "gijon".into(), Duration::from_secs(600));
    let edited = RouteTable::new(2, Vec::new(), Vec::new(), CallerLimits::default());
    state.apply_routes(edited, 3, Some(start));
    let from_elsewhere = SpreadRequest {
        routes: Some(1),
        member: MemberRow {
            zone: "ferrol".into(),
            ..request().member
        },
        is_refused: true,
        ..request()
    };
    let knows_it = SpreadRequest {
        routes: Some(2),
        ..from_elsewhere.clone()
    };
    let before = state.update_count;
    // Whoever starts is not sent away as long as the store may still answer.
    assert!(!state.has_updates(&from_elsewhere, before, &times, start));
    let late = start + Duration::from_secs(3);
    state.record_failure(ReadFailure::TimedOut, late);
    assert!(state.has_updates(&from_elsewhere, before, &times, late));
    assert!(!state.has_updates(&knows_it, before, &times, late));
    let told = |asker: &SpreadRequest| match state.answer(asker, times.max_staleness, late) {
        SpreadReply::NoUpdate { routes, .. } => routes,
        SpreadReply::Update(news) => panic!("{news:?}"),
    };
    let (copy, version) = told(&from_elsewhere).copy.expect("the routes");
    assert_eq!((copy.into_book().version, version), (2, 3));
    assert!(told(&knows_it).copy.is_none());
    let age = told(&from_elsewhere).age.expect("the age goes along");
    assert_eq!((age.age, age.version), (late - start, 2));
}

fn upstream(leaving: bool) -> UpstreamRecord {
    UpstreamRecord {
        address: ([127, 0, 0, 1], 1_000).into(),
        id: "i-1".into(),
        leaving,
        name: "i-1".into(),
        service: "s".into(),
        slots: 6,
        stage: UpstreamStage::Plain,
        zone: "z".into(),
    }
}

/// An instance goes over to a reader whose list is older, and that list becomes the newest one again: what it passes on then is
/// that list, though nothing changed in what it was told.
#[test]
fn a_list_that_is_the_newest_again_is_passed_on() {
    let start = Instant::now();
    let mut state = SpreadState::new(1, "gijon".into(), Duration::from_secs(600));
    let mut mirror = ListMirror::default();
    let told = [
        ("reader-1", 11, upstream(true)),
        ("reader-2", 10, upstream(false)),
        ("reader-2", 12, upstream(false)),
    ];
    for (reader, version, record) in told {
        let mut journal = ListJournal::new(2);
        journal.apply(std::slice::from_ref(&record));
        let reader = InstanceId::from(reader);
        let change = journal.change_since(mirror.position(&reader), mirror.digest().parts());
        assert!(mirror.apply(reader, change, journal.position()));
        let reading = UpstreamSnapshot {
            records: mirror.records(),
            version,
            ..UpstreamSnapshot::default()
        };
        state.apply_peer_list(&reading, start, mirror.digest());
    }
    let SpreadReply::Update(news) = state.answer(&request(), Duration::from_secs(2), start) else {
        panic!("there is news");
    };
    let mut passed = ListMirror::default();
    assert!(passed.apply("front-1".into(), news.list, news.position));
    assert_eq!(passed.records(), [upstream(false)]);
}

/// News that reach an instance after it stood still are not taken for new ones.
#[test]
fn news_that_were_long_on_their_way_are_as_old_as_that() {
    let start = Instant::now();
    let mut state = SpreadState::new(1, "gijon".into(), Duration::from_secs(600));
    state.apply_store_list(&UpstreamSnapshot::default(), start);
    let second = Duration::from_secs(1);
    let reply = state.answer(&request(), 2 * second, start + second);
    let SpreadReply::Update(news) = reply else {
        panic!("{reply:?}");
    };
    let way = 3 * second;
    assert_eq!(news.read_at(way, start + second + way), start);
}
