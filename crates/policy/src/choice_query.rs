//! What a call needs of its upstream.

use {
    crate::{UpstreamStage, ZoneFilter},
    kernel::{ServiceId, SoftwareVersion, UpstreamId, ZoneId},
    std::collections::BTreeSet,
};

/// The criteria for selecting an upstream.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery<'a> {
    /// Upstreams that have already been tried.
    pub avoid: &'a [UpstreamId],
    /// The availability zones that may process the request.
    pub filter: &'a ZoneFilter,
    /// Engines that have the KV cache of the prompt: preferred while they are not full, since they need no prefill.
    pub holders: &'a [UpstreamId],
    /// Upstreams with an idle connection.
    pub connected: &'a BTreeSet<UpstreamId>,
    /// The id of the request, which breaks ties so that calls are spread.
    pub request: &'a str,
    /// The service to call.
    pub service: &'a ServiceId,
    /// The software version to call; `None` for any. A stream can only go on at the version that began it.
    pub software: Option<&'a SoftwareVersion>,
    /// The stage to call.
    pub stage: UpstreamStage,
    /// The preferred availability zone.
    pub zone: &'a ZoneId,
}
