//! The requests held by this instance, which are announced when a cell gets another allocator.

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

/// One held request.
#[derive(Debug)]
struct HeldRequest {
    arrived: Instant,
    grants: UnboundedSender<CellGrant>,
    phase: HeldPhase,
    since: Instant,
    submit: CellSubmit,
}

/// The held requests by serial number.
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
    /// The announcement for a cell's new allocator: the list of held requests, followed by the state of each.
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
        let list_frame = CellFrame::Holds {
            instance: instance.clone(),
            model: model.clone(),
            serials,
        };
        frames.insert(0, list_frame);
        frames
    }

    /// Delivers a grant to its request. A grant that does not fit the request's phase is dropped, and the current state
    /// is returned to be announced, as it is when the allocator asks for it.
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
        // The request may have ended, in which case the allocator was notified.
        let _ = held.grants.send(grant);
        None
    }

    /// Adds a queued request.
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

    /// The number of held requests.
    pub fn len(&self) -> usize {
        self.requests.lock().len()
    }

    /// Creates an empty table.
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

    /// Applies a change to a request. Returns its cell, or `None` if the request is not held.
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

    /// The number of requests by phase, for the state dump.
    pub fn phase_counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for held in self.requests.lock().values() {
            *counts.entry(held.phase.name()).or_default() += 1;
        }
        counts
    }

    /// Refuses the selected requests that wait for a grant.
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
            // The request may be ending at the same time.
            let _ = held.grants.send(CellGrant::Refuse { code, retry_after });
        }
    }

    /// Returns a request to the queue for another attempt. Returns the frame for the allocator.
    pub fn requeue(&self, serial: u64) -> Option<CellFrame> {
        let mut requests = self.requests.lock();
        let held = requests.get_mut(&serial)?;
        held.set_phase(HeldPhase::Queued);
        Some(held.announcement())
    }

    /// Removes a request without notifying the allocator, which refused it.
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
            (CellNotice::PrefillDone { .. }, HeldPhase::Prefilling { prefill, .. }) => {
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
            (
                CellNotice::DecodeLost | CellNotice::KvEvicted | CellNotice::PrefillFailed { .. },
                _,
            ) => {
                self.set_phase(HeldPhase::Queued);
            }
            _ => {}
        }
    }

    fn apply_grant(&mut self, grant: &CellGrant) -> bool {
        match (grant, &self.phase) {
            // A request with a KV cache is prefilled again if the engine that kept the cache is gone.
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

    /// The phase's name in the state dump.
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

/// Builds the frame that tells an allocator that a request with a grant has ended. The sender fills in the cell.
fn cancel_frame(key: &RequestKey) -> CellFrame {
    CellFrame::Notice {
        key: key.clone(),
        model: "".into(),
        notice: CellNotice::Cancel,
    }
}
