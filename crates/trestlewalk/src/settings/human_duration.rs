//! Durations with units.

use {
    serde::{Deserialize, Deserializer, Serializer, de::Error},
    serde_with::{DeserializeAs, SerializeAs},
    std::time::Duration,
};

/// Reads and writes a duration with its unit, such as `500ms`, `2s` or `5min`.
#[derive(Debug)]
pub struct HumanDuration;

impl<'de> DeserializeAs<'de, Duration> for HumanDuration {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        humantime::parse_duration(&text).map_err(|error| {
            D::Error::custom(format!("`{text}` is no duration such as `500ms`: {error}"))
        })
    }
}

impl SerializeAs<Duration> for HumanDuration {
    fn serialize_as<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&humantime::format_duration(*duration))
    }
}
