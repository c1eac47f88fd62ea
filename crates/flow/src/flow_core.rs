//! The state machine of one request. Does no I/O, and is the only place that decides the final answer.

use {
    crate::{
        cell_notice::CellNotice,
        flow_action::FlowAction,
        flow_event::{CallFailure, FlowEvent},
        flow_failure::FlowFailure,
    },
    engine::CallCause,
    kernel::{ResultCode, UpstreamId},
    std::time::Duration,
};

/// How often a prompt is prefilled again because its KV cache was lost, by eviction or with its engine. This does not
/// count against the row's retries, because the request did not cause it.
const KV_LOSS_LIMIT: u8 = 8;
/// How often a broken stream is resumed without receiving another token. The pauses in between total less than one
/// second.
const RESUME_LIMIT: u8 = 5;
/// The wait before the second try, doubled for each further one.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// The retry delay after a failure that is not caused by load.
const FAILURE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The phase of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FlowPhase {
    /// The request holds a decode place, or its KV cache is being transferred there.
    Decoding {
        /// The engine on which the request holds a decode place.
        decode: UpstreamId,
        /// The engine that prefilled the prompt.
        prefill: UpstreamId,
    },
    /// The final answer was given.
    Ended,
    /// A prefill engine processes the prompt.
    Prefilling {
        /// The engine that prefills the prompt.
        prefill: UpstreamId,
    },
    /// The request waits for a prefill engine.
    Queued,
    /// The KV cache waits for its transfer.
    Prefilled {
        /// The engine that keeps the KV cache.
        prefill: UpstreamId,
    },
}

/// The state machine of one request.
#[derive(Clone, Debug)]
pub struct FlowCore {
    attempt: u32,
    kv_losses: u8,
    may_have_run: bool,
    max_tokens: u32,
    phase: FlowPhase,
    repeat: bool,
    resumes: u8,
    retries: u8,
    stream: bool,
    tokens: u32,
}

#[bon::bon]
impl FlowCore {
    /// Creates a queued request. `repeat` and `retries` come from its row; `stream` is whether the caller receives
    /// token by token.
    #[builder]
    pub fn new(max_tokens: u32, repeat: bool, retries: u8, stream: bool) -> Self {
        Self {
            attempt: 0,
            kv_losses: 0,
            may_have_run: false,
            max_tokens,
            phase: FlowPhase::Queued,
            repeat,
            resumes: 0,
            retries,
            stream,
            tokens: 0,
        }
    }
}

impl FlowCore {
    /// The number of the current attempt.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Whether any engine may have done work for the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Handles one event and returns the actions to execute. Late events are ignored.
    pub fn on_event(&mut self, event: FlowEvent) -> Vec<FlowAction> {
        if self.phase == FlowPhase::Ended {
            return Vec::new();
        }
        match event {
            FlowEvent::CallerGone => self.cut_short(ResultCode::CallerGone),
            FlowEvent::CloseLimit => self.cut_short(ResultCode::CutByClose),
            FlowEvent::DecodeFailed(failure) => self.on_decode_failed(failure),
            FlowEvent::GrantDecode(decode) => self.on_grant_decode(decode),
            FlowEvent::GrantPrefill(prefill) => self.on_grant_prefill(prefill),
            FlowEvent::PrefillDone => self.on_prefill_done(),
            FlowEvent::PrefillFailed(failure) => self.on_prefill_failed(failure),
            FlowEvent::Refused { code, retry_after } => self.on_refused(code, retry_after),
            FlowEvent::ResumeFailed(failure) => self.on_resume_failed(failure),
            FlowEvent::DeadlinePassed => self.give_up(ResultCode::TicketExpired),
            FlowEvent::StreamDone => self.on_stream_done(),
            FlowEvent::Token => self.on_token(),
        }
    }

    /// The current phase.
    pub fn phase(&self) -> &FlowPhase {
        &self.phase
    }

    /// The number of tokens received.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Ends the request. A code that claims that nothing ran is replaced if an engine may have done work, unless the caller
    /// disconnected. Only a request that did not run gets a retry delay.
    fn end(&mut self, code: ResultCode, retry_after: Option<Duration>) -> FlowAction {
        self.phase = FlowPhase::Ended;
        let code = match code {
            ResultCode::CallerGone => code,
            code if self.may_have_run && code.not_run() => ResultCode::PrefillWasted,
            code => code,
        };
        let retry_after = retry_after.filter(|_| code.not_run());
        FlowAction::Fail(FlowFailure { code, retry_after })
    }

    fn cancel(&self, upstream: &UpstreamId, in_flight: bool) -> FlowAction {
        FlowAction::Cancel {
            attempt: self.attempt,
            in_flight,
            upstream: upstream.clone(),
        }
    }

