//! An engine as the list of upstreams describes it.

use {
    kernel::{SoftwareVersion, UpstreamId},
    serde::{Deserialize, Serialize},
};

/// A model engine that the scheduler may use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineInfo {
    /// Whether it decodes; it prefills otherwise.
    pub decodes: bool,
    /// Its id.
    pub id: UpstreamId,
    /// Whether it may get new work: it neither leaves nor asked for a pause.
    pub is_open: bool,
    /// How many requests it runs at once.
    pub slots: u32,
    /// The version of its software.
    pub software: SoftwareVersion,
}
