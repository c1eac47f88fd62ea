//! How messages look on the wire.
//!
//! A message is its wire version, the length of its head, the head, and the body. On a stream a frame goes before
//! with the message's whole length. All lengths are little-endian.

use {
    crate::{
        ProtocolTag,
        peer_error::{GarbledSnafu, PeerError, TooLargeSnafu, WireVersionSnafu},
        peer_identity::PeerIdentity,
    },
    bytes::{BufMut, Bytes, BytesMut},
    quinn::RecvStream,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
};

/// The version of the wire format that this release speaks. Any change of a message's fields raises it, added fields
/// too: the codec names no fields. 2 added `platform_age` to heartbeats.
pub const WIRE_VERSION: u16 = 9;

const HEADER_LENGTH_OFFSET: usize = 2;
const HEADER_OFFSET: usize = 4;

/// What a message asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MessageKind {
    /// An answer.
    Call,
    /// Nothing: it is best effort.
    Message,
    /// A long-lived stream of frames both ways.
    Session,
}

/// What goes before each message's body.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MessageHeader {
    /// Who sends it.
    pub from: PeerIdentity,
    /// What it asks for.
    pub kind: MessageKind,
    /// Which part of the system it is for.
    pub tag: ProtocolTag,
}

/// Writes a value as a body.
///
/// # Errors
///
/// When the value can't be written, such as a sequence of unknown length.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, PeerError> {
    let body = postcard::to_stdvec(value).map_err(|error| garbled(&error))?;
    Ok(body.into())
}

/// Reads a value from a body.
///
/// # Errors
///
/// When the body is no such value, or goes on after it.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PeerError> {
    let (value, rest) = postcard::take_from_bytes(body).map_err(|error| garbled(&error))?;
    if !rest.is_empty() {
        return GarbledSnafu {
            detail: format!("{} bytes follow the value", rest.len()),
        }
        .fail();
    }
    Ok(value)
}

/// Writes a message: version, head, body.
///
/// # Errors
///
/// When the head can't be written.
pub fn encode_message(head: &MessageHeader, body: &[u8]) -> Result<Bytes, PeerError> {
    let head = encode(head)?;
    let length = u16::try_from(head.len()).map_err(|error| garbled(&error))?;
    let mut message = BytesMut::with_capacity(HEADER_OFFSET + head.len() + body.len());
    message.put_u16_le(WIRE_VERSION);
    message.put_u16_le(length);
    message.put_slice(&head);
    message.put_slice(body);
    Ok(message.freeze())
}

/// Reads a message: its head, and its body.
///
/// # Errors
///
/// When it has another wire version or can't be read.
pub fn decode_message(message: &Bytes) -> Result<(MessageHeader, Bytes), PeerError> {
    let version = read_u16(message, 0)?;
    if version != WIRE_VERSION {
        return WireVersionSnafu {
            ours: WIRE_VERSION,
            version,
        }
        .fail();
    }
    let length = usize::from(read_u16(message, HEADER_LENGTH_OFFSET)?);
    let body_at = HEADER_OFFSET + length;
    if body_at > message.len() {
        return GarbledSnafu {
            detail: "the head is cut off",
        }
        .fail();
    }
    let head = decode(&message[HEADER_OFFSET..body_at])?;
    Ok((head, message.slice(body_at..)))
}

/// A message with its length before it, as it goes on a stream.
pub fn frame_message(message: &[u8]) -> Result<Bytes, PeerError> {
    let length = u32::try_from(message.len()).map_err(|error| garbled(&error))?;
    let mut frame = BytesMut::with_capacity(4 + message.len());
    frame.put_u32_le(length);
    frame.put_slice(message);
    Ok(frame.freeze())
}

/// Reads one length and so many bytes from a stream; none at its end.
///
/// # Errors
///
/// When the length is over the limit or the stream breaks off.
pub async fn read_frame(stream: &mut RecvStream, limit: usize) -> Result<Option<Bytes>, PeerError> {
    let mut prefix = [0; 4];
    let Some(count) = stream
        .read(&mut prefix)
        .await
        .map_err(|error| garbled(&error))?
    else {
        return Ok(None);
    };
    stream
        .read_exact(&mut prefix[count..])
        .await
        .map_err(|error| garbled(&error))?;
    let size = u32::from_le_bytes(prefix) as usize;
    if size > limit {
        return TooLargeSnafu { limit, size }.fail();
    }
    let mut content = BytesMut::zeroed(size);
    stream
        .read_exact(&mut content)
        .await
        .map_err(|error| garbled(&error))?;
    Ok(Some(content.freeze()))
}

fn garbled(error: &dyn std::fmt::Display) -> PeerError {
    GarbledSnafu {
        detail: error.to_string(),
    }
    .build()
}

fn read_u16(message: &[u8], at: usize) -> Result<u16, PeerError> {
    let Some(bytes) = message.get(at..at + 2) else {
        return GarbledSnafu {
            detail: "the message is cut off",
        }
        .fail();
    };
    Ok(u16::from_le_bytes([bytes[0], bytes[1]]))
}
