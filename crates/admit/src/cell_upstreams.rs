//! Handlers for events of upstreams and tables.

use {
    crate::{
        admit_action::AdmitAction, cell_allocator::CellAllocator, decode_engine::DecodeEngine,
        pool_key::PoolKey, prefill_engine::PrefillEngine, request_key::RequestKey,
        request_phase::RequestPhase, row_limit::cell_limit, row_state::RowState,
    },
    kernel::{ResultCode, UpstreamId},
    route::{LoadReport, UpstreamInfo, UpstreamRole},
    std::{sync::Arc, time::Instant},
    table::WorkTable,
};

impl CellAllocator {
    pub(crate) fn load(&mut self, report: &LoadReport) {
        if report.leaving {
            self.upstream_draining(&report.upstream);
        }
        for pool in self.pools.values_mut() {
            if let Some(engine) = pool.decodes.get_mut(&report.upstream) {
                engine.report(report);
            }
            if let Some(engine) = pool.prefills.get_mut(&report.upstream) {
                engine.report(report);
            }
        }
    }

    /// Passes over a prefill engine until a load report shows that it answers again.
    pub(crate) fn suspend_prefill(&mut self, now: Instant, upstream: &UpstreamId) {
        for pool in self.pools.values_mut() {
            if let Some(engine) = pool.prefills.get_mut(upstream) {
                engine.suspended_at = Some(now);
            }
        }
    }

    pub(crate) fn set_table(
        &mut self,
        now: Instant,
        share: f64,
        table: Arc<WorkTable>,
        actions: &mut Vec<AdmitAction>,
    ) {
        self.share = share;
        self.table = table.clone();
        for state in &mut self.rows {
            state.is_listed = false;
        }
        for (work, row) in &table.rows {
            let index = *self.row_ids.entry(work.clone()).or_insert(self.rows.len());
            if index == self.rows.len() {
                self.rows.push(RowState::new(row.clone()));
            }
            let state = &mut self.rows[index];
            state.is_listed = true;
            state.limit = row.limit.map_or(u32::MAX, |limit| cell_limit(limit, share));
            state.pool = PoolKey::of_row(row);
            state.row = row.clone();
        }
        self.requeue_all(now, actions);
        for (phase, request) in std::mem::take(&mut self.pending).into_values() {
            self.announce(now, phase, request, actions);
        }
    }

    /// Rebuilds the state of the queued requests, so that an edit of their row applies to them too.
    fn requeue_all(&mut self, now: Instant, actions: &mut Vec<AdmitAction>) {
        let mut queued: Vec<RequestKey> = Vec::new();
        for state in &self.rows {
            queued.extend(state.queue.values().cloned());
        }
        for key in queued {
            let Some(held) = self.remove(now, &key) else {
                continue;
            };
            if !self.rows[held.row].is_listed {
                let code = ResultCode::WorkUnknown;
                actions.push(Self::refuse(key, code, Self::UNKNOWN_WAIT));
                continue;
            }
            let mut requeued = self.queued_request(now, held.row, held.request);
            requeued.granted_at = held.granted_at;
            requeued.position.is_fresh = held.position.is_fresh;
            requeued.position.serial = held.position.serial;
            self.put(now, key, requeued);
        }
    }

    pub(crate) fn upstream_gone(&mut self, now: Instant, upstream: &UpstreamId) {
        self.prefixes.forget(upstream);
        for key in self.held_at(upstream) {
            let Some(held) = self.remove(now, &key) else {
                continue;
            };
            if held.phase.awaits_place() {
                self.requeue(now, held);
            }
        }
        for pool in self.pools.values_mut() {
            pool.decodes.remove(upstream);
            pool.prefills.remove(upstream);
            pool.forecast.invalidate();
        }
    }

    /// The requests that hold a resource at an upstream.
    fn held_at(&self, upstream: &UpstreamId) -> Vec<RequestKey> {
        let mut keys = Vec::new();
        for (key, held) in &self.requests {
            let engine_id = match &held.phase {
                RequestPhase::Decoding { decode, .. } | RequestPhase::Transferring { decode } => {
                    decode
                }
                RequestPhase::Prefilling { prefill, .. }
                | RequestPhase::Prefilled { prefill, .. } => prefill,
                RequestPhase::Queued => continue,
            };
            if engine_id == upstream {
                keys.push(key.clone());
            }
        }
        keys
    }

    pub(crate) fn upstream_draining(&mut self, upstream: &UpstreamId) {
        for pool in self.pools.values_mut() {
            if let Some(engine) = pool.decodes.get_mut(upstream) {
                engine.is_draining = true;
                pool.forecast.invalidate();
            }
            if let Some(engine) = pool.prefills.get_mut(upstream) {
                engine.is_draining = true;
            }
        }
    }

    /// Adds or updates an upstream. Requests that it holds in another role or pool continue there, and no new ones are
    /// added.
    pub(crate) fn upstream_up(&mut self, now: Instant, info: UpstreamInfo) {
        self.upstream_draining(&info.upstream);
        let upstream = info.upstream.clone();
        let key = PoolKey::of_upstream(&info);
        let pool = self.pools.entry(key).or_default();
        let is_known = match info.role {
            UpstreamRole::Decode => match pool.decodes.get_mut(&upstream) {
                Some(engine) => {
                    engine.advance_tokens(now);
                    engine.info = info;
                    engine.is_draining = false;
                    true
                }
                None => {
                    let engine = DecodeEngine::new(now, info);
                    pool.decodes.insert(upstream.clone(), engine);
                    false
                }
            },
            UpstreamRole::Plain => return,
            UpstreamRole::Prefill => match pool.prefills.get_mut(&upstream) {
                Some(engine) => {
                    engine.info = info;
                    engine.is_draining = false;
                    true
                }
                None => {
                    let engine = PrefillEngine::new(now, info);
                    pool.prefills.insert(upstream.clone(), engine);
                    false
                }
            },
        };
        pool.forecast.invalidate();
        if !is_known {
            self.attach_held(now, &upstream);
        }
    }

    /// Adds requests that were announced before their engine was known to the engine's indexes.
    fn attach_held(&mut self, now: Instant, upstream: &UpstreamId) {
        for key in self.held_at(upstream) {
            let Some(held) = self.remove(now, &key) else {
                continue;
            };
            self.put(now, key, held);
        }
    }
}
