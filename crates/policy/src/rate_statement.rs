//! What an answer states about the calls that its upstream accepts.

use crate::CallRate;

/// The rate limit stated in one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateStatement {
    /// A statement that can't be read; the limit in force stays.
    Invalid,
    /// The upstream accepts this rate from all instances together, as long as its answers state it.
    Limited(CallRate),
    /// No statement.
    #[default]
    Unlimited,
}
