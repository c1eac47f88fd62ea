//! Why the platform gave no answer.

use snafu::Snafu;

/// An error of the platform's client.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum PlatError {
    /// The platform answered what can't be read.
    #[snafu(display("the platform's answer can't be read: {detail}"))]
    Garbled {
        /// What was wrong with it.
        detail: String,
    },
    /// The platform refused the call.
    #[snafu(display("the platform refused the call with status {status}"))]
    Refused {
        /// Its HTTP status.
        status: u16,
    },
    /// No answer came: a write may have taken effect.
    #[snafu(display("the platform can't be reached: {detail}"))]
    Unreachable {
        /// What the connection said.
        detail: String,
    },
}
