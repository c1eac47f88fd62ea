//! One request with simulated engines and allocator, and the invariants to check.

use {
    crate::flow_step::{FlowPlan, FlowStep},
    engine::CallCause,
    flow::{CellNotice, FlowAction, FlowCore, FlowEvent, FlowFailure, flow_event::CallFailure},
    kernel::{ResultCode, UpstreamId},
    std::collections::BTreeSet,
};

/// The phase of the request at the allocator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CellSide {
    Decoding,
    /// The stream was reported lost, and the allocator waits for a new submission.
    Dropped,
    Ended,
    Prefilling,
    Queued,
    Prefilled,
    Transferring,
}

/// The driver's current call.
#[derive(Clone, Debug, Eq, PartialEq)]
enum OpenCall {
    Decode(UpstreamId),
    Prefill(UpstreamId),
    Resume(UpstreamId),
    Stream(UpstreamId),
}

/// The state machine and its oracle.
pub(crate) struct FlowWorld {
    call: Option<OpenCall>,
    cell: CellSide,
    core: FlowCore,
    /// Decode attempts that may have run.
    decodes: u32,
    /// Tokens delivered to the caller.
    delivered: u32,
    pub(crate) final_codes: Vec<ResultCode>,
    /// The last prefilled attempt. Its stream name on engines must not be reused.
    last_prefilled: Option<u32>,
    /// Streams that engines may hold, by engine and attempt.
    held: BTreeSet<(UpstreamId, u32)>,
    plan: FlowPlan,
    prefill: Option<UpstreamId>,
    /// Whether any engine may have done work.
    ran: bool,
}

impl FlowWorld {
    pub(crate) fn new(plan: FlowPlan) -> Self {
        let core = FlowCore::builder()
            .max_tokens(plan.max_tokens)
            .repeat(plan.repeat)
            .retries(plan.retries)
            .stream(plan.stream)
            .build();
        Self {
            call: None,
            cell: CellSide::Queued,
            core,
            decodes: 0,
            delivered: 0,
            final_codes: Vec::new(),
            held: BTreeSet::new(),
            last_prefilled: None,
            plan,
            prefill: None,
            ran: false,
        }
    }

    /// Ends the request if it is active, and checks that nothing is left.
    pub(crate) fn end(&mut self) {
        self.run(FlowStep::CallerGone);
        assert_eq!(self.final_codes.len(), 1, "one final answer");
        let late = [
            FlowEvent::PrefillDone,
            FlowEvent::Token,
            FlowEvent::CallerGone,
        ];
        for event in late {
            assert_eq!(
                self.core.on_event(event),
                Vec::new(),
                "an event after the end has an effect"
            );
        }
    }

    pub(crate) fn run(&mut self, step: FlowStep) {
        if !self.final_codes.is_empty() {
            return;
        }
        let Some(event) = self.event(step) else {
            return;
        };
        for action in self.core.on_event(event) {
            self.check(action);
        }
        self.check_invariants();
    }

    /// The event for the state machine; `None` when the step is not possible now.
    fn event(&mut self, step: FlowStep) -> Option<FlowEvent> {
        match step {
            FlowStep::CallerGone => Some(self.cut_short(FlowEvent::CallerGone)),
            FlowStep::CloseLimit => Some(self.cut_short(FlowEvent::CloseLimit)),
            FlowStep::DecodeAnswers => self.answer_decode(),
            FlowStep::DecodeFails(cause, ran) => self.fail_decode(cause, ran),
            FlowStep::GrantDecode(at) => {
                let event = FlowEvent::GrantDecode(name("decode", at));
                self.grant(CellSide::Prefilled, CellSide::Transferring, event)
            }
            FlowStep::GrantPrefill(at) => {
                let event = FlowEvent::GrantPrefill(name("prefill", at));
                // The allocator grants prefill again if the engine of a waiting request is gone.
                match self.cell {
                    CellSide::Prefilled => {
                        self.grant(CellSide::Prefilled, CellSide::Prefilling, event)
                    }
                    _ => self.grant(CellSide::Queued, CellSide::Prefilling, event),
                }
            }
            FlowStep::LateGrant(at) => self.late_grant(at),
            FlowStep::PrefillAnswers => self.answer_prefill(),
            FlowStep::PrefillFails(cause, ran) => self.fail_prefill(cause, ran),
            FlowStep::Refuse => {
                let event = FlowEvent::Refused {
                    code: ResultCode::PatienceEnded,
                    retry_after: std::time::Duration::from_secs(1),
                };
                match self.cell {
                    CellSide::Queued | CellSide::Prefilled => {
                        self.grant(self.cell, CellSide::Ended, event)
                    }
                    _ => None,
                }
            }
            FlowStep::ResumeAnswers => {
                let Some(OpenCall::Resume(decode)) = self.call.clone() else {
                    return None;
                };
                self.call = Some(OpenCall::Stream(decode));
                None
            }
            FlowStep::ResumeFails(cause) => {
                let Some(OpenCall::Resume(_)) = self.call else {
                    return None;
                };
                self.call = None;
                Some(FlowEvent::ResumeFailed(failure(cause, true)))
            }
            FlowStep::StreamDone => self.finish_stream(),
            FlowStep::StreamFails(cause) => {
                let Some(OpenCall::Stream(_)) = self.call else {
                    return None;
                };
                self.call = None;
                Some(FlowEvent::DecodeFailed(failure(cause, true)))
            }
            FlowStep::Token => self.give_token(),
        }
    }

