//! The server that callers connect to.

use {
    crate::{
        CallerDialect, ConnectionPulse, RelayCore, RequestDesk, UpstreamDialect,
        link_pool::tune_socket,
    },
    http::{HeaderValue, Request, header},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    kernel::ShutdownSignal,
    std::{
        pin::{Pin, pin},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::JoinHandle,
        time,
    },
    tokio_util::task::TaskTracker,
};

/// After a failed accept, most often for want of descriptors, the next one waits so long.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The least that the HTTP library takes as the size of its read buffer, bytes.
const LEAST_BUFFER: usize = 8 << 10;
/// How long a caller's socket may be unheard before it counts as gone. Callers far away and on lossy links need a few
/// retransmissions.
const CALLER_UNHEARD: Duration = Duration::from_secs(5);
/// A connection that is to end gets so long to close in order before it is looked at again.
const CLOSE_GRACE: Duration = Duration::from_millis(300);

/// The running server.
#[derive(Debug)]
pub struct CallerServer {
    accepting: JoinHandle<()>,
    connections: TaskTracker,
    /// Raised when answers are to end their connections.
    leaving: ShutdownSignal,
    /// Raised when idle connections are to end at once, and new requests to be refused.
    stopping: ShutdownSignal,
}

impl CallerServer {
    /// Ends the server: for `settle` new requests are still served while each answer ends its connection; then new ones are
    /// refused as not run, idle connections end, and open requests get until `limit` from now. Gives how many connections
    /// were cut.
    pub async fn close(self, settle: Duration, limit: Duration) -> usize {
        let end = time::Instant::now() + limit;
        self.leaving.raise();
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

    /// Starts to accept callers.
    pub fn start<D: CallerDialect + UpstreamDialect>(
        listener: TcpListener,
        core: Arc<RelayCore<D>>,
    ) -> Self {
        let connections = TaskTracker::new();
        let leaving = ShutdownSignal::new();
        let stopping = core.closing.clone();
        let caller = CallerSide {
            core: core.clone(),
            desk: RequestDesk::new(core),
            leaving: leaving.clone(),
            stopping: stopping.clone(),
        };
        let accepting = tokio::spawn(accept(listener, caller, connections.clone()));
        Self {
            accepting,
            connections,
            leaving,
            stopping,
        }
    }
}

/// What each connection works with.
struct CallerSide<D> {
    core: Arc<RelayCore<D>>,
    desk: RequestDesk<D>,
    leaving: ShutdownSignal,
    stopping: ShutdownSignal,
}

impl<D> Clone for CallerSide<D> {
    fn clone(&self) -> Self {
        Self {
            core: self.core.clone(),
            desk: self.desk.clone(),
            leaving: self.leaving.clone(),
            stopping: self.stopping.clone(),
        }
    }
}

impl<D: CallerDialect + UpstreamDialect> CallerSide<D> {
    fn idle_limit(&self) -> Duration {
        let book = self.core.book.load();
        let limits = book.as_ref().map(|book| book.limits).unwrap_or_default();
        limits.idle
    }

    /// Serves one connection until it ends, is idle for too long, or the process closes.
    async fn serve(self, stream: TcpStream) {
        tune_socket(&stream, CALLER_UNHEARD);
        let pulse = Arc::new(ConnectionPulse::new());
        let head_limit = self
            .core
            .book
            .load()
            .as_ref()
            .map(|book| book.limits.headers);
        let buffer = head_limit.unwrap_or_default().max(LEAST_BUFFER);
        let service = {
            let pulse = pulse.clone();
            let desk = self.desk.clone();
            let leaving = self.leaving.clone();
            service_fn(move |request: Request<Incoming>| {
                let busy = pulse.clone().begin();
                let desk = desk.clone();
                let leaving = leaving.clone();
                async move {
                    let mut answer = desk.answer(request).await;
                    if let Ok(response) = &mut answer {
                        response.body_mut().hold(busy);
                        if leaving.is_raised() {
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
        let mut idle_limit = self.idle_limit();
        loop {
            let rest = pulse.rest(idle_limit);
            tokio::select! {
                outcome = connection.as_mut() => {
                    if let Err(error) = outcome {
                        tracing::debug!(%error, "a caller's connection ended");
                    }
                    return;
                }
                () = self.stopping.raised() => break,
                () = time::sleep(rest) => {
                    idle_limit = self.idle_limit();
                    if pulse.rest(idle_limit).is_zero() {
                        break;
                    }
                }
            }
        }
        connection.as_mut().graceful_shutdown();
        end_idle(connection, &pulse).await;
    }
}

/// Lets the request in progress end. A connection without one has nothing to lose: a caller that sends nothing is not
/// waited for.
async fn end_idle(mut connection: Pin<&mut impl Future>, pulse: &ConnectionPulse) {
    loop {
        let ending = time::timeout(CLOSE_GRACE, connection.as_mut());
        if ending.await.is_ok() || pulse.is_idle() {
            return;
        }
    }
}

async fn accept<D: CallerDialect + UpstreamDialect>(
    listener: TcpListener,
    caller: CallerSide<D>,
    connections: TaskTracker,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(caller.clone().serve(stream));
            }
            Err(error) => {
                tracing::warn!(%error, "a caller's connection was not accepted");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
