//! The rate limits that upstreams state: what is taken from answers, in which order, and what others say.

use {
    kernel::{InstanceId, UpstreamId, ZoneId},
    policy::{CallRate, FleetMember, FleetMembers, RateChange, RateNote, RateStatement, RateTable},
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const MS: Duration = Duration::from_millis(1);

fn limited(rate: f64) -> RateStatement {
    RateStatement::Limited(CallRate::from(rate))
}

fn table() -> RateTable {
    let mut table = RateTable::new(InstanceId::from("front-1"));
    let alone = FleetMember {
        capacity: 1,
        instance: "front-1".into(),
        zone: "near".into(),
    };
    table.set_fleet(&Arc::new(FleetMembers::new(vec![alone])), Instant::now());
    table
}

fn state(
    table: &mut RateTable,
    statement: RateStatement,
    began: Instant,
    now: Instant,
) -> Option<RateChange> {
    let (id, zone) = (UpstreamId::from("a"), ZoneId::from("near"));
    table.note_answer((&id, &zone), statement, began, now)
}

fn limit(table: &RateTable) -> Option<CallRate> {
    table.limit(&UpstreamId::from("a"))
}

fn note(rate: Option<f64>, age: Duration) -> RateNote {
    RateNote {
        age,
        rate: rate.map(CallRate::from),
        upstream: "a".into(),
        zone: "near".into(),
    }
}

#[test]
fn only_unsigned_decimal_numbers_are_rates() {
    for text in [
        "", "-1", "+1", "1e300", "NaN", "inf", "1.6 rps", "1,6", "1.2.3", ".",
    ] {
        assert_eq!(CallRate::parse(text), None, "{text}");
    }
    let parsed = |text: &str| CallRate::parse(text).unwrap().per_second();
    assert_eq!(parsed("1.6"), 1.6);
    assert_eq!(parsed(" 30 "), 30.0);
    assert!(parsed("0") > 0.0);
    assert!(parsed(&"9".repeat(400)).is_finite());
    assert!(CallRate::from(f64::NAN).per_second() > 0.0);
}

#[test]
fn a_limit_holds_until_an_answer_to_a_later_call_states_none() {
    let mut table = table();
    let start = Instant::now();
    let told = state(&mut table, limited(2.0), start, start + 20 * MS);
    assert_eq!(told, Some(RateChange::Limited(CallRate::from(2.0))));
    let again = state(&mut table, limited(2.0), start, start + 21 * MS);
    assert_eq!(again, None);
    let none = RateStatement::Unlimited;
    let overtaken = state(&mut table, none, start + 10 * MS, start + 30 * MS);
    assert_eq!(overtaken, None);
    assert_eq!(limit(&table), Some(CallRate::from(2.0)));
    let lifted = state(&mut table, none, start + 40 * MS, start + 50 * MS);
    assert_eq!(lifted, Some(RateChange::Lifted));
    assert_eq!(limit(&table), None);
}

#[test]
fn an_unreadable_statement_is_reported_once_and_keeps_the_limit() {
    let mut table = table();
    let now = Instant::now();
    state(&mut table, limited(2.0), now, now);
    let unreadable = state(&mut table, RateStatement::Invalid, now, now);
    assert_eq!(unreadable, Some(RateChange::Unreadable));
    assert_eq!(state(&mut table, RateStatement::Invalid, now, now), None);
    assert_eq!(limit(&table), Some(CallRate::from(2.0)));
    table.retain(&BTreeSet::new(), now);
    assert_eq!(limit(&table), None);
}

#[test]
fn the_younger_of_two_notes_counts_whatever_their_order() {
    let mut table = table();
    let now = Instant::now() + 10_000 * MS;
    let changes = table.merge(&[note(Some(3.0), 500 * MS)], now);
    assert_eq!(changes.len(), 1);
    assert!(table.merge(&[note(None, 800 * MS)], now).is_empty());
    assert_eq!(limit(&table), Some(CallRate::from(3.0)));
    assert_eq!(table.merge(&[note(None, 100 * MS)], now).len(), 1);
    assert!(table.merge(&[note(Some(3.0), 300 * MS)], now).is_empty());
    assert_eq!(limit(&table), None);
    assert_eq!(table.digest(), RateTable::default().digest());
}

#[test]
fn calls_keep_the_interval_of_the_share_and_further_calls_delay_the_next() {
    let mut table = table();
    let id = UpstreamId::from("a");
    let now = Instant::now();
    state(&mut table, limited(2.0), now, now);
    let wait = table.wait(&id, now).unwrap();
    assert!(wait > 500 * MS && wait < 1_000 * MS, "{wait:?}");
    let due = now + wait;
    assert_eq!(table.wait(&id, due), Some(Duration::ZERO));
    table.note_call(&id, due);
    table.note_call(&id, due);
    assert_eq!(table.wait(&id, due), Some(2 * wait));
}

#[test]
fn without_a_view_of_the_fleet_a_limited_upstream_gets_no_call() {
    let mut table = RateTable::new(InstanceId::from("front-1"));
    let now = Instant::now();
    state(&mut table, limited(2.0), now, now);
    let wait = table.wait(&UpstreamId::from("a"), now + 60_000 * MS);
    assert!(wait.is_some_and(|wait| !wait.is_zero()));
}

// Guards against an instance that gets no news while many upstreams state a limit at once: its request has the notes on
// all recent changes, and one that is larger than a message is not sent.
#[test]
fn the_notes_in_a_request_are_bounded_and_the_latest_changes_go_first() {
    let now = Instant::now();
    let later = now + MS;
    let zone = ZoneId::from("near");
    let mut table = table();
    for (count, at) in [(10_000, now), (100, later)] {
        for index in 0..count {
            let id = UpstreamId::from(format!("i-{count}-{index}"));
            table.note_answer((&id, &zone), limited(1.6), at, at);
        }
    }
    let notes = table.recent_notes(later);
    assert!(notes.len() <= 2_048, "{} notes", notes.len());
    let is_latest = |note: &&RateNote| note.upstream.starts_with("i-100-");
    assert_eq!(notes.iter().filter(is_latest).count(), 100);
    assert_eq!(table.notes(later).len(), 10_100);
}
