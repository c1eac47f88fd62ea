//! Which engines can serve one another's work.

use {
    kernel::{ModelId, ServiceId},
    route::UpstreamInfo,
    table::WorkRow,
};

/// Engines of one service and model, and the rows that go to them.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct PoolKey {
    pub(crate) model: Option<ModelId>,
    pub(crate) service: ServiceId,
}

impl PoolKey {
    pub(crate) fn of_row(row: &WorkRow) -> Self {
        Self {
            model: row.model.clone(),
            service: row.service.clone(),
        }
    }

    pub(crate) fn of_upstream(info: &UpstreamInfo) -> Self {
        Self {
            model: info.model.clone(),
            service: info.service.clone(),
        }
    }
}
