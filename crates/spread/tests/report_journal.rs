//! Crash reports that an instance passes on to others.

use {
    peer::PeerSettings,
    policy::{AgedReport, CrashMark, CrashReport, RequestContent, SuspectId},
    spread::{ReportJournal, ReportOrigin},
    std::time::{Duration, Instant},
};

const RETENTION: Duration = Duration::from_secs(600);

fn aged(upstream: &str, mark: CrashMark, age: u64) -> AgedReport {
    AgedReport {
        age: Duration::from_secs(age),
        report: CrashReport {
            suspect: SuspectId::request(&RequestContent {
                body: b"the prompt",
                caller: "team-7",
                host: "shop.example",
                method: "POST",
                target: "/note/1",
            }),
            mark,
            upstream: upstream.into(),
        },
    }
}

#[test]
fn an_asker_gets_what_it_lacks_once() {
    let now = Instant::now();
    let mut journal = ReportJournal::new(7, RETENTION);
    assert!(!journal.has_updates(None));
    assert!(journal.apply(
        &[aged("i-1", CrashMark::Early, 0)],
        ReportOrigin::Instance,
        now
    ));
    let first = journal.updates_since(None, now);
    assert_eq!(first.reports.len(), 1);
    assert!(!journal.has_updates(Some(first.position)));
    assert!(!journal.apply(
        &[aged("i-1", CrashMark::Late, 0)],
        ReportOrigin::Instance,
        now
    ));
    assert!(journal.apply(
        &[aged("i-1", CrashMark::Cleared, 0)],
        ReportOrigin::Instance,
        now
    ));
    let second = journal.updates_since(Some(first.position), now);
    assert_eq!(second.reports, [aged("i-1", CrashMark::Cleared, 0)]);
    // Another incarnation of the instance counts revisions anew.
    let other = ReportJournal::new(8, RETENTION);
    assert!(!other.has_updates(Some(second.position)));
    assert_eq!(
        journal
            .updates_since(Some(other.position()), now)
            .reports
            .len(),
        1
    );
}

#[test]
fn what_the_store_may_lack_is_told_on_for_a_while_and_written_by_who_reads_it() {
    let now = Instant::now();
    let later = now + Duration::from_millis(500);
    let mut journal = ReportJournal::new(7, RETENTION);
    let (unstored, stored) = (
        aged("i-1", CrashMark::Early, 0),
        aged("i-2", CrashMark::Early, 0),
    );
    journal.apply(std::slice::from_ref(&unstored), ReportOrigin::Instance, now);
    journal.apply(&[stored], ReportOrigin::Store, now);
    assert_eq!(journal.to_forward(now), std::slice::from_ref(&unstored));
    assert_eq!(journal.to_forward(now + Duration::from_secs(5)), []);
    assert_eq!(journal.unstored(now), []);
    assert_eq!(
        journal.unstored(later),
        std::slice::from_ref(&unstored.report)
    );
    journal.apply(std::slice::from_ref(&unstored), ReportOrigin::Store, later);
    assert_eq!(journal.unstored(later), []);
    // A later finding about the same request must be written again.
    let cleared = aged("i-1", CrashMark::Cleared, 0);
    journal.apply(
        std::slice::from_ref(&cleared),
        ReportOrigin::Instance,
        later,
    );
    let last = later + Duration::from_millis(500);
    assert_eq!(
        journal.unstored(last),
        std::slice::from_ref(&cleared.report)
    );
    journal.mark_stored(&[cleared.report]);
    assert_eq!(journal.unstored(last), []);
}

#[test]
fn reports_keep_their_age_on_their_way_and_go_when_they_no_longer_count() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let mut journal = ReportJournal::new(7, RETENTION);
    journal.apply(
        &[aged("i-1", CrashMark::Early, 590)],
        ReportOrigin::Instance,
        now,
    );
    let update = journal.updates_since(None, now + second);
    assert_eq!(update.reports, [aged("i-1", CrashMark::Early, 591)]);
    assert_eq!(journal.expire(now + 9 * second), []);
    assert_eq!(journal.expire(now + 10 * second).len(), 1);
    let is_new = journal.apply(
        &[aged("i-1", CrashMark::Early, 600)],
        ReportOrigin::Instance,
        now,
    );
    assert!(!is_new);
}

/// One report of each of `count` upstreams, made `age` seconds ago.
fn storm(name: &str, count: usize, age: u64) -> Vec<AgedReport> {
    let report = |index| aged(&format!("i-{name}-{index:08}"), CrashMark::Early, age);
    (0..count).map(report).collect()
}

