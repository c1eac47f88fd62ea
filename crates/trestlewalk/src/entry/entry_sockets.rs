//! The sockets of an entry instance, opened before anything else starts.

use {
    crate::{
        RunError,
        entry::ReadyLine,
        run_error::{BindSnafu, RuntimeSnafu},
        settings::ListenSettings,
    },
    kernel::InstanceId,
    snafu::ResultExt,
    std::net::UdpSocket,
    tokio::net::TcpListener,
};

/// The three open sockets.
#[derive(Debug)]
pub struct EntrySockets {
    /// For operators.
    pub admin: TcpListener,
    /// For callers.
    pub callers: TcpListener,
    /// For other instances; non-blocking.
    pub peers: UdpSocket,
}

impl EntrySockets {
    /// Opens the sockets.
    ///
    /// # Errors
    ///
    /// An address is taken or not of this host; the error names the field of the settings.
    pub async fn bind(listen: &ListenSettings) -> Result<Self, RunError> {
        let admin = bind_tcp("listen.admin", listen.admin).await?;
        let callers = bind_tcp("listen.callers", listen.callers).await?;
        let peers = UdpSocket::bind(listen.peers).context(BindSnafu {
            address: listen.peers,
            field: "listen.peers",
        })?;
        peers.set_nonblocking(true).context(RuntimeSnafu)?;
        Ok(Self {
            admin,
            callers,
            peers,
        })
    }

    /// The line that tells the real addresses.
    ///
    /// # Errors
    ///
    /// The system does not know a socket's address.
    pub fn ready_line(&self, instance: InstanceId) -> Result<ReadyLine, RunError> {
        Ok(ReadyLine {
            admin: self.admin.local_addr().context(RuntimeSnafu)?,
            callers: self.callers.local_addr().context(RuntimeSnafu)?,
            instance,
            peers: self.peers.local_addr().context(RuntimeSnafu)?,
        })
    }
}

async fn bind_tcp(
    field: &'static str,
    address: std::net::SocketAddr,
) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .context(BindSnafu { address, field })
}
