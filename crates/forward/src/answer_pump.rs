//! Passes the body of a forwarded request's answer on to the caller.

use {
    crate::{ForwardSession, OpenForward},
    kernel::ResultCode,
    relay::{CallerRequest, PieceSender, UpstreamDialect},
    std::sync::Arc,
};

/// Passes one body on.
#[derive(Debug)]
pub struct AnswerPump<D: UpstreamDialect> {
    /// Whether the body is passed on as it arrives; its end is then the end of the request.
    pub is_stream: bool,
    /// Keeps the request counted as open at the helper.
    pub open: OpenForward<D>,
    /// The request.
    pub request: Arc<CallerRequest>,
    /// Takes the parts of the body.
    pub sender: PieceSender,
    /// The session that delivers them.
    pub session: ForwardSession,
}

impl<D: UpstreamDialect> AnswerPump<D> {
    /// Runs until the body ends or the caller leaves.
    pub async fn run(mut self) {
        loop {
            let part = tokio::select! {
                () = self.sender.closed() => return,
                part = self.session.part() => part,
            };
            match part {
                Ok(Some(part)) => {
                    self.request.trace.note_piece();
                    if self.sender.send(part).await.is_err() {
                        return;
                    }
                }
                Ok(None) => return self.close(),
                Err(error) => {
                    let trace = &self.request.trace;
                    trace.note(format_args!("{} cut: {error}", self.open.helper));
                    trace.end(ResultCode::StreamCut);
                    return self.sender.cut();
                }
            }
        }
    }

    fn close(self) {
        if self.is_stream {
            self.request.trace.end(ResultCode::Answered);
        }
        self.sender.end();
    }
}
