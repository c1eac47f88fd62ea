//! The requests that this instance holds: what has to be announced when a cell gets another allocator.

use {
    crate::{
        cell_frame::{CellFrame, CellSubmit, HeldPhase},
        cell_notice::{CellGrant, CellNotice},
    },
    admit::RequestKey,
    kernel::{InstanceId, LockRank, ModelId, RankedLock, ResultCode},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::UnboundedSender,
};

/// One request that this instance holds.
#[derive(Debug)]
struct HeldRequest {
    arrived: Instant,
    grants: UnboundedSender<CellGrant>,
    phase: HeldPhase,
    since: Instant,
    submit: CellSubmit,
}

/// The requests that this instance holds, by their serial.
#[derive(Debug)]
pub struct RequestTable {
    requests: RankedLock<BTreeMap<u64, HeldRequest>>,
}

impl Default for RequestTable {
    fn default() -> Self {
        Self {
            requests: RankedLock::new(LockRank::Requests, BTreeMap::new()),
        }
    }
}

impl RequestTable {
    /// What a new allocator of a cell has to be told: which requests are held, then each of them.
    pub fn announcements(&self, instance: &InstanceId, model: &ModelId) -> Vec<CellFrame> {
        let requests = self.requests.lock();
        let held = requests
            .iter()
            .filter(|(_, held)| held.submit.model == *model);
        let mut serials = BTreeSet::new();
        let mut frames = Vec::new();
        for (serial, held) in held {
            serials.insert(*serial);
            frames.push(held.announcement());
        }
        let holds = CellFrame::Holds {
            instance: instance.clone(),
            model: model.clone(),
            serials,
        };
        frames.insert(0, holds);
        frames
    }

    /// Hands a grant to its request. A grant that doesn't fit how far the request has come is dropped; what the request
    /// holds is then given back, to be announced, as it is when the allocator asks for it.
    pub fn deliver(&self, key: &RequestKey, grant: CellGrant) -> Option<CellFrame> {
        let mut requests = self.requests.lock();
        let Some(held) = requests.get_mut(&key.serial) else {
            return Some(cancel_frame(key));
        };
        if held.submit.key != *key {
            return None;
        }
        if !held.apply_grant(&grant) {
            return Some(held.announcement());
        }
        // The request may have ended; its end was notified then.
        let _ = held.grants.send(grant);
        None
    }

    /// Puts a request in.
    pub fn insert(&self, submit: CellSubmit, arrived: Instant, grants: UnboundedSender<CellGrant>) {
        let serial = submit.key.serial;
        let held = HeldRequest {
            arrived,
            grants,
            phase: HeldPhase::Queued,
            since: Instant::now(),
            submit,
        };
        self.requests.lock().insert(serial, held);
    }

    /// Whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.requests.lock().is_empty()
    }

    /// How many requests are held.
    pub fn len(&self) -> usize {
        self.requests.lock().len()
    }

    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// The models of the held requests.
    pub fn models(&self) -> BTreeSet<ModelId> {
        let requests = self.requests.lock();
        requests
            .values()
            .map(|held| held.submit.model.clone())
            .collect()
    }

    /// Notes what happened to a request. Its cell, or `None` when it is not held.
    pub fn apply_notice(&self, serial: u64, notice: &CellNotice) -> Option<ModelId> {
        let mut requests = self.requests.lock();
        let held = requests.get_mut(&serial)?;
        let model = held.submit.model.clone();
        match notice {
            CellNotice::Cancel | CellNotice::Finished { .. } => {
                requests.remove(&serial);
            }
            notice => held.apply_notice(notice),
        }
        Some(model)
    }

    /// Phases by name, for the dump.
    pub fn phase_counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for held in self.requests.lock().values() {
            *counts.entry(held.phase.name()).or_default() += 1;
        }
        counts
    }

    /// Refuses the requests that wait for a grant and are meant.
    pub fn refuse_waiting(
        &self,
        is_selected: impl Fn(&CellSubmit) -> bool,
        code: ResultCode,
        retry_after: Duration,
    ) {
        for held in self.requests.lock().values() {
            let is_waiting = matches!(held.phase, HeldPhase::Queued | HeldPhase::Prefilled { .. });
            if !is_waiting || !is_selected(&held.submit) {
                continue;
            }
            // The request may be ending by itself.
            let _ = held.grants.send(CellGrant::Refuse { code, retry_after });
        }
    }

    /// Takes a request back to the queue for a further attempt: what to tell the allocator.
    pub fn requeue(&self, serial: u64) -> Option<CellFrame> {
        let mut requests = self.requests.lock();
        let held = requests.get_mut(&serial)?;
        held.set_phase(HeldPhase::Queued);
        Some(held.announcement())
    }

    /// Takes a request out without a word to the allocator: the allocator refused it.
    pub fn remove(&self, serial: u64) {
        self.requests.lock().remove(&serial);
    }
}

