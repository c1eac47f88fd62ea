//! What an allocator grants and refuses after each event.

use {
    crate::{
        admit_action::AdmitAction, cell_allocator::CellAllocator, request_key::RequestKey,
        request_phase::RequestPhase,
    },
    kernel::{ResultCode, UpstreamId, WorkId},
    std::time::{Duration, Instant},
    table::{Rank, WorkRow},
};

impl CellAllocator {
    /// The time that the KV cache of a prompt needs on the link.
    pub(crate) fn transfer_time(&self, tokens: u32) -> Duration {
        let Some(link) = &self.link else {
            return Duration::ZERO;
        };
        let seconds = f64::from(tokens) * link.kv_bytes_per_token / link.bytes_per_second;
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }

    /// How many requests of a row may run at once in this cell; the shares of all cells never sum to more than the limit.
    pub(crate) fn row_limit(&self, row: &WorkRow) -> u32 {
        let Some(limit) = row.limit else {
            return u32::MAX;
        };
        (f64::from(limit) * self.share + 1e-9).floor() as u32
    }

    /// A rough time until the queue as it stands has been read.
    pub(crate) fn queue_wait(&self, now: Instant) -> Duration {
        let mut rate = 0.0;
        for engine in self.prefills.values() {
            rate += engine.info.prefill_rate;
        }
        let mut tokens = 0.0;
        for row in self.rows.values() {
            for key in row.queue.values() {
                let held = self.requests.get(key);
                tokens += held.map_or(0.0, |held| f64::from(held.request.prompt_tokens));
            }
        }
        let _ = now;
        Duration::try_from_secs_f64(tokens / rate).unwrap_or(Duration::from_secs(1))
    }

    pub(crate) fn schedule(&mut self, now: Instant, actions: &mut Vec<AdmitAction>) {
        self.refuse_late(now, actions);
        self.grant_decodes(now, actions);
        self.grant_prefills(now, actions);
        self.wake(now, actions);
    }

    fn wake(&self, now: Instant, actions: &mut Vec<AdmitAction>) {
        let mut times: Vec<Instant> = Vec::new();
        for row in self.rows.values() {
            for key in row.queue.values() {
                let Some(held) = self.requests.get(key) else {
                    continue;
                };
                times.push(held.deadline.unwrap_or(held.patience).min(held.patience));
            }
        }
        if !self.read.is_empty() {
            times.extend(self.link_free_at);
            times.extend(self.decodes.values().filter_map(|engine| engine.full_until));
        }
        let times = times.into_iter().filter(|time| *time > now);
        actions.extend(times.min().map(AdmitAction::WakeAt));
    }

    fn refuse_late(&mut self, now: Instant, actions: &mut Vec<AdmitAction>) {
        let mut late: Vec<(RequestKey, ResultCode)> = Vec::new();
        for row in self.rows.values() {
            for key in row.queue.values() {
                let Some(held) = self.requests.get(key) else {
                    continue;
                };
                if held.deadline.is_some_and(|deadline| deadline <= now) {
                    late.push((key.clone(), ResultCode::FirstTokenLate));
                    continue;
                }
                if held.patience <= now {
                    late.push((key.clone(), ResultCode::PatienceEnded));
                }
            }
        }
        for (key, code) in late {
            self.remove(&key);
            let wait = self.queue_wait(now);
            actions.push(Self::refuse(key, code, wait));
        }
    }

    fn grant_decodes(&mut self, now: Instant, actions: &mut Vec<AdmitAction>) {
        let waiting: Vec<RequestKey> = self.read.iter().map(|(_, key)| key.clone()).collect();
        for key in waiting {
            if self.link_free_at.is_some_and(|free| now < free) {
                return;
            }
            self.grant_decode(now, &key, actions);
        }
    }