    /// Cancels the attempt's stream on the current engine.
    fn cancel_held(&self) -> Option<FlowAction> {
        match &self.phase {
            FlowPhase::Decoding { decode, .. } => Some(self.cancel(decode, self.tokens == 0)),
            FlowPhase::Prefilling { prefill } => Some(self.cancel(prefill, true)),
            FlowPhase::Prefilled { prefill } => Some(self.cancel(prefill, false)),
            FlowPhase::Ended | FlowPhase::Queued => None,
        }
    }

    fn cancel_all(&self) -> Vec<FlowAction> {
        let mut actions: Vec<FlowAction> = self.cancel_held().into_iter().collect();
        if let FlowPhase::Decoding { prefill, .. } = &self.phase
            && self.tokens == 0
        {
            actions.push(self.cancel(prefill, false));
        }
        actions
    }

    /// Gives the request up in any phase. A call in flight may have run.
    fn cut_short(&mut self, code: ResultCode) -> Vec<FlowAction> {
        self.may_have_run |= matches!(
            self.phase,
            FlowPhase::Decoding { .. } | FlowPhase::Prefilling { .. }
        );
        self.give_up(code)
    }

    fn give_up(&mut self, code: ResultCode) -> Vec<FlowAction> {
        let mut actions = self.cancel_all();
        actions.push(FlowAction::Notify(CellNotice::Cancel));
        let code = match code {
            ResultCode::CutByClose if !self.may_have_run => ResultCode::Closing,
            code => code,
        };
        actions.push(self.end(code, Some(FAILURE_RETRY_AFTER)));
        actions
    }

    fn on_decode_failed(&mut self, failure: CallFailure) -> Vec<FlowAction> {
        let FlowPhase::Decoding { decode, prefill } = self.phase.clone() else {
            return Vec::new();
        };
        if failure.cause == CallCause::Evicted && self.tokens == 0 {
            return self.on_evicted();
        }
        if !failure.may_have_run && self.tokens == 0 {
            self.phase = FlowPhase::Prefilled { prefill };
            return vec![FlowAction::Notify(CellNotice::DecodeRefused)];
        }
        if failure.cause == CallCause::Garbled {
            return self.on_stream_lost(failure);
        }
        self.resume(decode, failure)
    }

    fn on_evicted(&mut self) -> Vec<FlowAction> {
        if !self.take_kv_loss() {
            return self.give_up(ResultCode::PrefillWasted);
        }
        let mut actions = self.cancel_all();
        self.phase = FlowPhase::Queued;
        self.attempt += 1;
        actions.push(FlowAction::Notify(CellNotice::KvEvicted));
        actions
    }

    fn on_grant_decode(&mut self, decode: UpstreamId) -> Vec<FlowAction> {
        let FlowPhase::Prefilled { prefill } = self.phase.clone() else {
            return Vec::new();
        };
        self.phase = FlowPhase::Decoding {
            decode: decode.clone(),
            prefill,
        };
        self.resumes = 0;
        vec![FlowAction::Decode(decode)]
    }

    fn on_grant_prefill(&mut self, prefill: UpstreamId) -> Vec<FlowAction> {
        match self.phase.clone() {
            FlowPhase::Queued => vec![self.start_prefill(prefill)],
            FlowPhase::Prefilled { prefill: lost } => self.prefill_again(&lost, prefill),
            _ => Vec::new(),
        }
    }

    fn on_prefill_done(&mut self) -> Vec<FlowAction> {
        let FlowPhase::Prefilling { prefill } = self.phase.clone() else {
            return Vec::new();
        };
        self.may_have_run = true;
        self.phase = FlowPhase::Prefilled {
            prefill: prefill.clone(),
        };
        vec![FlowAction::Notify(CellNotice::PrefillDone { prefill })]
    }

    fn on_prefill_failed(&mut self, failure: CallFailure) -> Vec<FlowAction> {
        let FlowPhase::Prefilling { prefill } = self.phase.clone() else {
            return Vec::new();
        };
        self.may_have_run |= failure.may_have_run;
        let is_retried = self.may_retry(failure) && self.take_one_retry();
        if !is_retried {
            return self.give_up(failure_code(failure));
        }
        let mut actions: Vec<FlowAction> = Vec::new();
        if failure.may_have_run {
            actions.extend(self.cancel_held());
        }
        self.phase = FlowPhase::Queued;
        self.attempt += 1;
        actions.push(FlowAction::Notify(CellNotice::PrefillFailed {
            is_unavailable: failure.cause.is_unavailable(),
            prefill,
        }));
        actions
    }

    fn on_refused(&mut self, code: ResultCode, retry_after: Duration) -> Vec<FlowAction> {
        let mut actions = self.cancel_all();
        actions.push(self.end(code, Some(retry_after)));
        actions
    }

