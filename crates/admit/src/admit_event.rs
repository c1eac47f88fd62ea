//! What an allocator hears.

use {
    crate::{admit_request::AdmitRequest, link_info::LinkInfo, request_key::RequestKey},
    kernel::{BlockHash, Incarnation, InstanceId, UpstreamId},
    route::{LoadReport, UpstreamInfo, load_report::LeavingCause},
    std::{sync::Arc, time::Instant},
    table::WorkTable,
};

/// How far a request has come, as its entry instance announces it to a new allocator.
#[derive(Clone, Debug, PartialEq)]
pub enum AnnouncedPhase {
    /// It generates tokens.
    Decoding {
        /// The engine whose place it holds.
        decode: UpstreamId,
        /// The tokens so far.
        tokens: u32,
    },
    /// A prefill engine reads the prompt.
    Prefilling {
        /// The engine that reads.
        prefill: UpstreamId,
        /// When the reading started.
        since: Instant,
    },
    /// Its KV cache lies at the prefill engine and may be evicted.
    Prefilled {
        /// The engine that has the KV cache.
        prefill: UpstreamId,
        /// When the reading ended.
        since: Instant,
    },
    /// Its KV cache crosses the link.
    Transferring {
        /// The engine whose place it holds.
        decode: UpstreamId,
        /// The engine that has the KV cache.
        prefill: UpstreamId,
        /// When the transfer started.
        since: Instant,
    },
}

/// One event. Times inside events are by the clock of whoever drives the allocator.
#[derive(Clone, Debug)]
pub enum AdmitEvent {
    /// An entry instance announces what a request holds, to an allocator that did not grant it.
    Announce {
        /// How far the request has come.
        phase: AnnouncedPhase,
        /// The request.
        request: AdmitRequest,
    },
    /// An engine's cache events: blocks kept and evicted. They come late and with gaps.
    CacheEvents {
        /// Blocks that the engine evicted.
        evicted: Vec<BlockHash>,
        /// Blocks that the engine keeps.
        stored: Vec<BlockHash>,
        /// The engine.
        upstream: UpstreamId,
    },
    /// The caller is gone, or the entry instance gave the request up. At any phase; all that it holds is free.
    Cancel {
        /// The request.
        key: RequestKey,
    },
    /// The decode engine refused the request as full, or could not be reached; nothing was transferred.
    DecodeRefused {
        /// The request.
        key: RequestKey,
    },
    /// The decode engine failed after the transfer began; its place is to be taken as free.
    DecodeLost {
        /// The request.
        key: RequestKey,
    },
    /// The last token came; the decode place is free.
    Finished {
        /// The request.
        key: RequestKey,
        /// The length of the answer.
        output_tokens: u32,
    },
    /// The first token came from the decode engine: the transfer ended and the link is free.
    FirstToken {
        /// The request.
        key: RequestKey,
    },
    /// An entry instance died, or came back in a later life: all that its earlier lives hold is free.
    HolderGone {
        /// The first life that is not gone; `Incarnation::MAX` when the instance is gone for good.
        before: Incarnation,
        /// The entry instance.
        instance: InstanceId,
    },
    /// The KV cache was evicted before the transfer.
    KvEvicted {
        /// The request.
        key: RequestKey,
    },
    /// What is known of the cell's links.
    Link(LinkInfo),
    /// A load report.
    Load(LoadReport),
    /// The prefill engine has read the prompt; the KV cache lies there until it is evicted.
    PrefillDone {
        /// The request.
        key: RequestKey,
    },
    /// The prefill engine refused or failed; nothing is held there.
    PrefillFailed {
        /// The request.
        key: RequestKey,
    },
    /// An entry instance whose session was lost tells anew how far a request has come. It counts in place of what the
    /// allocator holds: a grant may have been lost with the session.
    Reconcile {
        /// How far the request has come; none when it waits for a prefill engine.
        phase: Option<AnnouncedPhase>,
        /// The request.
        request: AdmitRequest,
    },
    /// A new request. Its answer is [`AdmitAction::GrantPrefill`](crate::AdmitAction) or
    /// [`AdmitAction::Refuse`](crate::AdmitAction), at once or later.
    Submit(AdmitRequest),
    /// The table in force, and this cell's share of each row's limit: 0 to 1.
    Table {
        /// This cell's share of each row's limit.
        share: f64,
        /// The table.
        table: Arc<WorkTable>,
    },
    /// Time passed; drivers send it when [`AdmitAction::WakeAt`](crate::AdmitAction) asks.
    Tick,
    /// An upstream is gone: all that requests hold there is free.
    UpstreamGone(UpstreamId),
    /// An upstream takes no new work; what runs there goes on.
    UpstreamDraining(UpstreamId, LeavingCause),
    /// An upstream is there, or changed its role or rates, or is back.
    UpstreamUp(UpstreamInfo),
}
