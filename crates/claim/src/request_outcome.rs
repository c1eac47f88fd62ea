//! The outcome of a request.

use {
    crate::not_run::NotRun,
    kernel::ResultCode,
    serde::{Deserialize, Serialize},
};

/// The final answer to a request.
#[derive(Debug, Eq, PartialEq)]
pub enum RequestOutcome<A> {
    /// The whole answer.
    Answered(A),
    /// It did not run.
    NotRun(NotRun),
    /// It is unknown whether it ran; a code from 3001 to 3999.
    Unknown(ResultCode),
    /// Its ticket was used before, and that answer is not cached: [`ResultCode::TicketUsed`].
    Used,
}

/// The reply of the origin of a ticket to the instance that forwarded the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OriginReply<A> {
    /// The whole answer.
    Answered(A),
    /// It did not run, and never will.
    NotRun(ResultCode),
    /// It is unknown whether it ran.
    Unknown(ResultCode),
    /// The ticket was used before, and that answer is not cached.
    Used,
}

impl<A> From<RequestOutcome<A>> for OriginReply<A> {
    fn from(outcome: RequestOutcome<A>) -> Self {
        match outcome {
            RequestOutcome::Answered(answer) => Self::Answered(answer),
            RequestOutcome::NotRun(answer) => Self::NotRun(answer.code()),
            RequestOutcome::Unknown(code) => Self::Unknown(code),
            RequestOutcome::Used => Self::Used,
        }
    }
}

impl<A> RequestOutcome<A> {
    /// The result code that is returned to the caller.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Answered(_) => ResultCode::Answered,
            Self::NotRun(answer) => answer.code(),
            Self::Unknown(code) => *code,
            Self::Used => ResultCode::TicketUsed,
        }
    }
}
