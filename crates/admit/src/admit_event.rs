//! Inputs of an allocator.

use {
    crate::{admit_request::AdmitRequest, link_info::LinkInfo, request_key::RequestKey},
    kernel::{BlockHash, Incarnation, InstanceId, UpstreamId},
    route::{LoadReport, UpstreamInfo, load_report::LeavingCause},
    std::{sync::Arc, time::Instant},
    table::WorkTable,
};

/// The phase of a request, as its entry instance announces it to a new allocator.
#[derive(Clone, Debug, PartialEq)]
pub enum AnnouncedPhase {
    /// The request generates tokens.
    Decoding {
        /// The engine on which the request holds a decode place.
        decode: UpstreamId,
        /// Tokens generated so far.
        tokens: u32,
    },
    /// A prefill engine processes the prompt.
    Prefilling {
        /// The engine that prefills the prompt.
        prefill: UpstreamId,
        /// When prefill started.
        since: Instant,
    },
    /// The KV cache is kept by the prefill engine and may be evicted.
    Prefilled {
        /// The engine that keeps the KV cache.
        prefill: UpstreamId,
        /// When prefill ended.
        since: Instant,
    },
    /// The KV cache is being transferred over the link.
    Transferring {
        /// The engine on which the request holds a decode place.
        decode: UpstreamId,
        /// The engine that keeps the KV cache.
        prefill: UpstreamId,
        /// When the transfer started.
        since: Instant,
    },
}

/// One event. Timestamps inside events use the clock of the allocator's driver.
#[derive(Clone, Debug)]
pub enum AdmitEvent {
    /// An entry instance reports what a request holds to an allocator that did not grant it.
    Announce {
        /// The phase of the request.
        phase: AnnouncedPhase,
        /// The request.
        request: AdmitRequest,
    },
    /// Cache events of an engine. They arrive with a delay, and some are lost.
    CacheEvents {
        /// Blocks evicted by the engine.
        evicted: Vec<BlockHash>,
        /// Blocks stored by the engine.
        stored: Vec<BlockHash>,
        /// The engine that reported them.
        upstream: UpstreamId,
    },
    /// The caller disconnected, or the entry instance gave up. Valid in any phase; frees everything that the request
    /// holds.
    Cancel {
        /// The request.
        key: RequestKey,
    },
    /// The decode engine refused the request because it is full, or was unreachable. Nothing was transferred.
    DecodeRefused {
        /// The request.
        key: RequestKey,
    },
    /// The decode engine failed after the transfer began. Its decode place counts as free.
    DecodeLost {
        /// The request.
        key: RequestKey,
    },
    /// The last token arrived, and the decode place is free.
    Finished {
        /// The request.
        key: RequestKey,
        /// The length of the answer in tokens.
        output_tokens: u32,
    },
    /// The first token arrived from the decode engine, so the transfer has ended and the link is free.
    FirstToken {
        /// The request.
        key: RequestKey,
    },
    /// An entry instance died or restarted with a later incarnation. Everything held by its earlier incarnations is
    /// freed.
    HolderGone {
        /// The lowest incarnation that is still valid; `Incarnation::MAX` when the instance will not return.
        before: Incarnation,
        /// The entry instance.
        instance: InstanceId,
    },
    /// The KV cache was evicted before the transfer.
    KvEvicted {
        /// The request.
        key: RequestKey,
    },
    /// Bandwidth and eviction time of the cell's link.
    Link(LinkInfo),
    /// A load report of an engine.
    Load(LoadReport),
    /// Prefill is complete. The prefill engine keeps the KV cache until it evicts it.
    PrefillDone {
        /// The request.
        key: RequestKey,
        /// The engine that prefilled the prompt.
        prefill: UpstreamId,
    },
    /// The prefill engine refused or failed, and holds nothing for the request. Its entry instance counts the retries.
    PrefillFailed {
        /// Whether the engine takes no calls at the moment, so that other requests would fail there too.
        is_unavailable: bool,
        /// The request.
        key: RequestKey,
        /// The engine that was called.
        prefill: UpstreamId,
    },
    /// An entry instance reports the phase of a request again after its session broke. The report replaces the
    /// allocator's state, because a grant may have been lost with the session.
    Reconcile {
        /// The phase of the request; `None` if it waits for a prefill engine.
        phase: Option<AnnouncedPhase>,
        /// The request.
        request: AdmitRequest,
    },
    /// A new request. The answer is [`AdmitAction::GrantPrefill`](crate::AdmitAction) or
    /// [`AdmitAction::Refuse`](crate::AdmitAction), immediately or later.
    Submit(AdmitRequest),
    /// The active table and this cell's share of each row's limit.
    Table {
        /// This cell's share of each row's limit, from 0 to 1.
        share: f64,
        /// The active table.
        table: Arc<WorkTable>,
    },
    /// Time has passed. Sent when [`AdmitAction::WakeAt`](crate::AdmitAction) asks for it.
    Tick,
    /// An upstream is gone. Everything that requests hold there is freed.
    UpstreamGone(UpstreamId),
    /// An upstream takes no new work. Requests that run there continue.
    UpstreamDraining(UpstreamId, LeavingCause),
    /// An upstream is available: it is new, has returned, or changed its role or rates.
    UpstreamUp(UpstreamInfo),
}
