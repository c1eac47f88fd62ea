//! What an instance tells those that wait for its next reading, and when.

use {
    kernel::ZoneId,
    relay::RouteBook,
    spread::{MemberRow, SpreadRequest, SpreadState, SpreadTimes},
    std::time::{Duration, Instant},
};

fn request() -> SpreadRequest {
    SpreadRequest {
        at_once: false,
        book: Some(0),
        card: MemberRow {
            address: ([127, 0, 0, 1], 7_000).into(),
            capacity: 1,
            instance: "front-2".into(),
            zone: "gijon".into(),
        },
        is_refused: false,
        list: None,
        list_digests: Vec::new(),
        members: 0,
        passed_over: false,
        reads: false,
        reports: Vec::new(),
        reports_known: None,
    }
}

#[test]
fn routes_that_are_the_newest_again_after_an_outage_are_told_at_once() {
    let start = Instant::now();
    let zone: ZoneId = "gijon".into();
    let times = SpreadTimes::builder()
        .period(Duration::from_millis(900))
        .read_limit(Duration::from_millis(700))
        .build();
    let mut state = SpreadState::new(1, zone, Duration::from_secs(600));
    state.take_book(RouteBook::default(), 3, Some(start));
    let before = state.news_count;
    // An ordinary answer to a watch goes along with the next reading.
    let soon = start + Duration::from_secs(1);
    state.note_newest(0, soon);
    assert!(!state.has_news(&request(), before, &times, soon));
    let late = soon + Duration::from_secs(4);
    state.note_newest(0, late);
    assert!(state.has_news(&request(), before, &times, late));
}
