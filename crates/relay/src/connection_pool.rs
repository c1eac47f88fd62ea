//! A pool of connections to upstreams and to the store.
//!
//! A connection carries one call at a time. It is reset when a call is dropped before its answer was read to the end, so
//! that what was written of the call and has not arrived is lost, and it is not reused after any irregularity in an answer.

use {
    crate::{
        AnswerPlace, CallWatch, WatchedStream, silence_guard::SilenceGuard,
        socket_options::tune_socket,
    },
    bytes::Bytes,
    http::Request,
    http_body_util::Full,
    hyper::{
        body::Incoming,
        client::conn::{
            TrySendError,
            http1::{self, SendRequest},
        },
    },
    hyper_util::rt::TokioIo,
    kernel::{LockRank, RankedLock, steady_clock},
    policy::ProbeOutcome,
    snafu::Snafu,
    std::{
        collections::{BTreeSet, HashMap},
        io::{self, ErrorKind},
        net::SocketAddr,
        ops::RangeInclusive,
        sync::atomic::{AtomicU64, Ordering},
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, time},
    tokio_util::task::AbortOnDropHandle,
};

/// How long an idle connection is kept when the server states no idle timeout: it may close the connection at any
/// moment after that.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(900);
/// Subtracted from the idle timeout that a server states, to cover network latency and the granularity of its timer.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// How long an idle connection is kept at most, whatever its server states.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3_600);
/// The statuses of final answers. Connections switch to no other protocol, so 101 is none of them.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Maximum number of idle connections per peer.
const MAX_IDLE_PER_PEER: usize = 16;

/// Identifies a peer of the pool. For upstreams it is their id, so that a restarted upstream at the same address gets
/// new connections.
pub type ConnectionKey = std::sync::Arc<str>;

/// Identifies a connection among all that its pool has established, from 1.
pub type ConnectionSerial = u64;

/// The timeouts of a pool.
#[derive(Clone, Copy, Debug, bon::Builder)]
pub struct ConnectionTimeouts {
    /// Timeout for establishing a connection.
    pub connect: Duration,
    /// How long data may stay unacknowledged, or a peer silent, before the connection counts as lost.
    pub peer_timeout: Duration,
}

/// Why a call got no answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ConnectionError {
    /// The answer has a status that no final answer has. The call may have been carried out.
    #[snafu(display("{place} has status {status}"))]
    Garbled {
        /// The answer.
        place: AnswerPlace,
        /// Its status.
        status: u16,
    },
    /// At least a part of the call was written, and no complete response head arrived.
    #[snafu(display("the connection was lost: {detail}, {place} missing"))]
    Lost {
        /// The cause.
        detail: String,
        /// The answer that did not come.
        place: AnswerPlace,
    },
    /// Nothing was written.
    #[snafu(display("no connection: {detail}"))]
    Unsent {
        /// The cause.
        detail: String,
    },
}

/// A connection in use by one call.
#[derive(Debug)]
pub struct OpenConnection {
    address: SocketAddr,
    /// How many answers it has delivered.
    answers: u64,
    sender: SendRequest<Full<Bytes>>,
    serial: ConnectionSerial,
    task: AbortOnDropHandle<()>,
    watch: CallWatch,
}

impl OpenConnection {
    /// Whether the last answer was the first one of the connection, so that it can't be the copy of an earlier one.
    pub fn is_at_first_answer(&self) -> bool {
        self.answers == 1
    }

    /// The last answer that it has delivered.
    pub fn last_place(&self) -> AnswerPlace {
        AnswerPlace {
            answer: self.answers,
            connection: self.serial,
        }
    }

    /// Its serial number.
    pub fn serial(&self) -> ConnectionSerial {
        self.serial
    }

    /// Sends a call and waits for the head of the answer.
    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.watch.begin_call();
        let response = self.sender.try_send_request(request).await?;
        self.watch.end_head();
        self.answers += 1;
        Ok(response)
    }

    /// Checks the status of an answer.
    fn check_status(
        self,
        response: http::Response<Incoming>,
    ) -> Result<(http::Response<Incoming>, Self), ConnectionError> {
        let status = response.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            let place = self.last_place();
            return GarbledSnafu { place, status }.fail();
        }
        Ok((response, self))
    }

    /// The error of a call that was written in part at least.
    fn lost(&self, error: &hyper::Error) -> ConnectionError {
        LostSnafu {
            detail: error.to_string(),
            place: AnswerPlace {
                answer: self.answers + 1,
                connection: self.serial,
            },
        }
        .build()
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: OpenConnection,
    /// When it delivered its last answer, or was established.
    since: Instant,
    until: Instant,
}

