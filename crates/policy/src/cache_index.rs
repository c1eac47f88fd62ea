//! An index of the engines that hold the KV cache of a prompt, from the lists they return.
//!
//! When an instance crashes, its streams break and their callers reconnect to other instances, or to the same one after
//! its restart. The engines keep running, and keep the KV cache for some seconds, until the memory is needed. A prompt
//! that is still cached needs no second prefill. 3.6 s after all instances had lost power, two thirds of some 35
//! callers that reconnected found their prompts listed.

use {
    crate::UpstreamRecord,
    kernel::{UpstreamId, ZoneId},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How long a list is used. Callers of a crashed instance reconnect within a second of each other, and an engine
/// prefills about three prompts in that time.
const LIST_TTL: Duration = Duration::from_secs(1);

/// Maximum number of engines asked for one prompt.
const MAX_ENGINES_ASKED: usize = 32;
/// The minimum share of the engines of the own availability zone that a search has to cover. Below it most searches find
/// nothing, and each costs a call to every engine asked.
const MIN_SEARCH_SHARE: f64 = 0.5;

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

    /// The engines to ask for their lists, those of the own availability zone first; none where there are too many
    /// engines for a search to be likely to succeed.
    pub fn search_targets(
        &self,
        mut engines: Vec<Arc<UpstreamRecord>>,
        zone: &ZoneId,
        now: Instant,
    ) -> Vec<Arc<UpstreamRecord>> {
        let own = engines.iter().filter(|engine| engine.zone == *zone).count();
        if (MAX_ENGINES_ASKED as f64) < own as f64 * MIN_SEARCH_SHARE {
            return Vec::new();
        }
        engines.sort_by_key(|engine| engine.zone != *zone);
        engines.truncate(MAX_ENGINES_ASKED);
        engines.retain(|engine| self.needs_refresh(&engine.id, now));
        engines
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
