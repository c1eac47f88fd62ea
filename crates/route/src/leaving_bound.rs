//! How long new work may still reach an upstream that is draining or has failed.

use std::time::Duration;

/// The delays that add up to the worst case, in wall-clock time.
#[derive(Clone, Debug)]
pub struct LeavingBound {
    /// How long a call to a dead upstream takes to fail.
    pub call_timeout: Duration,
    /// The interval between heartbeats.
    pub heartbeat: Duration,
    /// How many gossip rounds a mark needs to reach every instance.
    pub hops: u32,
    /// The polling interval of the platform's list.
    pub list_poll: Duration,
    /// The staleness of the platform's list.
    pub list_lag: Duration,
    /// The interval between load reports.
    pub report: Duration,
}

impl LeavingBound {
    /// The worst case for an upstream that announces its drain: a load report to one instance, then gossip.
    pub fn announced(&self) -> Duration {
        self.report + self.propagation()
    }

    /// The worst case for an upstream that fails unannounced: failed calls or the list, whichever comes first, then
    /// gossip.
    pub fn unannounced(&self) -> Duration {
        let listed = self.list_lag + self.list_poll;
        let failed = self.call_timeout;
        failed.min(listed) + self.propagation()
    }

    /// How long a mark takes from one instance to all others, network partitions aside.
    pub fn propagation(&self) -> Duration {
        self.heartbeat * self.hops
    }

    /// The upper bound over all cases.
    pub fn worst(&self) -> Duration {
        self.announced().max(self.unannounced())
    }
}
