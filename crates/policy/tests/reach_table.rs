//! When an instance takes a service for unreachable from its side.

use {
    kernel::{ServiceId, UpstreamId},
    policy::{ReachChange, ReachTable},
    std::time::{Duration, Instant},
};

const MS: Duration = Duration::from_millis(1);

fn silence(table: &mut ReachTable, upstream: &str, now: Instant) -> bool {
    let service = ServiceId::from("s");
    table.note_silence(&service, &UpstreamId::from(upstream), 3, now)
}

#[test]
fn one_silent_upstream_of_several_is_no_reason_to_check() {
    let mut table = ReachTable::default();
    let now = Instant::now();
    for _ in 0..20 {
        assert!(!silence(&mut table, "a", now));
    }
    assert!(silence(&mut table, "b", now));
}

#[test]
fn an_answer_of_any_upstream_clears_the_suspicion() {
    let mut table = ReachTable::default();
    let service = ServiceId::from("s");
    let now = Instant::now();
    assert!(!silence(&mut table, "a", now));
    assert_eq!(table.note_contact(&service, now), None);
    assert!(!silence(&mut table, "b", now));
    assert_eq!(table.last_contact(&service), Some(now));
}

#[test]
fn a_service_is_lost_once_the_connection_attempts_have_failed_too() {
    let mut table = ReachTable::default();
    let service = ServiceId::from("s");
    let start = Instant::now();
    assert!(!silence(&mut table, "a", start));
    assert!(silence(&mut table, "b", start));
    assert!(!table.is_lost(&service));
    let lost = table.note_check_failed(&service, start, start + 100 * MS);
    assert_eq!(lost, Some(ReachChange::Lost));
    assert!(table.is_lost(&service));
    assert_eq!(table.lost_count(), 1);
    let regained = table.note_contact(&service, start + 400 * MS);
    assert_eq!(regained, Some(ReachChange::Regained(300 * MS)));
    assert!(!table.is_lost(&service));
}

#[test]
fn an_answer_during_the_connection_attempts_counts_more_than_their_failure() {
    let mut table = ReachTable::default();
    let service = ServiceId::from("s");
    let start = Instant::now();
    table.note_contact(&service, start + 50 * MS);
    let outcome = table.note_check_failed(&service, start, start + 100 * MS);
    assert_eq!(outcome, None);
}

#[test]
fn the_connection_attempts_of_a_service_have_an_interval() {
    let mut table = ReachTable::default();
    let start = Instant::now();
    assert!(!silence(&mut table, "a", start));
    assert!(silence(&mut table, "b", start));
    assert!(!silence(&mut table, "a", start + 400 * MS));
    assert!(silence(&mut table, "b", start + 600 * MS));
}
