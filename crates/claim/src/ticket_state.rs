//! The origin's record of a used ticket.

use {
    kernel::ResultCode,
    serde::{Deserialize, Serialize},
};

/// The hash of a request's whole content and its caller's scope: distinguishes a repeated submission from a
/// different request.
pub type RequestDigest = u64;

/// The state of a used ticket. An unused ticket has no record, since its text contains everything needed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketState {
    /// It ran and was answered completely.
    Answered,
    /// It was refused as not run, and will never run.
    Refused(ResultCode),
    /// Its permit has been issued.
    Running,
    /// It was dispatched, and it is unknown whether it ran.
    Unknown(ResultCode),
}

/// The record of a used ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketRecord {
    /// The digest of the request that used it.
    pub digest: RequestDigest,
    /// The state of that request.
    pub state: TicketState,
}
