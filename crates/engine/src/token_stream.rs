//! Reads the tokens of an answer from an engine's SSE body.

use {
    crate::{
        call_error::{CallCause, CallError},
        completion_engine::engine_failure,
        model_engine::TokenSource,
        pooled_body::PooledBody,
        sse_reader::SseReader,
        wire::{CompletionChoice, DONE_MARKER, EngineError, TokenUsage},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    serde::Deserialize,
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// An event of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum TokenEvent {
    /// The engine sent its end marker: the answer is complete.
    Done {
        /// The token counts, if the engine reported them.
        usage: Option<TokenUsage>,
    },
    /// A generated token.
    Token {
        /// Set on the last token.
        finish_reason: Option<Arc<str>>,
        /// The text of the token.
        text: Arc<str>,
    },
}

/// The data of one event: a chunk or an error of the engine.
#[derive(Deserialize)]
struct StreamData {
    #[serde(default)]
    choices: Vec<CompletionChoice>,
    error: Option<Arc<str>>,
    #[serde(default)]
    ran: bool,
    token_index: Option<u32>,
    usage: Option<TokenUsage>,
}

/// A stream of tokens from an engine's SSE body. Tokens that are repeated after a resume are skipped.
pub struct TokenStream {
    body: PooledBody<Full<Bytes>>,
    idle_timeout: Duration,
    reader: SseReader,
    tokens: u32,
    usage: Option<TokenUsage>,
}

impl TokenStream {
    pub(crate) fn new(body: PooledBody<Full<Bytes>>, idle_timeout: Duration, offset: u32) -> Self {
        Self {
            body,
            idle_timeout,
            reader: SseReader::new(),
            tokens: offset,
            usage: None,
        }
    }

    async fn read_chunk(&mut self) -> Result<(), CallError> {
        let reading = time::timeout(self.idle_timeout, self.body.frame()).await;
        let Ok(frame) = reading else {
            return Err(CallError::unknown(
                CallCause::Silent,
                "no token within the idle timeout",
            ));
        };
        let Some(frame) = frame else {
            return Err(CallError::unknown(
                CallCause::Lost,
                "the stream ended without its end marker",
            ));
        };
        let frame = frame.map_err(|error| CallError::unknown(CallCause::Lost, error))?;
        let Some(chunk) = frame.data_ref() else {
            return Ok(());
        };
        self.reader.push(chunk);
        if self.reader.is_too_large() {
            return Err(CallError::unknown(
                CallCause::Garbled,
                "an event is too large",
            ));
        }
        Ok(())
    }

    async fn finish(&mut self) -> TokenEvent {
        // Reading to the end returns the connection to the pool. Anything after the marker is discarded.
        while let Ok(Some(Ok(_))) = time::timeout(self.idle_timeout, self.body.frame()).await {}
        TokenEvent::Done {
            usage: self.usage.take(),
        }
    }

    fn is_repeat(&self, data: &StreamData) -> Result<bool, CallError> {
        let Some(index) = data.token_index else {
            return Ok(false);
        };
        if index > self.tokens {
            return Err(CallError::unknown(
                CallCause::Garbled,
                "the stream has a gap",
            ));
        }
        Ok(index < self.tokens)
    }

    fn read_data(&mut self, bytes: &[u8]) -> Result<Option<TokenEvent>, CallError> {
        let parsed = serde_json::from_slice::<StreamData>(bytes);
        let mut data = parsed.map_err(|error| CallError::unknown(CallCause::Garbled, error))?;
        if let Some(error) = data.error {
            let failure = EngineError {
                error,
                ran: data.ran,
            };
            return Err(engine_failure(&failure, self.tokens > 0));
        }
        if data.usage.is_some() {
            self.usage = data.usage.take();
        }
        let Some(choice) = data.choices.pop() else {
            return Ok(None);
        };
        if choice.text.is_empty() && choice.finish_reason.is_none() {
            return Ok(None);
        }
        if self.is_repeat(&data)? {
            return Ok(None);
        }
        self.tokens += 1;
        Ok(Some(TokenEvent::Token {
            finish_reason: choice.finish_reason,
            text: choice.text,
        }))
    }
}

impl TokenSource for TokenStream {
    async fn next(&mut self) -> Result<TokenEvent, CallError> {
        loop {
            let Some(data) = self.reader.next_event() else {
                self.read_chunk().await?;
                continue;
            };
            if data == DONE_MARKER {
                return Ok(self.finish().await);
            }
            if let Some(event) = self.read_data(&data)? {
                return Ok(event);
            }
        }
    }
}
