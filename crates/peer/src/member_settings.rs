//! How often instances speak, and when one counts as gone.

use {
    crate::neighbour_ring::RingLimits,
    bon::Builder,
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::time::Duration,
};

/// Intervals, timeouts and bounds of the membership.
#[serde_as]
#[derive(Builder, Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemberSettings {
    /// How many summaries of cells a heartbeat carries.
    #[builder(default = 4)]
    pub cells_per_beat: usize,
    /// News is sent on at once, but no sooner than this after the last heartbeat. Milliseconds in settings.
    #[builder(default = Duration::from_millis(100))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub flush_gap: Duration,
    /// A record of a life that is gone is kept so long, so that late news can't bring it back. Milliseconds in settings.
    #[builder(default = Duration::from_secs(3_600))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub forget_after: Duration,
    /// A suspect that does not refute for so long is gone. Milliseconds in settings.
    #[builder(default = Duration::from_millis(1_500))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub gone_timeout: Duration,
    /// The time from one heartbeat to the next. Milliseconds in settings.
    #[builder(default = Duration::from_millis(500))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub heartbeat_interval: Duration,
    /// How long a mark holds unless it is raised anew. Milliseconds in settings.
    #[builder(default = Duration::from_secs(60))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub mark_lifetime: Duration,
    /// How many marks are kept.
    #[builder(default = 4_096)]
    pub mark_limit: usize,
    /// How many marks a heartbeat carries.
    #[builder(default = 16)]
    pub marks_per_beat: usize,
    /// How many members are kept.
    #[builder(default = 8_192)]
    pub member_limit: usize,
    /// How many neighbours an instance exchanges heartbeats with; while all members fit, everyone hears everyone.
    #[builder(default = 8)]
    pub neighbour_limit: usize,
    /// How often an instance that is listed and not heard is tried. Milliseconds in settings.
    #[builder(default = Duration::from_secs(5))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub probe_interval: Duration,
    /// How long a pull of a table may take before another peer is asked. Milliseconds in settings.
    #[builder(default = Duration::from_secs(1))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub pull_timeout: Duration,
    /// How many records of members a heartbeat carries.
    #[builder(default = 16)]
    pub records_per_beat: usize,
    /// In how many heartbeats a piece of news goes.
    #[builder(default = 3)]
    pub rumour_rounds: u8,
    /// How long a cell's summary counts. Milliseconds in settings.
    #[builder(default = Duration::from_secs(10))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub summary_lifetime: Duration,
    /// A neighbour that is silent for so long is a suspect. Milliseconds in settings.
    #[builder(default = Duration::from_millis(1_600))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub suspicion_timeout: Duration,
    /// After so many heartbeats with another digest the whole lists are compared.
    #[builder(default = 3)]
    pub sync_rounds: u8,
    /// How many instances at each end carry the links between two availability zones.
    #[builder(default = 2)]
    pub zone_links: usize,
    /// An availability zone that is silent for so long is cut off. Milliseconds in settings.
    #[builder(default = Duration::from_secs(8))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub zone_timeout: Duration,
}

impl MemberSettings {
    /// The bounds of the ring.
    pub fn ring_limits(&self) -> RingLimits {
        RingLimits {
            neighbours: self.neighbour_limit,
            zone_links: self.zone_links,
        }
    }
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
