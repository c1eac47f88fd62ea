//! What an origin knows of a used ticket.

use {
    kernel::ResultCode,
    serde::{Deserialize, Serialize},
};

/// The hash of a request's whole content and its caller's scope: tells a repeated submission from another request.
pub type RequestDigest = u64;

/// The state of a used ticket. A ticket that was minted and not used has no record: its text says all.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketState {
    /// It ran, and was answered in full.
    Answered,
    /// It was refused as not run, and never will run.
    Refused(ResultCode),
    /// Its one permit is out.
    Running,
    /// It was dispatched, and nobody knows whether it ran.
    Unknown(ResultCode),
}

/// One used ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketRecord {
    /// The request that used it.
    pub digest: RequestDigest,
    /// What became of it.
    pub state: TicketState,
}
