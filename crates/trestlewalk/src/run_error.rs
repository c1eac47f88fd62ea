//! Why a subcommand failed.

use {
    crate::{exit_code, settings::SettingsFault, subcommand::table::TableCliError},
    claim::ClaimError,
    kernel::ResultCode,
    peer::PeerError,
    snafu::Snafu,
    std::{io, net::SocketAddr, path::PathBuf},
};

/// An error that ends the binary.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum RunError {
    /// A socket can't be opened.
    #[snafu(display("{field}: can't listen at {address}: {source}"))]
    Bind {
        /// The address that can't be bound.
        address: SocketAddr,
        /// The field of the settings that gives the address.
        field: &'static str,
        /// The underlying error.
        source: io::Error,
    },
    /// A close cut requests off before their answers were complete.
    #[snafu(display("{cause} cut {count} requests off"))]
    CutByClose {
        /// What cut them off.
        cause: &'static str,
        /// The number of requests that were cut off.
        count: u64,
    },
    /// Requests of the demonstration failed, or its close cut them off.
    #[snafu(display("{count} requests of the demonstration have no complete answer"))]
    DemoFailed {
        /// The number of requests without a complete answer.
        count: u64,
    },
    /// An instance gave no dump.
    #[snafu(display("{address} gave no dump: {detail}"))]
    DumpFailed {
        /// The admin address of the instance.
        address: SocketAddr,
        /// What went wrong.
        detail: String,
    },
    /// A stand-in can't run.
    #[snafu(display("the stand-in can't run: {source}"))]
    Fake {
        /// The underlying error.
        source: fake::FakeError,
    },
    /// Keys can't be made.
    #[snafu(display("keys can't be made: {source}"))]
    Keys {
        /// The underlying error.
        source: PeerError,
    },
    /// The metrics can't be made.
    #[snafu(display("the metrics can't be made: {source}"))]
    Metrics {
        /// The underlying error.
        source: prometheus::Error,
    },
    /// The endpoint for other instances can't be opened.
    #[snafu(display("the links to peers can't be opened: {source}"))]
    Peers {
        /// The underlying error.
        source: PeerError,
    },
    /// The platform's address is invalid.
    #[snafu(display("platform.address: {source}"))]
    Platform {
        /// The underlying error.
        source: plat::PlatError,
    },
    /// A file can't be read.
    #[snafu(display("{}: can't read the file: {source}", path.display()))]
    ReadFile {
        /// The path of the file.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// A request ended with another result code than 1000.
    #[snafu(display("{detail}"))]
    RequestFailed {
        /// The result code.
        code: ResultCode,
        /// The answer, or why none came.
        detail: String,
    },
    /// The runtime or the signal handlers can't be set up.
    #[snafu(display("the process can't start: {source}"))]
    Runtime {
        /// The underlying error.
        source: io::Error,
    },
    /// The settings have faults.
    #[snafu(display("{}", fault_lines(faults)))]
    SettingsInvalid {
        /// The faults, by line.
        faults: Vec<SettingsFault>,
    },
    /// A subcommand of `table` failed.
    #[snafu(display("{source}"))]
    Table {
        /// The underlying error.
        source: TableCliError,
    },
    /// A table has faults.
    #[snafu(display("{source}"))]
    TableInvalid {
        /// The faults.
        source: table::TableError,
    },
    /// The instance can't issue tickets.
    #[snafu(display("tickets: {source}"))]
    Tickets {
        /// The underlying error.
        source: ClaimError,
    },
    /// A file can't be written.
    #[snafu(display("{}: can't write the file: {source}", path.display()))]
    WriteFile {
        /// The path of the file.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
}

impl RunError {
    /// The result code; `None` for errors that have none.
    pub fn code(&self) -> Option<ResultCode> {
        match self {
            Self::CutByClose { .. } | Self::DemoFailed { .. } => Some(ResultCode::CutByClose),
            Self::DumpFailed { .. } => Some(ResultCode::DumpFailed),
            Self::Peers {
                source: PeerError::Keys { .. },
            }
            | Self::ReadFile { .. }
            | Self::SettingsInvalid { .. } => Some(ResultCode::SettingsInvalid),
            Self::RequestFailed { code, .. } => Some(*code),
            Self::Table { source } => source.result_code(),
            Self::TableInvalid { source } => Some(source.result_code()),
            Self::Bind { .. }
            | Self::Fake { .. }
            | Self::Keys { .. }
            | Self::Metrics { .. }
            | Self::Peers { .. }
            | Self::Platform { .. }
            | Self::Runtime { .. }
            | Self::Tickets { .. }
            | Self::WriteFile { .. } => None,
        }
    }

    /// The exit code with which the process ends.
    pub fn exit_code(&self) -> u8 {
        self.code().map_or(exit_code::OTHER_FAULT, exit_code::of)
    }
}

fn fault_lines(faults: &[SettingsFault]) -> String {
    let lines: Vec<String> = faults.iter().map(SettingsFault::to_string).collect();
    lines.join("\n")
}
