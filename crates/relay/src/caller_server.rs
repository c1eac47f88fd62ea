//! The HTTP server for callers.

use {
    crate::{
        CallerDialect, CallerLimits, CloseClock, ConnectionActivity, RelayCore, RequestHandler,
        UpstreamDialect, WatchedStream, socket_options::tune_socket,
    },
    http::{HeaderValue, Request, header},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    kernel::ShutdownSignal,
    std::{
        future::poll_fn,
        pin::{Pin, pin},
        sync::Arc,
        task::Poll,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::{self, JoinHandle},
        time,
    },
    tokio_util::task::TaskTracker,
};

/// Pause after a failed accept, which is most often due to a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The minimum read buffer that hyper accepts, bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// A caller's connection counts as lost after this time without an acknowledgement. Distant callers and lossy links
/// need a few retransmissions.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may take to shut down before its state is checked again, and how long one without any request
/// is kept for the first.
const CLOSE_GRACE: Duration = Duration::from_millis(300);

/// The running server.
#[derive(Debug)]
pub struct CallerServer {
    accepting: JoinHandle<()>,
    connections: TaskTracker,
    /// While it runs, each answer closes its connection.
    close_clock: CloseClock,
    /// Raised when idle connections are to be closed at once and new requests refused.
    stopping: ShutdownSignal,
}

impl CallerServer {
    /// Shuts the server down. For `settle` new requests that can end in time are still served while each answer closes its
    /// connection; then new requests are refused as not run and idle connections are closed. Shortly before `limit` from
    /// now open requests get their answer. Returns how many connections were cut.
    pub async fn close(self, settle: Duration, limit: Duration) -> usize {
        let end = time::Instant::now() + limit;
        self.close_clock.start(limit);
        time::sleep(settle).await;
        self.stopping.raise();
        self.connections.close();
        let ended = time::timeout_at(end, self.connections.wait()).await;
        self.accepting.abort();
        match ended {
            Ok(()) => 0,
            Err(_) => self.connections.len(),
        }
    }

    /// Starts accepting connections.
    pub fn start<D: CallerDialect + UpstreamDialect>(
        listener: TcpListener,
        core: Arc<RelayCore<D>>,
    ) -> Self {
        let connections = TaskTracker::new();
        let close_clock = core.close_clock.clone();
        let stopping = core.closing.clone();
        let caller = ConnectionContext {
            core: core.clone(),
            handler: RequestHandler::new(core),
            stopping: stopping.clone(),
        };
        let accepting = tokio::spawn(accept(listener, caller, connections.clone()));
        Self {
            accepting,
            close_clock,
            connections,
            stopping,
        }
    }
}

/// What each connection needs to serve its requests.
struct ConnectionContext<D> {
    core: Arc<RelayCore<D>>,
    handler: RequestHandler<D>,
    stopping: ShutdownSignal,
}

impl<D> Clone for ConnectionContext<D> {
    fn clone(&self) -> Self {
        Self {
            core: self.core.clone(),
            handler: self.handler.clone(),
            stopping: self.stopping.clone(),
        }
    }
}

impl<D: CallerDialect + UpstreamDialect> ConnectionContext<D> {
    /// The limits in force, or the usual ones before they are read.
    fn limits(&self) -> CallerLimits {
        let table = self.core.routes.load();
        table.as_ref().map(|table| table.limits).unwrap_or_default()
    }

    /// Serves one connection until it ends, exceeds the idle timeout, or the process shuts down.
    async fn serve(self, stream: TcpStream) {
        tune_socket(&stream, CALLER_TIMEOUT);
        let activity = Arc::new(ConnectionActivity::new());
        let stream = WatchedStream::new(stream, activity.clone());
        let buffer = self.limits().headers.max(MIN_BUFFER_BYTES);
        let service = {
            let activity = activity.clone();
            let handler = self.handler.clone();
            let close_clock = self.core.close_clock.clone();
            service_fn(move |request: Request<Incoming>| {
                let busy = activity.clone().begin();
                let handler = handler.clone();
                let close_clock = close_clock.clone();
                async move {
                    let mut answer = handler.answer(request).await;
                    if let Ok(response) = &mut answer {
                        response.body_mut().hold(busy);
                        if close_clock.has_started() {
                            let close = HeaderValue::from_static("close");
                            response.headers_mut().insert(header::CONNECTION, close);
                        }
                    }
                    answer
                }
            })
        };
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(buffer)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let mut idle_limit = self.limits().idle;
        loop {
            let left = activity.idle_left(idle_limit);
            tokio::select! {
                outcome = connection.as_mut() => {
                    if let Err(error) = outcome {
                        tracing::debug!(%error, "a caller's connection failed");
                    }
                    return;
                }
                () = self.stopping.raised() => break,
                () = time::sleep(left) => {
                    idle_limit = self.limits().idle;
                    if !activity.idle_left(idle_limit).is_zero() {
                        continue;
                    }
                    if take_arrived(connection.as_mut()).await {
                        return;
                    }
                    if activity.is_idle() {
                        break;
                    }
                }
            }
        }
        if take_arrived(connection.as_mut()).await {
            return;
        }
        if activity.is_unused()
            && time::timeout(CLOSE_GRACE, connection.as_mut())
                .await
                .is_ok()
        {
            return;
        }
        connection.as_mut().graceful_shutdown();
        end_idle(connection, &activity).await;
    }
}

/// Takes a request that has arrived by now: after a pause of the process the runtime may notice a timeout or a signal before
/// it. Returns whether the connection has ended.
async fn take_arrived(mut connection: Pin<&mut impl Future>) -> bool {
    task::yield_now().await;
    poll_fn(|context| Poll::Ready(connection.as_mut().poll(context).is_ready())).await
}

/// Waits for the request in progress. A connection without one is closed without waiting for the caller.
async fn end_idle(mut connection: Pin<&mut impl Future>, activity: &ConnectionActivity) {
    loop {
        let ending = time::timeout(CLOSE_GRACE, connection.as_mut());
        if ending.await.is_ok() || activity.is_idle() {
            return;
        }
    }
}

async fn accept<D: CallerDialect + UpstreamDialect>(
    listener: TcpListener,
    caller: ConnectionContext<D>,
    connections: TaskTracker,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(caller.clone().serve(stream));
            }
            Err(error) => {
                tracing::warn!(%error, "could not accept a caller's connection");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
