//! Tickets: ids that state where and until when a request may run.

use {
    crate::{
        claim_error::{ClaimError, NameInvalidSnafu, NumberInvalidSnafu, PartsWrongSnafu},
        incarnation_key::IncarnationKey,
    },
    kernel::{TicketId, ZoneId, seeded_rng},
    serde::{Deserialize, Serialize},
    serde_with::{DeserializeFromStr, SerializeDisplay},
    snafu::{ResultExt, ensure},
    std::{fmt, str::FromStr, sync::Arc, time::Duration},
};

/// The prefix of a ticket's text; the digit is the version of the format.
const TICKET_PREFIX: &str = "tw1";
const TICKET_PARTS: usize = 7;
const NAME_LIMIT: usize = 64;

/// The key of the hash that detects damaged tickets; see [`Ticket::expected_check`] for its limits.
pub type CheckKey = u64;

/// Permission to run one request at one incarnation of an entry instance.
///
/// Its text is `tw1~zone~instance~incarnation~expiry~random~check`, the numbers in hexadecimal. Like a
/// Disque job id it contains its node and its expiry, so that any instance can forward it without a table.
///
/// # Examples
///
/// ```
/// let text = "tw1~riga-a~entry-1~64f~ea60~9e3779b97f4a7c15~1c80317fa3b1799d";
/// let ticket: claim::Ticket = text.parse().expect("a ticket");
/// assert_eq!(&*ticket.life.instance, "entry-1");
/// assert_eq!(ticket.expiry, std::time::Duration::from_secs(60));
/// assert_eq!(ticket.to_string(), text);
/// ```
#[derive(Clone, Debug, DeserializeFromStr, Eq, Hash, PartialEq, SerializeDisplay)]
pub struct Ticket {
    /// A keyed hash over the other parts.
    pub check: u64,
    /// The age of the origin's incarnation at which the ticket expires, in whole milliseconds. The origin
    /// checks it by its own monotonic clock only, so wall clocks do not matter.
    pub expiry: Duration,
    /// The incarnation at which it may run.
    pub life: IncarnationKey,
    /// Distinguishes tickets of the same incarnation and expiry.
    pub random: u64,
    /// The availability zone of its origin.
    pub zone: ZoneId,
}

/// Identifies a ticket within its incarnation; ordered by expiry first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TicketSerial {
    /// The expiry, as the origin's age in milliseconds.
    pub expiry_ms: u64,
    /// The random part.
    pub random: u64,
}

impl Ticket {
    /// The correct check for the other parts.
    ///
    /// It is `xxh3` seeded with the incarnation's key: it detects damaged and misdelivered tickets and is not
    /// cryptographic. A forged ticket gains nothing: it runs at most once, like a request without a ticket.
    pub fn expected_check(&self, key: CheckKey) -> u64 {
        seeded_rng::mix(key, self.body().as_bytes())
    }

    /// The ticket's text as an id.
    pub fn id(&self) -> TicketId {
        Arc::from(self.to_string())
    }

    /// The identity of the ticket within its incarnation.
    pub fn serial(&self) -> TicketSerial {
        TicketSerial {
            expiry_ms: millis(self.expiry),
            random: self.random,
        }
    }

    fn body(&self) -> String {
        format!(
            "{TICKET_PREFIX}~{}~{}~{:x}~{:x}~{:x}",
            self.zone,
            self.life.instance,
            self.life.incarnation,
            millis(self.expiry),
            self.random,
        )
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}~{:x}", self.body(), self.check)
    }
}

impl FromStr for Ticket {
    type Err = ClaimError;

    fn from_str(text: &str) -> Result<Self, ClaimError> {
        let parts: Vec<&str> = text.split('~').collect();
        let prefix = parts[0];
        ensure!(
            prefix == TICKET_PREFIX,
            crate::claim_error::PrefixWrongSnafu {
                expected: TICKET_PREFIX,
                found: prefix,
            }
        );
        ensure!(
            parts.len() == TICKET_PARTS,
            PartsWrongSnafu {
                expected: TICKET_PARTS,
                found: parts.len(),
            }
        );
        Ok(Self {
            zone: checked_name("zone", parts[1])?,
            life: IncarnationKey {
                instance: checked_name("instance", parts[2])?,
                incarnation: number("incarnation", parts[3])?,
            },
            expiry: Duration::from_millis(number("expiry", parts[4])?),
            random: number("random part", parts[5])?,
            check: number("check", parts[6])?,
        })
    }
}

/// Checks that a ticket can contain the name.
///
/// # Errors
///
/// [`ClaimError::NameInvalid`] for an empty name, one over 64 bytes, or one with characters other than
/// `a-z A-Z 0-9 . _ -`.
pub fn checked_name(field: &'static str, name: &str) -> Result<Arc<str>, ClaimError> {
    let fits = (1..=NAME_LIMIT).contains(&name.len()) && name.bytes().all(is_name_byte);
    ensure!(fits, NameInvalidSnafu { field, name });
    Ok(Arc::from(name))
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"._-".contains(&byte)
}

fn number(field: &'static str, text: &str) -> Result<u64, ClaimError> {
    u64::from_str_radix(text, 16).context(NumberInvalidSnafu { field, text })
}

/// Whole milliseconds of a duration.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
