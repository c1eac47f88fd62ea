//! Ensures that the outcome of every run under a ticket is recorded.

use {
    crate::{
        ticket_answer::{TicketAnswer, result_code},
        ticket_body::RecordingBody,
        ticket_frame::ReplyHead,
        ticket_registry::TicketRegistry,
    },
    axum::{body::Body, response::Response},
    claim::{NotRunEvidence, RunTicket, SentRequest, UnsentRequest},
    kernel::ResultCode,
    std::sync::Arc,
};

/// The outcome of a run whose caller disconnected before it ended.
const ABANDONED: ResultCode = ResultCode::StreamCut;

/// A run whose outcome is not recorded yet. If it is dropped, the outcome is recorded as unknown.
#[derive(Debug)]
pub(crate) struct RunGuard {
    registry: Arc<TicketRegistry>,
    run: Option<(RunTicket, SentRequest)>,
}

impl RunGuard {
    /// Records the complete answer of the upstream.
    pub(crate) fn finish(mut self, answer: TicketAnswer) {
        if let Some((run, sent)) = self.run.take() {
            self.registry.finish(run, sent, answer);
        }
    }

    /// Records that the outcome is unknown, with `code` as the reason.
    pub(crate) fn mark_unknown(mut self, code: ResultCode) {
        if let Some((run, sent)) = self.run.take() {
            self.registry.record_unknown(run, sent, code);
        }
    }

    /// Guards a run that has started.
    pub(crate) fn new(registry: Arc<TicketRegistry>, run: RunTicket, sent: SentRequest) -> Self {
        Self {
            registry,
            run: Some((run, sent)),
        }
    }

    /// Records the outcome that the response of the handler shows. For a successful response this happens when its body
    /// is complete.
    pub(crate) fn settle(mut self, response: Response) -> Response {
        let code = result_code(&response).unwrap_or(ResultCode::UpstreamGarbled);
        if code == ResultCode::Answered {
            let head = ReplyHead::of(&response);
            return response.map(|body| Body::new(RecordingBody::new(body, head, self)));
        }
        let Some(evidence) = NotRunEvidence::from_verdict(code) else {
            self.mark_unknown(code);
            return response;
        };
        if let Some((run, sent)) = self.run.take() {
            let (permit, unsent): (_, UnsentRequest<()>) = run.into_unsent(sent, evidence, ());
            self.registry.refuse(permit, unsent, code);
        }
        response
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some((run, sent)) = self.run.take() {
            self.registry.record_unknown(run, sent, ABANDONED);
        }
    }
}
