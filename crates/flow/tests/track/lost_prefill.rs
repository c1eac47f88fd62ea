//! Orders of events in which a request loses its prefill engines while a healthy one is there or comes soon.

use {
    crate::track_world::{DECODE, OpenRequest, PREFILL, TrackWorld},
    admit::AdmitEvent,
    engine::CallCause,
    flow::{
        FlowAction, FlowCore, FlowEvent, cell_notice::CellGrant, flow_core::FlowPhase,
        flow_event::CallFailure, flow_failure::FlowFailure,
    },
    kernel::{ResultCode, UpstreamId},
    route::UpstreamRole,
    std::time::Instant,
};

const SECOND: &str = "p2";
const THIRD: &str = "p3";
const EVICTED: CallFailure = CallFailure {
    cause: CallCause::Evicted,
    may_have_run: false,
};
const REFUSED: CallFailure = CallFailure {
    cause: CallCause::Full,
    may_have_run: false,
};

/// One repeatable request with two retries: its state machine, its hub and its allocator.
struct LostWorld {
    /// The calls that the request made, in order.
    calls: Vec<String>,
    core: FlowCore,
    failure: Option<FlowFailure>,
    request: OpenRequest,
    world: TrackWorld,
}

impl LostWorld {
    /// A request in its call to a prefill engine, the only one.
    fn prefilling_at(engine: &str) -> Self {
        let mut lost = Self::submitted();
        assert_eq!(lost.take_calls(), [format!("prefill {engine}")]);
        lost
    }

    /// A request in its call to the decode engine, with its KV cache at the first prefill engine. The second one is up.
    fn transferring() -> Self {
        let mut lost = Self::submitted();
        lost.apply(FlowEvent::PrefillDone);
        assert_eq!(lost.take_calls(), ["prefill p1", "decode d1"]);
        lost.up(SECOND);
        lost
    }

    fn submitted() -> Self {
        let mut world = TrackWorld::new();
        let request = world.submit();
        let core = FlowCore::builder()
            .max_tokens(2)
            .repeat(true)
            .retries(2)
            .stream(false)
            .build();
        let mut lost = Self {
            calls: Vec::new(),
            core,
            failure: None,
            request,
            world,
        };
        lost.take_grants();
        lost
    }

    fn apply(&mut self, event: FlowEvent) {
        for action in self.core.on_event(event) {
            let key = &self.request.key;
            match action {
                FlowAction::Notify(notice) => self.world.hub.notify(key, notice),
                FlowAction::Fail(failure) => {
                    self.world.hub.forget(key);
                    self.failure = Some(failure);
                }
                FlowAction::Prefill(engine) => self.calls.push(format!("prefill {engine}")),
                FlowAction::Decode(engine) => self.calls.push(format!("decode {engine}")),
                FlowAction::Submit => self.world.hub.resubmit(key),
                FlowAction::Cancel { .. }
                | FlowAction::Finish
                | FlowAction::Restart
                | FlowAction::Resume { .. } => {}
            }
        }
        self.world.pump();
        self.take_grants();
    }

    fn take_grants(&mut self) {
        while let Some(grant) = self.request.next_grant() {
            let event = match grant {
                CellGrant::Decode(decode) => FlowEvent::GrantDecode(decode),
                CellGrant::Prefill(prefill) => FlowEvent::GrantPrefill(prefill),
                CellGrant::Refuse { code, retry_after } => FlowEvent::Refused { code, retry_after },
                CellGrant::Resync => panic!("Resync is answered by the request table"),
            };
            self.apply(event);
        }
    }

    fn take_calls(&mut self) -> Vec<String> {
        std::mem::take(&mut self.calls)
    }

    fn gone(&mut self, engine: &str) {
        let gone: UpstreamId = engine.into();
        self.world.driver.on_event(AdmitEvent::UpstreamGone(gone));
        self.world.pump();
        self.take_grants();
    }

    /// A load report of the decode engine, after which it does not count as full.
    fn decode_reports(&mut self) {
        self.reports(DECODE);
    }

    fn reports(&mut self, engine: &str) {
        self.world.report_load(engine);
        self.world.pump();
        self.take_grants();
    }

    /// The first prefill engine is held for gone, and the decode engine refuses the call that was on its way.
    fn lose_kv_cache(&mut self) {
        self.gone(PREFILL);
        assert_eq!(self.take_calls(), [""; 0], "the call has not failed yet");
        self.apply(FlowEvent::DecodeFailed(REFUSED));
        assert_eq!(
            self.take_calls(),
            [""; 0],
            "the decode engine counts as full"
        );
    }

