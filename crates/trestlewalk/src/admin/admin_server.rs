//! The admin server. It closes last, so that operators can watch the other parts close.

use {
    crate::admin::{AdminState, ReadyReply, StatusSource, TableStatus},
    axum::{
        Json, Router,
        extract::State,
        http::{StatusCode, header::CONTENT_TYPE},
        response::{IntoResponse, Response},
        routing::get,
    },
    kernel::{PluginEntry, ShutdownSignal},
    prometheus::TextEncoder,
    serde_json::{Value, json},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::JoinHandle},
};

const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// The running admin server.
#[derive(Debug)]
pub struct AdminServer {
    signal: ShutdownSignal,
    task: JoinHandle<()>,
}

impl AdminServer {
    /// Stops accepting requests, and waits at most `limit` for those in flight.
    pub async fn close(self, limit: Duration) {
        self.signal.raise();
        let stop = self.task.abort_handle();
        if tokio::time::timeout(limit, self.task).await.is_err() {
            stop.abort();
        }
    }

    /// Starts serving on `listener`.
    pub fn start<S: StatusSource>(listener: TcpListener, state: AdminState<S>) -> Self {
        let signal = ShutdownSignal::new();
        let shutdown = signal.clone();
        let server = axum::serve(listener, admin_router(state))
            .with_graceful_shutdown(async move { shutdown.raised().await });
        let task = tokio::spawn(async move {
            if let Err(error) = server.await {
                tracing::error!(%error, "the admin server ended");
            }
        });
        Self { signal, task }
    }
}

fn admin_router<S: StatusSource>(state: AdminState<S>) -> Router {
    Router::new()
        .route("/dump", get(get_dump::<S>))
        .route("/live", get(get_live))
        .route("/metrics", get(get_metrics::<S>))
        .route("/ready", get(get_ready::<S>))
        .route("/table", get(get_table::<S>))
        .with_state(state)
}

async fn get_dump<S: StatusSource>(State(state): State<AdminState<S>>) -> Json<Value> {
    Json(PluginEntry::dump_all(&state.map))
}

async fn get_metrics<S: StatusSource>(State(state): State<AdminState<S>>) -> Response {
    match TextEncoder::new().encode_to_string(&state.registry.gather()) {
        Ok(text) => ([(CONTENT_TYPE, METRICS_TYPE)], text).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn get_live() -> Json<Value> {
    Json(json!({ "live": true }))
}

async fn get_ready<S: StatusSource>(State(state): State<AdminState<S>>) -> Response {
    let reasons: BTreeMap<Arc<str>, Arc<str>> = state
        .readiness
        .reasons()
        .into_iter()
        .map(|(condition, reason)| (Arc::from(condition), reason))
        .collect();
    let ready = reasons.is_empty();
    let status = match ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, Json(ReadyReply { ready, reasons })).into_response()
}

async fn get_table<S: StatusSource>(State(state): State<AdminState<S>>) -> Json<TableStatus> {
    Json(state.source.table_status())
}
