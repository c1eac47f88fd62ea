//! The QUIC endpoint of one instance.

use {
    crate::{
        ProtocolTag,
        accept_loop::AcceptLoop,
        address_table::AddressTable,
        keys::PeerKeys,
        link_load::{LinkLoad, OpenCount},
        link_table::LinkTable,
        link_traffic::LinkTraffic,
        peer_error::{BindSnafu, BusySnafu, PeerError, TimeoutSnafu, TooLargeSnafu},
        peer_identity::PeerIdentity,
        peer_incoming::PeerIncoming,
        peer_metrics::PeerMetrics,
        peer_router::PeerRouter,
        peer_settings::PeerSettings,
        session_receiver::SessionReceiver,
        session_room::SessionRoom,
        session_sender::SessionSender,
        tls_config::TlsConfig,
        wire::{self, MessageHeader, MessageKind},
    },
    arc_swap::ArcSwap,
    bon::bon,
    bytes::Bytes,
    kernel::{Incarnation, InstanceId, WorkerPool},
    prometheus::IntGauge,
    quinn::{Connection, Endpoint, SendDatagramError, VarInt},
    snafu::{OptionExt, ResultExt},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends to peers and receives from them, with mutual TLS. Clones share one endpoint.
#[derive(Clone, Debug)]
pub struct PeerEndpoint {
    pub(crate) accepted: Arc<Mutex<Vec<Connection>>>,
    pub(crate) addresses: AddressTable,
    pub(crate) endpoint: Endpoint,
    pub(crate) incarnation: Arc<AtomicU64>,
    pub(crate) instance: InstanceId,
    pub(crate) links: LinkTable,
    pub(crate) metrics: PeerMetrics,
    pub(crate) pool: WorkerPool,
    pub(crate) router: PeerRouter,
    pub(crate) room: SessionRoom,
    pub(crate) settings: Arc<PeerSettings>,
    pub(crate) tls: Arc<ArcSwap<TlsConfig>>,
}

#[bon]
impl PeerEndpoint {
    /// Binds the UDP address (port 0 lets the system choose) and starts to accept connections.
    ///
    /// # Errors
    ///
    /// When the address can't be bound or the keys can't be used.
    #[builder]
    pub fn new(
        address: SocketAddr,
        addresses: AddressTable,
        incarnation: Incarnation,
        instance: InstanceId,
        keys: &PeerKeys,
        #[builder(default)] settings: PeerSettings,
    ) -> Result<Self, PeerError> {
        let tls = TlsConfig::new(keys, &settings)?;
        let endpoint =
            Endpoint::server(tls.server.clone(), address).context(BindSnafu { address })?;
        let this = Self {
            accepted: Arc::default(),
            addresses,
            endpoint,
            incarnation: Arc::new(AtomicU64::new(incarnation)),
            instance,
            links: LinkTable::default(),
            metrics: PeerMetrics::new(),
            pool: WorkerPool::new(),
            router: PeerRouter::default(),
            room: SessionRoom::new(&settings),
            settings: Arc::new(settings),
            tls: Arc::new(ArcSwap::from_pointee(tls)),
        };
        this.start();
        Ok(this)
    }
}

impl PeerEndpoint {
    /// The number of connections that peers opened to this instance, with those that were closed and still take memory.
    pub fn accepted_count(&self) -> usize {
        let accepted = self
            .accepted
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        accepted.len()
    }

    /// The addresses of the peers.
    pub fn addresses(&self) -> &AddressTable {
        &self.addresses
    }

    /// Sends a request to a peer and waits for its answer.
    ///
    /// # Errors
    ///
    /// When the peer has no address, can't be connected, refuses, or gives no answer in time. After
    /// [`PeerError::Lost`] and [`PeerError::Timeout`] the call may have been handled.
    pub async fn call(
        &self,
        instance: &InstanceId,
        tag: ProtocolTag,
        body: &[u8],
    ) -> Result<Bytes, PeerError> {
        let message = self.message(MessageKind::Call, tag, body)?;
        let _open = OpenCount::new(&self.metrics.open_calls);
        let connection = self.connect(instance).await?;
        let exchange = self.exchange(&connection, instance, tag, &message);
        let answer = tokio::time::timeout(self.settings.call_timeout, exchange).await;
        let instance = instance.clone();
        answer.unwrap_or_else(|_| TimeoutSnafu { instance }.fail())
    }

    /// Refuses new work, closes all connections and waits for the tasks to end.
    pub async fn close(self) {
        self.endpoint.close(VarInt::from_u32(0), b"closing");
        self.pool.close(CLOSE_TIMEOUT).await;
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.endpoint.wait_idle()).await;
    }

    /// Drops the connection to a peer, for example to a dead incarnation of it. Sessions over it continue.
    pub fn forget(&self, instance: &str) {
        self.links.remove(instance);
    }

    /// The incarnation that this endpoint sends in its messages.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation.load(Ordering::Acquire)
    }

    /// The name of this instance.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// The number of peers that this instance connected to, or tried to, and that are not idle.
    pub fn link_count(&self) -> usize {
        self.links.len()
    }

    /// What the links hold.
    pub fn load(&self) -> LinkLoad {
        let count = |gauge: &IntGauge| usize::try_from(gauge.get()).unwrap_or_default();
        LinkLoad {
            accepted_links: self.accepted_count(),
            accepted_streams: count(&self.metrics.open_streams),
            open_calls: count(&self.metrics.open_calls),
            opened_links: self.links.len(),
            queued_messages: self.router.queued(),
            open_sessions: self.room.taken(),
        }
    }

    /// The UDP address, with the port that the system chose.
    ///
    /// # Errors
    ///
    /// When the socket's address can't be read.
    pub fn local_address(&self) -> Result<SocketAddr, PeerError> {
        let address = SocketAddr::from(([0, 0, 0, 0], 0));
        self.endpoint.local_addr().context(BindSnafu { address })
    }

    /// The metrics of the links.
    pub fn metrics(&self) -> &PeerMetrics {
        &self.metrics
    }

    /// Opens a long-lived, ordered, bidirectional stream of frames.
    ///
    /// # Errors
    ///
    /// When the peer has no address, can't be connected, there is no room, or the connection is lost.
    pub async fn open_session(
        &self,
        instance: &InstanceId,
        tag: ProtocolTag,
    ) -> Result<(SessionSender, SessionReceiver), PeerError> {
        let message = self.message(MessageKind::Session, tag, &[])?;
        let connection = self.connect(instance).await?;
        let place = self.room.take(&connection).with_context(|| BusySnafu {
            instance: instance.clone(),
        })?;
        let (sender, receiver) = self.start_stream(&connection, instance, &message).await?;
        let limit = self.settings.frame_limit;
        let receiver =
            SessionReceiver::new(connection.clone(), instance.clone(), limit, place, receiver);
        let sender = SessionSender::new(connection, instance.clone(), limit, sender);
        Ok((sender, receiver))
    }

    /// Registers an inbox for messages, calls and sessions with a tag, replacing an earlier one. Messages beyond the inbox
    /// limit are refused and counted.
    pub fn register(&self, tag: ProtocolTag) -> mpsc::Receiver<PeerIncoming> {
        self.router.register(tag, self.settings.inbox_limit)
    }

    /// Replaces keys and authorities without a restart. Accepted connections whose certificate the new authorities reject
    /// are closed. Outgoing connections are reopened with the new key; sessions over the old ones continue.
    ///
    /// # Errors
    ///
    /// When the keys are invalid; the old ones then stay in use.
    pub fn reload(&self, keys: &PeerKeys) -> Result<(), PeerError> {
        self.trust(keys)?;
        self.links.clear();
        Ok(())
    }

    /// Replaces keys and authorities like [`PeerEndpoint::reload`], but keeps outgoing connections. Accepted connections
    /// whose certificate the new authorities reject are closed.
    ///
    /// # Errors
    ///
    /// When the keys are invalid; the old authorities then stay in use.
    pub fn trust(&self, keys: &PeerKeys) -> Result<(), PeerError> {
        let tls = TlsConfig::new(keys, &self.settings)?;
        self.endpoint.set_server_config(Some(tls.server.clone()));
        self.drop_refused(&tls);
        self.tls.store(Arc::new(tls));
        Ok(())
    }

    /// Sends one best-effort message: it may be lost or reordered. Never waits.
    ///
    /// # Errors
    ///
    /// When the message is over the limit or the peer has no address.
    pub fn send(
        &self,
        instance: &InstanceId,
        tag: ProtocolTag,
        body: &[u8],
    ) -> Result<(), PeerError> {
        let message = self.message(MessageKind::Message, tag, body)?;
        let address = self.address(instance)?;
        let slot = self.links.slot(instance);
        let Ok(mut guard) = slot.try_lock() else {
            self.metrics.dropped.inc();
            return Ok(());
        };
        guard.touch(Instant::now());
        if let Some(connection) = guard.live(address) {
            self.send_over(&connection, message);
            return Ok(());
        }
        if !guard.can_retry(Instant::now(), address) {
            self.metrics.dropped.inc();
            return Ok(());
        }
        drop(guard);
        let this = self.clone();
        let instance = instance.clone();
        self.pool.spawn(async move {
            match this.connect(&instance).await {
                Ok(connection) => this.send_over(&connection, message),
                Err(_) => this.metrics.dropped.inc(),
            }
        });
        Ok(())
    }

    /// Sets the incarnation for all later messages.
    pub fn set_incarnation(&self, incarnation: Incarnation) {
        self.incarnation.store(incarnation, Ordering::Release);
    }

    /// Spawns a task that ends with this endpoint.
    pub(crate) fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        self.pool.spawn(work);
    }

    /// UDP datagrams and bytes sent and received over the open accepted connections, for measurements.
    pub fn traffic(&self) -> LinkTraffic {
        let accepted = self
            .accepted
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        let mut traffic = LinkTraffic::default();
        for connection in accepted.iter() {
            traffic.add(connection);
        }
        traffic
    }

    fn drop_refused(&self, tls: &TlsConfig) {
        let mut accepted = self
            .accepted
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        for connection in accepted.iter() {
            if tls.accepts(connection.peer_identity()) {
                continue;
            }
            connection.close(VarInt::from_u32(0), b"keys changed");
        }
        accepted.retain(|connection| connection.close_reason().is_none());
    }

    fn message(
        &self,
        kind: MessageKind,
        tag: ProtocolTag,
        body: &[u8],
    ) -> Result<Bytes, PeerError> {
        let from = PeerIdentity {
            incarnation: self.incarnation(),
            instance: self.instance.clone(),
        };
        let message = wire::encode_message(&MessageHeader { from, kind, tag }, body)?;
        let limit = self.settings.message_limit;
        let size = message.len();
        if size > limit {
            return TooLargeSnafu { limit, size }.fail();
        }
        Ok(message)
    }

    /// Sends a message as a datagram when it fits into one packet, otherwise over its own stream.
    fn send_over(&self, connection: &Connection, message: Bytes) {
        self.metrics.sent.inc();
        match connection.send_datagram(message.clone()) {
            Ok(()) => {}
            Err(SendDatagramError::TooLarge) => {
                let sending = send_stream(connection.clone(), message);
                let limit = self.settings.call_timeout;
                let dropped = self.metrics.dropped.clone();
                self.pool.spawn(async move {
                    if tokio::time::timeout(limit, sending).await.is_err() {
                        dropped.inc();
                    }
                });
            }
            Err(_) => self.metrics.dropped.inc(),
        }
    }

    fn start(&self) {
        let accept = AcceptLoop {
            accepted: self.accepted.clone(),
            metrics: self.metrics.clone(),
            pool: self.pool.clone(),
            router: self.router.clone(),
            room: self.room.clone(),
            settings: self.settings.clone(),
        };
        self.pool.spawn(accept.run(self.endpoint.clone()));
        let idle = self.settings.link_idle;
        self.pool.spawn(self.links.clone().run_sweep(idle));
    }
}

async fn send_stream(connection: Connection, message: Bytes) {
    let Ok(frame) = wire::frame_message(&message) else {
        return;
    };
    let Ok(mut stream) = connection.open_uni().await else {
        return;
    };
    let _ = stream.write_chunk(frame).await;
    let _ = stream.finish();
    let _ = stream.stopped().await;
}