    fn answer_decode(&mut self) -> Option<FlowEvent> {
        let Some(OpenCall::Decode(decode)) = self.call.clone() else {
            return None;
        };
        self.note_decode();
        self.call = Some(OpenCall::Stream(decode));
        None
    }

    fn answer_prefill(&mut self) -> Option<FlowEvent> {
        let Some(OpenCall::Prefill(_)) = self.call else {
            return None;
        };
        self.call = None;
        self.ran = true;
        Some(FlowEvent::PrefillDone)
    }

    /// A call in flight may have run when the request is given up.
    fn cut_short(&mut self, event: FlowEvent) -> FlowEvent {
        self.ran |= self.call.is_some();
        self.call = None;
        event
    }

    fn fail_decode(&mut self, cause: CallCause, ran: bool) -> Option<FlowEvent> {
        let Some(OpenCall::Decode(decode)) = self.call.clone() else {
            return None;
        };
        self.call = None;
        if ran {
            self.note_decode();
        } else {
            self.held.remove(&(decode, self.core.attempt()));
        }
        if cause == CallCause::Evicted {
            self.drop_prefill();
        }
        Some(FlowEvent::DecodeFailed(failure(cause, ran)))
    }

    fn fail_prefill(&mut self, cause: CallCause, ran: bool) -> Option<FlowEvent> {
        let Some(OpenCall::Prefill(_)) = self.call else {
            return None;
        };
        self.call = None;
        self.ran |= ran;
        if !ran {
            self.drop_prefill();
        }
        Some(FlowEvent::PrefillFailed(failure(cause, ran)))
    }

    fn finish_stream(&mut self) -> Option<FlowEvent> {
        let Some(OpenCall::Stream(decode)) = self.call.clone() else {
            return None;
        };
        self.call = None;
        self.held.remove(&(decode, self.core.attempt()));
        self.drop_prefill();
        Some(FlowEvent::StreamDone)
    }

    fn give_token(&mut self) -> Option<FlowEvent> {
        let Some(OpenCall::Stream(_)) = self.call else {
            return None;
        };
        self.drop_prefill();
        self.delivered += u32::from(self.delivered < self.plan.max_tokens);
        Some(FlowEvent::Token)
    }

    fn grant(&mut self, from: CellSide, to: CellSide, event: FlowEvent) -> Option<FlowEvent> {
        if self.cell != from || self.call.is_some() {
            return None;
        }
        self.cell = to;
        Some(event)
    }

    /// A grant that does not fit the request's phase must have no effect.
    fn late_grant(&mut self, at: usize) -> Option<FlowEvent> {
        let event = match self.cell {
            CellSide::Queued => FlowEvent::GrantDecode(name("decode", at)),
            CellSide::Prefilled => return None,
            _ => FlowEvent::GrantPrefill(name("prefill", at)),
        };
        assert_eq!(
            self.core.on_event(event),
            Vec::new(),
            "a late grant has an effect"
        );
        None
    }

    fn drop_prefill(&mut self) {
        if let Some(prefill) = self.prefill.take() {
            self.held.remove(&(prefill, self.core.attempt()));
        }
    }

    fn note_decode(&mut self) {
        self.ran = true;
        self.decodes += 1;
        let allowed = if self.plan.repeat { u32::MAX } else { 1 };
        assert!(
            self.decodes <= allowed,
            "a row that may not repeat ran twice"
        );
    }

