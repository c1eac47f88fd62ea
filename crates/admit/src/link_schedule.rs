//! Whose turn the link is.

use {
    crate::link_info::LinkInfo,
    std::time::{Duration, Instant},
};

/// How long the KV cache is kept when nothing is known of the link.
const EVICTION_UNKNOWN: Duration = Duration::from_millis(500);

/// A transfer that is at most this part of what is left of another goes beside it.
const PARALLEL_SHARE: f64 = 0.25;

/// The link by its rate: when it will be free, and what still has to cross it.
///
/// Transfers take turns: on a shared link the mean of the ends is the least when one follows the other. A turn ends by
/// the link's rate and not by the first token, which comes a decode step later.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkSchedule {
    /// Seconds of transfer that requests which were or are being read will need.
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

    /// When the link is free again, if that lies ahead.
    pub(crate) fn free_at(&self, now: Instant) -> Option<Instant> {
        self.free_at.filter(|free| now < *free)
    }

    /// Whether a transfer of some seconds may start: the link is free, or will be within `lookahead`, or the transfer
    /// is so short against the one under way that going beside it delays that one little.
    pub(crate) fn may_start(&self, now: Instant, transfer: f64, lookahead: Duration) -> bool {
        let busy = self.busy_seconds(now);
        busy <= lookahead.as_secs_f64() || transfer <= busy * PARALLEL_SHARE
    }

    /// Seconds that a transfer of `transfer` seconds which is ready in `ready` seconds waits for its turn.
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

    /// Seconds that the KV cache of a prompt needs on the link alone.
    pub(crate) fn seconds(&self, tokens: u32) -> f64 {
        let Some(info) = &self.info else {
            return 0.0;
        };
        f64::from(tokens) * info.kv_bytes_per_token / info.bytes_per_second.max(1.0)
    }

    /// Takes new information; what was claimed counts by the new rate.
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

    /// A transfer starts.
    pub(crate) fn start(&mut self, now: Instant, tokens: u32) {
        let time = Duration::try_from_secs_f64(self.seconds(tokens)).unwrap_or_default();
        self.free_at = Some(self.free_at.map_or(now, |free| free.max(now)) + time);
    }

    pub(crate) fn release(&mut self, tokens: u32) {
        self.reserved_seconds = (self.reserved_seconds - self.seconds(tokens)).max(0.0);
    }
}
