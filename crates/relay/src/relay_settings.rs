//! What the request path is set to.

use {
    kernel::ZoneId,
    policy::{QuotaRule, RetryBounds},
    std::time::Duration,
};

/// The settings of the request path.
#[derive(Clone, Debug, bon::Builder)]
pub struct RelaySettings {
    /// How long a connection to an upstream may take to come about.
    pub connect_timeout: Duration,
    /// Whether there are no other instances: then this one has the whole of what all share.
    pub is_alone: bool,
    /// How long the end of an upstream counts against the requests that ran there.
    pub quarantine: Duration,
    /// What customers may use beyond their limits, since instances know late of each other.
    pub quotas: QuotaRule,
    /// Whether prompts are read by the engines of the prefill stage, or by the decode engine that goes on with them.
    pub has_separate_prefill: bool,
    /// The retry budget of all instances.
    pub retries: RetryBounds,
    /// Within what time a key that is taken away holds nowhere any more, whatever an instance can reach; none where one that
    /// is cut off serves on by what it knows.
    pub revoked_within: Option<Duration>,
    /// How long a peer may be peer_timeout before its connection counts as lost.
    pub peer_timeout: Duration,
    /// The availability zone of this instance.
    pub zone: ZoneId,
    /// How many availability zones have instances.
    pub zones: usize,
}
