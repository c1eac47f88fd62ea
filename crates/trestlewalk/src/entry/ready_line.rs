//! What an entry instance says when it listens.

use {
    kernel::InstanceId,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The one line of JSON on standard output, with the real addresses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadyLine {
    /// Where operators ask for metrics, state and health.
    pub admin: SocketAddr,
    /// Where callers send requests.
    pub callers: SocketAddr,
    /// The name of the instance.
    pub instance: InstanceId,
    /// Where other instances send messages.
    pub peers: SocketAddr,
}

impl ReadyLine {
    /// Prints the line.
    pub fn print(&self) {
        let line = serde_json::json!(self);
        println!("{line}");
    }
}
