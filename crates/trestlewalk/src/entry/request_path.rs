//! The request path, from the callers' socket to the upstreams, with the control work around it.

use {
    crate::{
        RunError,
        admin::StatusSource,
        entry::{
            BoardStatus, CloseReport, ControlWork, EntryParts, EntryTickets, PathBase,
            PlatformHealth, start_tickets,
        },
        run_error::PeersSnafu,
    },
    door::{AdmissionGate, DoorServer},
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

/// The least time after the last answer, and the time after a cut, in which what is written still goes out.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);

/// Everything between the callers' socket and the upstreams.
pub struct RequestPath {
    control: ControlWork,
    cut: ShutdownSignal,
    endpoint: PeerEndpoint,
    gate: Arc<AdmissionGate>,
    server: JoinHandle<bool>,
    signal: ShutdownSignal,
    tickets: Arc<EntryTickets>,
}

impl RequestPath {
    /// Takes no new request, hands the tickets over, lets queued and running ones end for at most `limit`, and counts
    /// those that it cuts off. Then the members are told, and the links close.
    pub async fn close(self, limit: Duration) -> CloseReport {
        let started = Instant::now();
        self.gate.shut();
        self.tickets.hand_over().await;
        let ended = time::timeout(limit, self.gate.empty()).await.is_ok();
        self.tickets.hand_over_ends().await;
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

    /// Counts the open requests.
    pub fn gate(&self) -> Arc<AdmissionGate> {
        self.gate.clone()
    }

    /// Where other instances send messages.
    ///
    /// # Errors
    ///
    /// The system does not know the socket's address.
    pub fn peers_address(&self) -> Result<SocketAddr, RunError> {
        self.endpoint.local_address().context(PeersSnafu)
    }

    /// Which table is in force.
    pub fn source(parts: &EntryParts) -> Arc<impl StatusSource + use<>> {
        let board = parts.map.get::<CurrentTable>().unwrap_or_default();
        let identity = &parts.identity;
        Arc::new(BoardStatus {
            board,
            health: parts.map.get::<PlatformHealth>(),
            instance: identity.instance.clone(),
            zone: identity.zone.clone(),
        })
    }

    /// Starts to answer callers and peers.
    ///
    /// # Errors
    ///
    /// The address for peers can't be bound, the keys can't be used, or the platform's address is none.
    pub fn start(callers: TcpListener, parts: &EntryParts) -> Result<Self, RunError> {
        let base = PathBase::new(parts)?;
        let control = ControlWork::start(&base, parts)?;
        let cut = ShutdownSignal::new();
        let gate = Arc::new(AdmissionGate::new(
            parts.settings.limits.open_requests as usize,
        ));
        let shared = base.door_shared(parts, cut.clone(), gate.clone());
        let signal = ShutdownSignal::new();
        let server = DoorServer::new(callers, Arc::new(shared));
        let members = control.members();
        let tickets = start_tickets(&base, parts, gate.clone(), server.router(), members)?;
        let server = server.with_router(tickets.clone().routes());
        let flush_limit = parts.settings.limits.close + FLUSH_LIMIT;
        let server = tokio::spawn(server.run(signal.clone(), flush_limit));
        Ok(Self {
            control,
            cut,
            endpoint: base.endpoint,
            gate,
            server,
            signal,
            tickets,
        })
    }
}
