//! The schedule of KV cache transfers over the shared link.

use {
    crate::link_info::LinkInfo,
    std::time::{Duration, Instant},
};

/// How long a KV cache is assumed to be kept while the link's properties are unknown.
const EVICTION_UNKNOWN: Duration = Duration::from_millis(500);

/// A transfer of at most this share of the remaining time of the current one runs in parallel to it.
const PARALLEL_SHARE: f64 = 0.25;

/// Predicts from the bandwidth when the link is free, and tracks the pending transfers.
///
/// Transfers run one after another, which minimises their mean completion time on a shared link. A transfer ends by the
/// predicted time and not by the first token, which arrives one decode step later.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkSchedule {
    /// Transfer time reserved for requests that are prefilling or prefilled, in seconds.
    reserved_seconds: f64,
    free_at: Option<Instant>,
    info: Option<LinkInfo>,
}

impl LinkSchedule {
    pub(crate) fn reserve(&mut self, tokens: u32) {
        self.reserved_seconds += self.seconds(tokens);
    }

    /// How long a prefill engine keeps an exported KV cache.
    pub(crate) fn eviction(&self) -> Duration {
        self.info
            .as_ref()
            .map_or(EVICTION_UNKNOWN, |info| info.eviction)
    }

    /// When the link is free again; `None` if it is free now.
    pub(crate) fn free_at(&self, now: Instant) -> Option<Instant> {
        self.free_at.filter(|free| now < *free)
    }

    /// Whether a transfer of `transfer` seconds may start: the link is free or will be within `lookahead`, or the
    /// transfer is so short compared with the current one that it delays that one little.
    pub(crate) fn may_start(&self, now: Instant, transfer: f64, lookahead: Duration) -> bool {
        let busy = self.busy_seconds(now);
        busy <= lookahead.as_secs_f64() || transfer <= busy * PARALLEL_SHARE
    }

    /// The wait for the link, in seconds, of a transfer of `transfer` seconds that is ready in `ready` seconds.
    pub(crate) fn wait_seconds(&self, now: Instant, ready: f64, transfer: f64) -> f64 {
        let before = (self.busy_seconds(now) + self.reserved_seconds - ready).max(0.0);
        if transfer <= before * PARALLEL_SHARE {
            return transfer;
        }
        before
    }

    fn busy_seconds(&self, now: Instant) -> f64 {
        let free = self.free_at(now);
        free.map_or(0.0, |free| {
            free.saturating_duration_since(now).as_secs_f64()
        })
    }

    /// Seconds to transfer the KV cache of a prompt over an otherwise idle link.
    pub(crate) fn seconds(&self, tokens: u32) -> f64 {
        let Some(info) = &self.info else {
            return 0.0;
        };
        f64::from(tokens) * info.kv_bytes_per_token / info.bytes_per_second.max(1.0)
    }

    /// Updates the link's properties and scales the reserved time to the new bandwidth.
    pub(crate) fn set_info(&mut self, info: LinkInfo) {
        let before = self.seconds(1);
        self.info = Some(info);
        let after = self.seconds(1);
        self.reserved_seconds = if before > 0.0 {
            self.reserved_seconds * after / before
        } else {
            0.0
        };
    }

    /// Records the start of a transfer.
    pub(crate) fn start(&mut self, now: Instant, tokens: u32) {
        let time = Duration::try_from_secs_f64(self.seconds(tokens)).unwrap_or_default();
        self.free_at = Some(self.free_at.map_or(now, |free| free.max(now)) + time);
    }

    pub(crate) fn release(&mut self, tokens: u32) {
        self.reserved_seconds = (self.reserved_seconds - self.seconds(tokens)).max(0.0);
    }
}
