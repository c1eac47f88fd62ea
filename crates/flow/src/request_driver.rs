//! Drives one request: makes the calls that its state machine asks for and feeds the results back.

use {
    crate::{
        answer_event::AnswerEvent, cell_hub::CellHub, cell_notice::CellGrant,
        flow_action::FlowAction, flow_core::FlowCore, flow_event::FlowEvent,
        flow_failure::FlowFailure, flow_metrics::FlowMetrics, model_request::ModelRequest,
        prefix_hashes::prompt_tokens, stream_canceller::StreamCanceller, stream_name::StreamName,
        upstream_registry::UpstreamRegistry,
    },
    admit::RequestKey,
    engine::{
        CallCause, CallError, ModelEngine, TokenEvent, TokenSource,
        wire::{CompletionCall, KvTransferParams, TokenUsage},
    },
    kernel::{ResultCode, ShutdownSignal, UpstreamId},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    table::WorkRow,
    tokio::{
        sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
        time,
    },
};

/// The state shared by all requests of an instance.
pub struct FlowShared<E> {
    /// The known upstreams.
    pub registry: Arc<UpstreamRegistry>,
    /// Cancels streams on engines.
    pub canceller: StreamCanceller<E>,
    /// Raised when the close limit has passed and running requests must end.
    pub cut: ShutdownSignal,
    /// The client for engines.
    pub engine: E,
    /// The connection to the allocators.
    pub hub: Arc<CellHub>,
    /// The metrics of the request path.
    pub metrics: Arc<FlowMetrics>,
}

/// A request in progress.
pub struct RequestDriver<E: ModelEngine> {
    answers: UnboundedSender<AnswerEvent>,
    core: FlowCore,
    grants: UnboundedReceiver<CellGrant>,
    key: RequestKey,
    last_token: Option<Instant>,
    params: KvTransferParams,
    priority: i32,
    request: ModelRequest,
    shared: Arc<FlowShared<E>>,
    usage: Option<TokenUsage>,
}

/// What the driver waits for.
enum FlowStep<T> {
    Decode(UpstreamId),
    End,
    Prefill(UpstreamId),
    Resume(UpstreamId, u32, Duration),
    Stream(T),
    Wait,
}

impl<E: ModelEngine> RequestDriver<E> {
    /// Starts a request and returns the channel for its answer. Dropping the channel cancels the request.
    pub fn start(
        shared: Arc<FlowShared<E>>,
        request: ModelRequest,
        row: &WorkRow,
    ) -> (RequestKey, UnboundedReceiver<AnswerEvent>) {
        let (answers, receiver) = mpsc::unbounded_channel();
        let key = shared.hub.next_key();
        let grants = shared.hub.submit(&key, &request);
        let core = FlowCore::builder()
            .max_tokens(request.max_tokens)
            .repeat(row.repeat)
            .retries(row.retries)
            .stream(request.stream)
            .build();
        let driver = Self {
            answers,
            core,
            grants,
            key: key.clone(),
            last_token: None,
            params: KvTransferParams::default(),
            priority: i32::from(row.rank),
            request,
            shared,
            usage: None,
        };
        tokio::spawn(driver.run());
        (key, receiver)
    }

    async fn run(mut self) {
        self.shared.metrics.open.inc();
        let mut step = FlowStep::Wait;
        while !matches!(step, FlowStep::End) {
            let (event, stream) = self.advance(step).await;
            step = match stream {
                Some(tokens) => FlowStep::Stream(tokens),
                None => FlowStep::Wait,
            };
            let Some(event) = event else {
                continue;
            };
            if let Some(next) = self.apply(event) {
                step = next;
            }
        }
        self.shared.metrics.open.dec();
    }

    /// Waits for the next event of a step. Returns the stream if it continues.
    async fn advance(
        &mut self,
        step: FlowStep<E::Tokens>,
    ) -> (Option<FlowEvent>, Option<E::Tokens>) {
        let shared = self.shared.clone();
        let answers = self.answers.clone();
        tokio::select! {
            biased;
            () = answers.closed() => (Some(FlowEvent::CallerGone), None),
            () = shared.cut.raised() => (Some(FlowEvent::CloseLimit), None),
            outcome = self.await_step(step) => outcome,
        }
    }

