//! A response to a request that may have run never says that it did not.

use {kernel::ResultCode, relay::ErrorResponse};

/// Guards against a refusal that hides a run: the response before it states "not run" too, as the one of a request does that
/// another instance has called before.
#[test]
fn once_a_request_may_have_run_no_merged_response_denies_it() {
    let mut broken = Vec::new();
    for first in ResultCode::ALL {
        for later in ResultCode::ALL {
            let merged = ErrorResponse::new(*first).merge(ErrorResponse::new(*later), true);
            if merged.code.not_run() {
                broken.push((first.number(), later.number()));
            }
        }
    }
    assert!(
        broken.is_empty(),
        "{} pairs of codes, the first one {:?}",
        broken.len(),
        broken[0]
    );
}

/// Guards against the loss of a retry delay: a request that did not run is refused as the last attempt says.
#[test]
fn while_a_request_can_not_have_run_the_later_response_stands() {
    let first = ErrorResponse::new(ResultCode::UpstreamMissing);
    let later = ErrorResponse::new(ResultCode::UpstreamRefused);
    assert_eq!(first.merge(later, false), later);
}
