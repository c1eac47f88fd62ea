//! The messages between entry instances about tickets.

use {
    crate::ticket_answer::TicketAnswer,
    claim::{HandOverReply, LifeKey, Ticket},
    peer::{PeerError, ProtocolTag, SessionReceiver, SessionSender, wire},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::sync::Arc,
};

/// The tag of all messages about tickets.
pub const TICKET_TAG: ProtocolTag = 0x30;

/// The most bytes of a body in one frame.
pub(crate) const MAX_CHUNK_BYTES: usize = 256 << 10;

/// A piece of the body; both ways.
pub(crate) const BODY_FRAME: ProtocolTag = 2;
/// The answer to a request that is not held here: who holds its ticket, if that is known.
pub(crate) const ELSEWHERE_FRAME: ProtocolTag = 4;
/// The body is whole; both ways.
pub(crate) const END_FRAME: ProtocolTag = 3;
/// The first frame of a request, and of its answer.
pub(crate) const HEAD_FRAME: ProtocolTag = 1;
/// The first frame of a hand-over, whose content follows as a body.
pub(crate) const HAND_OVER_FRAME: ProtocolTag = 5;
/// The first frame of the records as they are after the last run, whose content follows as a body.
pub(crate) const FINAL_RECORDS_FRAME: ProtocolTag = 7;
/// What the successor says to a hand-over.
pub(crate) const HAND_OVER_REPLY_FRAME: ProtocolTag = 6;

/// A header's name and value.
pub(crate) type HeaderPair = (Arc<str>, Vec<u8>);

/// The tickets of a closing instance.
pub(crate) type TicketHandOver = claim::HandOver<TicketAnswer>;

/// What goes before the body of a request that is passed on.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ForwardHead {
    pub(crate) headers: Vec<HeaderPair>,
    pub(crate) method: Arc<str>,
    pub(crate) target: Arc<str>,
    pub(crate) ticket: Ticket,
}

/// What goes before the body of its answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ReplyHead {
    pub(crate) headers: Vec<HeaderPair>,
    pub(crate) status: u16,
}

/// The answer of an instance that does not hold a ticket.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ElsewhereReply {
    pub(crate) holder: Option<LifeKey>,
}

/// The answer to a hand-over, by the life that gives it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct HandOverAnswer {
    pub(crate) from: LifeKey,
    pub(crate) reply: HandOverReply,
}

/// A short question.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum TicketQuery {
    /// Which life holds the tickets of this one.
    Holder(LifeKey),
    /// Which life answers here.
    Life,
}

/// Tells of lives that were handed over, and to whom.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct SuccessorNotice {
    pub(crate) lives: Vec<LifeKey>,
    pub(crate) successor: LifeKey,
}

/// Sends a body in pieces, and its end.
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

/// Reads a body to its end; none when it breaks off or is larger than `limit`.
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

/// Reads a value from a frame's body.
pub(crate) fn read_value<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    wire::decode(body).ok()
}