    fn up(&mut self, engine: &str) {
        self.world.engine_up(engine, UpstreamRole::Prefill);
        self.world.pump();
        self.take_grants();
    }

    /// Lets time pass until the request makes a call.
    fn wait_for_call(&mut self) {
        for _ in 0..200 {
            if !self.calls.is_empty() {
                return;
            }
            self.world.finish_transfer();
            self.take_grants();
        }
    }

    fn prefill_fails(&mut self) {
        self.fail_prefill(CallCause::Lost);
    }

    fn fail_prefill(&mut self, cause: CallCause) {
        self.apply(FlowEvent::PrefillFailed(CallFailure {
            cause,
            may_have_run: false,
        }));
    }

    /// The request prefills at the engine and ends there with an answer.
    fn assert_answered_by(&mut self, engine: &str) {
        assert_eq!(self.failure, None);
        assert_eq!(self.take_calls(), [format!("prefill {engine}")]);
        self.apply(FlowEvent::PrefillDone);
        self.wait_for_call();
        assert_eq!(self.take_calls(), [format!("decode {DECODE}")]);
        for event in [FlowEvent::Token, FlowEvent::StreamDone] {
            self.apply(event);
        }
        assert_eq!(self.failure, None);
    }
}

// Guards against a request that is granted to a dead engine, not yet held for gone, until its retries are spent.
#[test]
fn a_request_is_not_granted_to_a_dead_engine_until_its_retries_are_spent() {
    let mut lost = LostWorld::transferring();
    lost.lose_kv_cache();
    lost.decode_reports();
    assert_eq!(lost.take_calls(), ["prefill p2"]);
    lost.prefill_fails();
    assert_eq!(lost.take_calls(), [""; 0]);
    lost.gone(SECOND);
    lost.up(THIRD);
    lost.assert_answered_by(THIRD);
}

// Guards against the same while a healthy engine is free.
#[test]
fn a_request_that_fails_at_a_dead_engine_goes_to_the_healthy_one() {
    let mut lost = LostWorld::transferring();
    lost.lose_kv_cache();
    lost.decode_reports();
    lost.up(THIRD);
    if lost.calls == ["prefill p2"] {
        lost.prefill_fails();
        lost.calls.remove(0);
    }
    lost.assert_answered_by(THIRD);
}

// Guards against two retries for one attempt: for its engine that is gone, and for its call that fails after that.
#[test]
fn a_late_failure_of_a_gone_engine_is_not_counted_against_the_next_grant() {
    let mut lost = LostWorld::transferring();
    lost.lose_kv_cache();
    lost.decode_reports();
    assert_eq!(lost.take_calls(), ["prefill p2"]);
    lost.up(THIRD);
    lost.gone(SECOND);
    // The grant of the third engine finds the request in its call to the second one.
    assert_eq!(lost.take_calls(), [""; 0]);
    lost.prefill_fails();
    lost.assert_answered_by(THIRD);
}

// Guards against a request that stays with an engine that is gone while its call there fails.
#[test]
fn a_late_failure_with_retries_left_leads_to_the_next_engine() {
    let mut lost = LostWorld::prefilling_at(PREFILL);
    lost.up(THIRD);
    lost.gone(PREFILL);
    lost.prefill_fails();
    lost.assert_answered_by(THIRD);
}

// Guards against a KV cache that the allocator places at an engine which did not prefill the prompt.
#[test]
fn a_kv_cache_stays_with_its_engine_after_a_later_grant() {
    let mut lost = LostWorld::prefilling_at(PREFILL);
    lost.up(THIRD);
    lost.gone(PREFILL);
    lost.up(PREFILL);
    lost.apply(FlowEvent::PrefillDone);
    assert_eq!(lost.take_calls(), ["decode d1"]);
    lost.apply(FlowEvent::DecodeFailed(REFUSED));
    lost.gone(THIRD);
    lost.decode_reports();
    // The refused transfer is expected to occupy the link until it would have ended.
    lost.wait_for_call();
    // The first engine keeps the KV cache, so the loss of the third one changes nothing.
    assert_eq!(lost.take_calls(), ["decode d1"]);
}

// Guards against evictions that are counted against the row's retries.
#[test]
fn an_evicted_kv_cache_takes_no_retry() {
    let mut lost = LostWorld::transferring();
    for round in 1..=3 {
        lost.apply(FlowEvent::DecodeFailed(EVICTED));
        assert_eq!(lost.failure, None, "after eviction {round}");
        lost.take_calls();
        lost.apply(FlowEvent::PrefillDone);
        lost.wait_for_call();
        assert_eq!(lost.take_calls(), ["decode d1"]);
    }
}

