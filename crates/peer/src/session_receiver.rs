//! The receiving end of a session.

use {
    crate::{
        peer_error::{GarbledSnafu, LostSnafu, PeerError, WireVersionSnafu},
        session_place::SessionPlace,
        session_sender::{FRAME_HEADER_LENGTH, SessionFrame},
        wire::{self, WIRE_VERSION},
    },
    bytes::{Buf, Bytes},
    kernel::InstanceId,
    quinn::{Connection, RecvStream},
};

/// Receives the frames of a session in order. Dropping it tells the peer to stop sending.
#[derive(Debug)]
pub struct SessionReceiver {
    // Keeps the connection open while the session lives.
    _connection: Connection,
    instance: InstanceId,
    limit: usize,
    stream: RecvStream,
    // Given back after the stream, whose unread data then counts no more.
    _place: SessionPlace,
}

impl SessionReceiver {
    pub(crate) fn new(
        connection: Connection,
        instance: InstanceId,
        limit: usize,
        place: SessionPlace,
        stream: RecvStream,
    ) -> Self {
        Self {
            _place: place,
            _connection: connection,
            instance,
            limit,
            stream,
        }
    }

    /// Closes the receiving direction: the peer is told to stop sending.
    pub fn close(mut self) {
        let _ = self.stream.stop(0_u32.into());
    }

    /// The peer.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Receives the next frame; `None` when the peer closed its end. Not cancel-safe: dropping the future halfway loses the
    /// position in the stream, so a dedicated task should receive.
    ///
    /// # Errors
    ///
    /// When the peer declined the session, the connection is lost, or a frame is over the limit or has another wire version.
    pub async fn receive(&mut self) -> Result<Option<SessionFrame>, PeerError> {
        let limit = self.limit + FRAME_HEADER_LENGTH;
        let content = match wire::read_frame(&mut self.stream, limit).await {
            Ok(Some(content)) => content,
            Ok(None) => return Ok(None),
            Err(PeerError::Garbled { detail }) => {
                return LostSnafu {
                    detail,
                    instance: self.instance.clone(),
                }
                .fail();
            }
            Err(error) => return Err(error),
        };
        decode_frame(content).map(Some)
    }
}

fn decode_frame(mut content: Bytes) -> Result<SessionFrame, PeerError> {
    if content.len() < FRAME_HEADER_LENGTH {
        return GarbledSnafu {
            detail: "the frame is truncated",
        }
        .fail();
    }
    let version = content.get_u16_le();
    if version != WIRE_VERSION {
        return WireVersionSnafu {
            ours: WIRE_VERSION,
            version,
        }
        .fail();
    }
    let tag = content.get_u16_le();
    Ok(SessionFrame { body: content, tag })
}
