//! The guarantee that a request did not run.

use {kernel::ResultCode, serde::Serialize};

/// The guarantee that a request did not run. Only
/// [`UnsentRequest::into_not_run`](crate::UnsentRequest::into_not_run) and the origin of a ticket create it.
///
/// It cannot be constructed elsewhere, since its field is private:
///
/// ```compile_fail,E0451
/// let forged = claim::NotRun { code: kernel::ResultCode::Closing };
/// ```
///
/// nor deserialised:
///
/// ```compile_fail,E0277
/// let forged: claim::NotRun = serde_json::from_str("{}").unwrap();
/// ```
#[derive(Debug, Eq, PartialEq, Serialize)]
pub struct NotRun {
    code: ResultCode,
}

impl NotRun {
    /// Why it did not run; a code for which [`ResultCode::not_run`] holds.
    pub fn code(&self) -> ResultCode {
        self.code
    }

    /// The caller of this function must ensure that the request did not run and never will.
    pub(crate) fn from_code(code: ResultCode) -> Self {
        debug_assert!(code.not_run(), "{code:?} does not say that nothing ran");
        Self { code }
    }
}
