//! Reports of upstreams that the store carries out after newer ones.
//!
//! Guards against work for upstreams that leave or are gone, and against the loss of those that live or start again.

use {
    policy::{CallBlock, UpstreamRecord, UpstreamStage, UpstreamTable},
    proptest::{prelude::*, test_runner::RngSeed},
    std::time::{Duration, Instant},
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const SECOND: Duration = Duration::from_secs(1);
/// The longest time after its writing for which a report counts as late.
const LATE_SPAN: Duration = Duration::from_secs(10);

/// A table with one upstream, whose reports are read one after the other.
struct Listing {
    now: Instant,
    table: UpstreamTable,
}

fn report(number: impl Into<Option<u64>>) -> UpstreamRecord {
    UpstreamRecord {
        address: ([127, 0, 0, 1], 8_000).into(),
        cold_for: Duration::ZERO,
        id: "a".into(),
        leaving: false,
        name: "a".into(),
        report_number: number.into(),
        service: "s".into(),
        slots: 6,
        software: "v1".into(),
        stage: UpstreamStage::Plain,
        zone: "z".into(),
    }
}

fn draining(number: impl Into<Option<u64>>) -> UpstreamRecord {
    UpstreamRecord {
        leaving: true,
        ..report(number)
    }
}

fn elsewhere(number: u64) -> UpstreamRecord {
    UpstreamRecord {
        address: ([127, 0, 0, 1], 9_000).into(),
        ..report(number)
    }
}

impl Listing {
    fn new() -> Self {
        let mut table = UpstreamTable::new("front-1".into());
        table.set_heartbeat(HEARTBEAT);
        Self {
            now: Instant::now(),
            table,
        }
    }

    /// Reads a list a heartbeat after the one before.
    fn read(&mut self, report: impl Into<Option<UpstreamRecord>>) -> &mut Self {
        self.read_after(HEARTBEAT, report)
    }

    fn read_after(
        &mut self,
        time: Duration,
        report: impl Into<Option<UpstreamRecord>>,
    ) -> &mut Self {
        self.now += time;
        let records: Vec<_> = report.into().into_iter().collect();
        self.table.replace(&records, None, self.now);
        self
    }

    /// Reads reports with these numbers.
    fn live(&mut self, numbers: std::ops::Range<u64>) -> &mut Self {
        for number in numbers {
            self.read(report(number));
        }
        self
    }

    fn block(&self) -> Option<CallBlock> {
        self.table.call_block(&"a".into(), self.now)
    }
}

#[test]
fn a_late_report_makes_no_upstream_ready_that_leaves() {
    let mut listing = Listing::new();
    listing.live(1..10).read(draining(10));
    for late in [9, 7, 8] {
        listing.read(report(late));
        assert_eq!(listing.block(), Some(CallBlock::Leaving), "{late}");
        listing.read(draining(11));
    }
}

#[test]
fn a_late_report_brings_no_upstream_back_that_is_gone() {
    let mut listing = Listing::new();
    listing.live(1..10).read(None).read(report(7));
    assert_eq!(listing.block(), Some(CallBlock::Unlisted));
    listing.read(report(7)).read(None);
    assert_eq!(listing.block(), Some(CallBlock::Unlisted));
}

/// The store may keep the row of a report whose number alone differs, so that the last number known is an old one.
#[test]
fn a_late_report_with_a_number_that_was_never_seen_brings_no_upstream_back() {
    let mut listing = Listing::new();
    listing.read(report(1));
    for _ in 0..20 {
        listing.read(report(1));
    }
    listing.read(None).read(report(20));
    assert_eq!(listing.block(), Some(CallBlock::Unlisted));
}

#[test]
fn an_upstream_that_lapsed_and_lives_is_back_with_its_first_report() {
    let mut listing = Listing::new();
    listing.read(report(1));
    listing.read_after(8 * HEARTBEAT, None);
    listing.read_after(6 * HEARTBEAT, report(15));
    assert_eq!(listing.block(), None);
}

/// Its number tells nothing then of when the report was written.
#[test]
fn an_upstream_that_does_not_count_failed_reports_is_back_with_its_second_one() {
    let mut listing = Listing::new();
    listing.live(1..10);
    listing.read_after(4 * HEARTBEAT, None);
    listing.read_after(6 * HEARTBEAT, report(10));
    assert_eq!(listing.block(), Some(CallBlock::Unlisted));
    listing.read(report(11));
    assert_eq!(listing.block(), None);
}

#[test]
fn an_upstream_that_starts_again_counts_anew() {
    let mut listing = Listing::new();
    listing.live(1..10).read(draining(10)).read(elsewhere(0));
    assert_eq!(listing.block(), None);
    let mut listing = Listing::new();
    listing.live(1..10).read(draining(10)).read(None);
    listing.read(report(0));
    assert_eq!(listing.block(), None);
}

#[test]
fn a_late_report_of_the_process_before_does_not_replace_its_successor() {
    let mut listing = Listing::new();
    listing.live(1..10).read(elsewhere(0)).read(draining(8));
    assert_eq!(listing.block(), None);
    let address = listing
        .table
        .entries()
        .next()
        .map(|entry| entry.record.address);
    assert_eq!(address, Some(elsewhere(0).address));
    listing.read(elsewhere(1));
    assert_eq!(listing.block(), None);
}

#[test]
fn a_report_that_stands_for_longer_than_late_ones_do_counts() {
    let mut listing = Listing::new();
    listing.live(1..4).read(draining(4));
    let written = listing.now - 2 * HEARTBEAT;
    while listing.now + HEARTBEAT <= written + LATE_SPAN {
        listing.read(report(2));
        assert_eq!(listing.block(), Some(CallBlock::Leaving));
    }
    listing.read(report(2));
    assert_eq!(listing.block(), None);
}

#[test]
fn late_reports_that_lapse_in_between_do_not_add_up() {
    let mut listing = Listing::new();
    listing.live(1..12).read(None);
    for _ in 0..3 {
        listing.read(report(11)).read(None);
        listing.read_after(4 * SECOND, None);
    }
    assert_eq!(listing.block(), Some(CallBlock::Unlisted));
}

/// The order of reports without a number is unknown, and the last one written counts.
#[test]
fn reports_without_a_number_count_as_they_come() {
    for number in [None, Some(4)] {
        let mut listing = Listing::new();
        listing.read(report(number)).read(draining(number));
        assert_eq!(listing.block(), Some(CallBlock::Leaving));
        listing.read(report(number));
        assert_eq!(listing.block(), None);
        listing.read(None).read(report(number));
        assert_eq!(listing.block(), None);
    }
}

/// Guards against a late report that lets an upstream that was removed before an outage pass for one that lapsed in it.
#[test]
fn a_late_report_does_not_end_the_grace_period_of_what_an_outage_hid() {
    let mut listing = Listing::new();
    listing.live(1..10);
    let back = listing.now + 6 * SECOND;
    listing.table.replace(&[], Some(back), back);
    listing.now = back;
    assert_eq!(listing.block(), None);
    listing.read_after(SECOND, report(8));
    assert_eq!(listing.block(), None);
    listing.read_after(SECOND, report(8));
    assert_eq!(listing.block(), Some(CallBlock::Unlisted));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(80),
        ..ProptestConfig::default()
    })]

    /// Whatever the store carries out late within ten seconds, a process that leaves stays so, and one that starts after
    /// it has work at once.
    #[test]
    fn reports_in_any_order_change_nothing_once_newer_ones_are_known(
        late in prop::collection::vec(16_u64..20, 0..12),
        moves in any::<bool>(),
    ) {
        let mut listing = Listing::new();
        listing.live(1..20).read(draining(20));
        let end = listing.now + 4 * SECOND;
        for number in late {
            if listing.now >= end {
                break;
            }
            listing.read_after(Duration::from_millis(300), report(number));
            prop_assert_eq!(listing.block(), Some(CallBlock::Leaving));
        }
        let next = match moves {
            true => elsewhere(0),
            false => report(0),
        };
        listing.read(next);
        prop_assert_eq!(listing.block(), None);
    }
}
