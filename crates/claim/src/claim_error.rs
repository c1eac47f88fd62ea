//! Why a ticket can't be read or minted.

use {snafu::Snafu, std::num::ParseIntError, std::sync::Arc};

/// An error of this crate.
#[derive(Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum ClaimError {
    /// As many tickets are in use as the settings allow.
    #[snafu(display("{limit} tickets are outstanding, which is the limit"))]
    MintLimit {
        /// The limit.
        limit: usize,
    },
    /// A name has a character that a ticket can't carry, or none at all.
    #[snafu(display("the ticket's {field} `{name}` has to be 1 to 64 of `a-z A-Z 0-9 . _ -`"))]
    NameInvalid {
        /// Which part of the ticket.
        field: &'static str,
        /// The name.
        name: Arc<str>,
    },
    /// A number of a ticket can't be read.
    #[snafu(display("the ticket's {field} `{text}` is no hexadecimal number: {source}"))]
    NumberInvalid {
        /// Which part of the ticket.
        field: &'static str,
        /// What the number's parser said.
        source: ParseIntError,
        /// The text of the part.
        text: Arc<str>,
    },
    /// The text has too few or too many parts.
    #[snafu(display("a ticket has {expected} parts with `~` between them, this text has {found}"))]
    PartsWrong {
        /// How many there have to be.
        expected: usize,
        /// How many there are.
        found: usize,
    },
    /// The text starts with something else than the mark of a ticket.
    #[snafu(display("a ticket starts with `{expected}`, this text with `{found}`"))]
    PrefixWrong {
        /// The mark.
        expected: &'static str,
        /// The first part of the text.
        found: Arc<str>,
    },
}
