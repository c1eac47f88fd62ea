//! The request path, from the callers' socket to the upstreams. Until it is wired every request is refused as not run.

use {
    crate::{
        admin::{TableSource, TableStatus},
        entry::{CloseReport, EntryParts},
    },
    axum::{
        Json, Router,
        http::StatusCode,
        response::{IntoResponse, Response},
    },
    kernel::{CloseSignal, ResultCode},
    serde_json::json,
    std::{net::UdpSocket, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::JoinHandle},
};

/// The condition that keeps an instance without a table from being ready.
pub const TABLE_CONDITION: &str = "table";
const RESULT_HEADER: &str = "Trestlewalk-Result";

/// Everything between the callers' socket and the upstreams.
#[derive(Debug)]
pub struct RequestPath {
    _peers: UdpSocket,
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

    /// Which table is in force.
    pub fn source(parts: &EntryParts) -> Arc<impl TableSource + use<>> {
        Arc::new(NoTable {
            parts: parts.clone(),
        })
    }

    /// Starts to answer callers.
    pub fn start(callers: TcpListener, peers: UdpSocket, parts: &EntryParts) -> Self {
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
        Self {
            _peers: peers,
            signal,
            task,
        }
    }
}

struct NoTable {
    parts: EntryParts,
}

impl TableSource for NoTable {
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