// Guards against a request that is refused when both engines are held for gone before the healthy one is there.
#[test]
fn a_request_whose_engines_are_gone_at_once_waits_for_the_next_engine() {
    let mut lost = LostWorld::transferring();
    lost.gone(PREFILL);
    lost.gone(SECOND);
    lost.apply(FlowEvent::DecodeFailed(REFUSED));
    lost.decode_reports();
    assert_eq!(lost.take_calls(), [""; 0]);
    lost.up(THIRD);
    lost.assert_answered_by(THIRD);
}

// Guards against a request that is refused when its second engine is held for gone before the healthy one is there.
#[test]
fn a_request_whose_second_engine_is_gone_during_its_call_waits_for_the_next_engine() {
    let mut lost = LostWorld::transferring();
    lost.lose_kv_cache();
    lost.decode_reports();
    assert_eq!(lost.take_calls(), ["prefill p2"]);
    lost.gone(SECOND);
    lost.prefill_fails();
    assert_eq!(lost.take_calls(), [""; 0]);
    lost.up(THIRD);
    lost.assert_answered_by(THIRD);
}

// Guards against a request that is not served by the other engine when it loses the one with its KV cache.
#[test]
fn a_request_that_loses_one_engine_is_served_by_the_other() {
    let mut lost = LostWorld::transferring();
    lost.lose_kv_cache();
    lost.decode_reports();
    lost.assert_answered_by(SECOND);
}

// Guards against a request that fails at every engine and is granted without end.
#[test]
fn a_request_that_fails_at_each_engine_ends_after_its_retries() {
    let mut lost = LostWorld::prefilling_at(PREFILL);
    for engine in [SECOND, THIRD] {
        lost.up(engine);
        lost.prefill_fails();
        assert_eq!(lost.failure, None, "before {engine}");
    }
    lost.prefill_fails();
    let code = lost.failure.map(|failure| failure.code);
    assert_eq!(code, Some(ResultCode::UpstreamRefused));
}

// Guards against a prompt that is prefilled without end because each engine is gone while it keeps the KV cache.
#[test]
fn a_kv_cache_that_is_lost_again_and_again_ends_the_request() {
    let mut core = FlowCore::builder()
        .max_tokens(2)
        .repeat(true)
        .retries(2)
        .stream(false)
        .build();
    let mut rounds = 0;
    while *core.phase() != FlowPhase::Ended {
        core.on_event(FlowEvent::GrantPrefill(PREFILL.into()));
        core.on_event(FlowEvent::PrefillDone);
        rounds += 1;
        assert!(rounds < 20, "the request goes on");
    }
    assert!(rounds > 2, "a lost KV cache takes no retry");
}

// Guards against an engine that stays out of use after it took no call once, and against a dead engine that a report
// from before the failure brings back.
#[test]
fn an_engine_that_takes_no_calls_is_passed_over_until_a_later_load_report() {
    use CallCause::*;
    for cause in [Full, Leaving, Lost, Silent, Unlisted] {
        let asked_at = Instant::now();
        let mut lost = LostWorld::prefilling_at(PREFILL);
        lost.fail_prefill(cause);
        lost.world.report_load_of(PREFILL, asked_at);
        lost.take_grants();
        assert_eq!(lost.take_calls(), [""; 0], "{cause:?}");
        lost.reports(PREFILL);
        lost.assert_answered_by(PREFILL);
    }
}

// Guards against an engine that is passed over by all because of one request that it can't serve.
#[test]
fn a_request_that_an_engine_rejects_does_not_suspend_the_engine() {
    for cause in [CallCause::Garbled, CallCause::Refused] {
        let mut lost = LostWorld::prefilling_at(PREFILL);
        lost.fail_prefill(cause);
        lost.assert_answered_by(PREFILL);
    }
}

// Guards against a request that waits for ever because its notice was taken for one about a later grant of the engine.
#[test]
fn a_notice_that_crosses_a_second_grant_of_its_engine_leaves_nobody_waiting() {
    let mut lost = LostWorld::prefilling_at(PREFILL);
    for action in lost.core.on_event(FlowEvent::PrefillDone) {
        if let FlowAction::Notify(notice) = action {
            lost.world.hub.notify(&lost.request.key, notice);
        }
    }
    let gone: UpstreamId = PREFILL.into();
    lost.world.driver.on_event(AdmitEvent::UpstreamGone(gone));
    lost.up(PREFILL);
    lost.world.pump();
    lost.assert_answered_by(PREFILL);
}
