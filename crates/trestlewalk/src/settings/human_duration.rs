//! Durations with units.

use {
    serde::{
        Deserializer, Serializer,
        de::{Error, Unexpected, Visitor},
    },
    serde_with::{DeserializeAs, SerializeAs},
    std::{fmt, time::Duration},
};

/// Reads and writes a duration with its unit, such as `500ms`, `2s` or `5min`.
#[derive(Debug)]
pub struct HumanDuration;

impl<'de> DeserializeAs<'de, Duration> for HumanDuration {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        deserializer.deserialize_str(DurationVisitor)
    }
}

impl SerializeAs<Duration> for HumanDuration {
    fn serialize_as<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&humantime::format_duration(*duration))
    }
}

struct DurationVisitor;

impl Visitor<'_> for DurationVisitor {
    type Value = Duration;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a duration such as `500ms`")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Duration, E> {
        humantime::parse_duration(text)
            .map_err(|_error| E::invalid_value(Unexpected::Str(text), &self))
    }
}
