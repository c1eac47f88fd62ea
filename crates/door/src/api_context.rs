//! What all handlers of the door share.

use {
    crate::{admission_gate::AdmissionGate, api_limits::ApiLimits, error_answer::ErrorAnswer},
    axum::body::Body,
    flow::{CurrentTable, FlowShared, PlainCaller, PlainLimiter},
    kernel::{ResultCode, ServiceId, WorkId, ZoneId},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    table::WorkRow,
};

/// When to come back to an instance that has no table yet, or is closing: another one is there.
const OTHER_INSTANCE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The kind of work of a request that names none.
#[derive(Clone, Debug, Default)]
pub struct ApiDefaults {
    /// Of `/v1/chat/completions`.
    pub chat: Option<WorkId>,
    /// Of `/v1/completions`.
    pub completions: Option<WorkId>,
    /// Of `/services/{service}/…`, by service.
    pub services: BTreeMap<ServiceId, WorkId>,
}

/// What all handlers share.
pub struct ApiContext<E> {
    /// The kinds of work of requests that name none.
    pub defaults: ApiDefaults,
    /// The requests to models.
    pub flow: Arc<FlowShared<E>>,
    /// Counts the open requests.
    pub gate: Arc<AdmissionGate>,
    /// Holds plain rows to their limits.
    pub limiter: Arc<PlainLimiter>,
    /// The limits.
    pub limits: ApiLimits,
    /// The requests to plain services.
    pub plain: Arc<PlainCaller<Body>>,
    /// The table in force.
    pub tables: Arc<CurrentTable>,
    /// The availability zone of this instance.
    pub zone: ZoneId,
}

impl<E> ApiContext<E> {
    /// The row of a kind of work, if it may run here.
    ///
    /// # Errors
    ///
    /// The answer for the caller.
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
