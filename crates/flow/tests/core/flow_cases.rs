//! Single events of one request.

use {
    engine::CallCause,
    flow::{
        CellNotice, FlowAction, FlowCore, FlowEvent, flow_core::FlowPhase, flow_event::CallFailure,
    },
};

const UNLISTED: CallFailure = CallFailure {
    cause: CallCause::Unlisted,
    may_have_run: false,
};

fn core(repeat: bool, retries: u8) -> FlowCore {
    FlowCore::builder()
        .max_tokens(8)
        .repeat(repeat)
        .retries(retries)
        .stream(false)
        .build()
}

fn fail_prefill(core: &mut FlowCore, failure: CallFailure) -> Vec<FlowAction> {
    core.on_event(FlowEvent::GrantPrefill("p1".into()));
    core.on_event(FlowEvent::PrefillFailed(failure))
}

// Guards against a request that fails because its entry instance lists the granted engines later than the allocator.
#[test]
fn an_engine_without_a_known_address_takes_no_retry() {
    let again = vec![FlowAction::Notify(CellNotice::PrefillFailed {
        is_unavailable: true,
        prefill: "p1".into(),
    })];
    for repeat in [false, true] {
        let mut core = core(repeat, 1);
        for _ in 0..5 {
            assert_eq!(fail_prefill(&mut core, UNLISTED), again);
            assert_eq!(*core.phase(), FlowPhase::Queued);
        }
        let lost = CallFailure {
            cause: CallCause::Lost,
            may_have_run: false,
        };
        assert_eq!(fail_prefill(&mut core, lost), again);
        fail_prefill(&mut core, lost);
        assert_eq!(*core.phase(), FlowPhase::Ended);
    }
}

// Guards against a stream that is given up, although its engine still runs it, once no address of the engine is known.
#[test]
fn a_stream_whose_engine_has_no_known_address_is_resumed_later() {
    let mut core = core(true, 0);
    core.on_event(FlowEvent::GrantPrefill("p1".into()));
    core.on_event(FlowEvent::PrefillDone);
    core.on_event(FlowEvent::GrantDecode("d1".into()));
    core.on_event(FlowEvent::Token);
    let unlisted = CallFailure {
        may_have_run: true,
        ..UNLISTED
    };
    let actions = core.on_event(FlowEvent::ResumeFailed(unlisted));
    assert!(
        matches!(actions[..], [FlowAction::Resume { offset: 1, .. }]),
        "{actions:?}"
    );
}
