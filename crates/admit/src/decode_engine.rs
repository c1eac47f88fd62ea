//! A decode engine as the allocator sees it.

use {
    crate::request_key::RequestKey,
    route::UpstreamInfo,
    std::{collections::BTreeSet, time::Instant},
};

/// Who holds its places and whether it takes more.
#[derive(Clone, Debug)]
pub(crate) struct DecodeEngine {
    /// Until when it is taken as full, after it refused.
    pub(crate) full_until: Option<Instant>,
    /// What is known of it.
    pub(crate) info: UpstreamInfo,
    /// Whether it takes no new work.
    pub(crate) leaving: bool,
    /// Requests that hold a place: in transfer or decoding.
    pub(crate) streams: BTreeSet<RequestKey>,
}

impl DecodeEngine {
    /// How many more requests it takes now.
    pub(crate) fn free(&self, now: Instant) -> u32 {
        if self.leaving || self.full_until.is_some_and(|until| now < until) {
            return 0;
        }
        let used = u32::try_from(self.streams.len()).unwrap_or(u32::MAX);
        self.info.decode_places.saturating_sub(used)
    }

    pub(crate) fn new(info: UpstreamInfo) -> Self {
        Self {
            full_until: None,
            info,
            leaving: false,
            streams: BTreeSet::new(),
        }
    }
}
