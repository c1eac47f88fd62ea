//! What an answer states about its upstream as a whole.

use crate::{BackoffStatement, RateStatement};

/// The statements in the head of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamStatement {
    /// The time for which it wants no calls of this instance.
    pub backoff: BackoffStatement,
    /// Whether the upstream is about to leave.
    pub is_leaving: bool,
    /// The rate of calls that it accepts.
    pub rate: RateStatement,
}
