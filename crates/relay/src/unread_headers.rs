//! Header names of upstreams that this system does not know, so that operators see statements that nobody reads.

use {
    http::HeaderName,
    kernel::{LockRank, RankedLock},
    prometheus::IntGauge,
    std::{collections::BTreeSet, sync::Arc},
};

/// How many names are kept. A faulty upstream may invent new ones all the time.
const MAX_NAMES: usize = 64;

/// The names seen so far. Clones share them.
#[derive(Clone, Debug)]
pub struct UnreadHeaders {
    /// The number of names.
    pub count: IntGauge,
    names: Arc<RankedLock<BTreeSet<String>>>,
}

impl UnreadHeaders {
    /// No names yet.
    pub fn new(count: IntGauge) -> Self {
        Self {
            count,
            names: Arc::new(RankedLock::new(LockRank::Samples, BTreeSet::new())),
        }
    }

    /// Records a name that an upstream used, and logs it the first time.
    pub fn note(&self, name: &HeaderName, upstream: &str) {
        let mut names = self.names.lock();
        if names.contains(name.as_str()) || names.len() >= MAX_NAMES {
            return;
        }
        names.insert(name.as_str().to_owned());
        self.count.set(names.len() as i64);
        drop(names);
        tracing::info!(
            header = name.as_str(),
            upstream,
            "an upstream sends a header that is not read"
        );
    }
}
