//! What a status says about a run agrees with what its code says.

use kernel::ResultCode;

/// The statuses after which callers send a request again that may run once.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// From here on codes are results of operators' commands and alarms, which answer no request of a caller.
const FIRST_OPERATOR_CODE: u16 = 5_000;

/// Guards against a second run by a caller that takes the status of an unknown outcome for a promise.
#[test]
fn a_status_that_promises_not_run_belongs_to_codes_that_state_it() {
    let mut broken = Vec::new();
    for code in ResultCode::ALL {
        if code.number() >= FIRST_OPERATOR_CODE || code.not_run() {
            continue;
        }
        if NOT_RUN_STATUSES.contains(&code.status()) {
            broken.push((code.number(), code.status(), code.text()));
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards against a code whose text denies a run that its number admits, or the other way round.
#[test]
fn a_text_that_begins_with_not_run_belongs_to_codes_that_state_it() {
    for code in ResultCode::ALL {
        let says_so = code.text().starts_with("not run:");
        assert_eq!(says_so, code.not_run(), "{code:?}: {}", code.text());
    }
}
