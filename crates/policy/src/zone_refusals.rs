//! The availability zones whose engines had no room for one request. No I/O and no clock.
//!
//! Answers callers that are spread unevenly over zones of many engines: a burst fills the engines of one zone while those of
//! another have room. An instance knows only what its own calls met, so by its own view each of the many engines of its zone
//! looks free, and the request would be refused there until its time for a place is over.

use {kernel::ZoneId, std::collections::BTreeMap};

/// What each engine of a zone that had no room adds to the others of it, in open calls: after two the engines of other
/// zones look as good.
const REFUSAL_COST: f64 = 3.0;

/// Refusals of one request by zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneRefusals {
    counts: BTreeMap<ZoneId, u32>,
}

impl ZoneRefusals {
    /// What an engine of a zone counts as dearer, in open calls.
    pub fn cost(&self, zone: &ZoneId) -> f64 {
        REFUSAL_COST * f64::from(self.counts.get(zone).copied().unwrap_or(0))
    }

    /// An engine of a zone had no room.
    pub fn note(&mut self, zone: ZoneId) {
        *self.counts.entry(zone).or_default() += 1;
    }
}
