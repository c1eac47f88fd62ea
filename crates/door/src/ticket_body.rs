//! Streams the body of an answer to the caller and records small bodies for repeated submissions.

use {
    crate::{ticket_answer::TicketAnswer, ticket_frame::ReplyHead, ticket_run::RunGuard},
    axum::body::Body,
    bytes::Bytes,
    engine::wire::DONE_MARKER,
    http::header,
    hyper::body::{Body as HttpBody, Frame, SizeHint},
    kernel::ResultCode,
    std::{
        pin::Pin,
        task::{Context, Poll, ready},
    },
};

/// Larger bodies are not recorded. The ticket table may apply a lower limit.
const MAX_RECORDED_BYTES: usize = 64 << 10;
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Records the answer in the ticket table when the body is complete. If it is dropped earlier, the outcome of the run
/// is unknown.
pub(crate) struct RecordingBody {
    body: Body,
    head: ReplyHead,
    is_stream: bool,
    recorded: Option<Vec<u8>>,
    run: Option<RunGuard>,
    tail: Vec<u8>,
}

impl RecordingBody {
    /// Wraps the body of an answer whose head is already known.
    pub(crate) fn new(body: Body, head: ReplyHead, run: RunGuard) -> Self {
        let is_stream = head.headers.iter().any(|(name, value)| {
            **name == *header::CONTENT_TYPE.as_str() && value.starts_with(EVENT_STREAM)
        });
        let mut this = Self {
            body,
            head,
            is_stream,
            recorded: Some(Vec::new()),
            run: Some(run),
            tail: Vec::new(),
        };
        this.check_end();
        this
    }

    /// A reader that knows the content length does not poll again after the last byte.
    fn check_end(&mut self) {
        if self.body.is_end_stream() {
            self.end();
        }
    }

    fn end(&mut self) {
        let Some(run) = self.run.take() else {
            return;
        };
        // A stream that failed ends with an error event instead of the end marker.
        if self.is_stream && !self.tail.trim_ascii_end().ends_with(DONE_MARKER.as_bytes()) {
            run.mark_unknown(ResultCode::StreamCut);
            return;
        }
        run.finish(TicketAnswer {
            body: self.recorded.take(),
            head: self.head.clone(),
        });
    }

    fn record(&mut self, data: &[u8]) {
        if self.is_stream {
            self.record_tail(data);
        }
        let Some(recorded) = &mut self.recorded else {
            return;
        };
        if recorded.len() + data.len() > MAX_RECORDED_BYTES {
            self.recorded = None;
            return;
        }
        recorded.extend_from_slice(data);
    }

    /// Keeps the last bytes of a stream, which contain the end marker.
    fn record_tail(&mut self, data: &[u8]) {
        const TAIL_BYTES: usize = 32;
        self.tail
            .extend_from_slice(&data[data.len().saturating_sub(TAIL_BYTES)..]);
        let excess = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..excess);
    }
}

impl HttpBody for RecordingBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        match &frame {
            None => self.end(),
            Some(Err(_)) => {
                if let Some(run) = self.run.take() {
                    run.mark_unknown(ResultCode::StreamCut);
                }
            }
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.record(data);
                }
                self.check_end();
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
