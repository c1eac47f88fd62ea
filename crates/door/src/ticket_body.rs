//! The body of an answer on its way to the caller, kept for repeated submissions as far as it is small.

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

/// The most bytes of a body that is kept. The table may keep less.
const MAX_KEPT_BYTES: usize = 64 << 10;
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Tells the run's table when the answer is whole; dropped before, the outcome is unknown.
pub(crate) struct RecordingBody {
    body: Body,
    head: ReplyHead,
    is_stream: bool,
    kept: Option<Vec<u8>>,
    run: Option<RunGuard>,
    tail: Vec<u8>,
}

impl RecordingBody {
    /// The body of an answer that has begun.
    pub(crate) fn new(body: Body, head: ReplyHead, run: RunGuard) -> Self {
        let is_stream = head.headers.iter().any(|(name, value)| {
            **name == *header::CONTENT_TYPE.as_str() && value.starts_with(EVENT_STREAM)
        });
        let mut this = Self {
            body,
            head,
            is_stream,
            kept: Some(Vec::new()),
            run: Some(run),
            tail: Vec::new(),
        };
        this.check_end();
        this
    }

    /// A reader that knows the length asks for nothing after the last byte.
    fn check_end(&mut self) {
        if self.body.is_end_stream() {
            self.end();
        }
    }

    fn end(&mut self) {
        let Some(run) = self.run.take() else {
            return;
        };
        // A stream that broke off says so in its last event.
        if self.is_stream && !self.tail.trim_ascii_end().ends_with(DONE_MARKER.as_bytes()) {
            run.mark_unknown(ResultCode::StreamCut);
            return;
        }
        run.finish(TicketAnswer {
            body: self.kept.take(),
            head: self.head.clone(),
        });
    }

    fn keep(&mut self, data: &[u8]) {
        if self.is_stream {
            self.keep_tail(data);
        }
        let Some(kept) = &mut self.kept else {
            return;
        };
        if kept.len() + data.len() > MAX_KEPT_BYTES {
            self.kept = None;
            return;
        }
        kept.extend_from_slice(data);
    }

    /// The last bytes, in which the end marker stands.
    fn keep_tail(&mut self, data: &[u8]) {
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
                    self.keep(data);
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
