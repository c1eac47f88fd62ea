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
    /// What kind of frame it is, by the session's own protocol.
    pub tag: ProtocolTag,
}

/// The bytes of a session frame's length field.
pub(crate) const FRAME_HEADER_LENGTH: usize = 4;

/// The stream error code of a session that was dropped before its end.
const SESSION_ABORTED: u32 = 2;

/// Sends the frames of a session in order. Dropping it without [`SessionSender::close`] breaks the session off.
#[derive(Debug)]
pub struct SessionSender {
    closed: bool,
    // Keeps the connection open for as long as the session.
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

    /// Ends this direction: the peer reads all frames sent, then the end.
    pub async fn close(mut self) {
        self.closed = true;
        let _ = self.stream.finish();
        let _ = self.stream.stopped().await;
    }

    /// The peer.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Sends one frame; waits while the peer reads too slowly.
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

// The library would end a dropped stream as if it were whole.
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
