//! What an entry instance says when it listens.

use {
    crate::{RunError, text_output::print_line},
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
    /// Where other instances send messages; none for an instance that sends none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<SocketAddr>,
}

impl ReadyLine {
    /// Prints the line.
    ///
    /// # Errors
    ///
    /// The standard output can't be written; a reader that went away is no fault.
    pub fn print(&self) -> Result<(), RunError> {
        print_line(&serde_json::json!(self).to_string())
    }
}
