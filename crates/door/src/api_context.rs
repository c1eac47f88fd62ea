//! The state that all request handlers share.

use {
    crate::{admission_gate::AdmissionGate, api_limits::ApiLimits, error_answer::ErrorAnswer},
    axum::body::Body,
    flow::{CurrentTable, FlowShared, PlainCaller, PlainLimiter},
    kernel::{ResultCode, ServiceId, WorkId, ZoneId},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    table::WorkRow,
};

/// `Retry-After` of an instance that has no table yet. Another instance can serve the retry.
const OTHER_INSTANCE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The default kinds of work for requests that name none.
#[derive(Clone, Debug, Default)]
pub struct ApiDefaults {
    /// The default for `/v1/chat/completions`.
    pub chat: Option<WorkId>,
    /// The default for `/v1/completions`.
    pub completions: Option<WorkId>,
    /// The defaults for `/services/{service}/…`, keyed by service.
    pub services: BTreeMap<ServiceId, WorkId>,
}

/// The state that all request handlers share.
pub struct ApiContext<E> {
    /// The default kinds of work.
    pub defaults: ApiDefaults,
    /// Runs requests to models.
    pub flow: Arc<FlowShared<E>>,
    /// Limits the number of open requests.
    pub gate: Arc<AdmissionGate>,
    /// Enforces the limits of rows for plain services.
    pub limiter: Arc<PlainLimiter>,
    /// The limits on requests.
    pub limits: ApiLimits,
    /// Runs requests to plain services.
    pub plain: Arc<PlainCaller<Body>>,
    /// The current table.
    pub tables: Arc<CurrentTable>,
    /// The availability zone of this instance.
    pub zone: ZoneId,
}

impl<E> ApiContext<E> {
    /// Returns the row of a kind of work if it may run in this availability zone.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller if there is no table, no such row, or the row excludes this availability zone.
    pub fn row(&self, work: Option<WorkId>) -> Result<WorkRow, ErrorAnswer> {
        let Some(table) = self.tables.table() else {
            return Err(
                ErrorAnswer::of(ResultCode::NotReady).with_retry_after(OTHER_INSTANCE_RETRY_AFTER)
            );
        };
        let Some(work) = work else {
            let answer = ErrorAnswer::of(ResultCode::WorkUnknown);
            return Err(answer.with_detail("name a kind of work by the header Trestlewalk-Work"));
        };
        let Some(row) = table.row(&work) else {
            let detail = format!("there is no row {work:?}");
            return Err(ErrorAnswer::of(ResultCode::WorkUnknown).with_detail(detail));
        };
        if !row.allows(&self.zone) {
            let detail = format!("{work:?} may not run in {:?}", self.zone);
            return Err(ErrorAnswer::of(ResultCode::ZoneExcluded).with_detail(detail));
        }
        Ok(row.clone())
    }
}
