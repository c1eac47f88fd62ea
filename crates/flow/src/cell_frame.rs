//! Frames of a session between an entry instance and the allocator of a cell. They are encoded with postcard, so the
//! order of fields and variants is the wire format.

use {
    crate::cell_notice::{CellGrant, CellNotice},
    admit::{AdmitEvent, AdmitRequest, AnnouncedPhase, RequestKey},
    kernel::{BlockHash, InstanceId, ModelId, UpstreamId, WorkId},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// A request as it is submitted to an allocator. Times are sent as ages, because clocks differ between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CellSubmit {
    /// The time since the caller's request arrived.
    pub age: Duration,
    /// The request.
    pub key: RequestKey,
    /// The maximum length of the answer in tokens.
    pub max_tokens: u32,
    /// The model, which identifies the cell.
    pub model: ModelId,
    /// Chained hashes of the prompt's blocks, in prompt order.
    pub prefix: Vec<BlockHash>,
    /// The prompt length in tokens.
    pub prompt_tokens: u32,
    /// The work that names the row of the table.
    pub work: WorkId,
}

/// The phase of a request held by an entry instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum HeldPhase {
    /// The request generates tokens.
    Decoding {
        /// The engine on which the request holds a decode place.
        decode: UpstreamId,
        /// The number of tokens generated when the phase was recorded.
        tokens: u32,
    },
    /// A prefill engine processes the prompt.
    Prefilling {
        /// The engine that prefills the prompt.
        prefill: UpstreamId,
        /// The time since the request entered this phase.
        age: Duration,
    },
    /// The request waits for a prefill engine.
    Queued,
    /// The KV cache waits for its transfer.
    Prefilled {
        /// The engine that keeps the KV cache.
        prefill: UpstreamId,
        /// The time since the request entered this phase.
        age: Duration,
    },
    /// The KV cache is being transferred over the link.
    Transferring {
        /// The engine on which the request holds a decode place.
        decode: UpstreamId,
        /// The engine that keeps the KV cache.
        prefill: UpstreamId,
        /// The time since the request entered this phase.
        age: Duration,
    },
}

/// A frame from an entry instance to an allocator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CellFrame {
    /// Announces what a request holds by grants of another allocator.
    Announce {
        /// The phase of the request.
        phase: HeldPhase,
        /// The request.
        submit: CellSubmit,
    },
    /// The first frame for a cell lists every request that the instance holds there. Requests that the allocator knows
    /// from this instance and that are not listed have ended, and their final notice was lost.
    Holds {
        /// The entry instance.
        instance: InstanceId,
        /// The model, which identifies the cell.
        model: ModelId,
        /// The serial numbers of the held requests.
        serials: BTreeSet<u64>,
    },
    /// Reports a change of a request.
    Notice {
        /// The request.
        key: RequestKey,
        /// The model, which identifies the cell.
        model: ModelId,
        /// The reported change.
        notice: CellNotice,
    },
    /// Submits a new attempt.
    Submit(CellSubmit),
}

/// A frame from an allocator to an entry instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantFrame {
    /// The address of the granted engine as the allocator's instance lists it. `None` without an engine, or if the engine
    /// is not listed there.
    pub address: Option<SocketAddr>,
    /// The decision on the request.
    pub grant: CellGrant,
    /// The request.
    pub key: RequestKey,
    /// The model, which identifies the cell.
    pub model: ModelId,
}

impl CellFrame {
    /// The model that identifies the cell.
    pub fn model(&self) -> &ModelId {
        match self {
            Self::Announce { submit, .. } | Self::Submit(submit) => &submit.model,
            Self::Holds { model, .. } | Self::Notice { model, .. } => model,
        }
    }

    /// The entry instance that sent the frame.
    pub fn instance(&self) -> &InstanceId {
        match self {
            Self::Announce { submit, .. } | Self::Submit(submit) => &submit.key.instance,
            Self::Holds { instance, .. } => instance,
            Self::Notice { key, .. } => &key.instance,
        }
    }

    /// Converts the frame to an event with timestamps of the local clock; `None` for a frame about several requests.
    pub fn into_event(self, now: Instant) -> Option<AdmitEvent> {
        match self {
            Self::Announce { phase, submit } => Some(announce_event(phase, submit, now)),
            Self::Holds { .. } => None,
            Self::Notice { key, notice, .. } => Some(notice.into_event(key)),
            Self::Submit(submit) => Some(AdmitEvent::Submit(submit.into_request(now))),
        }
    }
}

impl CellSubmit {
    fn into_request(self, now: Instant) -> AdmitRequest {
        AdmitRequest {
            arrived: before(now, self.age),
            key: self.key,
            max_tokens: self.max_tokens,
            prefix: self.prefix,
            prompt_tokens: self.prompt_tokens,
            work: self.work,
        }
    }
}

fn announce_event(phase: HeldPhase, submit: CellSubmit, now: Instant) -> AdmitEvent {
    let request = submit.into_request(now);
    let phase = match phase {
        HeldPhase::Queued => return AdmitEvent::Submit(request),
        HeldPhase::Decoding { decode, tokens } => AnnouncedPhase::Decoding { decode, tokens },
        HeldPhase::Prefilling { prefill, age } => AnnouncedPhase::Prefilling {
            prefill,
            since: before(now, age),
        },
        HeldPhase::Prefilled { prefill, age } => AnnouncedPhase::Prefilled {
            prefill,
            since: before(now, age),
        },
        HeldPhase::Transferring {
            decode,
            prefill,
            age,
        } => AnnouncedPhase::Transferring {
            decode,
            prefill,
            since: before(now, age),
        },
    };
    AdmitEvent::Announce { phase, request }
}

fn before(now: Instant, age: Duration) -> Instant {
    now.checked_sub(age).unwrap_or(now)
}
