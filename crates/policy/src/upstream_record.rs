//! One upstream, as described by the list of upstreams.

use {
    kernel::{ServiceId, SoftwareVersion, UpstreamId, ZoneId},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// One process of an upstream; a restart has another id, even under the same name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamRecord {
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// How much longer it was cold when it last reported; zero when it was warm.
    pub cold_for: Duration,
    /// The id of this process; changes with each restart.
    pub id: UpstreamId,
    /// Whether it is draining.
    pub leaving: bool,
    /// The name that it uses for itself and that calls to it state. Restarts of one upstream may share it.
    pub name: Arc<str>,
    /// The number of the report, which rises with each one of a process; `None` when it states none. The list may have
    /// the number of an earlier report with the same content.
    pub report_number: Option<u64>,
    /// The service it belongs to.
    pub service: ServiceId,
    /// How many requests it can run concurrently.
    pub slots: u32,
    /// The version of its software; empty when it states none.
    pub software: SoftwareVersion,
    /// Its stage.
    pub stage: UpstreamStage,
    /// Its availability zone.
    pub zone: ZoneId,
}

impl UpstreamRecord {
    /// Whether two reports describe an upstream alike, whatever their numbers.
    pub fn is_alike(&self, other: &Self) -> bool {
        let Self {
            address,
            cold_for,
            id,
            leaving,
            name,
            report_number: _,
            service,
            slots,
            software,
            stage,
            zone,
        } = self;
        *address == other.address
            && *cold_for == other.cold_for
            && *id == other.id
            && *leaving == other.leaving
            && *name == other.name
            && *service == other.service
            && *slots == other.slots
            && *software == other.software
            && *stage == other.stage
            && *zone == other.zone
    }
}

/// The stage of a request that an upstream serves.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UpstreamStage {
    /// Generates tokens.
    Decode,
    /// Serves complete requests of a plain service.
    Plain,
    /// Prefills prompts.
    Prefill,
}
