//! Which engines hold the KV cache of a prompt, by what they listed a moment ago.
//!
//! When an instance is lost, the streams that went through it break, and their callers come back to other instances, or to
//! the next life of the same one. The engines go on, and keep what they have read until the memory is needed: for some
//! seconds. A prompt that is found again costs no reading, neither the engine's time nor the caller's. Counted 3.6 s after all
//! instances had lost power: of some 35 callers that came back, two thirds found their prompts listed.

use {
    kernel::UpstreamId,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How long a list is gone by. Callers of a lost instance come back within a second of each other, and an engine reads
/// some three prompts in that time.
const LIST_LIFE: Duration = Duration::from_secs(1);

/// The parts that engines listed.
#[derive(Clone, Debug, Default)]
pub struct CacheIndex {
    lists: BTreeMap<UpstreamId, PartList>,
}

#[derive(Clone, Debug)]
struct PartList {
    at: Instant,
    parts: BTreeSet<Arc<str>>,
}

impl CacheIndex {
    /// The engines that listed a part.
    pub fn holders(&self, part: &str, now: Instant) -> Vec<UpstreamId> {
        let fresh = self.lists.iter().filter(|(_, list)| list.is_fresh(now));
        let holding = fresh.filter(|(_, list)| list.parts.contains(part));
        holding.map(|(engine, _)| engine.clone()).collect()
    }

    /// Whether the list of an engine has to be asked for.
    pub fn needs_refresh(&self, engine: &UpstreamId, now: Instant) -> bool {
        !self
            .lists
            .get(engine)
            .is_some_and(|list| list.is_fresh(now))
    }

    /// An engine listed what it holds.
    pub fn note(
        &mut self,
        engine: UpstreamId,
        parts: impl IntoIterator<Item = Arc<str>>,
        now: Instant,
    ) {
        self.lists.retain(|_, list| list.is_fresh(now));
        let parts = parts.into_iter().collect();
        self.lists.insert(engine, PartList { at: now, parts });
    }
}

impl PartList {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < LIST_LIFE
    }
}
