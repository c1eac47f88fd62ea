//! Connections to upstreams and to the store, kept for later calls.
//!
//! A connection carries one call at a time. It is closed at once when a call on it is dropped before its answer was read
//! to the end, and it is never used again when anything about an answer was off.

use {
    bytes::Bytes,
    http::Request,
    http_body_util::Full,
    hyper::{
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    kernel::{LockRank, RankedLock, steady_clock},
    policy::ProbeOutcome,
    snafu::Snafu,
    socket2::{SockRef, TcpKeepalive},
    std::{
        collections::{BTreeSet, HashMap},
        io::{self, ErrorKind},
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, time},
    tokio_util::task::AbortOnDropHandle,
};

/// A connection that has been idle for longer may be closed by its server at any moment, if the server names no time.
const UNNAMED_IDLE: Duration = Duration::from_millis(900);
/// Taken off the time that a server names, for the way there and for its timer.
const NAMED_MARGIN: Duration = Duration::from_millis(700);
/// How many idle connections to one address are kept.
const IDLE_LIMIT: usize = 16;

/// Names one peer of the pool: an upstream's id, so that another life at the same address has connections of its own.
pub type LinkKey = std::sync::Arc<str>;

/// The times of a pool.
#[derive(Clone, Copy, Debug, bon::Builder)]
pub struct LinkTimes {
    /// How long a connection may take to come about.
    pub connect: Duration,
    /// How long bytes may stay unacknowledged, and a silent peer unheard, before the connection counts as lost.
    pub unheard: Duration,
}

/// Why a call got no answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum LinkError {
    /// The call was written, at least in part, and no whole head of an answer came.
    #[snafu(display("the connection was lost: {detail}"))]
    Lost {
        /// What happened.
        detail: String,
    },
    /// Nothing was written.
    #[snafu(display("no connection: {detail}"))]
    Unsent {
        /// What happened.
        detail: String,
    },
}

/// One connection in use.
#[derive(Debug)]
pub struct OpenLink {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortOnDropHandle<()>,
}

#[derive(Debug)]
struct IdleLink {
    link: OpenLink,
    until: Instant,
}

impl IdleLink {
    fn is_usable(&self, address: SocketAddr, now: Instant) -> bool {
        now < self.until
            && self.link.address == address
            && self.link.sender.is_ready()
            && !self.link.task.is_finished()
    }
}

/// Idle connections by peer.
#[derive(Debug)]
pub struct LinkPool {
    idle: RankedLock<HashMap<LinkKey, Vec<IdleLink>>>,
    times: LinkTimes,
}

impl LinkPool {
    /// Keeps a connection whose answer was read to its end; `named` is how long its server keeps it.
    pub fn keep(&self, key: &LinkKey, link: OpenLink, named: Option<Duration>) {
        if link.sender.is_closed() {
            return;
        }
        let idle = match named {
            Some(named) => named.saturating_sub(NAMED_MARGIN),
            None => UNNAMED_IDLE,
        };
        if idle.is_zero() {
            return;
        }
        let until = steady_clock::now() + idle;
        let mut table = self.idle.lock();
        let links = table.entry(key.clone()).or_default();
        if links.len() < IDLE_LIMIT {
            links.push(IdleLink { link, until });
        }
    }

    /// The peers that a kept connection goes to.
    pub fn linked(&self) -> BTreeSet<LinkKey> {
        let now = steady_clock::now();
        let table = self.idle.lock();
        let is_live = |links: &[IdleLink]| links.iter().any(|idle| now < idle.until);
        let linked = table.iter().filter(|(_, links)| is_live(links));
        linked.map(|(key, _)| key.clone()).collect()
    }

    /// An empty pool.
    pub fn new(times: LinkTimes) -> Self {
        Self {
            idle: RankedLock::new(LockRank::Links, HashMap::new()),
            times,
        }
    }

