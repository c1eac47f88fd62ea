//! Stream names on engines. The name alone identifies the holder.

use {
    admit::RequestKey,
    std::{fmt, fmt::Display, fmt::Formatter, sync::Arc},
};

/// The name of one attempt's stream: `instance.incarnation.serial.attempt`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StreamName {
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// The request.
    pub key: RequestKey,
}

impl StreamName {
    /// Parses a name. `None` for a stream that this system did not start.
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
