//! The SSE body of a stream.

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

/// The object that chunks and whole answers name.
pub(super) const COMPLETION_OBJECT: &str = "text_completion";
/// An event that nothing can read.
const GARBAGE_EVENT: &str = "data: {\"choices\": \u{1}<<<\n\n";

/// Writes a run's tokens as they come.
#[derive(Debug)]
pub(super) struct TokenBody {
    digest: String,
    faults: EngineFaults,
    next: u32,
    subscription: RunSubscription,
    sent: u32,
}

enum BodyStep {
    Cut,
    Last(String),
    More(String),
}

impl TokenBody {
    /// Writes the tokens from `offset` on.
    pub(super) fn new(faults: EngineFaults, subscription: RunSubscription, offset: u32) -> Self {
        Self {
            digest: prompt_digest(&subscription.call.prompt),
            faults,
            next: offset,
            subscription,
            sent: 0,
        }
    }

    /// The body itself.
    pub(super) fn into_body(self) -> Body {
        let pieces = stream::unfold(Some((self, false)), |state| async move {
            let (mut body, cut) = state?;
            if cut {
                // Lets the server flush what came before the cut.
                task::yield_now().await;
                return Some((Err(ConnectionAborted), None));
            }
            match body.step().await {
                BodyStep::Cut => Some((Ok(Bytes::new()), Some((body, true)))),
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
            if self.is_at_cut() {
                return BodyStep::Cut;
            }
            let view = self.subscription.views.borrow_and_update().clone();
            if self.next < view.tokens {
                return BodyStep::More(self.write_token(&view));
            }
            if let Some(end) = &view.end {
                return BodyStep::Last(end_text(end));
            }
            if self.subscription.views.changed().await.is_err() {
                return BodyStep::Cut;
            }
        }
    }

    fn is_at_cut(&self) -> bool {
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

/// The token counts of a whole answer.
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
