//! What can go wrong in the bench.

use {
    snafu::Snafu,
    std::{io, path::PathBuf},
};

/// Any error of the bench; its text names the file and the field at fault.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BenchError {
    /// A file has values that make no sense.
    #[snafu(display("{}: {}", path.display(), faults.join("; ")))]
    FileInvalid {
        /// Each fault, with its field.
        faults: Vec<String>,
        /// The file.
        path: PathBuf,
    },
    /// A file can't be read.
    #[snafu(display("{}: can't be read: {source}", path.display()))]
    FileRead {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file has an unknown, missing or malformed field.
    #[snafu(display("{}: {fault}", path.display()))]
    FileSyntax {
        /// What and where.
        fault: String,
        /// The file.
        path: PathBuf,
    },
    /// A file can't be written.
    #[snafu(display("{}: can't be written: {source}", path.display()))]
    FileWrite {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A plot can't be drawn.
    #[snafu(display("{}: can't be drawn: {fault}", path.display()))]
    PlotDraw {
        /// Why.
        fault: String,
        /// The file.
        path: PathBuf,
    },
    /// The entry instance ended with an error.
    #[snafu(display("the entry instance: {source}"))]
    EntryRun {
        /// Why.
        source: trestlewalk::RunError,
    },
    /// The entry instance can't be started.
    #[snafu(display("the entry instance can't be started: {source}"))]
    EntryStart {
        /// Why.
        source: io::Error,
    },
    /// A stand-in can't be started.
    #[snafu(display("a stand-in can't be started: {source}"))]
    FakeStart {
        /// Why.
        source: fake::FakeError,
    },
    /// Keys can't be made.
    #[snafu(display("keys can't be made: {source}"))]
    Keys {
        /// Why.
        source: peer::PeerError,
    },
    /// A way to run a request once failed.
    #[snafu(display("a request by one of the ways failed: {source}"))]
    OnceWay {
        /// Why.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// A link between endpoints of the bench failed.
    #[snafu(display("a link of the bench failed: {source}"))]
    PeerLink {
        /// Why.
        source: peer::PeerError,
    },
    /// The stand-in platform takes no table.
    #[snafu(display("the platform takes no table: {source}"))]
    Platform {
        /// Why.
        source: plat::PlatError,
    },
    /// The program can't run tasks.
    #[snafu(display("tasks can't be run: {source}"))]
    Runtime {
        /// Why.
        source: io::Error,
    },
    /// A report can't be written as JSON.
    #[snafu(display("the report can't be written: {source}"))]
    ReportWrite {
        /// Why.
        source: serde_json::Error,
    },
}
