//! What an allocator does with events of requests.

use {
    crate::{
        admit_action::AdmitAction, admit_event::HoldPhase, admit_request::AdmitRequest,
        cell_allocator::CellAllocator, held_request::HeldRequest, queue_place::QueuePlace,
        request_key::RequestKey, request_phase::RequestPhase,
    },
    kernel::{Incarnation, InstanceId, ResultCode},
    std::time::{Duration, Instant},
};

/// Stands for no bound in time.
const FOREVER: Duration = Duration::from_secs(365 * 24 * 3600);
/// How long the KV cache is kept when nothing is known of the link.
const EVICTION_UNKNOWN: Duration = Duration::from_millis(500);
/// The shortest time after which a refused caller is asked to come back.
const RETRY_FLOOR: Duration = Duration::from_millis(100);

impl CellAllocator {
    pub(crate) fn announce(&mut self, now: Instant, phase: HoldPhase, request: AdmitRequest) {
        if self.is_stale(&request.key) || self.requests.contains_key(&request.key) {
            return;
        }
        let key = request.key.clone();
        let mut held = self.hold(now, request);
        held.phase = match phase {
            HoldPhase::Decoding { decode, tokens } => RequestPhase::Decoding {
                decode,
                since: now,
                tokens,
            },
            HoldPhase::Prefilling { prefill, since } => RequestPhase::Prefilling {
                prefill,
                until: since,
            },
            HoldPhase::Read { prefill, since } => RequestPhase::Read {
                evicts: since + self.eviction(),
                prefill,
            },
            HoldPhase::Transferring { decode, .. } => {
                RequestPhase::Transferring { decode, until: now }
            }
        };
        self.put(key, held);
    }

    pub(crate) fn decode_refused(
        &mut self,
        now: Instant,
        key: &RequestKey,
        actions: &mut Vec<AdmitAction>,
    ) {
        let Some(RequestPhase::Transferring { decode, .. }) = self.phase(key) else {
            return;
        };
        let decode = decode.clone();
        if let Some(engine) = self.decodes.get_mut(&decode) {
            engine.full_until = Some(now + self.full_backoff);
        }
        let Some(mut held) = self.remove(key) else {
            return;
        };
        let Some((prefill, evicts)) = held.kv.take() else {
            self.retry(now, held, actions);
            return;
        };
        held.phase = RequestPhase::Read { evicts, prefill };
        self.put(key.clone(), held);
    }

    pub(crate) fn end(&mut self, key: &RequestKey) {
        self.remove(key);
    }

    pub(crate) fn end_after_transfer(&mut self, key: &RequestKey) {
        if let Some(RequestPhase::Transferring { .. } | RequestPhase::Decoding { .. }) =
            self.phase(key)
        {
            self.remove(key);
        }
    }

    /// How long a prefill engine keeps a KV cache.
    pub(crate) fn eviction(&self) -> Duration {
        self.link
            .as_ref()
            .map_or(EVICTION_UNKNOWN, |link| link.eviction)
    }

    pub(crate) fn first_token(&mut self, now: Instant, key: &RequestKey) {
        let Some(RequestPhase::Transferring { decode, .. }) = self.phase(key) else {
            return;
        };
        let decode = decode.clone();
        let Some(mut held) = self.remove(key) else {
            return;
        };
        held.phase = RequestPhase::Decoding {
            decode,
            since: now,
            tokens: 1,
        };
        self.put(key.clone(), held);
    }

    fn hold(&mut self, now: Instant, request: AdmitRequest) -> HeldRequest {
        let row = self.table.row(&request.work);
        let arrived = request.arrived;
        let deadline = row.and_then(|row| Some(arrived + row.first_token?.min(FOREVER)));
        let patience = arrived + row.map_or(FOREVER, |row| row.patience.min(FOREVER));
        self.serial += 1;
        HeldRequest {
            deadline,
            expires: now + FOREVER,
            kv: None,
            patience,
            phase: RequestPhase::Queued,
            place: QueuePlace {
                fresh: true,
                deadline: deadline.unwrap_or(patience),
                serial: self.serial,
            },
            request,
            tries: 0,
        }
    }

