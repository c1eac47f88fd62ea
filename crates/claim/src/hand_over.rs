//! The message by which a closing instance gives its tickets to a successor.

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

/// All tickets of an instance. Only the successor that it names may take them, so that a repeated or late copy
/// of the message can't let two instances run one ticket.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HandOver<A> {
    /// The sender.
    pub from: IncarnationKey,
    /// The sender's own life and those that it took over.
    pub lives: Vec<IncarnationHandOver<A>>,
    /// The one life that may take them.
    pub successor: IncarnationKey,
}

/// One life's tickets.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct IncarnationHandOver<A> {
    /// The age of the life when the message was made: the successor's clock for it starts here, and so is never
    /// ahead of what the sender judged by.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// The kept answers.
    pub answers: Vec<(TicketSerial, A)>,
    /// Checks the tickets of the life.
    pub check_key: CheckKey,
    /// The life.
    pub life: IncarnationKey,
    /// The used tickets. Those that were running are told as unknown.
    pub records: Vec<(TicketSerial, TicketRecord)>,
    /// Records with an expiry below this one are gone, milliseconds of the life's age.
    pub swept_ms: u64,
}

/// What the addressee says to a hand-over.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HandOverReply {
    /// It holds the tickets, from this message or an earlier copy.
    Accepted,
    /// It does not hold them, and never will by this message.
    Refused,
}
