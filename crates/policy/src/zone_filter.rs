//! The availability zones whose upstreams may process a request.

use {
    kernel::{RegionId, ZoneId},
    std::collections::{BTreeMap, BTreeSet},
};

/// Restricts a request to some availability zones; the default allows all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneFilter {
    allowed: Option<BTreeSet<ZoneId>>,
}

impl ZoneFilter {
    /// Whether upstreams of a zone may process the request.
    pub fn allows(&self, zone: &ZoneId) -> bool {
        let allowed = self.allowed.as_ref();
        allowed.is_none_or(|allowed| allowed.contains(zone))
    }

    /// Restricts the filter further, to the zones of the regions in `allowed`. Zones of unknown region are excluded.
    pub fn restrict(&mut self, allowed: &BTreeSet<RegionId>, regions: &BTreeMap<ZoneId, RegionId>) {
        let mut zones = BTreeSet::new();
        for (zone, region) in regions {
            if allowed.contains(region) && self.allows(zone) {
                zones.insert(zone.clone());
            }
        }
        self.allowed = Some(zones);
    }
}
