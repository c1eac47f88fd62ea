//! The request path, from the callers' socket to the upstreams. Until it is wired every request is refused as not run.

use {
    crate::{
        RunError,
        admin::{StatusSource, TableStatus},
        entry::{CloseReport, EntryParts},
        run_error::{BindSnafu, RuntimeSnafu},
    },
    axum::{
        Json, Router,
        http::StatusCode,
        response::{IntoResponse, Response},
    },
    kernel::{CloseSignal, ResultCode},
    serde_json::json,
    snafu::ResultExt,
    std::{
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        time::Duration,
    },
    tokio::{net::TcpListener, task::JoinHandle},
};

/// The condition that keeps an instance without a table from being ready.
pub const TABLE_CONDITION: &str = "table";
const RESULT_HEADER: &str = "Trestlewalk-Result";

/// Everything between the callers' socket and the upstreams.
#[derive(Debug)]
pub struct RequestPath {
    peers: UdpSocket,
    signal: CloseSignal,
    task: JoinHandle<()>,
}

impl RequestPath {
    /// Takes no new connection, lets queued and running requests end for at most `limit`, and stops.
    pub async fn close(self, limit: Duration) -> CloseReport {
        self.signal.raise();
        let stop = self.task.abort_handle();
        if tokio::time::timeout(limit, self.task).await.is_ok() {
            return CloseReport::default();
        }
        stop.abort();
        CloseReport { cut: 1 }
    }

    /// Where other instances send messages.
    ///
    /// # Errors
    ///
    /// The system does not know the socket's address.
    pub fn peers_address(&self) -> Result<SocketAddr, RunError> {
        self.peers.local_addr().context(RuntimeSnafu)
    }

    /// Which table is in force.
    pub fn source(parts: &EntryParts) -> Arc<impl StatusSource + use<>> {
        Arc::new(NoTable {
            parts: parts.clone(),
        })
    }

    /// Starts to answer callers and peers.
    ///
    /// # Errors
    ///
    /// The address for peers is taken or not of this host.
    pub fn start(callers: TcpListener, parts: &EntryParts) -> Result<Self, RunError> {
        let address = parts.settings.listen.peers;
        let peers = UdpSocket::bind(address).context(BindSnafu {
            address,
            field: "listen.peers",
        })?;
        parts.board.block(TABLE_CONDITION, "no table yet");
        let signal = CloseSignal::new();
        let raised = signal.clone();
        let server = axum::serve(callers, Router::new().fallback(refuse))
            .with_graceful_shutdown(async move { raised.raised().await });
        let task = tokio::spawn(async move {
            if let Err(error) = server.await {
                tracing::error!(%error, "the callers' server ended");
            }
        });
        Ok(Self {
            peers,
            signal,
            task,
        })
    }
}

struct NoTable {
    parts: EntryParts,
}

impl StatusSource for NoTable {
    fn table_status(&self) -> TableStatus {
        TableStatus {
            digest: 0,
            instance: self.parts.identity.instance.clone(),
            since: 0,
            version: 0,
            zone: self.parts.identity.zone.clone(),
        }
    }
}

async fn refuse() -> Response {
    let code = ResultCode::NotReady;
    let body = json!({ "code": code.number(), "text": code.text() });
    let header = [(RESULT_HEADER, code.number().to_string())];
    (StatusCode::SERVICE_UNAVAILABLE, header, Json(body)).into_response()
}
