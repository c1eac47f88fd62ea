//! What became of a request.

use {
    crate::not_run::NotRun,
    kernel::ResultCode,
    serde::{Deserialize, Serialize},
};

/// The one answer that a request gets.
#[derive(Debug, Eq, PartialEq)]
pub enum RequestOutcome<A> {
    /// The whole answer.
    Answered(A),
    /// It did not run.
    NotRun(NotRun),
    /// Nobody knows whether it ran; a code from 3001 to 3999.
    Unknown(ResultCode),
    /// Its ticket was used before, and that answer is not kept: [`ResultCode::TicketUsed`].
    Used,
}

/// What the origin of a ticket answers the instance that passed the request on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OriginReply<A> {
    /// The whole answer.
    Answered(A),
    /// It did not run, and never will.
    NotRun(ResultCode),
    /// Nobody knows whether it ran.
    Unknown(ResultCode),
    /// The ticket was used before, and that answer is not kept.
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
    /// The code that the caller sees.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Answered(_) => ResultCode::Answered,
            Self::NotRun(answer) => answer.code(),
            Self::Unknown(code) => *code,
            Self::Used => ResultCode::TicketUsed,
        }
    }
}
