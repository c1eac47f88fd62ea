//! What is left of a request after its dispatch.

use {
    crate::{
        not_run::NotRun,
        not_run_evidence::NotRunEvidence,
        request_outcome::{OriginReply, RequestOutcome},
        unsent_request::UnsentRequest,
    },
    kernel::ResultCode,
};

/// The duty to answer a request that was dispatched: with the whole answer, or that the outcome is unknown.
///
/// It has no way to "not run" by itself:
///
/// ```compile_fail,E0599
/// let (_request, sent) = claim::UnsentRequest::from_caller("a request").dispatch();
/// let answer = sent.into_not_run(kernel::ResultCode::Closing);
/// ```
#[derive(Debug)]
#[must_use = "a dispatched request has to be answered"]
pub struct SentRequest(());

impl SentRequest {
    /// The whole answer came.
    pub fn answered<A>(self, answer: A) -> RequestOutcome<A> {
        RequestOutcome::Answered(answer)
    }

    /// Passes on what the origin of the request's ticket said.
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

    /// The dispatch came to nothing, and there is evidence: the request is unsent again.
    pub fn into_unsent<T>(self, _evidence: NotRunEvidence, request: T) -> UnsentRequest<T> {
        UnsentRequest::from_dispatch(request)
    }

    /// Nobody knows whether it ran.
    pub fn unknown<A>(self, code: ResultCode) -> RequestOutcome<A> {
        debug_assert!(!code.not_run(), "{code:?} says that nothing ran");
        RequestOutcome::Unknown(code)
    }

    /// A dispatch that has just begun.
    pub(crate) fn new() -> Self {
        Self(())
    }
}
