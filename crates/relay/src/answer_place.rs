//! Where an answer stands among those of its connection.

use {
    crate::ConnectionSerial,
    std::fmt::{self, Display, Formatter},
};

/// An answer of a connection to an upstream, as a step of a trace states it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerPlace {
    /// The number of the answer on its connection, from 1.
    pub answer: u64,
    /// The connection.
    pub connection: ConnectionSerial,
}

impl Display for AnswerPlace {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { answer, connection } = self;
        write!(formatter, "answer {answer} of connection {connection}")
    }
}
