//! At which software version a stream began, as instances tell it to each other.

use {
    kernel::{SoftwareVersion, seeded_rng},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Seed of the keys of streams.
const KEY_SEED: u64 = 31;

/// Identifies a stream: the hash of the id of the attempt that brought its first event.
pub type StreamKey = u64;

/// The software version at which one stream began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SoftwareNote {
    /// How long the caller may still come back.
    pub life: Duration,
    /// The version.
    pub software: SoftwareVersion,
    /// The stream.
    pub stream: StreamKey,
}

/// The key of the stream whose first event an attempt brought.
pub fn stream_key(attempt: &str) -> StreamKey {
    seeded_rng::mix(KEY_SEED, attempt.as_bytes())
}
