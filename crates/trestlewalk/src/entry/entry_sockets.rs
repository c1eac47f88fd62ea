//! The TCP sockets of an entry instance, opened before anything else starts.

use {
    crate::{RunError, run_error::BindSnafu, settings::ListenSettings},
    snafu::ResultExt,
    std::net::SocketAddr,
    tokio::net::TcpListener,
};

/// The open sockets.
#[derive(Debug)]
pub struct EntrySockets {
    /// Serves the admin server.
    pub admin: TcpListener,
    /// Accepts callers' requests.
    pub callers: TcpListener,
}

impl EntrySockets {
    /// Opens the sockets.
    ///
    /// # Errors
    ///
    /// An address is in use or does not belong to this host; the error names the field of the settings.
    pub async fn bind(listen: &ListenSettings) -> Result<Self, RunError> {
        let admin = bind_tcp("listen.admin", listen.admin).await?;
        let callers = bind_tcp("listen.callers", listen.callers).await?;
        Ok(Self { admin, callers })
    }
}

/// Opens one socket; `field` is the field of the settings that errors name.
///
/// # Errors
///
/// The address is in use or does not belong to this host.
pub async fn bind_tcp(field: &'static str, address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .context(BindSnafu { address, field })
}
