//! Converts the events of a model request into the answer to its caller.

use {
    crate::{
        admission_gate::GatePass,
        answer_body::AnswerHead,
        error_answer::{ErrorAnswer, RESULT_HEADER},
    },
    axum::{
        body::Body,
        response::{IntoResponse, Response},
    },
    bytes::{Bytes, BytesMut},
    engine::wire::DONE_MARKER,
    flow::{AnswerEvent, FlowFailure},
    futures_util::stream,
    http::{HeaderValue, header},
    kernel::ResultCode,
    std::convert::Infallible,
    tokio::sync::mpsc::UnboundedReceiver,
};

/// The maximum number of events in one write to the caller.
const MAX_EVENTS_PER_WRITE: usize = 32;

/// The pending answer to a model request.
pub struct ModelAnswer {
    /// Receives the events of the request.
    pub events: UnboundedReceiver<AnswerEvent>,
    /// The fields that all bodies share.
    pub head: AnswerHead,
    /// Keeps the request counted as open until the answer is sent.
    pub pass: GatePass,
}

/// The state of a stream in progress.
struct StreamState {
    answer: ModelAnswer,
    pending: Option<AnswerEvent>,
    is_ended: bool,
    is_first: bool,
}

impl ModelAnswer {
    /// Sends the answer as server-sent events. A failure before the first token becomes an error response with its own
    /// status.
    pub async fn stream(mut self) -> Response {
        let first = self.events.recv().await;
        let first = match first {
            Some(AnswerEvent::Failed(failure)) => {
                return ErrorAnswer::from(failure).into_response();
            }
            None => return ErrorAnswer::of(ResultCode::CutByClose).into_response(),
            Some(event) => event,
        };
        let state = StreamState {
            answer: self,
            pending: Some(first),
            is_ended: false,
            is_first: true,
        };
        let body = Body::from_stream(stream::unfold(state, |mut state| async move {
            let chunk = state.next_chunk().await?;
            Some((Ok::<Bytes, Infallible>(chunk), state))
        }));
        let mut response = Response::new(body);
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/event-stream"),
        );
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        headers.insert(
            RESULT_HEADER,
            HeaderValue::from(ResultCode::Answered.number()),
        );
        response
    }

    /// Sends the answer as one JSON body once it is complete.
    pub async fn whole(mut self) -> Response {
        let mut text = String::new();
        let mut reason = None;
        while let Some(event) = self.events.recv().await {
            match event {
                AnswerEvent::Done { usage } => {
                    let usage = usage.as_ref().map(Into::into);
                    let body = self.head.whole(&text, reason.as_deref(), usage);
                    return json_response(body);
                }
                AnswerEvent::Failed(failure) => return ErrorAnswer::from(failure).into_response(),
                AnswerEvent::Restarted => text.clear(),
                AnswerEvent::Token {
                    finish_reason,
                    text: token,
                } => {
                    text.push_str(&token);
                    reason = finish_reason;
                }
            }
        }
        ErrorAnswer::of(ResultCode::CutByClose).into_response()
    }
}

impl StreamState {
    /// Encodes the events that are available, waiting for at least one. Returns `None` after the last event.
    async fn next_chunk(&mut self) -> Option<Bytes> {
        if self.is_ended {
            return None;
        }
        let mut chunk = BytesMut::new();
        let first = match self.pending.take() {
            Some(event) => Some(event),
            None => self.answer.events.recv().await,
        };
        // A driver that ends without a final event was aborted.
        let cut = AnswerEvent::Failed(FlowFailure::new(ResultCode::CutByClose));
        self.write(&mut chunk, first.unwrap_or(cut));
        for _ in 1..MAX_EVENTS_PER_WRITE {
            if self.is_ended {
                break;
            }
            let Ok(event) = self.answer.events.try_recv() else {
                break;
            };
            self.write(&mut chunk, event);
        }
        Some(chunk.freeze())
    }

    fn write(&mut self, chunk: &mut BytesMut, event: AnswerEvent) {
        match event {
            AnswerEvent::Done { .. } => {
                write_event(chunk, DONE_MARKER.as_bytes());
                self.is_ended = true;
            }
            AnswerEvent::Failed(failure) => {
                let body = ErrorAnswer::from(failure).body();
                write_event(chunk, &serde_json::to_vec(&body).unwrap_or_default());
                self.is_ended = true;
            }
            AnswerEvent::Restarted => {}
            AnswerEvent::Token {
                finish_reason,
                text,
            } => {
                let body = self
                    .answer
                    .head
                    .chunk(&text, finish_reason.as_deref(), self.is_first);
                self.is_first = false;
                write_event(chunk, &body);
            }
        }
    }
}

fn json_response(body: Vec<u8>) -> Response {
    let mut response = Response::new(Body::from(body));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    headers.insert(
        RESULT_HEADER,
        HeaderValue::from(ResultCode::Answered.number()),
    );
    response
}

fn write_event(chunk: &mut BytesMut, data: &[u8]) {
    chunk.extend_from_slice(b"data: ");
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\n\n");
}
