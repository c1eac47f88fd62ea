//! Why the platform gave no answer, or one that doesn't hold together.

use {
    crate::call_budget::CallKind,
    kernel::{ResultCode, TableVersion},
    snafu::Snafu,
    std::sync::Arc,
};

/// An error of the platform's client.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum PlatError {
    /// The platform's address can't be read.
    #[snafu(display("the platform's address `{address}` can't be read: {detail}"))]
    AddressInvalid {
        /// The address.
        address: String,
        /// What is wrong with it.
        detail: String,
    },
    /// The version that a file names has another content.
    #[snafu(display(
        "the file was taken from version {version} with another content than the platform has for it"
    ))]
    BaseDiffers {
        /// The version.
        version: TableVersion,
    },
    /// The version that a file names is not among the edits.
    #[snafu(display(
        "the file was taken from version {version}, which is not among the platform's edits"
    ))]
    BaseUnknown {
        /// The version.
        version: TableVersion,
    },
    /// The platform answered what can't be read.
    #[snafu(display("the platform's answer can't be read: {detail}"))]
    Garbled {
        /// What was wrong with it.
        detail: String,
    },
    /// The log of edits lacks an entry.
    #[snafu(display("the platform's log of edits lacks version {version}"))]
    HistoryGap {
        /// The version.
        version: TableVersion,
    },
    /// The rows don't add up to the digest of the head.
    #[snafu(display("the platform's rows don't add up to the digest of version {version}"))]
    Inconsistent {
        /// The version.
        version: TableVersion,
    },
    /// A write got no answer, and nobody can say whether it took effect.
    #[snafu(display("the outcome of edit {edit} is unknown: {detail}"))]
    OutcomeUnknown {
        /// What the last call said.
        detail: String,
        /// The edit's id.
        edit: Arc<str>,
    },
    /// The platform refused the call.
    #[snafu(display("the platform refused the call with status {status}"))]
    Refused {
        /// Its HTTP status.
        status: u16,
    },
    /// The call was not sent: this instance makes too many.
    #[snafu(display(
        "a {kind:?} call to the platform was not sent: it is over this instance's budget"
    ))]
    OverBudget {
        /// The kind of call.
        kind: CallKind,
    },
    /// Other edits came first at every try.
    #[snafu(display("edit {edit} was overtaken by others {attempts} times and is not done"))]
    Overtaken {
        /// The edit's id.
        edit: Arc<str>,
        /// The attempts.
        attempts: u32,
    },
    /// No answer came: a write may have taken effect.
    #[snafu(display("the platform can't be reached: {detail}"))]
    Unreachable {
        /// What the connection said.
        detail: String,
    },
}

impl PlatError {
    /// Whether a write may have taken effect all the same.
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(
            self,
            Self::Garbled { .. } | Self::OutcomeUnknown { .. } | Self::Unreachable { .. }
        )
    }

    /// The numbered result that operators see.
    pub fn result_code(&self) -> ResultCode {
        match self {
            Self::AddressInvalid { .. } => ResultCode::SettingsInvalid,
            Self::BaseDiffers { .. } | Self::Inconsistent { .. } => ResultCode::DigestDiffers,
            Self::BaseUnknown { .. } | Self::HistoryGap { .. } => ResultCode::VersionFell,
            Self::OutcomeUnknown { .. } => ResultCode::EditUnknown,
            Self::Overtaken { .. } => ResultCode::EditConflict,
            Self::Garbled { .. }
            | Self::OverBudget { .. }
            | Self::Refused { .. }
            | Self::Unreachable { .. } => ResultCode::PlatformUnreachable,
        }
    }
}
