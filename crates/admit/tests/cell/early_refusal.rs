//! Which requests are refused immediately, and which wait.

use {
    crate::small_cell::{Cell, key, patient, prefill_done, refusals, upstream, urgent},
    admit::{AdmitAction, AdmitEvent, AdmitRequest},
    kernel::ResultCode,
    route::{LeavingCause, LoadReport, UpstreamRole},
    std::time::Duration,
};

fn submit(cell: &mut Cell, serial: u64, work: &str) -> Vec<AdmitAction> {
    let request = cell.request(serial, work);
    cell.send(AdmitEvent::Submit(request))
}

fn is_granted(actions: &[AdmitAction]) -> bool {
    let grant = |action: &AdmitAction| matches!(action, AdmitAction::GrantPrefill { .. });
    actions.iter().any(grant)
}

fn is_placed(actions: &[AdmitAction]) -> bool {
    let grant = |action: &AdmitAction| matches!(action, AdmitAction::GrantDecode { .. });
    actions.iter().any(grant)
}

/// Occupies both decode places.
fn fill(cell: &mut Cell) {
    for serial in 100..102 {
        assert!(is_granted(&submit(cell, serial, "report")));
        cell.send(prefill_done(key(serial)));
        cell.advance(Duration::from_millis(50));
        cell.send(AdmitEvent::FirstToken { key: key(serial) });
    }
}

#[test]
fn an_urgent_request_that_would_be_late_is_refused_with_the_wait() {
    let mut cell = Cell::small();
    fill(&mut cell);
    let actions = submit(&mut cell, 1, "slot");
    let AdmitAction::Refuse {
        code, retry_after, ..
    } = &actions[0]
    else {
        panic!("{actions:?}");
    };
    assert_eq!(*code, ResultCode::FirstTokenLate);
    // The places become free after at most 400 tokens of 10.5 ms each.
    assert!(*retry_after > Duration::from_secs(1), "{retry_after:?}");
    assert!(*retry_after < Duration::from_secs(5), "{retry_after:?}");
}

#[test]
fn a_patient_request_waits_and_is_refused_when_its_patience_ends() {
    let mut cell = Cell::small();
    let mut row = patient("report");
    row.patience = Duration::from_secs(6);
    row.waste = 0.0;
    cell.row(row);
    fill(&mut cell);
    assert!(refusals(&submit(&mut cell, 1, "report")).is_empty());
    cell.advance(Duration::from_secs(5));
    let actions = cell.send(AdmitEvent::Tick);
    assert!(refusals(&actions).is_empty(), "{actions:?}");
    cell.advance(Duration::from_secs(1));
    let actions = cell.send(AdmitEvent::Tick);
    assert_eq!(refusals(&actions), [ResultCode::PatienceEnded]);
}

#[test]
fn a_patient_request_is_served_once_a_place_is_free() {
    let mut cell = Cell::small();
    fill(&mut cell);
    submit(&mut cell, 1, "report");
    let key = key(100);
    let actions = cell.send(AdmitEvent::Finished {
        key,
        output_tokens: 50,
    });
    assert!(is_granted(&actions), "{actions:?}");
}

#[test]
fn over_its_limit_an_urgent_row_is_refused_and_a_patient_one_waits() {
    let mut cell = Cell::small();
    for mut row in [urgent("slot"), patient("report")] {
        row.limit = Some(1);
        cell.row(row);
    }
    submit(&mut cell, 1, "slot");
    cell.send(prefill_done(key(1)));
    cell.advance(Duration::from_secs(9));
    cell.send(AdmitEvent::Finished {
        key: key(1),
        output_tokens: 50,
    });
    assert!(is_granted(&submit(&mut cell, 2, "slot")));
    let actions = submit(&mut cell, 3, "slot");
    assert_eq!(refusals(&actions), [ResultCode::LimitReached]);
    cell.send(AdmitEvent::Cancel { key: key(2) });
    // The measured rate of urgent work has decayed, so nothing is kept free for it.
    cell.advance(Duration::from_secs(30));
    assert!(is_granted(&submit(&mut cell, 4, "report")));
    assert!(refusals(&submit(&mut cell, 5, "report")).is_empty());
}

#[test]
fn a_cell_with_less_than_one_of_a_limit_refuses_at_once() {
    let mut cell = Cell::small();
    let mut row = patient("report");
    row.limit = Some(2);
    cell.table.rows.insert(row.work.clone(), row);
    let table = std::sync::Arc::new(cell.table.clone());
    cell.send(AdmitEvent::Table { share: 0.4, table });
    let actions = submit(&mut cell, 1, "report");
    assert_eq!(refusals(&actions), [ResultCode::LimitReached]);
}

