//! Partitions between availability zones, and between one and the platform.

use {
    super::{Fleet, RelayMode, UdpRelay},
    std::net::SocketAddr,
};

impl Fleet {
    /// Blocks all datagrams between the entry instances of two availability zones.
    pub fn partition_zones(&self, left: &str, right: &str) {
        self.for_each_link(left, right, |relay, sender| relay.block(sender));
        self.for_each_link(right, left, |relay, sender| relay.block(sender));
    }

    /// Partitions an availability zone from all others and from the platform.
    pub fn isolate_zone(&self, zone: &str) {
        self.set_platform_mode(zone, RelayMode::Silent);
        for other in self.other_zones(zone) {
            self.partition_zones(zone, &other);
        }
    }

    /// Ends the partition between two availability zones.
    pub fn heal_zones(&self, left: &str, right: &str) {
        self.for_each_link(left, right, |relay, sender| relay.unblock(sender));
        self.for_each_link(right, left, |relay, sender| relay.unblock(sender));
    }

    /// Reconnects an isolated availability zone to all others and to the platform.
    pub fn rejoin_zone(&self, zone: &str) {
        self.set_platform_mode(zone, RelayMode::Open);
        for other in self.other_zones(zone) {
            self.heal_zones(zone, &other);
        }
    }

    fn for_each_link(&self, to: &str, from: &str, act: impl Fn(&UdpRelay, SocketAddr)) {
        for entry in self.entries.values().filter(|entry| entry.zone == to) {
            for sender in self.entries.values().filter(|entry| entry.zone == from) {
                act(&entry.peers, sender.process.address("peers"));
            }
        }
    }

    fn other_zones(&self, zone: &str) -> Vec<String> {
        let mut zones = self.plan.zones.clone();
        zones.retain(|other| other != zone);
        zones
    }

    fn set_platform_mode(&self, zone: &str, mode: RelayMode) {
        for entry in self.entries.values().filter(|entry| entry.zone == zone) {
            entry.platform.set(mode);
        }
    }
}
