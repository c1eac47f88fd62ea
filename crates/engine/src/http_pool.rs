//! Connections to upstreams. Unlike a general-purpose client, the pool distinguishes a request that was never written
//! from one that may have run, and never sends a request twice.

use {
    crate::{
        call_error::{CallCause, CallError},
        pooled_body::PooledBody,
    },
    bytes::Bytes,
    http::{Request, Response},
    hyper::{
        body::{Body, Incoming},
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    kernel::{LockRank, RankedLock},
    std::{collections::HashMap, error::Error, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpStream, time},
};

/// The maximum number of idle connections to one upstream.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// A request is attempted on at most this many idle connections, as long as it was never written, before a new
/// connection is opened.
const MAX_REUSE_ATTEMPTS: usize = 2;

/// Idle connections, keyed by address.
pub(crate) type IdleTable<B> = RankedLock<HashMap<SocketAddr, Vec<SendRequest<B>>>>;

/// A pool of HTTP/1.1 connections. Clones share the connections.
#[derive(Debug)]
pub struct HttpPool<B> {
    connect_timeout: Duration,
    idle: Arc<IdleTable<B>>,
}

impl<B> Clone for HttpPool<B> {
    fn clone(&self) -> Self {
        Self {
            connect_timeout: self.connect_timeout,
            idle: self.idle.clone(),
        }
    }
}

impl<B> HttpPool<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    /// Creates an empty pool.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            idle: Arc::new(RankedLock::new(LockRank::Upstreams, HashMap::new())),
        }
    }

    /// Sends a request and waits for the response head.
    ///
    /// `fresh` requests a new connection. On an idle connection that the upstream is just closing, the outcome could be
    /// unknown.
    ///
    /// # Errors
    ///
    /// [`CallError::may_have_run`] is `false` if the request was never written.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<B>,
        fresh: bool,
    ) -> Result<Response<PooledBody<B>>, CallError> {
        let sending = self.try_send(address, request, fresh).await;
        sending.map_err(|failure| failure.error)
    }

    /// Like [`HttpPool::send`], but returns a request that was never written.
    ///
    /// # Errors
    ///
    /// [`SendFailure::unsent`] is present exactly if the request was never written.
    pub async fn try_send(
        &self,
        address: SocketAddr,
        request: Request<B>,
        fresh: bool,
    ) -> Result<Response<PooledBody<B>>, SendFailure<B>> {
        let mut request = request;
        for _ in 0..MAX_REUSE_ATTEMPTS {
            if fresh {
                break;
            }
            let Some(sender) = self.take_idle(address) else {
                break;
            };
            match self.send_on(address, sender, request).await {
                Ok(response) => return Ok(response),
                Err(SendFailure {
                    unsent: Some(unsent),
                    ..
                }) => request = unsent,
                Err(failure) => return Err(failure),
            }
        }
        match self.connect(address).await {
            Ok(sender) => self.send_on(address, sender, request).await,
            Err(error) => Err(SendFailure {
                error,
                unsent: Some(request),
            }),
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<SendRequest<B>, CallError> {
        let connecting = time::timeout(self.connect_timeout, TcpStream::connect(address)).await;
        let stream = match connecting {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(CallError::not_run(CallCause::Lost, error)),
            Err(_) => {
                return Err(CallError::not_run(
                    CallCause::Silent,
                    "no connection in time",
                ));
            }
        };
        // The connection works without the option.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|error| CallError::not_run(CallCause::Lost, error))?;
        tokio::spawn(async move {
            // Connection errors reach the caller through its sender.
            let _ = connection.await;
        });
        Ok(sender)
    }

    async fn send_on(
        &self,
        address: SocketAddr,
        mut sender: SendRequest<B>,
        request: Request<B>,
    ) -> Result<Response<PooledBody<B>>, SendFailure<B>> {
        match sender.try_send_request(request).await {
            Ok(response) => Ok(self.pool_body(address, sender, response)),
            Err(mut refusal) => {
                let unsent = refusal.take_message();
                let detail = refusal.error().to_string();
                let error = match unsent {
                    Some(_) => CallError::not_run(CallCause::Lost, detail),
                    None => CallError::unknown(CallCause::Lost, detail),
                };
                Err(SendFailure { error, unsent })
            }
        }
    }

    fn pool_body(
        &self,
        address: SocketAddr,
        sender: SendRequest<B>,
        response: Response<Incoming>,
    ) -> Response<PooledBody<B>> {
        response.map(|body| PooledBody::new(address, body, sender, self.idle.clone()))
    }

    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<B>> {
        let mut idle = self.idle.lock();
        let senders = idle.get_mut(&address)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }
}

/// A request that received no response.
#[derive(Debug)]
pub struct SendFailure<B> {
    /// The error of the call.
    pub error: CallError,
    /// The request if it was never written, otherwise `None`.
    pub unsent: Option<Request<B>>,
}

/// Returns a connection to the pool after its response was read to the end. It is dropped if the pool already has
/// enough idle connections to the upstream.
pub(crate) fn keep_idle<B>(idle: &IdleTable<B>, address: SocketAddr, sender: SendRequest<B>) {
    if sender.is_closed() {
        return;
    }
    let mut idle = idle.lock();
    let senders = idle.entry(address).or_default();
    if senders.len() < MAX_IDLE_CONNECTIONS {
        senders.push(sender);
    }
}
