//! The wire format of messages.
//!
//! A message consists of the wire version, the length of its header, the header and the body. On a stream, a message is
//! preceded by its total length. All integers are little-endian.

use {
    crate::{
        ProtocolTag,
        accept_loop::SESSION_DECLINED,
        peer_error::{GarbledSnafu, PeerError, TooLargeSnafu, WireVersionSnafu},
        peer_identity::PeerIdentity,
    },
    bytes::{BufMut, Bytes, BytesMut},
    quinn::{ReadError, RecvStream},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
};

/// The version of the wire format. Any change of a message's fields raises it, including added fields, because the codec
/// does not write field names. Version 2 added `platform_age` to heartbeats.
pub const WIRE_VERSION: u16 = 17;

const HEADER_LENGTH_OFFSET: usize = 2;
const HEADER_OFFSET: usize = 4;

/// How a message is to be handled.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MessageKind {
    /// A request that expects an answer.
    Call,
    /// A best-effort message without an answer.
    Message,
    /// The start of a long-lived, bidirectional stream of frames.
    Session,
}

/// The header of a message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MessageHeader {
    /// The sender.
    pub from: PeerIdentity,
    /// How the message is to be handled.
    pub kind: MessageKind,
    /// The protocol that the message belongs to.
    pub tag: ProtocolTag,
}

/// Encodes a value as a message body.
///
/// # Errors
///
/// When the value can't be encoded, such as a sequence of unknown length.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, PeerError> {
    let body = postcard::to_stdvec(value).map_err(|error| garbled(&error))?;
    Ok(body.into())
}

/// Decodes a value from a message body.
///
/// # Errors
///
/// When the body is not such a value, or has bytes after it.
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

/// Encodes a message: version, header, body.
///
/// # Errors
///
/// When the header can't be encoded.
pub fn encode_message(header: &MessageHeader, body: &[u8]) -> Result<Bytes, PeerError> {
    let header = encode(header)?;
    let length = u16::try_from(header.len()).map_err(|error| garbled(&error))?;
    let mut message = BytesMut::with_capacity(HEADER_OFFSET + header.len() + body.len());
    message.put_u16_le(WIRE_VERSION);
    message.put_u16_le(length);
    message.put_slice(&header);
    message.put_slice(body);
    Ok(message.freeze())
}

/// Decodes a message into its header and its body.
///
/// # Errors
///
/// When it has another wire version or can't be decoded.
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
            detail: "the header is truncated",
        }
        .fail();
    }
    let header = decode(&message[HEADER_OFFSET..body_at])?;
    Ok((header, message.slice(body_at..)))
}

/// Prefixes a message with its length, for sending it on a stream.
pub fn frame_message(message: &[u8]) -> Result<Bytes, PeerError> {
    let length = u32::try_from(message.len()).map_err(|error| garbled(&error))?;
    let mut frame = BytesMut::with_capacity(4 + message.len());
    frame.put_u32_le(length);
    frame.put_slice(message);
    Ok(frame.freeze())
}

/// Reads one length-prefixed message from a stream; `None` at the end of the stream.
///
/// # Errors
///
/// When the length is over the limit or the stream ends early.
pub async fn read_frame(stream: &mut RecvStream, limit: usize) -> Result<Option<Bytes>, PeerError> {
    let mut prefix = [0; 4];
    let Some(count) = stream.read(&mut prefix).await.map_err(read_error)? else {
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

fn read_error(error: ReadError) -> PeerError {
    match error {
        ReadError::Reset(code) if code == SESSION_DECLINED.into() => PeerError::Declined,
        error => garbled(&error),
    }
}

fn read_u16(message: &[u8], at: usize) -> Result<u16, PeerError> {
    let Some(bytes) = message.get(at..at + 2) else {
        return GarbledSnafu {
            detail: "the message is truncated",
        }
        .fail();
    };
    Ok(u16::from_le_bytes([bytes[0], bytes[1]]))
}
