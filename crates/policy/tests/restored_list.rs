//! Lists of upstreams from a store that came back from an older copy.
//!
//! Guards against work for upstreams that the copy shows as they were before they left, and against the loss of those that
//! it lacks.

use {
    policy::{CallBlock, UpstreamRecord, UpstreamStage, UpstreamTable},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SECOND: Duration = Duration::from_secs(1);

fn record(id: &str, leaving: bool) -> UpstreamRecord {
    let name: Arc<str> = id.into();
    UpstreamRecord {
        address: ([127, 0, 0, 1], 8_000 + u16::from(id.as_bytes()[0])).into(),
        cold_for: Duration::ZERO,
        id: name.clone(),
        leaving,
        name,
        report_number: None,
        service: "s".into(),
        slots: 6,
        software: "v1".into(),
        stage: UpstreamStage::Plain,
        zone: "z".into(),
    }
}

fn block(table: &UpstreamTable, id: &str, now: Instant) -> Option<CallBlock> {
    table.call_block(&id.into(), now)
}

#[test]
fn what_left_before_a_restore_gets_no_work_until_its_row_would_have_expired() {
    let mut now = Instant::now();
    let mut table = UpstreamTable::new("front-1".into());
    let ready = ["leaving", "removed", "stays"].map(|id| record(id, false));
    table.replace(&ready, None, now);
    now += SECOND;
    table.replace(
        &[record("leaving", true), record("stays", false)],
        None,
        now,
    );
    now += SECOND;
    table.note_restored(now);
    for _ in 0..9 {
        table.replace(&ready, None, now);
        assert_eq!(block(&table, "leaving", now), Some(CallBlock::Leaving));
        assert_eq!(block(&table, "removed", now), Some(CallBlock::Leaving));
        assert_eq!(block(&table, "stays", now), None);
        now += SECOND;
    }
    now += SECOND * 2;
    table.replace(&ready, None, now);
    assert_eq!(block(&table, "removed", now), None);
}

#[test]
fn what_came_before_a_restore_is_kept_until_it_can_have_reported_again() {
    let now = Instant::now();
    let mut table = UpstreamTable::new("front-1".into());
    table.replace(&[record("old", false), record("new", false)], None, now);
    table.note_restored(now);
    table.replace(&[record("old", false)], None, now);
    assert_eq!(block(&table, "new", now), None);
    let later = now + SECOND * 2;
    table.replace(&[record("old", false)], None, later);
    assert_eq!(block(&table, "new", later), Some(CallBlock::Unlisted));
}

// A row that expired while the store was silent, and is back, names an upstream that is well.
#[test]
fn without_a_restore_a_row_that_is_back_counts() {
    let now = Instant::now();
    let mut table = UpstreamTable::new("front-1".into());
    table.replace(&[record("a", false)], None, now);
    table.replace(&[], None, now + SECOND);
    table.replace(&[record("a", false)], None, now + SECOND * 2);
    assert_eq!(block(&table, "a", now + SECOND * 2), None);
}
