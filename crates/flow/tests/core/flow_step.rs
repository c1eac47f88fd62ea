//! Steps of the fuzz test of one request.

use {engine::CallCause, proptest::prelude::*};

/// One step. It is ignored if it is not possible in the current state.
#[derive(Clone, Debug)]
pub(crate) enum FlowStep {
    CallerGone,
    CloseLimit,
    DecodeAnswers,
    DecodeFails(CallCause, bool),
    GrantDecode(usize),
    GrantPrefill(usize),
    LateGrant(usize),
    PrefillAnswers,
    PrefillFails(CallCause, bool),
    Refuse,
    ResumeAnswers,
    ResumeFails(CallCause),
    StreamDone,
    StreamFails(CallCause),
    Token,
}

/// The parameters of a row and a caller's request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowPlan {
    pub(crate) max_tokens: u32,
    pub(crate) repeat: bool,
    pub(crate) retries: u8,
    pub(crate) stream: bool,
}

pub(crate) fn any_plan() -> impl Strategy<Value = FlowPlan> {
    (1..6_u32, any::<bool>(), 0..3_u8, any::<bool>()).prop_map(
        |(max_tokens, repeat, retries, stream)| FlowPlan {
            max_tokens,
            repeat,
            retries,
            stream,
        },
    )
}

pub(crate) fn any_step() -> impl Strategy<Value = FlowStep> {
    let engine = 0..2_usize;
    prop_oneof![
        1 => Just(FlowStep::CallerGone),
        1 => Just(FlowStep::CloseLimit),
        20 => Just(FlowStep::DecodeAnswers),
        6 => (any_cause(), any::<bool>()).prop_map(|(cause, ran)| FlowStep::DecodeFails(cause, ran)),
        20 => engine.clone().prop_map(FlowStep::GrantDecode),
        20 => engine.clone().prop_map(FlowStep::GrantPrefill),
        3 => engine.prop_map(FlowStep::LateGrant),
        20 => Just(FlowStep::PrefillAnswers),
        6 => (any_cause(), any::<bool>()).prop_map(|(cause, ran)| FlowStep::PrefillFails(cause, ran)),
        1 => Just(FlowStep::Refuse),
        12 => Just(FlowStep::ResumeAnswers),
        6 => any_cause().prop_map(FlowStep::ResumeFails),
        8 => Just(FlowStep::StreamDone),
        8 => any_cause().prop_map(FlowStep::StreamFails),
        30 => Just(FlowStep::Token),
    ]
}

fn any_cause() -> impl Strategy<Value = CallCause> {
    prop_oneof![
        Just(CallCause::Evicted),
        Just(CallCause::Full),
        Just(CallCause::Garbled),
        Just(CallCause::Leaving),
        Just(CallCause::Lost),
        Just(CallCause::Refused),
        Just(CallCause::Silent),
        Just(CallCause::Unlisted),
    ]
}
