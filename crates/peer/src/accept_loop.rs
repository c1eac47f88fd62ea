//! Accepts connections and dispatches the messages, calls and sessions that arrive over them.

use {
    crate::{
        link_load::OpenCount,
        peer_error::{NameMismatchSnafu, PeerError},
        peer_identity::PeerIdentity,
        peer_incoming::{CallReply, PeerIncoming},
        peer_metrics::{PeerMetrics, RefusedCause},
        peer_router::{PeerRouter, RouteFailure},
        peer_settings::PeerSettings,
        session_receiver::SessionReceiver,
        session_room::SessionRoom,
        session_sender::SessionSender,
        tls_config,
        wire::{self, MessageHeader, MessageKind},
    },
    bytes::Bytes,
    kernel::{InstanceId, WorkerPool},
    quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream},
    rustls::{client::verify_server_name, pki_types::ServerName, server::ParsedCertificate},
    std::sync::{Arc, Mutex, OnceLock},
};

/// State shared by the tasks that serve accepted connections.
#[derive(Clone, Debug)]
pub(crate) struct AcceptLoop {
    pub(crate) accepted: Arc<Mutex<Vec<Connection>>>,
    pub(crate) metrics: PeerMetrics,
    pub(crate) pool: WorkerPool,
    pub(crate) router: PeerRouter,
    pub(crate) room: SessionRoom,
    pub(crate) settings: Arc<PeerSettings>,
}

/// One accepted connection; `name` is set once the first message was checked against the certificate.
#[derive(Clone)]
struct AcceptedLink {
    connection: Connection,
    name: Arc<OnceLock<InstanceId>>,
    shared: AcceptLoop,
}

impl AcceptLoop {
    /// Accepts connections until the endpoint closes.
    pub(crate) async fn run(self, endpoint: Endpoint) {
        while let Some(incoming) = endpoint.accept().await {
            let shared = self.clone();
            self.pool.spawn(shared.serve(incoming));
        }
    }

    async fn serve(self, incoming: Incoming) {
        let Ok(connection) = incoming.await else {
            self.metrics.refuse(RefusedCause::Key);
            return;
        };
        self.track(&connection);
        let link = AcceptedLink {
            connection,
            name: Arc::default(),
            shared: self,
        };
        link.clone().run().await;
        link.shared.drop_closed();
    }

    /// Lets go of closed connections, whose state lasts as long as anything refers to them.
    fn drop_closed(&self) {
        let mut accepted = self
            .accepted
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        accepted.retain(|known| known.close_reason().is_none());
    }

    fn track(&self, connection: &Connection) {
        let mut accepted = self
            .accepted
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        accepted.push(connection.clone());
    }

    fn count_error(&self, error: &PeerError) {
        let cause = match error {
            PeerError::NameMismatch { .. } => RefusedCause::Name,
            PeerError::TooLarge { .. } => RefusedCause::Oversized,
            PeerError::WireVersion { .. } => RefusedCause::Version,
            _ => RefusedCause::Garbled,
        };
        self.metrics.refuse(cause);
    }

    fn dispatch(&self, tag: u16, incoming: PeerIncoming) {
        match self.router.dispatch(tag, incoming) {
            Ok(()) => self.metrics.received.inc(),
            Err(RouteFailure::Full) => self.metrics.refuse(RefusedCause::Overload),
            Err(RouteFailure::Missing) => self.metrics.refuse(RefusedCause::Tag),
        }
    }
}

impl AcceptedLink {
    async fn run(self) {
        loop {
            tokio::select! {
                datagram = self.connection.read_datagram() => {
                    let Ok(datagram) = datagram else { return };
                    self.handle_message(&datagram);
                }
                stream = self.connection.accept_uni() => {
                    let Ok(stream) = stream else { return };
                    self.shared.pool.spawn(self.clone().handle_uni(stream));
                }
                stream = self.connection.accept_bi() => {
                    let Ok((sender, receiver)) = stream else { return };
                    self.shared.pool.spawn(self.clone().handle_bi(sender, receiver));
                }
            }
        }
    }

    fn read_message(&self, message: &Bytes) -> Result<(MessageHeader, Bytes), PeerError> {
        let (header, body) = wire::decode_message(message)?;
        self.check_name(&header.from)?;
        Ok((header, body))
    }

