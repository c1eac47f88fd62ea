//! What the admin server answers.

use {
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// What `/ready` answers, with status 200 or 503.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadyReply {
    /// Whether the instance may get requests.
    pub ready: bool,
    /// Why not, by condition.
    pub reasons: BTreeMap<Arc<str>, Arc<str>>,
}
