//! The source of the operators' routes and of the list of upstreams.

use {
    crate::{CallReason, RouteTable},
    policy::{AgedReport, CrashReport, UpstreamRecord},
    snafu::Snafu,
    std::{
        future::Future,
        time::{Duration, Instant},
    },
};

/// The version of the whole store; it grows with each write.
pub type StoreVersion = u64;

/// The routes at one version of the store.
#[derive(Clone, Debug)]
pub struct RouteSnapshot {
    /// When the store was last known to have no newer routes; `None` when unknown.
    pub as_of: Option<Instant>,
    /// The routes; `None` when the operators have declared none yet.
    pub table: Option<RouteTable>,
    /// The version of the store that was read.
    pub version: StoreVersion,
}

/// The result of a watch of the routes.
#[derive(Clone, Debug)]
pub enum RouteUpdate {
    /// The routes have changed.
    Changed(Box<RouteSnapshot>),
    /// The store no longer keeps the changes since the requested version: the routes have to be read in full.
    HistoryLost,
    /// Nothing changed up to this version; with the time at which that held, if known.
    Unchanged(StoreVersion, Option<Instant>),
}

/// The list of upstreams at one version of the store.
#[derive(Clone, Debug, Default)]
pub struct UpstreamSnapshot {
    /// When the store was read; `None` for just now.
    pub as_of: Option<Instant>,
    /// Unreadable rows, with the reason.
    pub faults: Vec<String>,
    /// Whether another instance read it and passed it on.
    pub passed_on: bool,
    /// The upstreams.
    pub records: Vec<UpstreamRecord>,
    /// The version of the store that was read.
    pub version: StoreVersion,
    /// Whether the source itself waited for a new list, so that it can be read again at once.
    pub waited: bool,
}

/// A position in the stream of reports, meaningful only to the source that issued it.
pub type ReportCursor = u64;

/// Reports of upstreams that crashed while running requests.
#[derive(Clone, Debug, Default)]
pub struct ReportBatch {
    /// Where the next watch continues; `None` when all reports have to be read again.
    pub next: Option<ReportCursor>,
    /// The reports.
    pub reports: Vec<AgedReport>,
}

/// Why a call to the store failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SourceError {
    /// The answer is malformed.
    #[snafu(display("the store's answer can't be read: {detail}"))]
    Garbled {
        /// What is malformed.
        detail: String,
    },
    /// The store refused the call.
    #[snafu(display("the store answered with status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// No answer arrived.
    #[snafu(display("the store gave no answer: {detail}"))]
    Silent {
        /// The cause.
        detail: String,
    },
}

/// The store that operators write routes to and upstreams send heartbeats to.
pub trait OperatorSource: Send + Sync + 'static {
    /// Deletes expired reports.
    fn drop_reports(
        &self,
        reports: &[CrashReport],
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Reads the routes in full.
    fn read_routes(
        &self,
        reason: CallReason,
    ) -> impl Future<Output = Result<RouteSnapshot, SourceError>> + Send;

    /// Reads the list of upstreams.
    fn read_upstreams(
        &self,
        reason: CallReason,
    ) -> impl Future<Output = Result<UpstreamSnapshot, SourceError>> + Send;

    /// Waits for a change of the routes after a version, for at most `wait`.
    fn watch_routes(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<RouteUpdate, SourceError>> + Send;

    /// Waits for reports after a cursor, for at most `wait`. Without a cursor it returns all current reports at once.
    fn watch_reports(
        &self,
        after: Option<ReportCursor>,
        wait: Duration,
    ) -> impl Future<Output = Result<ReportBatch, SourceError>> + Send;

    /// Publishes reports to all instances. Idempotent.
    fn write_reports(
        &self,
        reports: &[CrashReport],
    ) -> impl Future<Output = Result<(), SourceError>> + Send;
}
