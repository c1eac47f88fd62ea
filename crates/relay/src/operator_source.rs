//! The source of the operators' routes and of the list of upstreams.

use {
    crate::{CallReason, RouteTable},
    plat::PlatError,
    policy::{AgedReport, CrashReport, EvacuationSet, StoreVersion, UpstreamRecord},
    snafu::Snafu,
    std::{
        future::Future,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The routes at one version of the store.
#[derive(Clone, Debug)]
pub struct RouteSnapshot {
    /// When the store was last known to have no newer routes; `None` when unknown.
    pub as_of: Option<Instant>,
    /// The evacuated availability zones; `None` when they have not changed.
    pub evacuations: Option<EvacuationSet>,
    /// The routes; `None` when the operators have declared none yet, or they have not changed.
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
    /// When the last read that the store did not answer began, here or at an instance that passed the list on; `None`
    /// when unknown.
    pub failed_at: Option<Instant>,
    /// Unreadable rows, with the reason.
    pub faults: Vec<String>,
    /// The version of the store at which the first page was read, if it returned the list in several pages.
    pub first_page: Option<StoreVersion>,
    /// Whether another instance read it and passed it on.
    pub passed_on: bool,
    /// The upstreams.
    pub records: Vec<UpstreamRecord>,
    /// The version of the store that was read.
    pub version: StoreVersion,
    /// Whether the source itself waited for a new list, so that it can be read again at once.
    pub waited: bool,
}

/// A row of the list of upstreams that was written.
#[derive(Clone, Debug)]
pub struct UpstreamChange {
    /// The name of the upstream.
    pub name: Arc<str>,
    /// The upstream; `None` when the row was removed or is unreadable.
    pub record: Option<UpstreamRecord>,
}

/// What changed in the list of upstreams since a version of the store.
#[derive(Clone, Debug, Default)]
pub struct UpstreamChanges {
    /// Unreadable rows, with the reason.
    pub faults: Vec<String>,
    /// The rows that were written, in order, whether or not their content differs from before.
    pub rows: Vec<UpstreamChange>,
    /// The version of the store up to which the changes are complete.
    pub version: StoreVersion,
}

/// A position in the stream of reports, meaningful only to the source that issued it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportCursor {
    /// Positions of different epochs are unrelated.
    pub epoch: u64,
    /// The number of the last change.
    pub position: u64,
}

/// Reports of upstreams that crashed while running requests.
#[derive(Clone, Debug, Default)]
pub struct ReportBatch {
    /// Where the next watch continues; `None` when all reports have to be read again.
    pub next: Option<ReportCursor>,
    /// The reports.
    pub reports: Vec<AgedReport>,
    /// The reports whose rows were removed, marked as cleared: by operators, who end a quarantine this way, or by an
    /// instance, since they are too old or too many.
    pub removed: Vec<CrashReport>,
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

impl From<SourceError> for PlatError {
    fn from(error: SourceError) -> Self {
        match error {
            SourceError::Garbled { detail } => Self::Garbled { detail },
            SourceError::Refused { status } => Self::Refused { status },
            SourceError::Silent { detail } => Self::Unreachable { detail },
        }
    }
}

/// The store that operators write routes to and upstreams send heartbeats to.
pub trait OperatorSource: Send + Sync + 'static {
    /// Deletes reports that are too old or too many.
    fn drop_reports(
        &self,
        reports: &[CrashReport],
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Reads the routes in full.
    fn read_routes(
        &self,
        reason: CallReason,
    ) -> impl Future<Output = Result<RouteSnapshot, SourceError>> + Send;

    /// Reads what changed in the list of upstreams after a version; `None` when the store no longer keeps that.
    fn read_changes(
        &self,
        after: StoreVersion,
        reason: CallReason,
    ) -> impl Future<Output = Result<Option<UpstreamChanges>, SourceError>> + Send;

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
