//! The operator's settings: the addresses of the platform and of the entry instances.

use {
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// The file that `--operator` names.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// The admin addresses of the entry instances.
    pub instances: Vec<SocketAddr>,
    /// The platform's address, such as `http://127.0.0.1:7000`.
    pub platform: Option<Arc<str>>,
}
