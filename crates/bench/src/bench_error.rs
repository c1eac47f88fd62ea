//! What can go wrong in the bench.

use {
    snafu::Snafu,
    std::{io, path::PathBuf},
};

/// Any error of the bench; its text names the file and the field at fault.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BenchError {
    /// A link between endpoints of the bench failed.
    #[snafu(display("a link of the bench failed: {source}"))]
    PeerLink {
        /// Why.
        source: peer::PeerError,
    },
    /// A report can't be written as JSON.
    #[snafu(display("the report can't be written: {source}"))]
    ReportWrite {
        /// Why.
        source: serde_json::Error,
    },
    /// The tasks of the bench can't be started.
    #[snafu(display("the tasks of the bench can't be started: {source}"))]
    Runtime {
        /// Why.
        source: io::Error,
    },
    /// A scenario has values that make no sense.
    #[snafu(display("scenario {}: {}", path.display(), faults.join("; ")))]
    ScenarioInvalid {
        /// Each fault, with its field.
        faults: Vec<String>,
        /// The file.
        path: PathBuf,
    },
    /// A scenario can't be read from its file.
    #[snafu(display("scenario {}: can't be read: {source}", path.display()))]
    ScenarioRead {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A scenario has an unknown, missing or malformed field.
    #[snafu(display("scenario {}: {fault}", path.display()))]
    ScenarioSyntax {
        /// What and where.
        fault: String,
        /// The file.
        path: PathBuf,
    },
}
