//! The body of the admin server's `/ready`.

use {
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// The body of `/ready`, sent with status 200 when the instance is ready and 503 otherwise.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadyReply {
    /// Whether the instance accepts requests.
    pub ready: bool,
    /// Why the instance is not ready, by condition; empty when it is ready.
    pub reasons: BTreeMap<Arc<str>, Arc<str>>,
}
