//! Which requests are quarantined, depending on the reported crashes.

use {
    policy::{CrashMark, CrashReport, CrashTable, RequestContent, SuspectId, SuspectSet},
    proptest::{prelude::*, test_runner::RngSeed},
    std::time::{Duration, Instant},
};

const TTL: Duration = Duration::from_secs(600);

fn fingerprint(target: &str) -> SuspectId {
    SuspectId::request(&RequestContent {
        body: b"the prompt",
        caller: "team-7",
        host: "shop.example",
        method: "POST",
        target,
    })
}

fn suspects(target: &str) -> SuspectSet {
    SuspectSet::new(fingerprint(target), [].iter())
}

fn report(target: &str, upstream: u32, mark: CrashMark) -> CrashReport {
    CrashReport {
        suspect: fingerprint(target),
        mark,
        upstream: format!("i-{upstream}").into(),
    }
}

fn table_of(marks: &[CrashMark], now: Instant) -> CrashTable {
    let mut table = CrashTable::new(TTL);
    for (upstream, mark) in (0..).zip(marks) {
        table.merge(&report("/1", upstream, *mark), now, now);
    }
    table
}

#[test]
fn three_early_ends_or_five_late_ones_put_a_request_into_quarantine() {
    let now = Instant::now();
    let left = |marks: &[CrashMark]| table_of(marks, now).quarantine_left(&suspects("/1"), now);
    let (early, late) = (CrashMark::Early, CrashMark::Late);
    assert_eq!(left(&[early, early]), None);
    assert_eq!(left(&[early, early, early]), Some(TTL));
    assert_eq!(left(&[early, early, late]), None);
    assert_eq!(left(&[early, early, late, late]), Some(TTL));
    assert_eq!(left(&[early, late, late, late]), Some(TTL));
    assert_eq!(left(&[late; 4]), None);
    assert_eq!(left(&[late; 5]), Some(TTL));
    let other = table_of(&[early; 3], now).quarantine_left(&suspects("/2"), now);
    assert_eq!(other, None);
}

#[test]
fn the_same_end_counts_once() {
    let now = Instant::now();
    let mut table = CrashTable::new(TTL);
    for _ in 0..9 {
        table.merge(&report("/1", 0, CrashMark::Early), now, now);
    }
    assert_eq!(table.quarantine_left(&suspects("/1"), now), None);
}

#[test]
fn what_is_answered_in_full_is_cleared_and_later_ends_count_anew() {
    let now = Instant::now();
    let mut table = table_of(&[CrashMark::Early; 3], now);
    let reports = table.clear(&suspects("/1"));
    assert_eq!(reports.len(), 3);
    assert!(
        reports
            .iter()
            .all(|report| report.mark == CrashMark::Cleared)
    );
    assert_eq!(table.quarantine_left(&suspects("/1"), now), None);
    assert_eq!(table.clear(&suspects("/1")), []);
    // An instance that has not received the update yet reports the old crashes again.
    for upstream in 0..3 {
        table.merge(&report("/1", upstream, CrashMark::Early), now, now);
    }
    assert_eq!(table.quarantine_left(&suspects("/1"), now), None);
    for upstream in 3..6 {
        table.merge(&report("/1", upstream, CrashMark::Early), now, now);
    }
    assert_eq!(table.quarantine_left(&suspects("/1"), now), Some(TTL));
}

#[test]
fn a_quarantine_lasts_until_too_few_ends_count_and_one_more_renews_it() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let mut table = CrashTable::new(TTL);
    for upstream in 0..3 {
        let at = now + second * upstream;
        table.merge(&report("/1", upstream, CrashMark::Early), at, at);
    }
    let end = now + TTL;
    assert_eq!(
        table.quarantine_left(&suspects("/1"), end - second),
        Some(second)
    );
    assert_eq!(table.quarantine_left(&suspects("/1"), end), None);
    table.merge(&report("/1", 3, CrashMark::Early), end, end);
    assert!(table.quarantine_left(&suspects("/1"), end).is_some());
    table.sweep(end + TTL);
    assert!(table.is_empty());
}

#[test]
fn a_report_that_comes_late_counts_from_when_it_was_made() {
    let now = Instant::now();
    let mut table = table_of(&[CrashMark::Early; 2], now);
    let old = report("/1", 2, CrashMark::Early);
    assert!(!table.merge(&old, now, now + TTL));
    assert!(table.merge(&old, now, now + TTL / 2));
    let left = table.quarantine_left(&suspects("/1"), now + TTL / 2);
    assert_eq!(left, Some(TTL / 2));
}

/// Requests that ran beside one at upstreams that crashed, more than the table holds.
fn flood(table: &mut CrashTable, at: Instant) {
    for number in 0..5_000 {
        let report = report(&format!("/beside/{number}"), 9, CrashMark::Late);
        table.merge(&report, at, at);
    }
}

// Guards against a cause that is forgotten because of its many bystanders, and then crashes upstreams again.
#[test]
fn many_bystanders_do_not_push_out_a_convicted_request() {
    let now = Instant::now();
    let mut table = table_of(&[CrashMark::Early; 3], now);
    let later = now + Duration::from_secs(1);
    flood(&mut table, later);
    assert!(table.quarantine_left(&suspects("/1"), later).is_some());
    assert_eq!(table.rows(later).len(), 1);
}

#[test]
fn many_bystanders_push_out_the_suspect_reported_longest_ago() {
    let now = Instant::now();
    let mut table = table_of(&[CrashMark::Early; 2], now);
    let later = now + Duration::from_secs(1);
    flood(&mut table, later);
    table.merge(&report("/1", 2, CrashMark::Early), later, later);
    assert_eq!(table.quarantine_left(&suspects("/1"), later), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(27),
        ..ProptestConfig::default()
    })]

    /// Two instances that receive the same reports, in any order and with duplicates, quarantine the same requests for
    /// the same time.
    #[test]
    fn the_order_of_reports_makes_no_difference(
        reports in prop::collection::vec((0..3_u32, 0..6_u32, 0..3_usize, 0..500_u64), 1..40),
        shift in any::<prop::sample::Index>(),
        repeated in 0..40_usize,
    ) {
        let marks = [CrashMark::Late, CrashMark::Early, CrashMark::Cleared];
        let start = Instant::now();
        let end = start + Duration::from_secs(500);
        let reports: Vec<(CrashReport, Instant)> = reports
            .into_iter()
            .map(|(request, upstream, mark, at)| {
                let report = report(&format!("/{request}"), upstream, marks[mark]);
                (report, start + Duration::from_secs(at))
            })
            .collect();
        let mut shuffled = reports.clone();
        shuffled.rotate_left(shift.index(reports.len()));
        shuffled.reverse();
        shuffled.extend(reports.iter().take(repeated).cloned());
        let fill = |reports: &[(CrashReport, Instant)]| {
            let mut table = CrashTable::new(TTL);
            for (report, since) in reports {
                table.merge(report, *since, end);
            }
            table
        };
        prop_assert_eq!(fill(&reports).rows(end), fill(&shuffled).rows(end));
    }
}