#[test]
fn a_leaving_upstream_gets_nothing_new_in_any_role() {
    for name in ["d1", "p1"] {
        let mut cell = Cell::small();
        let leaving = AdmitEvent::UpstreamDraining(name.into(), LeavingCause::Said);
        cell.send(leaving);
        let actions = submit(&mut cell, 1, "slot");
        assert_eq!(refusals(&actions), [ResultCode::UpstreamMissing]);
        cell.send(AdmitEvent::UpstreamUp(upstream("d1", UpstreamRole::Decode)));
        cell.send(AdmitEvent::UpstreamUp(upstream(
            "p1",
            UpstreamRole::Prefill,
        )));
        assert!(is_granted(&submit(&mut cell, 2, "slot")));
        cell.send(AdmitEvent::UpstreamUp(upstream("p1", UpstreamRole::Decode)));
        let actions = submit(&mut cell, 3, "slot");
        assert_eq!(refusals(&actions), [ResultCode::UpstreamMissing]);
    }
}

#[test]
fn a_decode_engine_that_leaves_while_a_prompt_is_read_gets_no_transfer() {
    let mut cell = Cell::small();
    submit(&mut cell, 1, "report");
    cell.send(AdmitEvent::UpstreamDraining(
        "d1".into(),
        LeavingCause::Listed,
    ));
    let actions = cell.send(prefill_done(key(1)));
    assert!(!is_placed(&actions), "{actions:?}");
    let back = upstream("d1", UpstreamRole::Decode);
    let actions = cell.send(AdmitEvent::UpstreamUp(back));
    assert!(is_placed(&actions), "{actions:?}");
}

#[test]
fn places_that_others_hold_by_a_report_are_not_granted() {
    let mut cell = Cell::small();
    cell.advance(Duration::from_secs(1));
    cell.send(AdmitEvent::Load(LoadReport {
        decode_used: 2,
        leaving: false,
        prefill_tokens: 0,
        taken: cell.now,
        upstream: "d1".into(),
    }));
    assert!(!is_granted(&submit(&mut cell, 1, "report")));
}

#[test]
fn a_refused_decode_goes_back_to_its_kv_cache_and_waits_out_the_full_engine() {
    let mut cell = Cell::small();
    submit(&mut cell, 1, "report");
    cell.send(prefill_done(key(1)));
    let actions = cell.send(AdmitEvent::DecodeRefused { key: key(1) });
    assert!(
        matches!(actions[..], [AdmitAction::WakeAt(_)]),
        "{actions:?}"
    );
    cell.advance(Duration::from_millis(150));
    let actions = cell.send(AdmitEvent::Tick);
    assert!(!is_placed(&actions), "{actions:?}");
    cell.advance(Duration::from_millis(50));
    let actions = cell.send(AdmitEvent::Tick);
    assert!(
        matches!(actions[0], AdmitAction::GrantDecode { .. }),
        "{actions:?}"
    );
}

#[test]
fn rows_of_a_rank_share_by_weight() {
    let mut cell = Cell::small();
    let mut heavy = patient("heavy");
    heavy.weight = 3.0;
    cell.row(heavy);
    fill(&mut cell);
    let mut works = std::collections::BTreeMap::new();
    for serial in 0..400 {
        let work = if serial < 200 { "heavy" } else { "report" };
        works.insert(key(serial + 1000), work);
        let request = AdmitRequest {
            key: key(serial + 1000),
            ..cell.request(0, work)
        };
        cell.send(AdmitEvent::Submit(request));
    }
    let mut granted = [0, 0];
    let mut last = key(100);
    for _ in 0..80 {
        let finished = AdmitEvent::Finished {
            key: last.clone(),
            output_tokens: 50,
        };
        for action in cell.send(finished) {
            if let AdmitAction::GrantPrefill { key, .. } = action {
                granted[usize::from(works[&key] == "report")] += 1;
                last = key;
            }
        }
        cell.send(prefill_done(last.clone()));
        cell.advance(Duration::from_millis(10));
    }
    assert!(
        granted[0] >= 3 * granted[1] - 3 && granted[0] <= 3 * granted[1] + 3,
        "{granted:?}"
    );
    assert!(granted[1] >= 15, "{granted:?}");
}
