//! The message that hands the tickets of a closing instance over to a successor.

use {
    crate::{
        incarnation_key::IncarnationKey,
        ticket::{CheckKey, TicketSerial},
        ticket_state::TicketRecord,
    },
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::time::Duration,
};

/// All tickets of an instance. Only the named successor may take them, so that a duplicated or late message cannot
/// let two instances run the same ticket.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HandOver<A> {
    /// The sender.
    pub from: IncarnationKey,
    /// The tickets of the sender's own incarnation and of those that it took over.
    pub lives: Vec<IncarnationHandOver<A>>,
    /// The only incarnation that may take them.
    pub successor: IncarnationKey,
}

/// The tickets of one incarnation.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct IncarnationHandOver<A> {
    /// The age of the incarnation when the message was created. The successor's clock for it starts at this
    /// value, so it is never ahead of the sender's.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// The cached answers.
    pub answers: Vec<(TicketSerial, A)>,
    /// The key for the check of these tickets.
    pub check_key: CheckKey,
    /// The incarnation that minted the tickets.
    pub life: IncarnationKey,
    /// The used tickets. Runs in flight are reported as unknown.
    pub records: Vec<(TicketSerial, TicketRecord)>,
    /// Records with an expiry below this age of the incarnation, in milliseconds, have been removed.
    pub swept_ms: u64,
}

/// The reply to a hand-over.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HandOverReply {
    /// The replying instance holds the tickets, from this message or an earlier copy.
    Accepted,
    /// The replying instance does not hold them, and never will because of this message.
    Refused,
}
