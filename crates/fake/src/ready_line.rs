//! What a stand-in's process says when it is ready.

use {
    crate::fake_error::{FakeError, SignalSnafu},
    serde::{Deserialize, Serialize},
    snafu::ResultExt,
    std::net::SocketAddr,
    tokio::signal::unix::{SignalKind, signal},
};

/// The one line of JSON on standard output.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadyLine {
    /// Where the stand-in answers.
    pub address: SocketAddr,
    /// Where it takes faults and shows counters.
    pub admin: SocketAddr,
}

impl ReadyLine {
    /// Prints the line.
    pub fn print(&self) {
        println!(
            "{{\"address\":\"{}\",\"admin\":\"{}\"}}",
            self.address, self.admin
        );
    }
}

/// Waits until the process is told to end.
pub(crate) async fn wait_for_shutdown() -> Result<(), FakeError> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    tokio::select! {
        _ = terminate.recv() => {}
        result = tokio::signal::ctrl_c() => result.context(SignalSnafu)?,
    }
    Ok(())
}
