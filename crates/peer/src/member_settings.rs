//! Heartbeat intervals, failure timeouts and bounds of the membership.

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
    /// The maximum number of cell summaries in a heartbeat.
    #[builder(default = 4)]
    pub cells_per_beat: usize,
    /// Updates bring the next heartbeat forward, but no closer than this to the last one. Milliseconds in settings.
    #[builder(default = Duration::from_millis(100))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub flush_gap: Duration,
    /// How long the record of a dead member is kept, so that late gossip can't revive it. Milliseconds in settings.
    #[builder(default = Duration::from_secs(3_600))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub forget_after: Duration,
    /// How long a suspect may take to refute before it is declared dead. Milliseconds in settings.
    #[builder(default = Duration::from_millis(1_500))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub gone_timeout: Duration,
    /// The time from one heartbeat to the next. Milliseconds in settings.
    #[builder(default = Duration::from_millis(500))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub heartbeat_interval: Duration,
    /// How long a mark applies unless it is renewed. Milliseconds in settings.
    #[builder(default = Duration::from_secs(60))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub mark_lifetime: Duration,
    /// The maximum number of stored marks; also limits cell summaries.
    #[builder(default = 4_096)]
    pub mark_limit: usize,
    /// The maximum number of marks in a heartbeat.
    #[builder(default = 16)]
    pub marks_per_beat: usize,
    /// The maximum number of stored members.
    #[builder(default = 8_192)]
    pub member_limit: usize,
    /// The number of neighbours of an instance in its zone; while all members fit, all exchange heartbeats.
    #[builder(default = 8)]
    pub neighbour_limit: usize,
    /// The interval between probes of listed instances that are not reachable. Milliseconds in settings.
    #[builder(default = Duration::from_secs(5))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub probe_interval: Duration,
    /// How long a pull of a table may take before another peer is asked. Milliseconds in settings.
    #[builder(default = Duration::from_secs(1))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub pull_timeout: Duration,
    /// The maximum number of member records in a heartbeat.
    #[builder(default = 16)]
    pub records_per_beat: usize,
    /// In how many heartbeats an update is repeated.
    #[builder(default = 3)]
    pub rumour_rounds: u8,
    /// How long a cell summary is used. Milliseconds in settings.
    #[builder(default = Duration::from_secs(10))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub summary_lifetime: Duration,
    /// How long a neighbour may be silent before it is suspected. Milliseconds in settings.
    #[builder(default = Duration::from_millis(1_600))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub suspicion_timeout: Duration,
    /// After how many consecutive heartbeats with a different digest the full lists are requested.
    #[builder(default = 3)]
    pub sync_rounds: u8,
    /// How many instances in each of two availability zones link them to each other.
    #[builder(default = 2)]
    pub zone_links: usize,
    /// How long an availability zone may be silent before it is unreachable. Milliseconds in settings.
    #[builder(default = Duration::from_secs(8))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub zone_timeout: Duration,
}

impl MemberSettings {
    /// The bounds for the choice of neighbours.
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
