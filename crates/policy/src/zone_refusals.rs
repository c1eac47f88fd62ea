//! Refusals of one request by availability zone. Free of I/O.
//!
//! Callers may be spread unevenly over zones with many engines: a burst fills the engines of one zone while those of
//! another have free slots. An instance only knows the results of its own calls, so each of the many engines of its
//! zone looks free, and the request would be refused by one after the other until its deadline for a slot.

use {kernel::ZoneId, std::collections::BTreeMap};

/// The cost that each refusal adds to the other engines of the zone, in in-flight calls: after two refusals the engines
/// of other zones cost the same.
const REFUSAL_COST: f64 = 3.0;

/// Counts the refusals of one request, by zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneRefusals {
    counts: BTreeMap<ZoneId, u32>,
}

impl ZoneRefusals {
    /// The additional cost of an engine in a zone, in in-flight calls.
    pub fn cost(&self, zone: &ZoneId) -> f64 {
        REFUSAL_COST * f64::from(self.counts.get(zone).copied().unwrap_or(0))
    }

    /// Records that an engine of a zone refused the request.
    pub fn note(&mut self, zone: ZoneId) {
        *self.counts.entry(zone).or_default() += 1;
    }
}
