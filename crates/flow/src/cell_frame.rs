//! The messages of a session between an entry instance and the allocator of a cell.

use {
    crate::cell_notice::{CellGrant, CellNotice},
    admit::{AdmitEvent, AdmitRequest, AnnouncedPhase, RequestKey},
    kernel::{BlockHash, InstanceId, ModelId, UpstreamId, WorkId},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// A request as it is told to an allocator. Clocks differ between instances, so that times travel as ages.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CellSubmit {
    /// How long ago the caller's request arrived.
    pub age: Duration,
    /// The request.
    pub key: RequestKey,
    /// The most tokens that the caller takes.
    pub max_tokens: u32,
    /// The model: it names the cell.
    pub model: ModelId,
    /// The chained hashes of the prompt's blocks.
    pub prefix: Vec<BlockHash>,
    /// The prompt's length in tokens.
    pub prompt_tokens: u32,
    /// The row of the table.
    pub work: WorkId,
}

/// How far a held request has come.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum HeldPhase {
    /// It generates tokens.
    Decoding {
        /// The decode engine.
        decode: UpstreamId,
        /// The tokens so far, as last noted.
        tokens: u32,
    },
    /// A prefill engine reads the prompt.
    Prefilling {
        /// The prefill engine.
        prefill: UpstreamId,
        /// For how long.
        age: Duration,
    },
    /// It waits for a prefill engine.
    Queued,
    /// Its KV cache waits for its transfer.
    Prefilled {
        /// The prefill engine.
        prefill: UpstreamId,
        /// For how long.
        age: Duration,
    },
    /// Its KV cache crosses the link.
    Transferring {
        /// The decode engine.
        decode: UpstreamId,
        /// The prefill engine.
        prefill: UpstreamId,
        /// For how long.
        age: Duration,
    },
}

/// What an entry instance sends to an allocator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CellFrame {
    /// What a request holds that another allocator granted.
    Announce {
        /// How far it has come.
        phase: HeldPhase,
        /// The request.
        submit: CellSubmit,
    },
    /// The first frame for a cell: all that the instance holds there. Whatever else the allocator was told of by the
    /// instance is over, and the word of it was lost.
    Holds {
        /// The entry instance.
        instance: InstanceId,
        /// The cell.
        model: ModelId,
        /// The serials of the requests.
        serials: BTreeSet<u64>,
    },
    /// What happened to a request.
    Notice {
        /// The request.
        key: RequestKey,
        /// The cell.
        model: ModelId,
        /// What happened.
        notice: CellNotice,
    },
    /// A new attempt.
    Submit(CellSubmit),
}

/// What an allocator sends to an entry instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantFrame {
    /// The decision.
    pub grant: CellGrant,
    /// The request.
    pub key: RequestKey,
    /// The cell.
    pub model: ModelId,
}

impl CellFrame {
    /// The cell that the frame is for.
    pub fn model(&self) -> &ModelId {
        match self {
            Self::Announce { submit, .. } | Self::Submit(submit) => &submit.model,
            Self::Holds { model, .. } | Self::Notice { model, .. } => model,
        }
    }

    /// The entry instance that the frame is of.
    pub fn instance(&self) -> &InstanceId {
        match self {
            Self::Announce { submit, .. } | Self::Submit(submit) => &submit.key.instance,
            Self::Holds { instance, .. } => instance,
            Self::Notice { key, .. } => &key.instance,
        }
    }

    /// The allocator's event, by this process's clock; `None` for a frame that is of no single request.
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