// Guards against an instance that gets no news while many upstreams crash: its request has all recent reports, and one
// that is larger than a message is not sent.
#[test]
fn the_reports_in_a_request_fit_into_a_message_whatever_was_reported() {
    let now = Instant::now();
    let mut journal = ReportJournal::new(7, RETENTION);
    journal.apply(&storm("a", 10_000, 0), ReportOrigin::Instance, now);
    let later = now + Duration::from_secs(1);
    let latest = storm("b", 100, 0);
    journal.apply(&latest, ReportOrigin::Instance, later);
    let forwarded = journal.to_forward(later);
    let bytes = postcard::to_stdvec(&forwarded).unwrap().len();
    let limit = PeerSettings::default().message_limit;
    assert!(bytes < limit / 2, "{bytes} of {limit} bytes");
    let has = |report: &AgedReport| forwarded.iter().any(|sent| sent.report == report.report);
    assert!(latest.iter().all(has), "those learned last go first");
}

// Guards against memory that grows with the crashes of the whole fleet: every instance keeps every report for ten
// minutes, and sends all of them to one that starts.
#[test]
fn reports_beyond_a_bound_evict_those_made_longest_ago() {
    let now = Instant::now();
    let mut journal = ReportJournal::new(7, RETENTION);
    journal.apply(&storm("old", 1_000, 300), ReportOrigin::Store, now);
    for part in 0..20 {
        let reports = storm(&format!("{part}"), 1_000, 0);
        journal.apply(&reports, ReportOrigin::Store, now);
    }
    let kept = journal.updates_since(None, now).reports;
    assert!(kept.len() <= 16_384, "{} reports", kept.len());
    assert!(kept.len() > 16_000, "{} reports", kept.len());
    let is_old = |kept: &AgedReport| kept.report.upstream.starts_with("i-old");
    assert_eq!(kept.iter().filter(|kept| is_old(kept)).count(), 0);
}

fn suspect(number: usize) -> SuspectId {
    SuspectId::prompt_part(&number.to_string())
}

// Guards against a store that grows without bound, and returns at a start what was evicted: nobody else knows these rows.
#[test]
fn evicted_reports_are_to_be_removed_from_the_store_once() {
    let now = Instant::now();
    let mut journal = ReportJournal::new(7, RETENTION);
    journal.apply(&storm("old", 1_000, 300), ReportOrigin::Store, now);
    journal.apply(&storm("new", 16_384, 0), ReportOrigin::Store, now);
    let surplus = journal.expire(now);
    assert_eq!(surplus.len(), 1_000);
    assert!(
        surplus
            .iter()
            .all(|report| report.upstream.starts_with("i-old"))
    );
    assert_eq!(journal.expire(now), []);
    journal.return_surplus(&surplus[..10]);
    assert_eq!(journal.expire(now), surplus[..10]);
}

// Guards against reports that never end: the removal of a row is read back, and would be a report of its own.
#[test]
fn the_removal_of_a_row_clears_what_is_known_and_is_no_report() {
    let now = Instant::now();
    let mut journal = ReportJournal::new(7, RETENTION);
    let known = aged("i-1", CrashMark::Early, 0);
    journal.apply(std::slice::from_ref(&known), ReportOrigin::Store, now);
    let removed = ["i-1", "i-2"].map(|upstream| aged(upstream, CrashMark::Cleared, 0).report);
    assert!(journal.apply_removed(&removed, now));
    let left = journal.updates_since(None, now).reports;
    assert_eq!(left, [aged("i-1", CrashMark::Cleared, 0)]);
    assert_eq!(journal.expire(now + RETENTION).len(), 1);
    assert!(!journal.apply_removed(&removed, now + RETENTION));
    assert_eq!(journal.expire(now + 2 * RETENTION), []);
}

// The removal of an evicted report clears it elsewhere, so that those which keep a request in quarantine go last.
#[test]
fn the_reports_of_a_convicted_suspect_are_evicted_last() {
    let now = Instant::now();
    let mut journal = ReportJournal::new(7, RETENTION);
    journal.apply(&storm("lethal", 3, 300), ReportOrigin::Store, now);
    let mut bystanders = storm("new", 20_000, 0);
    for (number, bystander) in bystanders.iter_mut().enumerate() {
        bystander.report.suspect = suspect(number);
    }
    journal.apply(&bystanders, ReportOrigin::Store, now);
    let surplus = journal.expire(now);
    assert_eq!(surplus.len(), 20_003 - 16_384);
    assert!(
        !surplus
            .iter()
            .any(|report| report.upstream.starts_with("i-lethal"))
    );
}