    fn grant_decode(&mut self, now: Instant, key: &RequestKey, actions: &mut Vec<AdmitAction>) {
        let Some(held) = self.requests.get(key) else {
            return;
        };
        let Some(decode) = self.pick_decode(now, &held.request.work) else {
            return;
        };
        let until = now + self.transfer_time(held.request.prompt_tokens);
        let Some(mut held) = self.remove(key) else {
            return;
        };
        if let RequestPhase::Read { evicts, prefill } = held.phase {
            held.kv = Some((prefill, evicts));
        }
        held.phase = RequestPhase::Transferring {
            decode: decode.clone(),
            until,
        };
        self.link_free_at = Some(until);
        self.put(key.clone(), held);
        actions.push(AdmitAction::GrantDecode {
            decode,
            key: key.clone(),
        });
    }

    fn pick_decode(&self, now: Instant, work: &str) -> Option<UpstreamId> {
        let row = self.table.row(work)?;
        let mut best: Option<(u32, &UpstreamId)> = None;
        for (upstream, engine) in &self.decodes {
            if engine.info.service != row.service || engine.info.model != row.model {
                continue;
            }
            let free = engine.free(now);
            if free > best.map_or(0, |(most, _)| most) {
                best = Some((free, upstream));
            }
        }
        best.map(|(_, upstream)| upstream.clone())
    }

    fn grant_prefills(&mut self, now: Instant, actions: &mut Vec<AdmitAction>) {
        for _ in 0..self.prefills.len() {
            let Some((work, key)) = self.next_queued() else {
                return;
            };
            if !self.grant_prefill(now, &work, &key, actions) {
                return;
            }
        }
    }

    /// The request whose turn it is: by rank, then by the row with the least service over its weight.
    fn next_queued(&self) -> Option<(WorkId, RequestKey)> {
        let mut best: Option<(Rank, f64, &WorkId, &RequestKey)> = None;
        for (work, state) in &self.rows {
            let Some(key) = state.queue.values().next() else {
                continue;
            };
            let Some(row) = self.table.row(work) else {
                continue;
            };
            if state.running >= self.row_limit(row) {
                continue;
            }
            if best.is_none_or(|(rank, pass, ..)| (row.rank, state.pass) < (rank, pass)) {
                best = Some((row.rank, state.pass, work, key));
            }
        }
        best.map(|(_, _, work, key)| (work.clone(), key.clone()))
    }

    fn grant_prefill(
        &mut self,
        now: Instant,
        work: &WorkId,
        key: &RequestKey,
        actions: &mut Vec<AdmitAction>,
    ) -> bool {
        let Some(row) = self.table.row(work) else {
            return false;
        };
        let weight = row.weight.max(f64::MIN_POSITIVE);
        let mut free = 0;
        for engine in self.decodes.values() {
            if engine.info.service == row.service && engine.info.model == row.model {
                free += engine.free(now);
            }
        }
        let claims = self.reading + u32::try_from(self.read.len()).unwrap_or(u32::MAX);
        if free <= claims {
            return false;
        }
        let mut idle = None;
        for (upstream, engine) in &self.prefills {
            let fits = engine.info.service == row.service && engine.info.model == row.model;
            if fits && !engine.leaving && engine.reading.is_empty() {
                idle = Some((upstream.clone(), engine.info.prefill_rate));
                break;
            }
        }
        let Some((prefill, rate)) = idle else {
            return false;
        };
        let Some(mut held) = self.remove(key) else {
            return false;
        };
        let tokens = f64::from(held.request.prompt_tokens);
        let time = Duration::try_from_secs_f64(tokens / rate).unwrap_or_default();
        held.phase = RequestPhase::Prefilling {
            prefill: prefill.clone(),
            until: now + time,
        };
        if let Some(state) = self.rows.get_mut(work) {
            state.pass += tokens / weight;
        }
        self.put(key.clone(), held);
        actions.push(AdmitAction::GrantPrefill {
            key: key.clone(),
            prefill,
        });
        true
    }
}
