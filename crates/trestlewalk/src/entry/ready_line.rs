//! The line that an instance prints once it listens.

use {
    crate::{RunError, text_output::print_line},
    kernel::InstanceId,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A line of JSON on standard output, with the addresses that the sockets are bound to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadyLine {
    /// The address of the admin server.
    pub admin: SocketAddr,
    /// The address for callers' requests.
    pub callers: SocketAddr,
    /// The name of the instance.
    pub instance: InstanceId,
    /// The address for messages of other instances; `None` when the instance exchanges none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<SocketAddr>,
}

impl ReadyLine {
    /// Prints the line.
    ///
    /// # Errors
    ///
    /// The standard output can't be written. A closed pipe is not an error.
    pub fn print(&self) -> Result<(), RunError> {
        print_line(&serde_json::json!(self).to_string())
    }
}