    /// An engine that could not be reached may still have the stream; one that answered does not.
    fn on_resume_failed(&mut self, failure: CallFailure) -> Vec<FlowAction> {
        let FlowPhase::Decoding { decode, .. } = self.phase.clone() else {
            return Vec::new();
        };
        match failure.cause {
            CallCause::Lost | CallCause::Silent | CallCause::Unlisted => {
                self.resume(decode, failure)
            }
            _ => self.on_stream_lost(failure),
        }
    }

    fn on_stream_done(&mut self) -> Vec<FlowAction> {
        if !matches!(self.phase, FlowPhase::Decoding { .. }) {
            return Vec::new();
        }
        let output_tokens = self.tokens;
        self.phase = FlowPhase::Ended;
        vec![
            FlowAction::Notify(CellNotice::Finished { output_tokens }),
            FlowAction::Finish,
        ]
    }

    /// The stream is lost for good. Runs the request again if that is allowed, and otherwise reports that the outcome
    /// is unknown.
    fn on_stream_lost(&mut self, failure: CallFailure) -> Vec<FlowAction> {
        if !matches!(self.phase, FlowPhase::Decoding { .. }) {
            return Vec::new();
        }
        let is_delivered = self.stream && self.tokens > 0;
        if is_delivered || !self.take_retry() {
            let code = if self.tokens > 0 {
                ResultCode::StreamCut
            } else {
                failure_code(failure)
            };
            return self.give_up(code);
        }
        let mut actions = self.cancel_all();
        self.attempt += 1;
        self.phase = FlowPhase::Queued;
        self.tokens = 0;
        actions.push(FlowAction::Notify(CellNotice::DecodeLost));
        actions.push(FlowAction::Restart);
        actions.push(FlowAction::Submit);
        actions
    }

    fn on_token(&mut self) -> Vec<FlowAction> {
        if !matches!(self.phase, FlowPhase::Decoding { .. }) {
            return Vec::new();
        }
        self.resumes = 0;
        self.tokens += 1;
        if self.tokens > self.max_tokens {
            return self.give_up(ResultCode::UpstreamGarbled);
        }
        if self.tokens > 1 {
            return Vec::new();
        }
        vec![FlowAction::Notify(CellNotice::FirstToken)]
    }

    /// The allocator considers the engine that prefilled the prompt gone, so its KV cache is lost.
    fn prefill_again(&mut self, lost: &UpstreamId, prefill: UpstreamId) -> Vec<FlowAction> {
        if !self.take_kv_loss() {
            return self.give_up(ResultCode::PrefillWasted);
        }
        let cancel = self.cancel(lost, false);
        self.attempt += 1;
        vec![cancel, self.start_prefill(prefill)]
    }

    fn start_prefill(&mut self, prefill: UpstreamId) -> FlowAction {
        self.phase = FlowPhase::Prefilling {
            prefill: prefill.clone(),
        };
        FlowAction::Prefill(prefill)
    }

    /// Resumes the stream where it broke, up to [`RESUME_LIMIT`] times without progress.
    fn resume(&mut self, decode: UpstreamId, failure: CallFailure) -> Vec<FlowAction> {
        if self.resumes == RESUME_LIMIT {
            return self.on_stream_lost(failure);
        }
        let pause = match self.resumes {
            0 => Duration::ZERO,
            tries => RESUME_PAUSE * (1 << (tries - 1)),
        };
        self.resumes += 1;
        vec![FlowAction::Resume {
            decode,
            offset: self.tokens,
            pause,
        }]
    }

    /// Whether another attempt after this failure can't run a request twice whose row does not allow it.
    fn may_retry(&self, failure: CallFailure) -> bool {
        self.repeat || !failure.may_have_run
    }

    /// Whether the prompt may be prefilled again after its KV cache was lost.
    fn take_kv_loss(&mut self) -> bool {
        if !self.repeat || self.kv_losses == KV_LOSS_LIMIT {
            return false;
        }
        self.kv_losses += 1;
        true
    }

    /// Consumes a retry for a request that may have run in part.
    fn take_retry(&mut self) -> bool {
        self.repeat && self.take_one_retry()
    }

    fn take_one_retry(&mut self) -> bool {
        if self.retries == 0 {
            return false;
        }
        self.retries -= 1;
        true
    }
}

/// The final result code of a failed call.
fn failure_code(failure: CallFailure) -> ResultCode {
    if !failure.may_have_run {
        return ResultCode::UpstreamRefused;
    }
    match failure.cause {
        CallCause::Garbled => ResultCode::UpstreamGarbled,
        CallCause::Silent => ResultCode::UpstreamSilent,
        _ => ResultCode::UpstreamLost,
    }
}
