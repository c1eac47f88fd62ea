//! The part of the engines that one scheduler is responsible for.

use {
    crate::SharedUpstreams,
    kernel::{ServiceId, ZoneId, seeded_rng},
    policy::{UpstreamRecord, UpstreamStage, UpstreamTable},
    sched::EngineInfo,
    serde::{Deserialize, Serialize},
    std::time::Instant,
};

/// The number of engines up to which one scheduler decides for all of them.
const CELL_ENGINES: usize = 32;
/// Seed of the division of engines and requests into cells.
const CELL_SEED: u64 = 11;

/// A cell of the engines of a service in one availability zone. The order of fields is the wire format.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PlaceScope {
    /// The service.
    pub service: ServiceId,
    /// The availability zone.
    pub zone: ZoneId,
    /// The number of the cell, from 0.
    pub cell: u32,
}

impl PlaceScope {
    /// The cell that an engine belongs to.
    pub fn of_engine(upstreams: &SharedUpstreams, engine: &UpstreamRecord) -> Self {
        Self::new(upstreams, &engine.service, &engine.zone, &engine.id)
    }

    /// The cell of a zone that a request is sent to.
    pub fn of_request(
        upstreams: &SharedUpstreams,
        service: &ServiceId,
        zone: &ZoneId,
        request: &str,
    ) -> Self {
        Self::new(upstreams, service, zone, request)
    }

    /// The number of engines of a service in an availability zone.
    pub fn zone_engines(upstreams: &SharedUpstreams, service: &ServiceId, zone: &ZoneId) -> usize {
        engine_count(&upstreams.lock(), service, zone)
    }

    /// The key by which a scheduler is chosen among the instances of the zone.
    pub fn scheduler_key(&self) -> String {
        format!("{}/{}", self.service, self.cell)
    }

    /// The engines of the cell, those that get no new work included.
    pub fn engines(&self, table: &UpstreamTable, now: Instant) -> Vec<EngineInfo> {
        let cells = cell_count(table, &self.service, &self.zone);
        let mut engines = Vec::new();
        for entry in table.entries() {
            let record = &*entry.record;
            if !is_engine_of(record, &self.service, &self.zone) {
                continue;
            }
            if cell_of(&record.id, cells) != self.cell {
                continue;
            }
            engines.push(EngineInfo {
                decodes: record.stage == UpstreamStage::Decode,
                id: record.id.clone(),
                is_open: table.call_block(&record.id, now).is_none(),
                slots: record.slots,
                software: record.software.clone(),
            });
        }
        engines
    }

    fn new(upstreams: &SharedUpstreams, service: &ServiceId, zone: &ZoneId, drawn: &str) -> Self {
        let cells = cell_count(&upstreams.lock(), service, zone);
        Self {
            service: service.clone(),
            zone: zone.clone(),
            cell: cell_of(drawn, cells),
        }
    }
}

fn is_engine_of(record: &UpstreamRecord, service: &ServiceId, zone: &ZoneId) -> bool {
    record.service == *service && record.zone == *zone && record.stage != UpstreamStage::Plain
}

fn engine_count(table: &UpstreamTable, service: &ServiceId, zone: &ZoneId) -> usize {
    let entries = table.entries();
    let engines = entries.filter(|entry| is_engine_of(&entry.record, service, zone));
    engines.count()
}

fn cell_count(table: &UpstreamTable, service: &ServiceId, zone: &ZoneId) -> u32 {
    let engines = engine_count(table, service, zone);
    u32::try_from(engines.div_ceil(CELL_ENGINES).max(1)).unwrap_or(u32::MAX)
}

fn cell_of(drawn: &str, cells: u32) -> u32 {
    match cells {
        0 | 1 => 0,
        _ => (seeded_rng::mix(CELL_SEED, drawn.as_bytes()) % u64::from(cells)) as u32,
    }
}
