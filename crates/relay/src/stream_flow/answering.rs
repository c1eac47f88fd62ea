//! Reads the beginning of an engine's answer: the first events of a stream, or a failure in full.

use {
    super::{StartedStream, StreamFlow, StreamStart},
    crate::{
        BodyAllowance, CallerDialect, ErrorResponse, EventBatch, EventSplitter, RelayBody,
        UpstreamAnswer, UpstreamDialect, plain_flow::promises_not_run, relay_core::status_verdict,
    },
    http::Response,
    http_body_util::BodyExt,
    kernel::ResultCode,
    policy::CallVerdict,
    tokio::time,
};

/// An engine's answer that is not a stream is a short text.
const MAX_FAILURE_BYTES: usize = 1 << 20;

/// How the wait for the first event of a stream ended.
enum FirstPiece {
    Cut(ResultCode),
    Ended,
    Events(EventBatch),
}

impl<D: CallerDialect + UpstreamDialect> StreamFlow<D> {
    /// Reads an answer up to its first complete events, or in full when it is a failure.
    ///
    /// # Errors
    ///
    /// The answer ended early or can't be read, so that the outcome of the run is unknown.
    pub(super) async fn take_answer(
        &mut self,
        answer: UpstreamAnswer,
    ) -> Result<StreamStart, ErrorResponse> {
        if !answer.head.status.is_success() {
            return self.take_failure(answer).await;
        }
        let mut answer = answer;
        let mut splitter = EventSplitter::new(&self.core.buffers, BodyAllowance::for_stream());
        match self.first_piece(&mut answer, &mut splitter).await {
            FirstPiece::Cut(code) => {
                if code == ResultCode::StreamCut {
                    self.core
                        .crashes
                        .note_loss(&self.request, &answer.call, false);
                }
                answer.call.close(CallVerdict::Lost);
                Err(ErrorResponse::new(code))
            }
            FirstPiece::Ended => Ok(StreamStart::Started(Box::new(StartedStream {
                answer,
                first: None,
                splitter,
            }))),
            FirstPiece::Events(batch) => Ok(StreamStart::Started(Box::new(StartedStream {
                answer,
                first: Some(batch),
                splitter,
            }))),
        }
    }

    async fn take_failure(&mut self, answer: UpstreamAnswer) -> Result<StreamStart, ErrorResponse> {
        let status = answer.head.status;
        let allowance = BodyAllowance::new(MAX_FAILURE_BYTES);
        let reading = self.core.buffers.collect(answer.body, allowance);
        let body = match time::timeout(self.request.left(), reading).await {
            Ok(Ok(body)) => body,
            outcome => {
                if outcome.is_ok() {
                    self.core
                        .crashes
                        .note_loss(&self.request, &answer.call, true);
                }
                answer.call.close(CallVerdict::Lost);
                return Err(ErrorResponse::new(ResultCode::StreamCut));
            }
        };
        answer.call.close(status_verdict(status));
        if promises_not_run(status) {
            return Err(ErrorResponse::new(ResultCode::UpstreamGarbled));
        }
        let mut response = Response::new(RelayBody::buffered(body));
        *response.status_mut() = status;
        *response.headers_mut() = self.core.dialect.returned_headers(&answer.head.headers);
        Ok(StreamStart::Other(response))
    }

    async fn first_piece(
        &self,
        answer: &mut UpstreamAnswer,
        splitter: &mut EventSplitter,
    ) -> FirstPiece {
        let is_framed = answer.is_framed();
        loop {
            let frame = match time::timeout(self.request.left(), answer.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return FirstPiece::Cut(ResultCode::StreamCut),
                // Without a length or chunks, a crash before the first event looks like an empty stream.
                Ok(None) if !is_framed || splitter.pending_bytes() > 0 => {
                    return FirstPiece::Cut(ResultCode::StreamCut);
                }
                Ok(None) => return FirstPiece::Ended,
                Err(_) => return FirstPiece::Cut(ResultCode::UpstreamSilent),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match splitter.push(&data) {
                Ok(Some(batch)) => return FirstPiece::Events(batch),
                Ok(None) if self.request.left().is_zero() => {
                    return FirstPiece::Cut(ResultCode::UpstreamSilent);
                }
                Ok(None) => {}
                Err(error) => {
                    let trace = &self.request.trace;
                    let engine = &answer.call.upstream.id;
                    let place = answer.connection.last_place();
                    trace.note(format_args!("{engine} garbled: {error}, {place}"));
                    return FirstPiece::Cut(ResultCode::UpstreamGarbled);
                }
            }
        }
    }
}
