//! Handlers for events of requests.

use {
    crate::{
        admit_action::AdmitAction, admit_event::AnnouncedPhase, admit_request::AdmitRequest,
        cell_allocator::CellAllocator, cell_indexes::MAX_WAIT, held_request::HeldRequest,
        queue_position::QueuePosition, request_key::RequestKey, request_phase::RequestPhase,
    },
    kernel::{Incarnation, InstanceId, ResultCode, UpstreamId},
    std::time::Instant,
};

/// The maximum number of announced requests kept until the first table arrives.
const MAX_PENDING: usize = 65_536;

impl CellAllocator {
    pub(crate) fn announce(
        &mut self,
        now: Instant,
        phase: AnnouncedPhase,
        request: AdmitRequest,
        actions: &mut Vec<AdmitAction>,
    ) {
        if self.is_over(&request.key) {
            return;
        }
        let current_phase = self.phase(&request.key);
        if current_phase.is_some_and(|current| !current.yields_to(&phase)) {
            return;
        }
        let Some(row) = self.row_ids.get(&request.work).copied() else {
            self.announce_unknown(phase, request, actions);
            return;
        };
        let key = request.key.clone();
        self.remove(now, &key);
        let mut held = self.queued_request(now, row, request);
        held.granted_at = Some(now);
        if let AnnouncedPhase::Transferring { prefill, since, .. } = &phase {
            held.kv = Some((prefill.clone(), *since + self.link.eviction()));
        }
        held.phase = self.announced_phase(phase, &held);
        self.put(now, key, held);
    }

    /// Handles an announced request whose row is unknown. Before the first table it is kept; afterwards it is refused
    /// if it waits for a grant.
    fn announce_unknown(
        &mut self,
        phase: AnnouncedPhase,
        request: AdmitRequest,
        actions: &mut Vec<AdmitAction>,
    ) {
        if self.table.version == 0 {
            if self.pending.len() < MAX_PENDING {
                self.pending.insert(request.key.clone(), (phase, request));
            }
            return;
        }
        if let AnnouncedPhase::Prefilled { .. } = phase {
            let code = ResultCode::WorkUnknown;
            actions.push(Self::refuse(request.key, code, Self::UNKNOWN_WAIT));
        }
    }

    fn announced_phase(&self, phase: AnnouncedPhase, held: &HeldRequest) -> RequestPhase {
        match phase {
            AnnouncedPhase::Decoding { decode, tokens } => {
                RequestPhase::Decoding { decode, tokens }
            }
            AnnouncedPhase::Prefilling { prefill, .. } => RequestPhase::Prefilling {
                prefill,
                tokens: f64::from(held.request.prompt_tokens),
            },
            AnnouncedPhase::Prefilled { prefill, since } => RequestPhase::Prefilled {
                evicts_at: since + self.link.eviction(),
                prefill,
            },
            AnnouncedPhase::Transferring { decode, .. } => RequestPhase::Transferring { decode },
        }
    }

    pub(crate) fn cache_events(&mut self, upstream: &UpstreamId, stored: &[u64], evicted: &[u64]) {
        self.prefixes.evicted(upstream, evicted);
        self.prefixes.stored(upstream, stored);
    }

    pub(crate) fn cancel(&mut self, now: Instant, key: &RequestKey) {
        self.remove(now, key);
        self.ended.insert(key.clone());
    }

    pub(crate) fn decode_lost(&mut self, now: Instant, key: &RequestKey) {
        if let Some(RequestPhase::Transferring { .. } | RequestPhase::Decoding { .. }) =
            self.phase(key)
        {
            self.remove(now, key);
        }
    }

