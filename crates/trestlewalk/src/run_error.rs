//! Why a subcommand failed.

use {
    crate::exit_code,
    kernel::ResultCode,
    snafu::Snafu,
    std::{io, path::PathBuf},
};

/// The error of the binary.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum RunError {
    /// A file can't be read.
    #[snafu(display("{}: can't read the file: {source}", path.display()))]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The settings have faults, one a line.
    #[snafu(display("{text}"))]
    SettingsInvalid {
        /// The faults.
        text: String,
    },
    /// Not built yet.
    #[snafu(display("`{subcommand}` is not wired in this build"))]
    Unwired {
        /// The subcommand.
        subcommand: &'static str,
    },
}

impl RunError {
    /// The result code, where there is one.
    pub fn code(&self) -> Option<ResultCode> {
        match self {
            Self::ReadFile { .. } | Self::SettingsInvalid { .. } => {
                Some(ResultCode::SettingsInvalid)
            }
            Self::Unwired { .. } => None,
        }
    }

    /// The exit code that goes with the error.
    pub fn exit_code(&self) -> u8 {
        self.code().map_or(exit_code::OTHER_FAULT, exit_code::of)
    }
}
