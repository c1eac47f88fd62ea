//! One upstream as the list of upstreams names it.

use {
    kernel::{ServiceId, UpstreamId, ZoneId},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// One life of one upstream; a restart has another id here, also one that goes on under its name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamRecord {
    /// Where it answers.
    pub address: SocketAddr,
    /// The id of this life.
    pub id: UpstreamId,
    /// Whether it is on its way out.
    pub leaving: bool,
    /// What it calls itself, and what calls to it name. Two lives of one upstream may have the same.
    pub name: Arc<str>,
    /// Its service.
    pub service: ServiceId,
    /// How many requests it runs at once.
    pub slots: u32,
    /// What it does.
    pub stage: UpstreamStage,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// The part that an upstream has in a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UpstreamStage {
    /// Generates tokens.
    Decode,
    /// Serves whole requests of a plain service.
    Plain,
    /// Reads prompts.
    Prefill,
}