    pub(crate) fn decode_refused(
        &mut self,
        now: Instant,
        key: &RequestKey,
        actions: &mut Vec<AdmitAction>,
    ) {
        let Some(RequestPhase::Transferring { decode }) = self.phase(key) else {
            self.resync(key, actions);
            return;
        };
        let decode = decode.clone();
        let Some(mut held) = self.remove(now, key) else {
            return;
        };
        let pool = self.pools.get_mut(&held.pool);
        if let Some(engine) = pool.and_then(|pool| pool.decodes.get_mut(&decode)) {
            engine.full_period = Some((now, now + self.tuning.full_backoff));
        }
        // The KV cache is lost if its engine is gone.
        let kv = held.kv.take().filter(|(prefill, _)| {
            let pool = self.pools.get(&held.pool);
            pool.is_some_and(|pool| pool.prefills.contains_key(prefill))
        });
        let Some((prefill, evicts_at)) = kv else {
            self.requeue(now, held);
            return;
        };
        held.phase = RequestPhase::Prefilled { evicts_at, prefill };
        self.put(now, key.clone(), held);
    }

    pub(crate) fn finished(&mut self, now: Instant, key: &RequestKey, output_tokens: u32) {
        let Some(RequestPhase::Transferring { .. } | RequestPhase::Decoding { .. }) =
            self.phase(key)
        else {
            return;
        };
        let Some(held) = self.remove(now, key) else {
            return;
        };
        if held.charged_seconds > 0.0 {
            self.settle_charge(&held, output_tokens);
        }
        let row = &mut self.rows[held.row];
        row.sketch.record(output_tokens);
        if let Some(granted) = held.granted_at {
            row.record_residence(now.saturating_duration_since(granted));
        }
        self.ended.insert(key.clone());
    }

    pub(crate) fn first_token(
        &mut self,
        now: Instant,
        key: &RequestKey,
        actions: &mut Vec<AdmitAction>,
    ) {
        let Some(RequestPhase::Transferring { decode }) = self.phase(key) else {
            self.resync(key, actions);
            return;
        };
        let decode = decode.clone();
        self.move_to(now, key, RequestPhase::Decoding { decode, tokens: 1 });
    }

    /// Creates the state of a request that holds nothing yet.
    pub(crate) fn queued_request(
        &mut self,
        now: Instant,
        row: usize,
        request: AdmitRequest,
    ) -> HeldRequest {
        let state = &self.rows[row];
        let arrived = request.arrived;
        let first_token = state.row.first_token;
        let deadline = first_token.map(|target| arrived + target.min(MAX_WAIT));
        let patience = arrived + state.row.patience.min(MAX_WAIT);
        let service = self.service_time(row, &request);
        let latest = patience
            .checked_sub(service)
            .unwrap_or(arrived)
            .max(arrived);
        self.serial += 1;
        HeldRequest {
            charged_seconds: 0.0,
            deadline,
            due: now,
            granted_at: None,
            kv: None,
            latest_start: latest,
            patience_end: patience,
            phase: RequestPhase::Queued,
            position: QueuePosition {
                is_late: false,
                is_fresh: true,
                deadline: deadline.unwrap_or(latest),
                serial: self.serial,
            },
            pool: state.pool.clone(),
            request,
            row,
            timer_at: now,
        }
    }

    pub(crate) fn holder_gone(&mut self, now: Instant, before: Incarnation, instance: InstanceId) {
        let mut gone = Vec::new();
        for key in self.requests.keys() {
            if key.instance == instance && key.incarnation < before {
                gone.push(key.clone());
            }
        }
        for key in gone {
            self.remove(now, &key);
        }
        let incarnation = self.live_incarnations.entry(instance).or_default();
        *incarnation = before.max(*incarnation);
    }

    /// Whether the request has ended, or its entry instance's incarnation has.
    fn is_over(&self, key: &RequestKey) -> bool {
        let incarnation = self
            .live_incarnations
            .get(&key.instance)
            .copied()
            .unwrap_or_default();
        key.incarnation < incarnation || self.ended.contains(key)
    }

    pub(crate) fn kv_evicted(
        &mut self,
        now: Instant,
        key: &RequestKey,
        actions: &mut Vec<AdmitAction>,
    ) {
        let Some(RequestPhase::Prefilled { .. } | RequestPhase::Transferring { .. }) =
            self.phase(key)
        else {
            self.resync(key, actions);
            return;
        };
        let Some(held) = self.remove(now, key) else {
            return;
        };
        self.requeue(now, held);
    }

