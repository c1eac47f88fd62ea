//! What a simple policy knows of the engines: the list, and its own grants.

use {
    kernel::UpstreamId,
    route::{UpstreamInfo, UpstreamRole},
    std::collections::BTreeMap,
};

/// One engine by the policy's own counting.
#[derive(Clone, Debug)]
struct EngineView {
    places: u32,
    role: UpstreamRole,
    usable: bool,
    used: u32,
}

/// Engines by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolView {
    engines: BTreeMap<UpstreamId, EngineView>,
}

impl PoolView {
    /// An engine is there, or back and empty.
    pub(crate) fn add(&mut self, info: &UpstreamInfo) {
        let view = EngineView {
            places: info.decode_places,
            role: info.role,
            usable: true,
            used: 0,
        };
        self.engines.insert(info.upstream.clone(), view);
    }

    /// An engine takes no new work.
    pub(crate) fn block(&mut self, upstream: &str) {
        if let Some(view) = self.engines.get_mut(upstream) {
            view.usable = false;
        }
    }

    /// The usable decode engine with the most free places, if any has one.
    pub(crate) fn free_decode(&self) -> Option<UpstreamId> {
        self.least_used(UpstreamRole::Decode, |view| view.used < view.places)
    }

    /// The usable prefill engine with the fewest prompts, if any has under `most`.
    pub(crate) fn free_prefill(&self, most: u32) -> Option<UpstreamId> {
        self.least_used(UpstreamRole::Prefill, |view| view.used < most)
    }

    fn least_used(
        &self,
        role: UpstreamRole,
        free: impl Fn(&EngineView) -> bool,
    ) -> Option<UpstreamId> {
        let mut best: Option<(&UpstreamId, u32)> = None;
        for (upstream, view) in &self.engines {
            if view.role != role || !view.usable || !free(view) {
                continue;
            }
            if best.is_none_or(|(_, used)| view.used < used) {
                best = Some((upstream, view.used));
            }
        }
        best.map(|(upstream, _)| upstream.clone())
    }

    pub(crate) fn release(&mut self, upstream: &str) {
        if let Some(view) = self.engines.get_mut(upstream) {
            view.used = view.used.saturating_sub(1);
        }
    }

    pub(crate) fn take(&mut self, upstream: &str) {
        if let Some(view) = self.engines.get_mut(upstream) {
            view.used += 1;
        }
    }

    /// The usable decode engine after `last` in the order of names, the first one after the last.
    pub(crate) fn turn_decode(&self, last: Option<&UpstreamId>) -> Option<UpstreamId> {
        let mut first = None;
        for (upstream, view) in &self.engines {
            if view.role != UpstreamRole::Decode || !view.usable {
                continue;
            }
            if last.is_none_or(|last| upstream > last) {
                return Some(upstream.clone());
            }
            if first.is_none() {
                first = Some(upstream.clone());
            }
        }
        first
    }

    /// Decode engines that take new work.
    pub(crate) fn usable_decodes(&self) -> u32 {
        let mut count = 0;
        for view in self.engines.values() {
            if view.role == UpstreamRole::Decode && view.usable {
                count += 1;
            }
        }
        count
    }
}