    async fn await_step(
        &mut self,
        step: FlowStep<E::Tokens>,
    ) -> (Option<FlowEvent>, Option<E::Tokens>) {
        match step {
            FlowStep::Decode(decode) => self.call_decode(decode).await,
            FlowStep::End => (None, None),
            FlowStep::Prefill(prefill) => (Some(self.call_prefill(prefill).await), None),
            FlowStep::Resume(decode, offset, pause) => {
                time::sleep(pause).await;
                self.call_resume(decode, offset).await
            }
            FlowStep::Stream(tokens) => self.read_token(tokens).await,
            FlowStep::Wait => (self.await_grant().await, None),
        }
    }

    async fn await_grant(&mut self) -> Option<FlowEvent> {
        let Some(grant) = self.grants.recv().await else {
            // The request was removed from the table, so nothing but the caller's disconnect would end it otherwise.
            return Some(FlowEvent::CloseLimit);
        };
        Some(match grant {
            CellGrant::Decode(decode) => FlowEvent::GrantDecode(decode),
            CellGrant::Prefill(prefill) => FlowEvent::GrantPrefill(prefill),
            CellGrant::Refuse { code, retry_after } => FlowEvent::Refused { code, retry_after },
            // The request table answers it.
            CellGrant::Resync => return None,
        })
    }

    async fn call_decode(&mut self, decode: UpstreamId) -> (Option<FlowEvent>, Option<E::Tokens>) {
        let Some(address) = self.shared.registry.call_address(&decode) else {
            return (
                Some(FlowEvent::DecodeFailed((&unlisted(&decode)).into())),
                None,
            );
        };
        let call = self.completion_call(self.request.max_tokens, self.params.clone(), true);
        if self.request.is_past_deadline() {
            return (Some(FlowEvent::DeadlinePassed), None);
        }
        match self
            .shared
            .engine
            .decode(address, &self.stream_name(), &call)
            .await
        {
            Ok(tokens) => (None, Some(tokens)),
            Err(error) => (Some(FlowEvent::DecodeFailed((&error).into())), None),
        }
    }

    async fn call_prefill(&mut self, prefill: UpstreamId) -> FlowEvent {
        let Some(address) = self.shared.registry.call_address(&prefill) else {
            return FlowEvent::PrefillFailed((&unlisted(&prefill)).into());
        };
        let params = KvTransferParams {
            do_remote_decode: true,
            ..KvTransferParams::default()
        };
        let call = self.completion_call(1, params, false);
        if self.request.is_past_deadline() {
            return FlowEvent::DeadlinePassed;
        }
        match self
            .shared
            .engine
            .prefill(address, &self.stream_name(), &call)
            .await
        {
            Ok(reply) => {
                self.params = reply.params;
                let tokens = prompt_tokens(&self.request.prompt);
                self.shared.metrics.prefill_tokens.inc_by(u64::from(tokens));
                FlowEvent::PrefillDone
            }
            Err(error) => FlowEvent::PrefillFailed((&error).into()),
        }
    }

    async fn call_resume(
        &mut self,
        decode: UpstreamId,
        offset: u32,
    ) -> (Option<FlowEvent>, Option<E::Tokens>) {
        let shared = &self.shared;
        let outcome = match shared.registry.last_address(&decode) {
            Some(address) => {
                let name = self.stream_name();
                shared.engine.resume(address, &name, offset).await
            }
            None => Err(unlisted(&decode)),
        };
        match outcome {
            Ok(tokens) => (None, Some(tokens)),
            Err(error) => {
                // The stream may have run even if the resume call did not.
                let error = CallError {
                    may_have_run: true,
                    ..error
                };
                (Some(FlowEvent::ResumeFailed((&error).into())), None)
            }
        }
    }

    fn completion_call(
        &self,
        max_tokens: u32,
        params: KvTransferParams,
        stream: bool,
    ) -> CompletionCall {
        CompletionCall {
            kv_transfer_params: Some(params),
            max_tokens: Some(max_tokens),
            model: self.request.model.clone(),
            priority: self.priority,
            prompt: self.request.prompt.clone(),
            stream,
        }
    }

