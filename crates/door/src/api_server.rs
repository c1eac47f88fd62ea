//! The HTTP server for callers.

use {
    crate::{
        api_context::ApiContext, chat_handler, completion_handler, error_answer::ErrorAnswer,
        service_handler,
    },
    axum::{Router, routing},
    engine::ModelEngine,
    hyper::server::conn::http1,
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
        service::TowerToHyperService,
    },
    kernel::{ResultCode, ShutdownSignal},
    std::{sync::Arc, time::Duration},
    tokio::{net::TcpListener, time},
};

/// The delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts the connections of callers and serves their requests.
pub struct ApiServer<E> {
    listener: TcpListener,
    router: Router,
    context: Arc<ApiContext<E>>,
}

impl<E: ModelEngine> ApiServer<E> {
    /// Creates a server with the default routes on `listener`.
    pub fn new(listener: TcpListener, context: Arc<ApiContext<E>>) -> Self {
        let router = routes(context.clone());
        Self {
            listener,
            router,
            context,
        }
    }

    /// The current routes.
    pub fn router(&self) -> Router {
        self.router.clone()
    }

    /// Replaces the routes, for example with those that handle tickets first.
    pub fn with_router(mut self, router: Router) -> Self {
        self.router = router;
        self
    }

    /// Serves until `signal` is raised, then stops accepting connections and waits up to `limit` for the open ones.
    /// Returns `false` if some were still open at the limit.
    pub async fn run(self, signal: ShutdownSignal, limit: Duration) -> bool {
        let graceful = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                () = signal.raised() => break,
                accepted = self.listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                time::sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            // The connection works without the option.
            let _ = stream.set_nodelay(true);
            let service = TowerToHyperService::new(self.router.clone());
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(self.context.limits.header_timeout)
                .max_buf_size(self.context.limits.headers)
                .serve_connection(TokioIo::new(stream), service);
            let watched = graceful.watch(connection);
            tokio::spawn(async move {
                // The caller sees a connection error itself.
                let _ = watched.await;
            });
        }
        time::timeout(limit, graceful.shutdown()).await.is_ok()
    }
}

fn routes<E: ModelEngine>(context: Arc<ApiContext<E>>) -> Router {
    Router::new()
        .route(
            "/services/{service}/{*path}",
            routing::any(service_handler::handle::<E>),
        )
        .route(
            "/v1/chat/completions",
            routing::post(chat_handler::handle::<E>),
        )
        .route(
            "/v1/completions",
            routing::post(completion_handler::handle::<E>),
        )
        .fallback(async || {
            ErrorAnswer::of(ResultCode::RequestInvalid).with_detail("there is nothing at this path")
        })
        .with_state(context)
}
