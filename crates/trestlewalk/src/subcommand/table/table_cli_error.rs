//! Errors of `trestlewalk table`.

use {
    kernel::{ResultCode, TableVersion},
    plat::PlatError,
    snafu::Snafu,
    std::{io, path::PathBuf},
    table::TableError,
};

/// Why a subcommand of `table` failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum TableCliError {
    /// A file has no version line, and the platform has a table already.
    #[snafu(display(
        "{}: the file has no `# version` line, so its changes can't be determined; take a fresh file with \
         `table show`, or name the version with --base",
        path.display()
    ))]
    BaseMissing {
        /// The path of the file.
        path: PathBuf,
    },
    /// Another operator changed the same rows.
    #[snafu(display(
        "rows that another operator changed too, up to version {version}: {count}; nothing is applied; take a \
         fresh file with `table show` and make your changes there"
    ))]
    Conflict {
        /// The number of rows in conflict.
        count: usize,
        /// The version of the table that has the conflicting values.
        version: TableVersion,
    },
    /// Instances hold one version with different content.
    #[snafu(display("entry instances hold version {version} with different content"))]
    DigestDiffers {
        /// The version.
        version: TableVersion,
    },
    /// The edit is accepted, but not in force everywhere yet.
    #[snafu(display("version {version} is accepted but not yet in force in: {zones}"))]
    NotInForce {
        /// The version.
        version: TableVersion,
        /// The availability zones, separated by commas.
        zones: String,
    },
    /// The standard output or a file can't be written.
    #[snafu(display("can't write {what}: {source}"))]
    Output {
        /// The underlying error.
        source: io::Error,
        /// The name of the output.
        what: String,
    },
    /// A call to the platform failed.
    #[snafu(display("{source}"))]
    Platform {
        /// The error of the client.
        source: PlatError,
    },
    /// No platform was named.
    #[snafu(display("no platform is named: use --platform, or a file with --operator"))]
    PlatformMissing,
    /// A file can't be read.
    #[snafu(display("{}: can't read the file: {source}", path.display()))]
    ReadFile {
        /// The path of the file.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// The operator's settings have faults.
    #[snafu(display("{detail}"))]
    SettingsInvalid {
        /// The faults, one per line.
        detail: String,
    },
    /// The table file has faults.
    #[snafu(display("{source}"))]
    TableFaults {
        /// The faults.
        source: TableError,
    },
    /// Entry instances hold a newer table than the platform, which was restored from an older copy.
    #[snafu(display(
        "entry instances hold version {held}, the platform only {stored}: it was restored from an older copy; the \
         instances write the newer rows back, so try again in a few seconds"
    ))]
    VersionFell {
        /// The greatest version that an instance holds.
        held: TableVersion,
        /// The platform's version.
        stored: TableVersion,
    },
}

impl TableCliError {
    /// The result code that operators see; `None` for errors of files and pipes.
    pub fn result_code(&self) -> Option<ResultCode> {
        match self {
            Self::BaseMissing { .. } => Some(ResultCode::TableInvalid),
            Self::Conflict { .. } => Some(ResultCode::EditConflict),
            Self::DigestDiffers { .. } => Some(ResultCode::DigestDiffers),
            Self::NotInForce { .. } => Some(ResultCode::EditPending),
            Self::Output { .. } | Self::ReadFile { .. } => None,
            Self::Platform { source } => Some(source.result_code()),
            Self::PlatformMissing | Self::SettingsInvalid { .. } => {
                Some(ResultCode::SettingsInvalid)
            }
            Self::TableFaults { source } => Some(source.result_code()),
            Self::VersionFell { .. } => Some(ResultCode::VersionFell),
        }
    }
}
