//! The admin server. It is the last part to close, so that operators can watch the others go.

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
    /// Answers what was asked already, for at most `limit`, and stops.
    pub async fn close(self, limit: Duration) {
        self.signal.raise();
        let stop = self.task.abort_handle();
        if tokio::time::timeout(limit, self.task).await.is_err() {
            stop.abort();
        }
    }

    /// Starts to answer at `listener`.
    pub fn start<S: StatusSource>(listener: TcpListener, state: AdminState<S>) -> Self {
        let signal = ShutdownSignal::new();
        let raised = signal.clone();
        let server = axum::serve(listener, admin_router(state))
            .with_graceful_shutdown(async move { raised.raised().await });
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
        .route("/dump", get(dump_state::<S>))
        .route("/live", get(tell_live))
        .route("/metrics", get(show_metrics::<S>))
        .route("/ready", get(tell_ready::<S>))
        .route("/table", get(tell_table::<S>))
        .with_state(state)
}

async fn dump_state<S: StatusSource>(State(state): State<AdminState<S>>) -> Json<Value> {
    Json(PluginEntry::dump_all(&state.map))
}

async fn show_metrics<S: StatusSource>(State(state): State<AdminState<S>>) -> Response {
    match TextEncoder::new().encode_to_string(&state.registry.gather()) {
        Ok(text) => ([(CONTENT_TYPE, METRICS_TYPE)], text).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn tell_live() -> Json<Value> {
    Json(json!({ "live": true }))
}

async fn tell_ready<S: StatusSource>(State(state): State<AdminState<S>>) -> Response {
    let reasons: BTreeMap<Arc<str>, Arc<str>> = state
        .board
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

async fn tell_table<S: StatusSource>(State(state): State<AdminState<S>>) -> Json<TableStatus> {
    Json(state.source.table_status())
}
