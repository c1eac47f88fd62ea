//! The messages that entry instances exchange about tickets.

use {
    crate::ticket_answer::TicketAnswer,
    claim::{HandOverReply, IncarnationKey, Ticket},
    peer::{PeerError, ProtocolTag, SessionReceiver, SessionSender, wire},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::sync::Arc,
};

/// The protocol tag of all messages about tickets.
pub const TICKET_TAG: ProtocolTag = 0x30;

/// The maximum size of one body frame.
pub(crate) const MAX_CHUNK_BYTES: usize = 256 << 10;

/// A chunk of the body of a request, an answer or a hand-over.
pub(crate) const BODY_FRAME: ProtocolTag = 2;
/// The answer to a request whose ticket is not held here. Names the holder if it is known.
pub(crate) const ELSEWHERE_FRAME: ProtocolTag = 4;
/// Marks the end of the body of a request, an answer or a hand-over.
pub(crate) const END_FRAME: ProtocolTag = 3;
/// The first frame of a request and of its answer.
pub(crate) const HEAD_FRAME: ProtocolTag = 1;
/// The first frame of a hand-over. Its content follows as a body.
pub(crate) const HAND_OVER_FRAME: ProtocolTag = 5;
/// The first frame of the records after the last run. Their content follows as a body.
pub(crate) const FINAL_RECORDS_FRAME: ProtocolTag = 7;
/// The successor's reply to a hand-over.
pub(crate) const HAND_OVER_REPLY_FRAME: ProtocolTag = 6;

/// A header's name and value.
pub(crate) type HeaderPair = (Arc<str>, Vec<u8>);

/// The tickets of a closing instance.
pub(crate) type TicketHandOver = claim::HandOver<TicketAnswer>;

/// The head of a forwarded request, sent before its body.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ForwardHead {
    pub(crate) headers: Vec<HeaderPair>,
    pub(crate) method: Arc<str>,
    pub(crate) target: Arc<str>,
    pub(crate) ticket: Ticket,
}

/// The head of the answer to a forwarded request, sent before its body.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ReplyHead {
    pub(crate) headers: Vec<HeaderPair>,
    pub(crate) status: u16,
}

/// The answer of an instance that does not hold a ticket.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ElsewhereReply {
    /// The incarnation that holds the ticket, or `None` if it is unknown.
    pub(crate) holder: Option<IncarnationKey>,
}

/// The reply to a hand-over.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct HandOverAnswer {
    /// The incarnation that replies.
    pub(crate) from: IncarnationKey,
    pub(crate) reply: HandOverReply,
}

/// A query that is answered with an incarnation, if one is known.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum TicketQuery {
    /// Asks which incarnation holds the tickets of this one.
    Holder(IncarnationKey),
    /// Asks for the incarnation of the queried instance. It answers only while it issues permits.
    Life,
}

/// Announces that the tickets of `lives` were handed over to `successor`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct SuccessorNotice {
    pub(crate) lives: Vec<IncarnationKey>,
    pub(crate) successor: IncarnationKey,
}

/// Sends a body in chunks, followed by the end frame.
pub(crate) async fn send_body(sender: &mut SessionSender, body: &[u8]) -> Result<(), PeerError> {
    for chunk in body.chunks(MAX_CHUNK_BYTES) {
        sender.send(BODY_FRAME, chunk).await?;
    }
    sender.send(END_FRAME, &[]).await
}

/// Sends a value as one frame.
pub(crate) async fn send_value<T: Serialize>(
    sender: &mut SessionSender,
    tag: ProtocolTag,
    value: &T,
) -> Result<(), PeerError> {
    sender.send(tag, &wire::encode(value)?).await
}

/// Reads a body to its end. Returns `None` if the session breaks off or the body exceeds `limit` bytes.
pub(crate) async fn read_body(receiver: &mut SessionReceiver, limit: usize) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    while let Ok(Some(frame)) = receiver.receive().await {
        if frame.tag == END_FRAME {
            return Some(body);
        }
        if frame.tag != BODY_FRAME || body.len() + frame.body.len() > limit {
            return None;
        }
        body.extend_from_slice(&frame.body);
    }
    None
}

/// Decodes a value from the body of a frame. Returns `None` if it is malformed.
pub(crate) fn read_value<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    wire::decode(body).ok()
}