impl HeldRequest {
    fn announcement(&self) -> CellFrame {
        let mut submit = self.submit.clone();
        submit.age = self.arrived.elapsed();
        if self.phase == HeldPhase::Queued {
            return CellFrame::Submit(submit);
        }
        CellFrame::Announce {
            phase: self.phase.clone().with_age(self.since.elapsed()),
            submit,
        }
    }

    fn set_phase(&mut self, phase: HeldPhase) {
        self.phase = phase;
        self.since = Instant::now();
    }

    fn apply_notice(&mut self, notice: &CellNotice) {
        match (notice, &self.phase) {
            (CellNotice::PrefillDone, HeldPhase::Prefilling { prefill, .. }) => {
                let prefill = prefill.clone();
                self.set_phase(HeldPhase::Prefilled {
                    prefill,
                    age: Duration::ZERO,
                });
            }
            (CellNotice::FirstToken, HeldPhase::Transferring { decode, .. }) => {
                let decode = decode.clone();
                self.set_phase(HeldPhase::Decoding { decode, tokens: 1 });
            }
            (CellNotice::DecodeRefused, HeldPhase::Transferring { prefill, .. }) => {
                let prefill = prefill.clone();
                self.set_phase(HeldPhase::Prefilled {
                    prefill,
                    age: Duration::ZERO,
                });
            }
            (CellNotice::DecodeLost | CellNotice::KvEvicted | CellNotice::PrefillFailed, _) => {
                self.set_phase(HeldPhase::Queued);
            }
            _ => {}
        }
    }

    fn apply_grant(&mut self, grant: &CellGrant) -> bool {
        match (grant, &self.phase) {
            // One that waits with a KV cache is to be read again: the engine that has it is gone.
            (CellGrant::Prefill(prefill), HeldPhase::Queued | HeldPhase::Prefilled { .. }) => {
                let prefill = prefill.clone();
                self.set_phase(HeldPhase::Prefilling {
                    prefill,
                    age: Duration::ZERO,
                });
                true
            }
            (CellGrant::Decode(decode), HeldPhase::Prefilled { prefill, .. }) => {
                let (decode, prefill) = (decode.clone(), prefill.clone());
                self.set_phase(HeldPhase::Transferring {
                    decode,
                    prefill,
                    age: Duration::ZERO,
                });
                true
            }
            (CellGrant::Refuse { .. }, HeldPhase::Queued | HeldPhase::Prefilled { .. }) => true,
            _ => false,
        }
    }
}

impl HeldPhase {
    fn with_age(self, elapsed: Duration) -> Self {
        match self {
            Self::Prefilling { prefill, .. } => Self::Prefilling {
                prefill,
                age: elapsed,
            },
            Self::Prefilled { prefill, .. } => Self::Prefilled {
                prefill,
                age: elapsed,
            },
            Self::Transferring {
                decode, prefill, ..
            } => Self::Transferring {
                decode,
                prefill,
                age: elapsed,
            },
            phase => phase,
        }
    }

    /// The phase's name in the dump.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Decoding { .. } => "decoding",
            Self::Prefilling { .. } => "prefilling",
            Self::Queued => "queued",
            Self::Prefilled { .. } => "read",
            Self::Transferring { .. } => "transferring",
        }
    }
}

/// Tells an allocator that a request it granted something to is over. The cell is filled in by whoever sends it.
fn cancel_frame(key: &RequestKey) -> CellFrame {
    CellFrame::Notice {
        key: key.clone(),
        model: "".into(),
        notice: CellNotice::Cancel,
    }
}
