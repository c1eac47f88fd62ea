//! How long new work may still reach an upstream that leaves.

use std::time::Duration;

/// The periods from which the worst case follows. Everything is in real time.
#[derive(Clone, Debug)]
pub struct LeavingBound {
    /// How long one call takes to fail.
    pub call_timeout: Duration,
    /// How often heartbeats go out.
    pub heartbeat: Duration,
    /// How many heartbeats a mark needs to reach every instance.
    pub hops: u32,
    /// How often the platform's list is polled.
    pub list_poll: Duration,
    /// How far the platform's list lags behind reality.
    pub list_lag: Duration,
    /// How often load reports come.
    pub report: Duration,
}

impl LeavingBound {
    /// The worst case for an upstream that says itself that it leaves: a report to one instance, then heartbeats.
    pub fn announced(&self) -> Duration {
        self.report + self.propagation()
    }

    /// The worst case for an upstream that fails without a word: failed calls or the list, whichever is first.
    pub fn unannounced(&self) -> Duration {
        let listed = self.list_lag + self.list_poll;
        let failed = self.call_timeout;
        failed.min(listed) + self.propagation()
    }

    /// How long a mark needs from one instance to all others that are not cut off.
    pub fn propagation(&self) -> Duration {
        self.heartbeat * self.hops
    }

    /// The worst of all cases.
    pub fn worst(&self) -> Duration {
        self.announced().max(self.unannounced())
    }
}
