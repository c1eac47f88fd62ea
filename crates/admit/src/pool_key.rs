//! The identifier of a pool of interchangeable engines.

use {
    kernel::{ModelId, ServiceId},
    route::UpstreamInfo,
    table::WorkRow,
};

/// The service and model shared by the engines of a pool and by the rows that it serves.
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
