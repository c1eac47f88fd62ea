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

// Guards against a request that is first in its queue without end, because its entry instance can't call the engine.
#[test]
fn a_request_whose_engine_has_no_known_address_ends_after_its_retries() {
    let again = vec![FlowAction::Notify(CellNotice::PrefillFailed {
        is_unavailable: true,
        prefill: "p1".into(),
    })];
    for repeat in [false, true] {
        let mut core = core(repeat, 1);
        assert_eq!(fail_prefill(&mut core, UNLISTED), again);
        fail_prefill(&mut core, UNLISTED);
        assert_eq!(*core.phase(), FlowPhase::Ended);
        assert!(!core.may_have_run());
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
