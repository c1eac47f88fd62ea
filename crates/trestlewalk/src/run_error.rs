//! Why a subcommand failed.

use {
    crate::{exit_code, settings::SettingsFault, subcommand::table::TableCliError},
    claim::ClaimError,
    kernel::ResultCode,
    peer::PeerError,
    snafu::Snafu,
    std::{io, net::SocketAddr, path::PathBuf},
};

/// The error of the binary.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum RunError {
    /// A socket can't be opened.
    #[snafu(display("{field}: can't listen at {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The field of the settings.
        field: &'static str,
        /// Why.
        source: io::Error,
    },
    /// A close ended requests before their answers were whole.
    #[snafu(display("{cause} cut {count} requests off"))]
    CutByClose {
        /// What ended them.
        cause: &'static str,
        /// How many.
        count: u64,
    },
    /// Requests of the demonstration failed, or were cut off by its close.
    #[snafu(display("{count} requests of the demonstration have no whole answer"))]
    DemoFailed {
        /// How many.
        count: u64,
    },
    /// An instance gave no dump.
    #[snafu(display("{address} gave no dump: {detail}"))]
    DumpFailed {
        /// The address.
        address: SocketAddr,
        /// Why.
        detail: String,
    },
    /// A stand-in can't run.
    #[snafu(display("the stand-in can't run: {source}"))]
    Fake {
        /// Why.
        source: fake::FakeError,
    },
    /// Keys can't be made.
    #[snafu(display("keys can't be made: {source}"))]
    Keys {
        /// Why.
        source: PeerError,
    },
    /// The metrics can't be made.
    #[snafu(display("the metrics can't be made: {source}"))]
    Metrics {
        /// Why.
        source: prometheus::Error,
    },
    /// The links to other instances can't be opened.
    #[snafu(display("the links to peers can't be opened: {source}"))]
    Peers {
        /// Why.
        source: PeerError,
    },
    /// The platform's address can't be used.
    #[snafu(display("platform.address: {source}"))]
    Platform {
        /// Why.
        source: plat::PlatError,
    },
    /// A file can't be read.
    #[snafu(display("{}: can't read the file: {source}", path.display()))]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A request was answered with another code than 1000.
    #[snafu(display("{detail}"))]
    RequestFailed {
        /// The result code.
        code: ResultCode,
        /// What came back.
        detail: String,
    },
    /// The process can't run its tasks or hear its signals.
    #[snafu(display("the process can't start: {source}"))]
    Runtime {
        /// Why.
        source: io::Error,
    },
    /// The settings have faults.
    #[snafu(display("{}", fault_lines(faults)))]
    SettingsInvalid {
        /// The faults, by line.
        faults: Vec<SettingsFault>,
    },
    /// A verb of `table` failed.
    #[snafu(display("{source}"))]
    Table {
        /// Why.
        source: TableCliError,
    },
    /// A table has faults.
    #[snafu(display("{source}"))]
    TableInvalid {
        /// The faults.
        source: table::TableError,
    },
    /// The instance can't be the origin of tickets.
    #[snafu(display("tickets: {source}"))]
    Tickets {
        /// Why.
        source: ClaimError,
    },
    /// A file can't be written.
    #[snafu(display("{}: can't write the file: {source}", path.display()))]
    WriteFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
}

impl RunError {
    /// The result code, where there is one.
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

    /// The exit code that goes with the error.
    pub fn exit_code(&self) -> u8 {
        self.code().map_or(exit_code::OTHER_FAULT, exit_code::of)
    }
}

fn fault_lines(faults: &[SettingsFault]) -> String {
    let lines: Vec<String> = faults.iter().map(SettingsFault::to_string).collect();
    lines.join("\n")
}
