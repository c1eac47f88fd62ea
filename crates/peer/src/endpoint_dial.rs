//! Outgoing connections of an endpoint: one to each peer, opened on demand.

use {
    crate::{
        ProtocolTag,
        link_slot::LinkSlot,
        peer_endpoint::PeerEndpoint,
        peer_error::{
            BusySnafu, ClosingSnafu, ConnectSnafu, LostSnafu, PeerError, RefusedSnafu,
            TooLargeSnafu, UnknownPeerSnafu,
        },
        wire,
    },
    bytes::Bytes,
    kernel::InstanceId,
    quinn::{Connection, RecvStream, SendStream},
    snafu::OptionExt,
    std::{net::SocketAddr, time::Instant},
    tokio::sync::oneshot,
};

impl PeerEndpoint {
    pub(crate) fn address(&self, instance: &InstanceId) -> Result<SocketAddr, PeerError> {
        self.addresses
            .address(instance)
            .with_context(|| UnknownPeerSnafu {
                instance: instance.clone(),
            })
    }

    /// The connection to a peer, a new one if there is none. An attempt goes on when the caller leaves, so that it serves
    /// the next one; those that wait for it leave with their callers.
    pub(crate) async fn connect(&self, instance: &InstanceId) -> Result<Connection, PeerError> {
        self.address(instance)?;
        let slot = self.links.slot(instance);
        let mut slot = slot.lock_owned().await;
        // It may have changed while another attempt was waited for.
        let address = self.address(instance)?;
        slot.touch(Instant::now());
        if let Some(connection) = slot.live(address) {
            return Ok(connection);
        }
        let this = self.clone();
        let peer = instance.clone();
        let (ended, connecting) = oneshot::channel();
        self.pool.spawn(async move {
            // Fails only when the caller has left.
            let _ = ended.send(this.connect_slot(&peer, address, &mut slot).await);
        });
        // The attempt is dropped only when the endpoint closes.
        connecting.await.unwrap_or_else(|_| ClosingSnafu.fail())
    }

    async fn connect_slot(
        &self,
        instance: &InstanceId,
        address: SocketAddr,
        slot: &mut LinkSlot,
    ) -> Result<Connection, PeerError> {
        let attempt = self.attempt(instance, address);
        let result = tokio::time::timeout(self.settings.connect_timeout, attempt).await;
        let result = result.unwrap_or_else(|_| Err("no answer in time".to_owned()));
        match result {
            Ok(connection) => {
                self.metrics.links.inc();
                slot.put(address, connection.clone());
                Ok(connection)
            }
            Err(detail) => {
                slot.fail(Instant::now());
                let instance = instance.clone();
                ConnectSnafu { detail, instance }.fail()
            }
        }
    }

    async fn attempt(&self, instance: &str, address: SocketAddr) -> Result<Connection, String> {
        let config = self.tls.load().client.clone();
        let connecting = self
            .endpoint
            .connect_with(config, address, instance)
            .map_err(|error| error.to_string())?;
        connecting.await.map_err(|error| error.to_string())
    }

    pub(crate) async fn exchange(
        &self,
        connection: &Connection,
        instance: &InstanceId,
        tag: ProtocolTag,
        message: &[u8],
    ) -> Result<Bytes, PeerError> {
        let (mut sender, mut receiver) = self.start_stream(connection, instance, message).await?;
        let _ = sender.finish();
        let answer = wire::read_frame(&mut receiver, self.settings.reply_limit).await;
        match answer {
            Ok(Some(answer)) => Ok(answer),
            Err(PeerError::TooLarge { limit, size }) => TooLargeSnafu { limit, size }.fail(),
            Ok(None) | Err(_) if connection.close_reason().is_none() => RefusedSnafu {
                instance: instance.clone(),
                tag,
            }
            .fail(),
            Ok(None) | Err(_) => LostSnafu {
                detail: "the connection closed before the answer",
                instance: instance.clone(),
            }
            .fail(),
        }
    }

    pub(crate) async fn start_stream(
        &self,
        connection: &Connection,
        instance: &InstanceId,
        message: &[u8],
    ) -> Result<(SendStream, RecvStream), PeerError> {
        let frame = wire::frame_message(message)?;
        let lost = |detail: String| {
            let instance = instance.clone();
            LostSnafu { detail, instance }.build()
        };
        let opening = tokio::time::timeout(self.settings.stream_wait, connection.open_bi());
        let Ok(opened) = opening.await else {
            let instance = instance.clone();
            return BusySnafu { instance }.fail();
        };
        let (mut sender, receiver) = opened.map_err(|error| lost(error.to_string()))?;
        sender
            .write_chunk(frame)
            .await
            .map_err(|error| lost(error.to_string()))?;
        self.metrics.sent.inc();
        Ok((sender, receiver))
    }
}
