//! Listener that serves a router and can drop its connections.

use {
    super::{
        aborted_response::{AbortMarker, ConnectionAborted},
        connection_gate::ConnectionGate,
    },
    crate::fake_error::{BindSnafu, FakeError},
    axum::{Router, body::Body},
    http::{Request, Response},
    hyper::{body::Incoming, server::conn::http1, service::Service},
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        service::TowerToHyperService,
    },
    kernel::ShutdownSignal,
    snafu::ResultExt,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::net::{TcpListener, TcpStream},
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// A listener with its connections; clones share the state.
#[derive(Clone, Debug)]
pub(crate) struct StandInServer {
    address: SocketAddr,
    connections: Arc<Mutex<CancellationToken>>,
    signal: ShutdownSignal,
    tracker: TaskTracker,
}

impl StandInServer {
    /// Bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections and waits for their tasks.
    pub(crate) async fn close(self) {
        self.signal.raise();
        self.tracker.close();
        self.tracker.wait().await;
    }

    /// Closes all open connections.
    pub(crate) fn drop_connections(&self) {
        let mut connections = lock(&self.connections);
        connections.cancel();
        *connections = CancellationToken::new();
    }

    /// Binds a listener without serving it yet, so that the port is known before the router is built.
    pub(crate) async fn bind(address: SocketAddr) -> Result<(Self, TcpListener), FakeError> {
        let listener = TcpListener::bind(address)
            .await
            .context(BindSnafu { address })?;
        let server = Self {
            address: listener.local_addr().context(BindSnafu { address })?,
            connections: Arc::default(),
            signal: ShutdownSignal::new(),
            tracker: TaskTracker::new(),
        };
        Ok((server, listener))
    }

    /// Starts to accept connections.
    pub(crate) fn serve<G: ConnectionGate>(&self, listener: TcpListener, router: Router, gate: G) {
        let accept = self.clone().accept(listener, router, gate);
        self.tracker.spawn(accept);
    }

    async fn accept<G: ConnectionGate>(self, listener: TcpListener, router: Router, gate: G) {
        loop {
            let accepted = tokio::select! {
                () = self.signal.raised() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                continue;
            };
            if !gate.admits_connection() {
                continue;
            }
            let token = lock(&self.connections).clone();
            let signal = self.signal.clone();
            let connection = serve_connection(stream, router.clone(), gate.clone());
            self.tracker.spawn(async move {
                tokio::select! {
                    () = signal.raised() => {}
                    () = token.cancelled() => {}
                    () = connection => {}
                }
            });
        }
    }
}

async fn serve_connection<G: ConnectionGate>(stream: TcpStream, router: Router, gate: G) {
    let _ = stream.set_nodelay(true);
    let service = TowerToHyperService::new(router);
    let requests = AtomicU64::new(0);
    let serve = hyper::service::service_fn(|request| {
        let earlier_requests = requests.fetch_add(1, Ordering::Relaxed);
        serve_request(service.clone(), gate.clone(), earlier_requests, request)
    });
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), serve)
        .await;
}

async fn serve_request<G: ConnectionGate>(
    service: TowerToHyperService<Router>,
    gate: G,
    earlier_requests: u64,
    request: Request<Incoming>,
) -> Result<Response<Body>, ConnectionAborted> {
    if !gate.admits_request(earlier_requests) {
        return Err(ConnectionAborted);
    }
    let Ok(response) = service.call(request).await;
    if response.extensions().get::<AbortMarker>().is_some() {
        return Err(ConnectionAborted);
    }
    Ok(response)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poison| poison.into_inner())
}
