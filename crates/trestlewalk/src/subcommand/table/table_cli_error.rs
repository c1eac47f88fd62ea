//! Why a verb of `table` failed.

use {
    kernel::{ResultCode, TableVersion},
    plat::PlatError,
    snafu::Snafu,
    std::{io, path::PathBuf},
    table::TableError,
};

/// The error of `trestlewalk table`.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum TableCliError {
    /// A file has no version line, and the platform has a table already.
    #[snafu(display(
        "{}: the file has no `# version` line, so that its changes can't be told; take a fresh file with \
         `table show`, or name the version with --base",
        path.display()
    ))]
    BaseMissing {
        /// The file.
        path: PathBuf,
    },
    /// Someone else changed the same rows.
    #[snafu(display(
        "rows that somebody else changed as well, up to version {version}: {count}; nothing is applied; take a \
         fresh file with `table show` and make your changes there"
    ))]
    Conflict {
        /// How many rows.
        count: usize,
        /// The version that has the other values.
        version: TableVersion,
    },
    /// Instances hold one version with different content.
    #[snafu(display("entry instances hold version {version} with different content"))]
    DigestDiffers {
        /// The version.
        version: TableVersion,
    },
    /// The edit is done, but not in force everywhere.
    #[snafu(display("version {version} is accepted and not yet in force in: {zones}"))]
    NotInForce {
        /// The version.
        version: TableVersion,
        /// The availability zones, with commas between them.
        zones: String,
    },
    /// The standard output or a file can't be written.
    #[snafu(display("can't write {what}: {source}"))]
    Output {
        /// Why.
        source: io::Error,
        /// What was written to.
        what: String,
    },
    /// The platform's fault.
    #[snafu(display("{source}"))]
    Platform {
        /// What the client says.
        source: PlatError,
    },
    /// No platform was named.
    #[snafu(display("no platform is named: use --platform, or a file with --operator"))]
    PlatformMissing,
    /// A file can't be read.
    #[snafu(display("{}: can't read the file: {source}", path.display()))]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The operator's settings have faults.
    #[snafu(display("{detail}"))]
    SettingsInvalid {
        /// The faults, one a line.
        detail: String,
    },
    /// The table file has faults.
    #[snafu(display("{source}"))]
    TableFaults {
        /// The faults.
        source: TableError,
    },
    /// Entry instances hold a newer table than the platform.
    #[snafu(display(
        "entry instances hold version {held}, the platform only {stored}: it was put back to an older copy; the \
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
    /// The numbered result that operators see; none for faults of files and pipes.
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
