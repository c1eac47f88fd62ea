//! One run under a ticket, until its table has heard what became of it.

use {
    crate::{
        ticket_answer::{TicketAnswer, code_of},
        ticket_body::KeptBody,
        ticket_desk::TicketDesk,
        ticket_frame::ReplyHead,
    },
    axum::{body::Body, response::Response},
    claim::{NotRunEvidence, RunTicket, SentRequest, UnsentRequest},
    kernel::ResultCode,
    std::sync::Arc,
};

/// The outcome of a run whose caller went away before it ended.
const ABANDONED: ResultCode = ResultCode::StreamCut;

/// A run whose outcome the table has not heard yet. Dropped before, its outcome is unknown.
#[derive(Debug)]
pub(crate) struct RunGuard {
    desk: Arc<TicketDesk>,
    run: Option<(RunTicket, SentRequest)>,
}

impl RunGuard {
    /// The whole answer was read from the upstream.
    pub(crate) fn finish(mut self, answer: TicketAnswer) {
        if let Some((run, sent)) = self.run.take() {
            self.desk.finish(run, sent, answer);
        }
    }

    /// The outcome is unknown, for this reason.
    pub(crate) fn lose(mut self, code: ResultCode) {
        if let Some((run, sent)) = self.run.take() {
            self.desk.lose(run, sent, code);
        }
    }

    /// A run that has begun.
    pub(crate) fn new(desk: Arc<TicketDesk>, run: RunTicket, sent: SentRequest) -> Self {
        Self {
            desk,
            run: Some((run, sent)),
        }
    }

    /// Settles the run by the answer of its handler. The body of a whole answer settles it at its end.
    pub(crate) fn settle(mut self, response: Response) -> Response {
        let code = code_of(&response).unwrap_or(ResultCode::UpstreamGarbled);
        if code == ResultCode::Answered {
            let head = ReplyHead::of(&response);
            return response.map(|body| Body::new(KeptBody::new(body, head, self)));
        }
        let Some(evidence) = NotRunEvidence::from_verdict(code) else {
            self.lose(code);
            return response;
        };
        if let Some((run, sent)) = self.run.take() {
            let (permit, unsent): (_, UnsentRequest<()>) = run.into_unsent(sent, evidence, ());
            self.desk.refuse(permit, unsent, code);
        }
        response
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some((run, sent)) = self.run.take() {
            self.desk.lose(run, sent, ABANDONED);
        }
    }
}
