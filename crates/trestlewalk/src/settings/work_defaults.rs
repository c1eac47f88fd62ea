//! The kind of work of requests that name none.

use {
    kernel::{ServiceId, WorkId},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The section `defaults`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkDefaults {
    /// The kind of work of `/v1/chat/completions`.
    pub chat: Option<WorkId>,
    /// The kind of work of `/v1/completions`.
    pub completions: Option<WorkId>,
    /// The kind of work of `/services/{service}/…`, by service.
    pub services: BTreeMap<ServiceId, WorkId>,
}
