//! Ready line and shutdown signals of a stand-in process.

use {
    crate::fake_error::{FakeError, SignalSnafu},
    serde::{Deserialize, Serialize},
    snafu::ResultExt,
    std::net::SocketAddr,
    tokio::signal::unix::{SignalKind, signal},
};

/// Single line of JSON that a stand-in process writes to standard output once it is listening.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadyLine {
    /// Address of the stand-in's own interface.
    pub address: SocketAddr,
    /// Address of the admin interface, which accepts faults and serves counters.
    pub admin: SocketAddr,
}

impl ReadyLine {
    /// Writes the line to standard output.
    pub fn print(&self) {
        println!(
            "{{\"address\":\"{}\",\"admin\":\"{}\"}}",
            self.address, self.admin
        );
    }
}

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn wait_for_shutdown() -> Result<(), FakeError> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    tokio::select! {
        _ = terminate.recv() => {}
        result = tokio::signal::ctrl_c() => result.context(SignalSnafu)?,
    }
    Ok(())
}
