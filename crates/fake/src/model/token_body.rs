//! Server-sent events body of a streamed completion.

use {
    super::{
        engine_driver::RunSubscription,
        engine_faults::EngineFaults,
        engine_run::{RunEnd, RunView},
    },
    crate::{
        expected_answer::{prompt_digest, prompt_tokens, token_text},
        net::ConnectionAborted,
    },
    axum::body::Body,
    bytes::Bytes,
    engine::wire::{CompletionChoice, CompletionChunk, DONE_MARKER, TokenUsage},
    futures_util::stream,
    std::{fmt::Write, sync::Arc},
    tokio::task,
};

/// Value of `object` in chunks and complete responses.
pub(super) const COMPLETION_OBJECT: &str = "text_completion";
/// Malformed event sent by the `garbage` fault.
const GARBAGE_EVENT: &str = "data: {\"choices\": \u{1}<<<\n\n";

/// Writes a run's tokens as they are generated.
#[derive(Debug)]
pub(super) struct TokenBody {
    digest: String,
    faults: EngineFaults,
    next: u32,
    subscription: RunSubscription,
    sent: u32,
}

enum BodyStep {
    Abort,
    Last(String),
    More(String),
}

impl TokenBody {
    /// Creates a body that starts with the token at `offset`.
    pub(super) fn new(faults: EngineFaults, subscription: RunSubscription, offset: u32) -> Self {
        Self {
            digest: prompt_digest(&subscription.call.prompt),
            faults,
            next: offset,
            subscription,
            sent: 0,
        }
    }

    /// Converts the writer into a response body.
    pub(super) fn into_body(self) -> Body {
        let pieces = stream::unfold(Some((self, false)), |state| async move {
            let (mut body, is_aborted) = state?;
            if is_aborted {
                // Lets the server flush the bytes before the abort.
                task::yield_now().await;
                return Some((Err(ConnectionAborted), None));
            }
            match body.step().await {
                BodyStep::Abort => Some((Ok(Bytes::new()), Some((body, true)))),
                BodyStep::Last(text) => Some((Ok(Bytes::from(text)), None)),
                BodyStep::More(text) => Some((Ok(Bytes::from(text)), Some((body, false)))),
            }
        });
        Body::from_stream(pieces)
    }

    async fn step(&mut self) -> BodyStep {
        if self.faults.garbage {
            return BodyStep::Last(GARBAGE_EVENT.to_owned());
        }
        loop {
            if self.is_at_token_limit() {
                return BodyStep::Abort;
            }
            let view = self.subscription.views.borrow_and_update().clone();
            if self.next < view.tokens {
                return BodyStep::More(self.write_token(&view));
            }
            if let Some(end) = &view.end {
                return BodyStep::Last(end_text(end));
            }
            if self.subscription.views.changed().await.is_err() {
                return BodyStep::Abort;
            }
        }
    }

    fn is_at_token_limit(&self) -> bool {
        let limit = self.faults.stop_after_tokens;
        limit.is_some_and(|limit| self.sent >= limit)
    }

    fn write_token(&mut self, view: &RunView) -> String {
        let chunk = self.chunk(view);
        let json = serde_json::to_string(&chunk).unwrap_or_default();
        let mut text = format!("data: {json}\n\n");
        if self.faults.duplicate_chunks {
            let _ = write!(text, "data: {json}\n\n");
        }
        self.next += 1;
        self.sent += 1;
        text
    }

    fn chunk(&self, view: &RunView) -> CompletionChunk {
        let is_last = self.next + 1 == view.target;
        let call = &self.subscription.call;
        CompletionChunk {
            choices: vec![CompletionChoice {
                finish_reason: is_last.then(|| self.subscription.finish_reason(view.target)),
                index: 0,
                text: token_text(&self.digest, self.next),
            }],
            id: call.id.clone(),
            model: call.model.clone(),
            object: Arc::from(COMPLETION_OBJECT),
            token_index: Some(self.next),
            usage: is_last.then(|| usage(&call.prompt, view)),
            ..CompletionChunk::default()
        }
    }
}

/// Token counts of a complete response.
pub(super) fn usage(prompt: &str, view: &RunView) -> TokenUsage {
    TokenUsage {
        completion_tokens: view.target,
        prompt_tokens: prompt_tokens(prompt),
    }
}

fn end_text(end: &RunEnd) -> String {
    match end {
        RunEnd::Finished => format!("data: {DONE_MARKER}\n\n"),
        _ => "data: {\"error\":\"cancelled\",\"ran\":true}\n\n".to_owned(),
    }
}
