//! Errors of the platform's client.

use {
    crate::call_budget::CallKind,
    kernel::{ResultCode, TableVersion},
    snafu::Snafu,
    std::sync::Arc,
};

/// Why a call to the platform failed, or gave an inconsistent answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum PlatError {
    /// The platform's address is malformed.
    #[snafu(display("the platform's address `{address}` can't be read: {detail}"))]
    AddressInvalid {
        /// The address.
        address: String,
        /// What is wrong with it.
        detail: String,
    },
    /// The version that a file was taken from has another content.
    #[snafu(display(
        "the file was taken from version {version} with another content than the platform has for it"
    ))]
    BaseDiffers {
        /// The version.
        version: TableVersion,
    },
    /// The version that a file was taken from is not in the edit log.
    #[snafu(display(
        "the file was taken from version {version}, which is not among the platform's edits"
    ))]
    BaseUnknown {
        /// The version.
        version: TableVersion,
    },
    /// The platform's answer is malformed.
    #[snafu(display("the platform's answer can't be read: {detail}"))]
    Garbled {
        /// What was wrong with it.
        detail: String,
    },
    /// The edit log lacks an entry.
    #[snafu(display("the platform's log of edits lacks version {version}"))]
    HistoryGap {
        /// The version.
        version: TableVersion,
    },
    /// The rows do not match the digest of the head row.
    #[snafu(display("the platform's rows don't add up to the digest of version {version}"))]
    Inconsistent {
        /// The version.
        version: TableVersion,
    },
    /// A write got no answer, and it is unknown whether it took effect.
    #[snafu(display("the outcome of edit {edit} is unknown: {detail}"))]
    OutcomeUnknown {
        /// The error of the last call.
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
    /// The call was not sent, because this instance exceeded its budget.
    #[snafu(display(
        "a {kind:?} call to the platform was not sent: it is over this instance's budget"
    ))]
    OverBudget {
        /// The kind of call.
        kind: CallKind,
    },
    /// Another edit was committed first at every attempt.
    #[snafu(display("edit {edit} was overtaken by others {attempts} times and is not done"))]
    Overtaken {
        /// The edit's id.
        edit: Arc<str>,
        /// The number of attempts.
        attempts: u32,
    },
    /// No answer arrived; a write may have taken effect.
    #[snafu(display("the platform can't be reached: {detail}"))]
    Unreachable {
        /// The error of the connection.
        detail: String,
    },
}

impl PlatError {
    /// Whether a write may have taken effect despite this error.
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(
            self,
            Self::Garbled { .. } | Self::OutcomeUnknown { .. } | Self::Unreachable { .. }
        )
    }

    /// The result code that is reported to operators.
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
