//! A request that was never dispatched.

use {
    crate::{not_run::NotRun, sent_request::SentRequest},
    kernel::ResultCode,
};

/// A request that was never dispatched. Dispatching consumes it, and only this type can become the answer "not
/// run".
///
/// ```
/// use {claim::UnsentRequest, kernel::ResultCode};
///
/// let unsent = UnsentRequest::from_caller("a request");
/// let answer = unsent.into_not_run(ResultCode::QueueFull);
/// assert_eq!(answer.code(), ResultCode::QueueFull);
/// ```
///
/// A dispatched request cannot be refused as not run:
///
/// ```compile_fail,E0382
/// use {claim::UnsentRequest, kernel::ResultCode};
///
/// let unsent = UnsentRequest::from_caller("a request");
/// let (request, sent) = unsent.dispatch();
/// let answer = unsent.into_not_run(ResultCode::QueueFull);
/// ```
///
/// nor be dispatched twice:
///
/// ```compile_fail,E0382
/// let unsent = claim::UnsentRequest::from_caller("a request");
/// let first = unsent.dispatch();
/// let second = unsent.dispatch();
/// ```
///
/// It cannot be cloned before it is dispatched:
///
/// ```compile_fail,E0599
/// let unsent = claim::UnsentRequest::from_caller("a request");
/// let copy = unsent.clone();
/// ```
///
/// nor be built without its constructor:
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
    /// Borrows the request.
    pub fn as_request(&self) -> &T {
        &self.request
    }

    /// Dispatches the request: from here on its outcome is a complete answer or unknown. Call it right before
    /// the first byte is written.
    pub fn dispatch(self) -> (T, SentRequest) {
        (self.request, SentRequest::new())
    }

    /// Wraps a request received from its caller. Only the HTTP server calls this, once per request.
    pub fn from_caller(request: T) -> Self {
        Self { request }
    }

    /// Turns the request into the answer that it did not run.
    ///
    /// # Panics
    ///
    /// In debug builds, if the code does not mean that nothing ran.
    pub fn into_not_run(self, code: ResultCode) -> NotRun {
        NotRun::from_code(code)
    }

    /// Converts the request.
    pub fn map<U>(self, change: impl FnOnce(T) -> U) -> UnsentRequest<U> {
        UnsentRequest {
            request: change(self.request),
        }
    }

    /// A request whose dispatch was reverted.
    pub(crate) fn from_dispatch(request: T) -> Self {
        Self { request }
    }
}
