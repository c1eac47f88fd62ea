//! Connections to upstreams. Unlike a general client it tells a request that was never written from one that may have
//! run, and it never sends a request twice.

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

/// How many idle connections an upstream keeps.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// How often a request that was never written is tried on another idle connection before a new one is made.
const MAX_REUSE_ATTEMPTS: usize = 2;

/// Idle connections by address.
pub(crate) type IdleTable<B> = RankedLock<HashMap<SocketAddr, Vec<SendRequest<B>>>>;

/// A pool of HTTP/1.1 connections. Clones share one pool.
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
    /// An empty pool.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            idle: Arc::new(RankedLock::new(LockRank::Upstreams, HashMap::new())),
        }
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// `fresh` asks for a connection of its own, so that no idle connection which the upstream is just closing can make
    /// the outcome unknown.
    ///
    /// # Errors
    ///
    /// [`CallError::may_have_run`] is `false` when the request was never written.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<B>,
        fresh: bool,
    ) -> Result<Response<PooledBody<B>>, CallError> {
        let sending = self.try_send(address, request, fresh).await;
        sending.map_err(|failure| failure.error)
    }

    /// As [`HttpPool::send`], giving a request back that was never written.
    ///
    /// # Errors
    ///
    /// A failure whose `unsent` is there exactly when the request was never written.
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
        // A socket that refuses the option still carries the call.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|error| CallError::not_run(CallCause::Lost, error))?;
        tokio::spawn(async move {
            // The error reaches the caller through its sender.
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

/// A request that got no answer.
#[derive(Debug)]
pub struct SendFailure<B> {
    /// What went wrong.
    pub error: CallError,
    /// The request, when it was never written.
    pub unsent: Option<Request<B>>,
}

/// Keeps a connection whose answer was read to its end.
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
