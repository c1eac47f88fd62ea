//! Times with units in scenario files, such as `480ms` or `2min`.

use {
    serde::{Deserialize, Deserializer, Serializer, de::Error},
    serde_with::{DeserializeAs, SerializeAs},
    std::time::Duration,
};

/// A `serde_with` adapter that reads and writes a duration with its unit.
#[derive(Debug)]
pub struct HumanTime;

impl<'de> DeserializeAs<'de, Duration> for HumanTime {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        humantime::parse_duration(&text)
            .map_err(|fault| D::Error::custom(format!("`{text}` is no time with a unit: {fault}")))
    }
}

impl SerializeAs<Duration> for HumanTime {
    fn serialize_as<S: Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&humantime::format_duration(*time))
    }
}
