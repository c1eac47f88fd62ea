//! Which process may send orders, and when, by each process's own monotonic clock.

use {
    lease::{GateVerdict, LeaseAction, LeaseCore, LeaseEvent, LeaseSettings, OrderGate},
    plat::{StoredRow, TransactionReply},
    std::time::{Duration, Instant},
};

const LIFE: Duration = Duration::from_secs(10);
const LONGEST_ORDER: Duration = Duration::from_secs(60);
const SECOND: Duration = Duration::from_secs(1);

fn core(holder: &str) -> LeaseCore {
    let settings = LeaseSettings::builder().holder(holder).key("leases/test");
    LeaseCore::new(settings.life(LIFE).longest_order(LONGEST_ORDER).build())
}

/// The row that an action writes, with the expected version.
fn written(action: LeaseAction, version: u64) -> StoredRow {
    let LeaseAction::Commit(transaction) = action else {
        panic!("{action:?} writes nothing");
    };
    assert_eq!(transaction.conditions[0].version + 1, version);
    let write = transaction.writes[0].clone();
    StoredRow {
        key: write.key,
        value: write.value.unwrap(),
        version,
    }
}

/// A holder that wrote its row at `now`, together with the row.
fn holder(now: Instant) -> (LeaseCore, StoredRow) {
    let mut core = core("one");
    let row = written(core.on_event(now, LeaseEvent::Read(None)), 1);
    let reply = LeaseEvent::Reply(TransactionReply::Committed);
    assert_eq!(core.on_event(now + SECOND, reply), LeaseAction::Wait);
    (core, row)
}

#[test]
fn a_lease_counts_from_before_its_write_and_ends_early() {
    let now = Instant::now();
    let (core, _) = holder(now);
    assert!(core.hold(now + SECOND * 9).is_some());
    assert!(core.hold(now + LIFE - SECOND / 10).is_none());
}

#[test]
fn the_next_waits_a_whole_life_from_its_own_first_look() {
    let now = Instant::now();
    let (_, row) = holder(now);
    let mut next = core("two");
    let read = || LeaseEvent::Read(Some(row.clone()));
    let first_read = now + LIFE * 3;
    assert_eq!(next.on_event(first_read, read()), LeaseAction::Wait);
    assert_eq!(next.on_event(first_read + LIFE, read()), LeaseAction::Wait);
    let taken = first_read + LIFE + SECOND / 10;
    let row = written(next.on_event(taken, read()), 2);
    assert!(row.value.contains(r#""fence":2"#));
}

#[test]
fn an_upstream_that_ignores_fences_waits_for_the_longest_order_too() {
    let now = Instant::now();
    let (_, row) = holder(now);
    let mut next = core("two");
    let read = || LeaseEvent::Read(Some(row.clone()));
    let _wait = next.on_event(now, read());
    let taken = now + LIFE + SECOND / 10;
    let _write = next.on_event(taken, read());
    let _wait = next.on_event(taken, LeaseEvent::Reply(TransactionReply::Committed));
    let hold = next.hold(taken);
    let mut gate = OrderGate::new(LONGEST_ORDER);
    let checked = gate.decide(taken, hold, &"checks".into(), true);
    assert_eq!(checked, GateVerdict::Send(2));
    let early = gate.decide(taken, hold, &"ignores".into(), false);
    let from = hold.unwrap().unchecked_from;
    assert_eq!(early, GateVerdict::Wait(from));
    assert!(from >= taken + LONGEST_ORDER);
}

#[test]
fn a_holder_that_was_frozen_past_its_lease_sends_nothing() {
    let now = Instant::now();
    let (core, _) = holder(now);
    let resumed = now + LIFE;
    let mut gate = OrderGate::new(LONGEST_ORDER);
    let verdict = gate.decide(resumed, core.hold(resumed), &"checks".into(), true);
    assert_eq!(verdict, GateVerdict::Lost);
    let stale = core.hold(now + SECOND);
    let verdict = gate.decide(resumed, stale, &"checks".into(), true);
    assert_eq!(verdict, GateVerdict::Lost);
}

#[test]
fn a_renewal_keeps_the_fence() {
    let now = Instant::now();
    let (mut core, _) = holder(now);
    let due = now + SECOND * 3;
    let row = written(core.on_event(due, LeaseEvent::Tick), 2);
    assert!(row.value.contains(r#""fence":1"#));
    let _wait = core.on_event(due, LeaseEvent::Reply(TransactionReply::Committed));
    assert!(core.hold(now + SECOND * 12).is_some());
}

#[test]
fn a_holder_that_still_waits_for_an_earlier_order_does_not_release() {
    let now = Instant::now();
    let (_, row) = holder(now);
    let mut next = core("two");
    let read = || LeaseEvent::Read(Some(row.clone()));
    let _wait = next.on_event(now, read());
    let taken = now + LIFE * 2;
    let _write = next.on_event(taken, read());
    let _wait = next.on_event(taken, LeaseEvent::Reply(TransactionReply::Committed));
    let released = next.on_event(taken, LeaseEvent::Release);
    assert_eq!(released, LeaseAction::Wait);
    assert!(next.hold(taken).is_none());
}

// Guards against an order after the store came back from a copy in which another process holds the lease, or nobody.
#[test]
fn after_a_restore_nobody_holds_the_lease_for_a_whole_life() {
    let now = Instant::now();
    let (mut before, row) = holder(now);
    before.note_epoch(0, now);
    let restored = now + SECOND;
    before.note_epoch(1, restored);
    assert!(before.hold(restored).is_none());
    for read in [None, Some(row.clone())] {
        let event = LeaseEvent::Read(read);
        assert_eq!(before.on_event(restored + LIFE, event), LeaseAction::Wait);
    }
    let later = restored + LIFE + SECOND;
    let row = written(before.on_event(later, LeaseEvent::Read(None)), 1);
    assert!(row.value.contains(r#""fence":1000001"#), "{}", row.value);
}

#[test]
fn a_process_that_starts_after_a_restore_takes_a_greater_token() {
    let now = Instant::now();
    let mut next = core("two");
    next.note_epoch(1, now);
    let row = written(next.on_event(now, LeaseEvent::Read(None)), 1);
    assert!(row.value.contains(r#""fence":1000001"#), "{}", row.value);
}
