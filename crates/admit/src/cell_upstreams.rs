//! What an allocator does with events of upstreams and tables.

use {
    crate::{
        admit_action::AdmitAction, cell_allocator::CellAllocator, decode_engine::DecodeEngine,
        prefill_engine::PrefillEngine, request_key::RequestKey, request_phase::RequestPhase,
    },
    kernel::{ResultCode, UpstreamId},
    route::{LoadReport, UpstreamInfo, UpstreamRole},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    table::WorkTable,
};

impl CellAllocator {
    /// Whether some prefill and some decode engine take the work of a row.
    pub(crate) fn is_served(&self, work: &str) -> bool {
        let Some(row) = self.table.row(work) else {
            return false;
        };
        let fits = |info: &UpstreamInfo| info.service == row.service && info.model == row.model;
        let read = self.prefills.values();
        let mut read = read.filter(|engine| !engine.leaving && fits(&engine.info));
        let decode = self.decodes.values();
        let mut decode = decode.filter(|engine| !engine.leaving && fits(&engine.info));
        read.next().is_some() && decode.next().is_some()
    }

    pub(crate) fn load(&mut self, report: &LoadReport) {
        if report.leaving {
            self.upstream_leaving(&report.upstream);
        }
    }

    pub(crate) fn set_table(
        &mut self,
        share: f64,
        table: Arc<WorkTable>,
        actions: &mut Vec<AdmitAction>,
    ) {
        self.share = share;
        self.table = table;
        let mut unknown: Vec<RequestKey> = Vec::new();
        for (work, row) in &self.rows {
            if self.table.row(work).is_none() {
                unknown.extend(row.queue.values().cloned());
            }
        }
        for key in unknown {
            self.remove(&key);
            actions.push(Self::refuse(key, ResultCode::WorkUnknown, Duration::ZERO));
        }
    }

    pub(crate) fn upstream_gone(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        actions: &mut Vec<AdmitAction>,
    ) {
        self.decodes.remove(upstream);
        self.prefills.remove(upstream);
        let mut decoding = Vec::new();
        let mut read = Vec::new();
        for (key, held) in &self.requests {
            match &held.phase {
                RequestPhase::Decoding { decode, .. }
                | RequestPhase::Transferring { decode, .. }
                    if decode == upstream =>
                {
                    decoding.push(key.clone());
                }
                RequestPhase::Prefilling { prefill, .. } | RequestPhase::Read { prefill, .. }
                    if prefill == upstream =>
                {
                    read.push(key.clone());
                }
                _ => {}
            }
        }
        for key in decoding {
            self.remove(&key);
        }
        for key in read {
            let Some(held) = self.remove(&key) else {
                continue;
            };
            self.retry(now, held, actions);
        }
    }

    pub(crate) fn upstream_leaving(&mut self, upstream: &UpstreamId) {
        if let Some(engine) = self.decodes.get_mut(upstream) {
            engine.leaving = true;
        }
        if let Some(engine) = self.prefills.get_mut(upstream) {
            engine.leaving = true;
        }
    }

    pub(crate) fn upstream_up(&mut self, now: Instant, info: UpstreamInfo) {
        self.upstream_leaving(&info.upstream);
        let upstream = info.upstream.clone();
        match info.role {
            UpstreamRole::Decode => {
                let fresh = DecodeEngine::new(info.clone());
                let engine = self.decodes.entry(upstream.clone()).or_insert(fresh);
                engine.info = info;
                engine.leaving = false;
            }
            UpstreamRole::Plain => return,
            UpstreamRole::Prefill => {
                let fresh = PrefillEngine::new(now, info.clone());
                let engine = self.prefills.entry(upstream.clone()).or_insert(fresh);
                engine.info = info;
                engine.leaving = false;
            }
        }
        self.adopt(&upstream);
    }

    /// Enters the requests that were announced before their engine was known.
    fn adopt(&mut self, upstream: &UpstreamId) {
        for (key, held) in &self.requests {
            match &held.phase {
                RequestPhase::Decoding { decode, .. }
                | RequestPhase::Transferring { decode, .. }
                    if decode == upstream =>
                {
                    if let Some(engine) = self.decodes.get_mut(upstream) {
                        engine.streams.insert(key.clone());
                    }
                }
                RequestPhase::Prefilling { prefill, .. } if prefill == upstream => {
                    if let Some(engine) = self.prefills.get_mut(upstream) {
                        engine.reading.insert(key.clone());
                    }
                }
                _ => {}
            }
        }
    }
}
