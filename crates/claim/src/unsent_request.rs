//! A request that was never dispatched.

use {
    crate::{not_run::NotRun, sent_request::SentRequest},
    kernel::ResultCode,
};

/// A request that was never dispatched. Dispatching consumes it, and only it can become the answer "not run".
///
/// ```
/// use {claim::UnsentRequest, kernel::ResultCode};
///
/// let unsent = UnsentRequest::from_caller("a request");
/// let answer = unsent.into_not_run(ResultCode::QueueFull);
/// assert_eq!(answer.code(), ResultCode::QueueFull);
/// ```
///
/// What was dispatched can't be refused as not run:
///
/// ```compile_fail,E0382
/// use {claim::UnsentRequest, kernel::ResultCode};
///
/// let unsent = UnsentRequest::from_caller("a request");
/// let (request, sent) = unsent.dispatch();
/// let answer = unsent.into_not_run(ResultCode::QueueFull);
/// ```
///
/// nor dispatched twice:
///
/// ```compile_fail,E0382
/// let unsent = claim::UnsentRequest::from_caller("a request");
/// let first = unsent.dispatch();
/// let second = unsent.dispatch();
/// ```
///
/// It can't be copied before it is dispatched:
///
/// ```compile_fail,E0599
/// let unsent = claim::UnsentRequest::from_caller("a request");
/// let copy = unsent.clone();
/// ```
///
/// nor built without its constructor:
///
/// ```compile_fail,E0451
/// let forged = claim::UnsentRequest { request: "a request" };
/// ```
#[derive(Debug)]
#[must_use = "a request that is dropped gets no answer"]
pub struct UnsentRequest<T> {
    request: T,
}

impl<T> UnsentRequest<T> {
    /// The request.
    pub fn as_request(&self) -> &T {
        &self.request
    }

    /// Dispatches the request: from here on its outcome is a whole answer or unknown. Call it right before the
    /// first byte is written.
    pub fn dispatch(self) -> (T, SentRequest) {
        (self.request, SentRequest::new())
    }

    /// The request as it came in from its caller. The door calls this once for each request; no one else does.
    pub fn from_caller(request: T) -> Self {
        Self { request }
    }

    /// The answer that it did not run.
    ///
    /// # Panics
    ///
    /// In debug builds, when the code does not say that nothing ran.
    pub fn into_not_run(self, code: ResultCode) -> NotRun {
        NotRun::from_code(code)
    }

    /// The same request in another form.
    pub fn map<U>(self, change: impl FnOnce(T) -> U) -> UnsentRequest<U> {
        UnsentRequest {
            request: change(self.request),
        }
    }

    /// A request that came back undone.
    pub(crate) fn from_dispatch(request: T) -> Self {
        Self { request }
    }
}