    /// Moves a request to another phase.
    pub(crate) fn move_to(&mut self, now: Instant, key: &RequestKey, phase: RequestPhase) {
        let Some(mut held) = self.remove(now, key) else {
            return;
        };
        held.phase = phase;
        self.put(now, key.clone(), held);
    }

    pub(crate) fn phase(&self, key: &RequestKey) -> Option<&RequestPhase> {
        self.requests.get(key).map(|held| &held.phase)
    }

    pub(crate) fn prefill_done(
        &mut self,
        now: Instant,
        key: &RequestKey,
        prefill: UpstreamId,
        actions: &mut Vec<AdmitAction>,
    ) {
        if !self.is_prefilling_at(key, &prefill) {
            self.resync(key, actions);
            return;
        }
        let evicts_at = now + self.link.eviction();
        self.move_to(now, key, RequestPhase::Prefilled { evicts_at, prefill });
    }

    pub(crate) fn prefill_failed(
        &mut self,
        now: Instant,
        key: &RequestKey,
        prefill: &UpstreamId,
        actions: &mut Vec<AdmitAction>,
    ) {
        if !self.is_prefilling_at(key, prefill) {
            self.resync(key, actions);
            return;
        }
        let Some(held) = self.remove(now, key) else {
            return;
        };
        self.requeue(now, held);
    }

    /// Whether the latest grant of a request is of this engine. A notice about another engine has crossed a grant that
    /// the entry instance accepted.
    fn is_prefilling_at(&self, key: &RequestKey, engine: &UpstreamId) -> bool {
        matches!(self.phase(key), Some(RequestPhase::Prefilling { prefill, .. }) if prefill == engine)
    }

    /// Asks the entry instance to report a request that is active there and not held here.
    pub(crate) fn resync(&self, key: &RequestKey, actions: &mut Vec<AdmitAction>) {
        if self.requests.contains_key(key) || self.is_over(key) {
            return;
        }
        actions.push(AdmitAction::Resync { key: key.clone() });
    }

    pub(crate) fn reconcile(
        &mut self,
        now: Instant,
        phase: Option<AnnouncedPhase>,
        request: AdmitRequest,
        actions: &mut Vec<AdmitAction>,
    ) {
        let current_phase = self.phase(&request.key);
        if current_phase.is_some_and(|current| current.matches_announced(phase.as_ref())) {
            return;
        }
        self.remove(now, &request.key);
        match phase {
            Some(phase) => self.announce(now, phase, request, actions),
            None => self.submit(now, request, actions),
        }
    }

    /// Returns a request whose attempt failed to the front of its row's queue. Its entry instance limits the retries:
    /// only it knows which failures are of one attempt.
    pub(crate) fn requeue(&mut self, now: Instant, mut held: HeldRequest) {
        let key = held.request.key.clone();
        held.kv = None;
        held.phase = RequestPhase::Queued;
        held.position.is_fresh = false;
        self.put(now, key, held);
    }

    pub(crate) fn submit(
        &mut self,
        now: Instant,
        request: AdmitRequest,
        actions: &mut Vec<AdmitAction>,
    ) {
        if self.is_over(&request.key) || self.requests.contains_key(&request.key) {
            return;
        }
        let row = self.row_ids.get(&request.work).copied();
        let Some(row) = row.filter(|row| self.rows[*row].is_listed) else {
            actions.push(Self::refuse(
                request.key,
                ResultCode::WorkUnknown,
                Self::UNKNOWN_WAIT,
            ));
            return;
        };
        self.rows[row].arrivals.record(now);
        if let Some((code, wait)) = self.refusal(now, row, &request) {
            actions.push(Self::refuse(request.key, code, wait));
            return;
        }
        let key = request.key.clone();
        self.join_rank(row);
        let held = self.queued_request(now, row, request);
        self.put(now, key, held);
    }
}
