//! A prefill engine as the allocator sees it.

use {
    crate::request_key::RequestKey, route::UpstreamInfo, std::collections::BTreeSet,
    std::time::Instant,
};

/// What is read there and whether it takes more.
#[derive(Clone, Debug)]
pub(crate) struct PrefillEngine {
    /// When it will have read all that it was given.
    #[expect(dead_code, reason = "the forecast of free places is to read it")]
    pub(crate) free_at: Instant,
    /// What is known of it.
    pub(crate) info: UpstreamInfo,
    /// Whether it takes no new work.
    pub(crate) leaving: bool,
    /// Requests that are being read.
    pub(crate) reading: BTreeSet<RequestKey>,
}

impl PrefillEngine {
    pub(crate) fn new(now: Instant, info: UpstreamInfo) -> Self {
        Self {
            free_at: now,
            info,
            leaving: false,
            reading: BTreeSet::new(),
        }
    }
}
