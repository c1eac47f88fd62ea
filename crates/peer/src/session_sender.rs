//! The sending end of a session.

use {
    crate::{
        ProtocolTag,
        peer_error::{LostSnafu, PeerError, TooLargeSnafu},
        wire::WIRE_VERSION,
    },
    bytes::{BufMut, Bytes, BytesMut},
    kernel::InstanceId,
    quinn::{Connection, SendStream},
};

/// One frame of a session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SessionFrame {
    /// The content.
    pub body: Bytes,
    /// The kind of frame, defined by the session's protocol.
    pub tag: ProtocolTag,
}

/// The size of a session frame's length field, and of its wire version and tag together, in bytes.
pub(crate) const FRAME_HEADER_LENGTH: usize = 4;

/// QUIC stream error code of a session that was dropped before it was closed.
const SESSION_ABORTED: u32 = 2;

/// Sends the frames of a session in order. Dropping it without [`SessionSender::close`] aborts the session.
#[derive(Debug)]
pub struct SessionSender {
    closed: bool,
    // Keeps the connection open while the session lives.
    _connection: Connection,
    instance: InstanceId,
    limit: usize,
    stream: SendStream,
}

impl SessionSender {
    pub(crate) fn new(
        connection: Connection,
        instance: InstanceId,
        limit: usize,
        stream: SendStream,
    ) -> Self {
        Self {
            closed: false,
            _connection: connection,
            instance,
            limit,
            stream,
        }
    }

    /// Closes this direction: the peer receives all sent frames, then the end of the stream.
    pub async fn close(mut self) {
        self.closed = true;
        let _ = self.stream.finish();
        let _ = self.stream.stopped().await;
    }

    /// The peer.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Sends one frame; waits while the peer applies backpressure.
    ///
    /// # Errors
    ///
    /// When the frame is over the limit or the connection is lost.
    pub async fn send(&mut self, tag: ProtocolTag, body: &[u8]) -> Result<(), PeerError> {
        let size = body.len();
        if size > self.limit {
            return TooLargeSnafu {
                limit: self.limit,
                size,
            }
            .fail();
        }
        let frame = encode_frame(tag, body);
        self.stream.write_chunk(frame).await.map_err(|error| {
            LostSnafu {
                detail: error.to_string(),
                instance: self.instance.clone(),
            }
            .build()
        })
    }
}

// quinn finishes a dropped stream, which the peer could not tell from a complete session.
impl Drop for SessionSender {
    fn drop(&mut self) {
        if self.closed {
            return;
        }
        let _ = self.stream.reset(SESSION_ABORTED.into());
    }
}

fn encode_frame(tag: ProtocolTag, body: &[u8]) -> Bytes {
    let length = (body.len() + FRAME_HEADER_LENGTH) as u32;
    let mut frame = BytesMut::with_capacity(body.len() + 2 * FRAME_HEADER_LENGTH);
    frame.put_u32_le(length);
    frame.put_u16_le(WIRE_VERSION);
    frame.put_u16_le(tag);
    frame.put_slice(body);
    frame.freeze()
}