    pub(crate) fn holder_gone(&mut self, before: Incarnation, instance: InstanceId) {
        let mut gone = Vec::new();
        for key in self.requests.keys() {
            if key.instance == instance && key.incarnation < before {
                gone.push(key.clone());
            }
        }
        for key in gone {
            self.remove(&key);
        }
        let life = self.lives.entry(instance).or_default();
        *life = before.max(*life);
    }

    /// Whether the request belongs to an earlier life of its entry instance.
    fn is_stale(&self, key: &RequestKey) -> bool {
        self.lives
            .get(&key.instance)
            .is_some_and(|life| key.incarnation < *life && *life != Incarnation::MAX)
    }

    pub(crate) fn kv_evicted(
        &mut self,
        now: Instant,
        key: &RequestKey,
        actions: &mut Vec<AdmitAction>,
    ) {
        let Some(RequestPhase::Read { .. } | RequestPhase::Transferring { .. }) = self.phase(key)
        else {
            return;
        };
        let Some(held) = self.remove(key) else {
            return;
        };
        self.retry(now, held, actions);
    }

    pub(crate) fn phase(&self, key: &RequestKey) -> Option<&RequestPhase> {
        self.requests.get(key).map(|held| &held.phase)
    }

    pub(crate) fn prefill_done(&mut self, now: Instant, key: &RequestKey) {
        let Some(RequestPhase::Prefilling { prefill, .. }) = self.phase(key) else {
            return;
        };
        let prefill = prefill.clone();
        let Some(mut held) = self.remove(key) else {
            return;
        };
        held.phase = RequestPhase::Read {
            evicts: now + self.eviction(),
            prefill,
        };
        self.put(key.clone(), held);
    }

    pub(crate) fn prefill_failed(
        &mut self,
        now: Instant,
        key: &RequestKey,
        actions: &mut Vec<AdmitAction>,
    ) {
        let Some(RequestPhase::Prefilling { .. }) = self.phase(key) else {
            return;
        };
        let Some(held) = self.remove(key) else {
            return;
        };
        self.retry(now, held, actions);
    }

    pub(crate) fn refuse(key: RequestKey, code: ResultCode, wait: Duration) -> AdmitAction {
        AdmitAction::Refuse {
            code,
            key,
            retry_after: wait.max(RETRY_FLOOR),
        }
    }

    /// Puts a request whose try failed back to the front of its row's queue, or refuses it.
    pub(crate) fn retry(
        &mut self,
        now: Instant,
        mut held: HeldRequest,
        actions: &mut Vec<AdmitAction>,
    ) {
        let key = held.request.key.clone();
        let retries = self
            .table
            .row(&held.request.work)
            .map_or(0, |row| row.retries);
        if held.tries >= retries {
            let wait = self.queue_wait(now);
            actions.push(Self::refuse(key, ResultCode::UpstreamRefused, wait));
            return;
        }
        held.tries += 1;
        held.kv = None;
        held.phase = RequestPhase::Queued;
        held.place.fresh = false;
        self.put(key, held);
    }

    pub(crate) fn submit(
        &mut self,
        now: Instant,
        request: AdmitRequest,
        actions: &mut Vec<AdmitAction>,
    ) {
        if self.is_stale(&request.key) || self.requests.contains_key(&request.key) {
            return;
        }
        let key = request.key.clone();
        let wait = self.queue_wait(now);
        if self.table.row(&request.work).is_none() {
            actions.push(Self::refuse(key, ResultCode::WorkUnknown, wait));
            return;
        }
        let held = self.hold(now, request);
        if !self.is_served(&held.request.work) {
            actions.push(Self::refuse(key, ResultCode::UpstreamMissing, wait));
            return;
        }
        self.put(key, held);
    }
}
