//! The grants of one request, and the refusal of unknown work.

use {
    crate::small_cell::{Cell, key, prefill_done, refusals},
    admit::{AdmitAction, AdmitEvent},
    std::time::Duration,
};

#[test]
fn a_request_is_granted_prefill_then_decode() {
    let mut cell = Cell::small();
    let actions = cell.send(AdmitEvent::Submit(cell.request(1, "slot")));
    let grant = AdmitAction::GrantPrefill {
        key: key(1),
        prefill: "p1".into(),
    };
    assert!(actions.contains(&grant), "{actions:?}");
    cell.advance(Duration::from_millis(50));
    let actions = cell.send(prefill_done(key(1)));
    let grant = AdmitAction::GrantDecode {
        decode: "d1".into(),
        key: key(1),
    };
    assert!(actions.contains(&grant), "{actions:?}");
}

#[test]
fn unknown_work_is_refused_at_once() {
    let mut cell = Cell::small();
    let actions = cell.send(AdmitEvent::Submit(cell.request(1, "nothing")));
    assert_eq!(refusals(&actions), [kernel::ResultCode::WorkUnknown]);
}
