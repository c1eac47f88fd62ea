//! The request path, from the callers' socket to the upstreams, with the background tasks beside it.

use {
    crate::{
        RunError,
        admin::StatusSource,
        entry::{
            CloseReport, ControlTasks, EntryParts, EntryStatus, EntryTickets, PathComponents,
            PlatformHealth, start_tickets,
        },
        run_error::PeersSnafu,
    },
    door::{AdmissionGate, ApiServer},
    flow::CurrentTable,
    kernel::ShutdownSignal,
    peer::PeerEndpoint,
    snafu::ResultExt,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, task::JoinHandle, time},
};

/// The time for sending out what is written: at least this much after the last answer, and this much after requests
/// were cut off.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);

/// Everything between the callers' socket and the upstreams.
pub struct RequestPath {
    control: ControlTasks,
    cut: ShutdownSignal,
    endpoint: PeerEndpoint,
    gate: Arc<AdmissionGate>,
    server: JoinHandle<bool>,
    signal: ShutdownSignal,
    tickets: Arc<EntryTickets>,
}

impl RequestPath {
    /// Refuses new requests, hands the tickets over, waits at most `limit` for queued and running requests to end, and
    /// counts those that it cuts off. Then it tells the members and closes the links to peers.
    pub async fn close(self, limit: Duration) -> CloseReport {
        let started = Instant::now();
        self.gate.close();
        self.tickets.hand_over().await;
        let ended = time::timeout(limit, self.gate.wait_drained()).await.is_ok();
        self.tickets.send_final_records().await;
        let cut = if ended { 0 } else { self.gate.open() as u64 };
        self.cut.raise();
        self.signal.raise();
        let flush_limit = match ended {
            true => limit.saturating_sub(started.elapsed()).max(FLUSH_LIMIT),
            false => FLUSH_LIMIT,
        };
        let flushed = time::timeout(flush_limit, self.server).await;
        let is_flushed = matches!(flushed, Ok(Ok(true)));
        self.control.close().await;
        self.endpoint.close().await;
        CloseReport {
            cut: if ended && !is_flushed { 1 } else { cut },
        }
    }

    /// The gate that counts the open requests.
    pub fn gate(&self) -> Arc<AdmissionGate> {
        self.gate.clone()
    }

    /// The address for messages of other instances.
    ///
    /// # Errors
    ///
    /// The operating system does not give the socket's address.
    pub fn peers_address(&self) -> Result<SocketAddr, RunError> {
        self.endpoint.local_address().context(PeersSnafu)
    }

    /// The source of the status that `/table` reports.
    pub fn source(parts: &EntryParts) -> Arc<impl StatusSource + use<>> {
        let current_table = parts.map.get::<CurrentTable>().unwrap_or_default();
        let identity = &parts.identity;
        Arc::new(EntryStatus {
            current_table,
            health: parts.map.get::<PlatformHealth>(),
            instance: identity.instance.clone(),
            zone: identity.zone.clone(),
        })
    }

    /// Starts serving callers and peers.
    ///
    /// # Errors
    ///
    /// The address for peers can't be bound, the keys can't be used, or the platform's address is invalid.
    pub fn start(callers: TcpListener, parts: &EntryParts) -> Result<Self, RunError> {
        let components = PathComponents::new(parts)?;
        let control = ControlTasks::start(&components, parts)?;
        let cut = ShutdownSignal::new();
        let gate = Arc::new(AdmissionGate::new(
            parts.settings.limits.open_requests as usize,
        ));
        let shared = components.api_context(parts, cut.clone(), gate.clone());
        let signal = ShutdownSignal::new();
        let server = ApiServer::new(callers, Arc::new(shared));
        let members = control.members();
        let tickets = start_tickets(&components, parts, gate.clone(), server.router(), members)?;
        let server = server.with_router(tickets.clone().routes());
        let flush_limit = parts.settings.limits.close + FLUSH_LIMIT;
        let server = tokio::spawn(server.run(signal.clone(), flush_limit));
        Ok(Self {
            control,
            cut,
            endpoint: components.endpoint,
            gate,
            server,
            signal,
            tickets,
        })
    }
}
