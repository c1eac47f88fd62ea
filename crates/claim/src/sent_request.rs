//! A request that was dispatched.

use {
    crate::{
        not_run::NotRun,
        not_run_evidence::NotRunEvidence,
        request_outcome::{OriginReply, RequestOutcome},
        unsent_request::UnsentRequest,
    },
    kernel::ResultCode,
};

/// The obligation to answer a dispatched request: with the complete answer, or that its outcome is unknown.
///
/// It cannot be turned into "not run" without evidence:
///
/// ```compile_fail,E0599
/// let (_request, sent) = claim::UnsentRequest::from_caller("a request").dispatch();
/// let answer = sent.into_not_run(kernel::ResultCode::Closing);
/// ```
#[derive(Debug)]
#[must_use = "a dispatched request has to be answered"]
pub struct SentRequest(());

impl SentRequest {
    /// The complete answer was received.
    pub fn answered<A>(self, answer: A) -> RequestOutcome<A> {
        RequestOutcome::Answered(answer)
    }

    /// Converts the reply of the ticket's origin.
    pub fn relay<A>(self, reply: OriginReply<A>) -> RequestOutcome<A> {
        match reply {
            OriginReply::Answered(answer) => RequestOutcome::Answered(answer),
            OriginReply::NotRun(code) if code.not_run() => {
                RequestOutcome::NotRun(NotRun::from_code(code))
            }
            OriginReply::NotRun(code) | OriginReply::Unknown(code) => RequestOutcome::Unknown(code),
            OriginReply::Used => RequestOutcome::Used,
        }
    }

    /// Reverts the dispatch, given evidence that nothing ran.
    pub fn into_unsent<T>(self, _evidence: NotRunEvidence, request: T) -> UnsentRequest<T> {
        UnsentRequest::from_dispatch(request)
    }

    /// It is unknown whether the request ran.
    pub fn unknown<A>(self, code: ResultCode) -> RequestOutcome<A> {
        debug_assert!(!code.not_run(), "{code:?} says that nothing ran");
        RequestOutcome::Unknown(code)
    }

    /// A dispatch that has just started.
    pub(crate) fn new() -> Self {
        Self(())
    }
}
