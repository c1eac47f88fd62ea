//! The names that streams have at engines: who holds them can be told from the name alone.

use {
    admit::RequestKey,
    std::{fmt, fmt::Display, fmt::Formatter, sync::Arc},
};

/// The name of one attempt's stream: `instance.incarnation.serial.attempt`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StreamName {
    /// Counts the attempts of the request.
    pub attempt: u32,
    /// The request.
    pub key: RequestKey,
}

impl StreamName {
    /// Reads a name; `None` for a stream that is not this system's.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.rsplitn(4, '.');
        let attempt = parts.next()?.parse().ok()?;
        let serial = parts.next()?.parse().ok()?;
        let incarnation = parts.next()?.parse().ok()?;
        let instance = Arc::from(parts.next()?);
        Some(Self {
            attempt,
            key: RequestKey {
                incarnation,
                instance,
                serial,
            },
        })
    }
}

impl Display for StreamName {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let key = &self.key;
        write!(
            formatter,
            "{}.{}.{}.{}",
            key.instance, key.incarnation, key.serial, self.attempt
        )
    }
}