    /// Finds out whether a peer still takes connections. A kept connection that is whole tells it without another one; one
    /// that is made is kept.
    pub async fn reach(&self, key: &LinkKey, address: SocketAddr) -> ProbeOutcome {
        if self.has_idle(key, address) {
            return ProbeOutcome::Accepted;
        }
        let stream = match self.dial(address).await {
            Ok(stream) => stream,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                return ProbeOutcome::Refused;
            }
            Err(error) => {
                tracing::debug!(%address, %error, "whether an upstream ended is not known");
                return ProbeOutcome::NoAnswer;
            }
        };
        match self.shake_hands(stream, address).await {
            Ok(link) => self.keep(key, link, None),
            Err(error) => tracing::debug!(%address, %error, "a new connection is of no use"),
        }
        ProbeOutcome::Accepted
    }

    /// Sends a call and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`LinkError::Unsent`] when nothing was written, [`LinkError::Lost`] when the call may have been carried out.
    pub async fn send(
        &self,
        key: &LinkKey,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(http::Response<Incoming>, OpenLink), LinkError> {
        let mut request = request;
        while let Some(mut link) = self.take_idle(key, address) {
            let sending = link.sender.try_send_request(request).await;
            match sending {
                Ok(response) => return Ok((response, link)),
                Err(mut failure) => match failure.take_message() {
                    Some(unsent) => request = unsent,
                    None => return lost(failure.error()),
                },
            }
        }
        let mut link = self.connect(address).await?;
        match link.sender.try_send_request(request).await {
            Ok(response) => Ok((response, link)),
            Err(mut failure) => match failure.take_message() {
                Some(_) => UnsentSnafu {
                    detail: failure.error().to_string(),
                }
                .fail(),
                None => lost(failure.error()),
            },
        }
    }

    /// Closes the idle connections that are past their time.
    pub fn sweep(&self, now: Instant) {
        let mut table = self.idle.lock();
        for links in table.values_mut() {
            links.retain(|idle| now < idle.until && !idle.link.sender.is_closed());
        }
        table.retain(|_, links| !links.is_empty());
    }

    async fn connect(&self, address: SocketAddr) -> Result<OpenLink, LinkError> {
        let stream = self.dial(address).await.map_err(|error| {
            UnsentSnafu {
                detail: error.to_string(),
            }
            .build()
        })?;
        self.shake_hands(stream, address).await
    }

    async fn dial(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let connecting = time::timeout(self.times.connect, TcpStream::connect(address)).await;
        let late = |_| io::Error::new(ErrorKind::TimedOut, "no connection in time");
        connecting.map_err(late)?
    }

    async fn shake_hands(
        &self,
        stream: TcpStream,
        address: SocketAddr,
    ) -> Result<OpenLink, LinkError> {
        tune_socket(&stream, self.times.unheard);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| {
            UnsentSnafu {
                detail: error.to_string(),
            }
            .build()
        })?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "a connection ended");
            }
        });
        Ok(OpenLink {
            address,
            sender,
            task: AbortOnDropHandle::new(task),
        })
    }

    /// Whether there is a usable connection to this peer.
    fn has_idle(&self, key: &LinkKey, address: SocketAddr) -> bool {
        let now = steady_clock::now();
        let table = self.idle.lock();
        let links = table.get(key);
        links.is_some_and(|links| links.iter().any(|idle| idle.is_usable(address, now)))
    }

    fn take_idle(&self, key: &LinkKey, address: SocketAddr) -> Option<OpenLink> {
        let now = steady_clock::now();
        let mut table = self.idle.lock();
        let links = table.get_mut(key)?;
        while let Some(idle) = links.pop() {
            if idle.is_usable(address, now) {
                return Some(idle.link);
            }
        }
        None
    }
}

/// Lets a socket notice a peer that is gone without a word, and send small writes at once.
pub fn tune_socket(stream: &TcpStream, unheard: Duration) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(unheard / 2)
        .with_interval(unheard / 4)
        .with_retries(2);
    let outcome = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(unheard)))
        .and_then(|()| socket.set_tcp_keepalive(&probes));
    if let Err(error) = outcome {
        tracing::debug!(%error, "a socket refuses an option; its peer's end is noticed later");
    }
}

fn lost<T>(error: &hyper::Error) -> Result<T, LinkError> {
    LostSnafu {
        detail: error.to_string(),
    }
    .fail()
}