    /// Checks the first message's name against the certificate; later messages must carry the same name.
    fn check_name(&self, from: &PeerIdentity) -> Result<(), PeerError> {
        let claimed = from.instance.clone();
        if let Some(name) = self.name.get() {
            if *name == claimed {
                return Ok(());
            }
            return NameMismatchSnafu { claimed }.fail();
        }
        if !certificate_names(&self.connection, &claimed) {
            return NameMismatchSnafu { claimed }.fail();
        }
        let _ = self.name.set(claimed);
        Ok(())
    }

    fn handle_message(&self, message: &Bytes) {
        let (header, body) = match self.read_message(message) {
            Ok(read) => read,
            Err(error) => return self.shared.count_error(&error),
        };
        if header.kind != MessageKind::Message {
            return self.shared.metrics.refuse(RefusedCause::Garbled);
        }
        let from = header.from;
        self.shared
            .dispatch(header.tag, PeerIncoming::Message { body, from });
    }

    async fn handle_uni(self, mut stream: RecvStream) {
        let _open = OpenCount::new(&self.shared.metrics.open_streams);
        match self.read_first(&mut stream).await {
            Ok(message) => self.handle_message(&message),
            Err(error) => self.shared.count_error(&error),
        }
    }

    async fn read_first(&self, stream: &mut RecvStream) -> Result<Bytes, PeerError> {
        let limit = self.shared.settings.message_limit;
        let read = wire::read_frame(stream, limit);
        let frame = tokio::time::timeout(self.shared.settings.call_timeout, read).await;
        match frame {
            Ok(Ok(Some(message))) => Ok(message),
            Ok(Err(error)) => Err(error),
            Ok(Ok(None)) | Err(_) => Err(PeerError::Garbled {
                detail: "the stream has no message".to_owned(),
            }),
        }
    }

    async fn handle_bi(self, sender: SendStream, mut receiver: RecvStream) {
        let _open = OpenCount::new(&self.shared.metrics.open_streams);
        let read = self.read_first(&mut receiver).await;
        let read = read.and_then(|message| self.read_message(&message));
        let (header, body) = match read {
            Ok(read) => read,
            Err(error) => return self.shared.count_error(&error),
        };
        match header.kind {
            MessageKind::Call => self.handle_call(header, body, sender).await,
            MessageKind::Message => self.shared.metrics.refuse(RefusedCause::Garbled),
            MessageKind::Session => self.handle_session(header, sender, receiver),
        }
    }

    /// Resets the stream when the handler drops the call without an answer; the caller sees that as a refusal.
    async fn handle_call(&self, header: MessageHeader, body: Bytes, mut sender: SendStream) {
        let (reply, answer) = CallReply::pair();
        let incoming = PeerIncoming::Call {
            body,
            from: header.from,
            reply,
        };
        self.shared.dispatch(header.tag, incoming);
        let answer = tokio::select! {
            answer = answer => answer,
            _ = sender.stopped() => return,
        };
        let Ok(frame) = answer.map_or(Err(PeerError::Closing), |body| wire::frame_message(&body))
        else {
            let _ = sender.reset(CALL_REFUSED.into());
            return;
        };
        let _ = sender.write_chunk(frame).await;
        let _ = sender.finish();
        let _ = sender.stopped().await;
    }

    fn handle_session(&self, header: MessageHeader, mut sender: SendStream, receiver: RecvStream) {
        let Some(place) = self.shared.room.take(&self.connection) else {
            self.shared.metrics.refuse(RefusedCause::Overload);
            let _ = sender.reset(SESSION_DECLINED.into());
            return;
        };
        let limit = self.shared.settings.frame_limit;
        let instance = &header.from.instance;
        let connection = &self.connection;
        let receiver =
            SessionReceiver::new(connection.clone(), instance.clone(), limit, place, receiver);
        let sender = SessionSender::new(connection.clone(), instance.clone(), limit, sender);
        let incoming = PeerIncoming::Session {
            from: header.from,
            receiver,
            sender,
        };
        self.shared.dispatch(header.tag, incoming);
    }
}

/// QUIC stream error code of a session that there is no room for.
pub(crate) const SESSION_DECLINED: u32 = 3;
/// QUIC stream error code of a refused call.
pub(crate) const CALL_REFUSED: u32 = 1;

fn certificate_names(connection: &Connection, claimed: &str) -> bool {
    let Some(chain) = tls_config::certificate_chain(connection.peer_identity()) else {
        return false;
    };
    let Some(first) = chain.first() else {
        return false;
    };
    let Ok(certificate) = ParsedCertificate::try_from(first) else {
        return false;
    };
    let Ok(name) = ServerName::try_from(claimed) else {
        return false;
    };
    verify_server_name(&certificate, &name).is_ok()
}