    fn check(&mut self, action: FlowAction) {
        assert!(
            self.final_codes.is_empty(),
            "{action:?} after the final answer"
        );
        match action {
            FlowAction::Cancel {
                attempt, upstream, ..
            } => {
                self.held.remove(&(upstream, attempt));
            }
            FlowAction::Decode(decode) => {
                assert_eq!(self.cell, CellSide::Transferring);
                self.held.insert((decode.clone(), self.core.attempt()));
                self.open(OpenCall::Decode(decode));
            }
            FlowAction::Fail(failure) => self.check_failure(&failure),
            FlowAction::Finish => {
                assert!(self.call.is_none(), "finished while the stream is open");
                self.final_codes.push(ResultCode::Answered);
            }
            FlowAction::Notify(notice) => self.note(&notice),
            FlowAction::Prefill(prefill) => {
                assert!(
                    self.plan.repeat || !self.ran,
                    "prefilled again after it may have run"
                );
                let attempt = Some(self.core.attempt());
                assert!(attempt > self.last_prefilled, "a stream's name is reused");
                self.last_prefilled = attempt;
                assert_eq!(self.cell, CellSide::Prefilling);
                self.held.insert((prefill.clone(), self.core.attempt()));
                self.prefill = Some(prefill.clone());
                self.open(OpenCall::Prefill(prefill));
            }
            FlowAction::Restart => {
                let is_seen = self.plan.stream && self.delivered > 0;
                assert!(
                    !is_seen,
                    "the caller already has tokens of the previous attempt"
                );
                self.delivered = 0;
            }
            FlowAction::Resume { decode, offset, .. } => {
                assert_eq!(
                    offset, self.delivered,
                    "the offset leaves a gap or repeats tokens"
                );
                self.open(OpenCall::Resume(decode));
            }
            FlowAction::Submit => {
                assert_eq!(self.cell, CellSide::Dropped);
                self.cell = CellSide::Queued;
            }
        }
    }

    fn check_failure(&mut self, failure: &FlowFailure) {
        let is_false = failure.code.not_run() && self.ran;
        assert!(
            !is_false || failure.code == ResultCode::CallerGone,
            "{:?}, although it may have run",
            failure.code
        );
        assert!(
            failure.code.not_run() || failure.retry_after.is_none(),
            "{:?} invites the caller to send it again",
            failure.code
        );
        assert_ne!(failure.code, ResultCode::Answered);
        self.call = None;
        self.final_codes.push(failure.code);
    }

    /// Checks the invariants between events: either some party continues the request, or nothing of it is left.
    fn check_invariants(&self) {
        if !self.final_codes.is_empty() {
            assert_eq!(
                self.cell,
                CellSide::Ended,
                "the allocator was not told of the end"
            );
            assert!(self.held.is_empty(), "engines still hold {:?}", self.held);
            return;
        }
        let waits = matches!(self.cell, CellSide::Queued | CellSide::Prefilled);
        assert_ne!(
            waits,
            self.call.is_some(),
            "{:?} {:?}",
            self.cell,
            self.call
        );
        if self.cell == CellSide::Queued {
            assert!(
                self.held.is_empty(),
                "queued, but engines hold {:?}",
                self.held
            );
        }
    }

    fn note(&mut self, notice: &CellNotice) {
        let (from, to): (&[CellSide], CellSide) = match notice {
            CellNotice::Cancel => {
                self.cell = CellSide::Ended;
                return;
            }
            CellNotice::DecodeLost => (
                &[CellSide::Decoding, CellSide::Transferring],
                CellSide::Dropped,
            ),
            CellNotice::DecodeRefused => (&[CellSide::Transferring], CellSide::Prefilled),
            CellNotice::Finished { .. } => (
                &[CellSide::Decoding, CellSide::Transferring],
                CellSide::Ended,
            ),
            CellNotice::FirstToken => (&[CellSide::Transferring], CellSide::Decoding),
            CellNotice::KvEvicted => (
                &[CellSide::Prefilled, CellSide::Transferring],
                CellSide::Queued,
            ),
            CellNotice::PrefillDone { .. } => (&[CellSide::Prefilling], CellSide::Prefilled),
            CellNotice::PrefillFailed { .. } => (&[CellSide::Prefilling], CellSide::Queued),
        };
        assert!(from.contains(&self.cell), "{notice:?} in {:?}", self.cell);
        self.cell = to;
    }

    fn open(&mut self, call: OpenCall) {
        assert_eq!(self.call, None, "two calls at once");
        self.call = Some(call);
    }
}

fn failure(cause: CallCause, may_have_run: bool) -> CallFailure {
    CallFailure {
        cause,
        may_have_run,
    }
}

fn name(role: &str, at: usize) -> UpstreamId {
    format!("{role}-{at}").into()
}