impl IdleConnection {
    fn is_usable(&self, address: SocketAddr, now: Instant) -> bool {
        now < self.until
            && self.connection.address == address
            && self.connection.sender.is_ready()
            && !self.connection.task.is_finished()
    }
}

/// Idle connections by peer.
#[derive(Debug)]
pub struct ConnectionPool {
    idle: RankedLock<HashMap<ConnectionKey, Vec<IdleConnection>>>,
    next_serial: AtomicU64,
    /// Whether a call without an answer casts doubt on the idle connections to the same peer.
    doubts_idle: bool,
    /// Limit of the read buffer of each connection, bytes; `None` for the limit of the library.
    read_buffer: Option<usize>,
    times: ConnectionTimeouts,
}

impl ConnectionPool {
    /// Returns a connection whose answer was read to the end; `idle_timeout` is the one that the server states.
    pub fn keep(
        &self,
        key: &ConnectionKey,
        connection: OpenConnection,
        idle_timeout: Option<Duration>,
    ) {
        connection.watch.end_call();
        if connection.sender.is_closed() {
            return;
        }
        let idle = match idle_timeout {
            Some(idle_timeout) => idle_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN),
            None => DEFAULT_IDLE_TIMEOUT,
        };
        if idle.is_zero() {
            return;
        }
        let since = steady_clock::now();
        let until = since + idle.min(MAX_IDLE_TIME);
        let mut table = self.idle.lock();
        let connections = table.entry(key.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_PEER {
            connections.push(IdleConnection {
                connection,
                since,
                until,
            });
        }
    }

    /// The peers with an idle connection.
    pub fn connected(&self) -> BTreeSet<ConnectionKey> {
        let now = steady_clock::now();
        let table = self.idle.lock();
        let is_live =
            |connections: &[IdleConnection]| connections.iter().any(|idle| now < idle.until);
        let connected = table.iter().filter(|(_, connections)| is_live(connections));
        connected.map(|(key, _)| key.clone()).collect()
    }

    /// An empty pool.
    pub fn new(times: ConnectionTimeouts) -> Self {
        Self {
            idle: RankedLock::new(LockRank::Links, HashMap::new()),
            next_serial: AtomicU64::new(1),
            doubts_idle: false,
            read_buffer: None,
            times,
        }
    }

    /// Closes idle connections once a call that began after their last answer ends without one: all open connections may
    /// have gone silent at once. For peers whose calls are given up only because of their silence.
    pub fn with_idle_doubts(self) -> Self {
        Self {
            doubts_idle: true,
            ..self
        }
    }

    /// Limits what each connection reads ahead, for peers whose answers may be passed on to slow readers.
    pub fn with_read_buffer(self, bytes: usize) -> Self {
        Self {
            read_buffer: Some(bytes),
            ..self
        }
    }