    async fn read_token(
        &mut self,
        mut tokens: E::Tokens,
    ) -> (Option<FlowEvent>, Option<E::Tokens>) {
        match tokens.next().await {
            Ok(TokenEvent::Done { usage }) => {
                self.usage = usage;
                (Some(FlowEvent::StreamDone), None)
            }
            Ok(TokenEvent::Token {
                finish_reason,
                text,
            }) => {
                if self.core.tokens() < self.request.max_tokens {
                    self.note_token();
                    // A disconnected caller is noticed before the next step.
                    let _ = self.answers.send(AnswerEvent::Token {
                        finish_reason,
                        text,
                    });
                }
                (Some(FlowEvent::Token), Some(tokens))
            }
            Err(error) => (Some(FlowEvent::DecodeFailed((&error).into())), None),
        }
    }

    fn apply(&mut self, event: FlowEvent) -> Option<FlowStep<E::Tokens>> {
        let mut step = None;
        for action in self.core.on_event(event) {
            let next = self.act(action);
            step = next.or(step);
        }
        step
    }

    fn act(&mut self, action: FlowAction) -> Option<FlowStep<E::Tokens>> {
        match action {
            FlowAction::Cancel {
                attempt,
                in_flight,
                upstream,
            } => {
                let name = StreamName {
                    attempt,
                    key: self.key.clone(),
                };
                let canceller = &self.shared.canceller;
                canceller.cancel(upstream, name.to_string(), in_flight);
                None
            }
            FlowAction::Decode(decode) => Some(FlowStep::Decode(decode)),
            FlowAction::Fail(failure) => Some(self.fail(failure)),
            FlowAction::Finish => Some(self.finish()),
            FlowAction::Notify(notice) => {
                self.shared.hub.notify(&self.key, notice);
                None
            }
            FlowAction::Prefill(prefill) => Some(FlowStep::Prefill(prefill)),
            FlowAction::Restart => {
                self.last_token = None;
                let _ = self.answers.send(AnswerEvent::Restarted);
                None
            }
            FlowAction::Resume {
                decode,
                offset,
                pause,
            } => Some(FlowStep::Resume(decode, offset, pause)),
            FlowAction::Submit => {
                self.shared.hub.resubmit(&self.key);
                None
            }
        }
    }

    fn fail(&mut self, failure: FlowFailure) -> FlowStep<E::Tokens> {
        let metrics = &self.shared.metrics;
        metrics.count_end(failure.code, &self.request.work);
        if self.core.may_have_run() {
            let tokens = u64::from(prompt_tokens(&self.request.prompt));
            let cause = failure.code.number().to_string();
            metrics
                .wasted_tokens
                .with_label_values(&[&*cause, &*self.request.work])
                .inc_by(tokens);
        }
        self.shared.hub.forget(&self.key);
        let _ = self.answers.send(AnswerEvent::Failed(failure));
        FlowStep::End
    }

    fn finish(&mut self) -> FlowStep<E::Tokens> {
        self.shared
            .metrics
            .count_end(ResultCode::Answered, &self.request.work);
        let _ = self.answers.send(AnswerEvent::Done {
            usage: self.usage.take(),
        });
        FlowStep::End
    }

    fn note_token(&mut self) {
        let now = Instant::now();
        let metrics = &self.shared.metrics;
        metrics.tokens.inc();
        match self.last_token.replace(now) {
            Some(last) => metrics.between_tokens.observe((now - last).as_secs_f64()),
            None => metrics.note_first_token(now - self.request.arrived),
        }
    }

    /// The name of the current attempt's stream.
    fn stream_name(&self) -> String {
        StreamName {
            attempt: self.core.attempt(),
            key: self.key.clone(),
        }
        .to_string()
    }
}

fn unlisted(upstream: &UpstreamId) -> CallError {
    let detail = format!("no address of {upstream} is known");
    CallError::not_run(CallCause::Unlisted, detail)
}
