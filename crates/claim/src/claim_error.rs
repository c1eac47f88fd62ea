//! Errors in minting and parsing tickets.

use {snafu::Snafu, std::num::ParseIntError, std::sync::Arc};

/// Why a ticket was not minted or parsed.
#[derive(Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum ClaimError {
    /// As many tickets are in use as the settings allow.
    #[snafu(display("{limit} tickets are outstanding, which is the limit"))]
    MintLimit {
        /// The limit.
        limit: usize,
    },
    /// A name is empty, too long, or has a character that tickets do not allow.
    #[snafu(display("the ticket's {field} `{name}` has to be 1 to 64 of `a-z A-Z 0-9 . _ -`"))]
    NameInvalid {
        /// Which part of the ticket.
        field: &'static str,
        /// The name.
        name: Arc<str>,
    },
    /// A numeric part is not hexadecimal.
    #[snafu(display("the ticket's {field} `{text}` is no hexadecimal number: {source}"))]
    NumberInvalid {
        /// Which part of the ticket.
        field: &'static str,
        /// The parser's error.
        source: ParseIntError,
        /// The text of the part.
        text: Arc<str>,
    },
    /// The text has too few or too many parts.
    #[snafu(display("a ticket has {expected} parts with `~` between them, this text has {found}"))]
    PartsWrong {
        /// The required number of parts.
        expected: usize,
        /// The number of parts found.
        found: usize,
    },
    /// The text does not start with the ticket prefix.
    #[snafu(display("a ticket starts with `{expected}`, this text with `{found}`"))]
    PrefixWrong {
        /// The required prefix.
        expected: &'static str,
        /// The first part of the text.
        found: Arc<str>,
    },
}