    /// Checks whether a peer accepts connections. A usable idle connection is proof enough; otherwise a new connection
    /// is made and kept.
    pub async fn probe(&self, key: &ConnectionKey, address: SocketAddr) -> ProbeOutcome {
        if self.has_idle(key, address) {
            return ProbeOutcome::Accepted;
        }
        let stream = match self.dial(address).await {
            Ok(stream) => stream,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                return ProbeOutcome::Refused;
            }
            Err(error) => {
                tracing::debug!(%address, %error, "could not determine whether an upstream crashed");
                return ProbeOutcome::NoAnswer;
            }
        };
        match self.handshake(stream, address).await {
            Ok(connection) => self.keep(key, connection, None),
            Err(error) => tracing::debug!(%address, %error, "the HTTP handshake failed"),
        }
        ProbeOutcome::Accepted
    }

    /// Whether a peer accepts a new connection, which is kept. Idle connections show nothing: they may have gone silent, or
    /// work while new ones are refused.
    pub async fn accepts(&self, key: &ConnectionKey, address: SocketAddr) -> bool {
        match self.connect(address).await {
            Ok(connection) => {
                self.keep(key, connection, None);
                true
            }
            Err(error) => {
                tracing::debug!(%address, %error, "an upstream accepts no connection");
                false
            }
        }
    }

    /// Sends a call over any connection but those in `avoid`, and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::Unsent`] when nothing was written, another error when the call may have been carried out.
    pub async fn send(
        &self,
        key: &ConnectionKey,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        avoid: &[ConnectionSerial],
    ) -> Result<(http::Response<Incoming>, OpenConnection), ConnectionError> {
        let mut request = request;
        while let Some(mut connection) = self.take_idle(key, address, avoid) {
            match self.exchange(key, &mut connection, request).await {
                Ok(response) => return connection.check_status(response),
                Err(mut failure) => match failure.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(connection.lost(failure.error())),
                },
            }
        }
        let mut connection = self.connect(address).await?;
        match self.exchange(key, &mut connection, request).await {
            Ok(response) => connection.check_status(response),
            Err(mut failure) => match failure.take_message() {
                Some(_) => UnsentSnafu {
                    detail: failure.error().to_string(),
                }
                .fail(),
                None => Err(connection.lost(failure.error())),
            },
        }
    }

    /// Closes the idle connections to a peer that have delivered nothing since `moment`.
    pub(crate) fn close_idle_before(&self, key: &ConnectionKey, moment: Instant) {
        let mut table = self.idle.lock();
        let Some(connections) = table.get_mut(key) else {
            return;
        };
        let before = connections.len();
        connections.retain(|idle| idle.since >= moment);
        let closed = before - connections.len();
        if closed > 0 {
            tracing::info!(peer = %key, closed, "idle connections were closed after a call without an answer");
        }
    }

    /// Closes idle connections past their timeout.
    pub fn sweep(&self, now: Instant) {
        let mut table = self.idle.lock();
        for connections in table.values_mut() {
            connections.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
        }
        table.retain(|_, connections| !connections.is_empty());
    }

    async fn connect(&self, address: SocketAddr) -> Result<OpenConnection, ConnectionError> {
        let stream = self.dial(address).await.map_err(|error| {
            UnsentSnafu {
                detail: error.to_string(),
            }
            .build()
        })?;
        self.handshake(stream, address).await
    }

    async fn dial(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let connecting = time::timeout(self.times.connect, TcpStream::connect(address)).await;
        let late = |_| io::Error::new(ErrorKind::TimedOut, "no connection in time");
        connecting.map_err(late)?
    }

    /// Sends a call over a connection and waits for the head of the answer.
    async fn exchange(
        &self,
        key: &ConnectionKey,
        connection: &mut OpenConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        let guard = self.doubts_idle.then(|| SilenceGuard::new(self, key));
        let outcome = connection.exchange(request).await;
        let is_unsent = |failure: &TrySendError<_>| failure.message().is_some();
        if let Some(guard) = guard
            && outcome.as_ref().err().is_none_or(is_unsent)
        {
            guard.close();
        }
        outcome
    }

    async fn handshake(
        &self,
        stream: TcpStream,
        address: SocketAddr,
    ) -> Result<OpenConnection, ConnectionError> {
        tune_socket(&stream, self.times.peer_timeout);
        let mut builder = http1::Builder::new();
        if let Some(bytes) = self.read_buffer {
            builder.max_buf_size(bytes);
        }
        let watch = CallWatch::default();
        let stream = WatchedStream::new(stream, watch.clone());
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| {
            UnsentSnafu {
                detail: error.to_string(),
            }
            .build()
        })?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "a connection failed");
            }
        });
        Ok(OpenConnection {
            address,
            answers: 0,
            sender,
            serial: self.next_serial.fetch_add(1, Ordering::Relaxed),
            task: AbortOnDropHandle::new(task),
            watch,
        })
    }

    /// Whether there is a usable idle connection to this peer.
    fn has_idle(&self, key: &ConnectionKey, address: SocketAddr) -> bool {
        let now = steady_clock::now();
        let table = self.idle.lock();
        let connections = table.get(key);
        connections
            .is_some_and(|connections| connections.iter().any(|idle| idle.is_usable(address, now)))
    }

    fn take_idle(
        &self,
        key: &ConnectionKey,
        address: SocketAddr,
        avoid: &[ConnectionSerial],
    ) -> Option<OpenConnection> {
        let now = steady_clock::now();
        let mut table = self.idle.lock();
        let connections = table.get_mut(key)?;
        let is_allowed = |idle: &IdleConnection| !avoid.contains(&idle.connection.serial);
        while let Some(newest) = connections.iter().rposition(is_allowed) {
            let idle = connections.remove(newest);
            if idle.is_usable(address, now) {
                return Some(idle.connection);
            }
        }
        None
    }
}
