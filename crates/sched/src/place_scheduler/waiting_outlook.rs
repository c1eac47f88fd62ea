//! What a request has to expect if it isn't placed now.

use {super::choosing::MAX_WAIT, crate::LengthBelief, std::time::Duration};

/// When a request would fit if nothing was before it, and how fast the engines free memory.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingOutlook {
    /// The wait of a request that is the first.
    pub(super) alone: Duration,
    /// The sum of the memory of each engine times the speed of its streams, tokens squared per second.
    pub(super) flow: f64,
}

impl WaitingOutlook {
    /// Whether the request fits at an engine now.
    pub(super) fn fits_now(&self) -> bool {
        self.alone.is_zero()
    }

    /// The wait with `ahead` tokens of requests before it: each stream frees its memory after its whole output.
    pub(super) fn wait(&self, belief: &LengthBelief, ahead: f64) -> Duration {
        let freed_per_second = self.flow / belief.mean().max(1.0);
        let queued = ahead / freed_per_second.max(1.0);
        let queued = Duration::from_secs_f64(queued.min(MAX_WAIT.as_secs_f64()));
        (self.alone + queued).min(MAX_WAIT)
    }
}
