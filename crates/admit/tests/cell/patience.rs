//! Waiting of patient requests.

use {
    crate::small_cell::{Cell, key, prefill_done},
    admit::{AdmitAction, AdmitEvent},
    std::time::Duration,
};

/// The maximum output length; nearly all answers are much shorter.
const MAX_TOKENS: u32 = 4_000;
const SHORT_TOKENS: u32 = 100;
const WORK: &str = "report";

/// Submits a request. Returns whether it gets a prefill engine immediately.
fn submit(cell: &mut Cell, serial: u64) -> bool {
    let mut request = cell.request(serial, WORK);
    request.max_tokens = MAX_TOKENS;
    let actions = cell.send(AdmitEvent::Submit(request));
    is_granted(&actions, serial)
}

fn finish(cell: &mut Cell, serial: u64) -> Vec<AdmitAction> {
    cell.send(AdmitEvent::Finished {
        key: key(serial),
        output_tokens: SHORT_TOKENS,
    })
}

fn is_granted(actions: &[AdmitAction], serial: u64) -> bool {
    actions.iter().any(
        |action| matches!(action, AdmitAction::GrantPrefill { key: granted, .. } if *granted == key(serial)),
    )
}

fn stream(cell: &mut Cell, serial: u64) {
    assert!(submit(cell, serial), "{serial} waits");
    cell.advance(Duration::from_millis(50));
    cell.send(prefill_done(key(serial)));
    cell.send(AdmitEvent::FirstToken { key: key(serial) });
    cell.advance(Duration::from_millis(50));
}

// Guards against refusing a request early because its maximum output length is taken as its expected length, although
// most of its patience is left.
#[test]
fn a_patient_request_that_probably_ends_in_time_keeps_its_turn() {
    let mut cell = Cell::small();
    for serial in 0..6 {
        stream(&mut cell, serial);
        finish(&mut cell, serial);
        cell.advance(Duration::from_secs(1));
    }
    // All decode places are taken.
    for serial in 6..8 {
        stream(&mut cell, serial);
    }
    assert!(!submit(&mut cell, 8));
    cell.advance(Duration::from_secs(20));
    cell.send(AdmitEvent::Tick);
    assert!(!submit(&mut cell, 9));
    let actions = finish(&mut cell, 6);
    assert!(is_granted(&actions, 8), "{actions:?}");
}
