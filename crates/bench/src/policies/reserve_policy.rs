//! The careful floor: a decode place is held from the start of reading.

use {
    crate::policies::{bench_policy::BenchPolicy, pool_view::PoolView},
    admit::{AdmitAction, AdmitEvent, AdmitPolicy, AdmitRequest, AnnouncedPhase, RequestKey},
    kernel::{ResultCode, UpstreamId},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    table::{Rank, WorkTable},
};

/// Prompts that wait or are read at one prefill engine.
const MOST_PROMPTS: u32 = 2;
/// A request whose KV cache is lost is read this often at most.
const MOST_READINGS: u32 = 3;
/// How often the queue is looked through for ended patience.
const PATIENCE_EVERY: Duration = Duration::from_millis(250);
/// What refused callers are told.
const RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct ReserveHold {
    arrived: Instant,
    decode: Option<UpstreamId>,
    patience: Duration,
    prefill: Option<UpstreamId>,
    rank: Rank,
    /// The KV cache lies at the prefill engine and needs a decode place.
    read: bool,
    readings: u32,
}

/// The rank's order, then first come, first served; nothing is read without a decode place.
#[derive(Clone, Debug, Default)]
pub struct ReservePolicy {
    holds: BTreeMap<RequestKey, ReserveHold>,
    pool: PoolView,
    queue: BTreeSet<(Rank, Instant, RequestKey)>,
    table: Arc<WorkTable>,
    wakes: Option<Instant>,
}

impl BenchPolicy for ReservePolicy {}

impl AdmitPolicy for ReservePolicy {
    fn on_event(&mut self, now: Instant, event: AdmitEvent, actions: &mut Vec<AdmitAction>) {
        match event {
            AdmitEvent::Announce { phase, request } => self.announce(request, phase),
            AdmitEvent::Cancel { key }
            | AdmitEvent::DecodeLost { key }
            | AdmitEvent::Finished { key, .. } => self.forget(&key),
            AdmitEvent::DecodeRefused { key } => self.refused(&key),
            AdmitEvent::HolderGone { before, instance } => {
                for key in self.holds.keys().cloned().collect::<Vec<_>>() {
                    if key.instance == instance && key.incarnation < before {
                        self.forget(&key);
                    }
                }
            }
            AdmitEvent::KvEvicted { key } | AdmitEvent::PrefillFailed { key, .. } => {
                self.queue_again(key, actions);
            }
            AdmitEvent::PrefillDone { key, .. } => self.prefill_done(key, actions),
            AdmitEvent::Submit(request) => self.submit(request),
            AdmitEvent::Table { table, .. } => self.table = table,
            AdmitEvent::Tick => self.end_patience(now, actions),
            AdmitEvent::UpstreamGone(upstream) | AdmitEvent::UpstreamDraining(upstream, _) => {
                self.pool.block(&upstream);
            }
            AdmitEvent::UpstreamUp(info) => self.pool.add(&info),
            AdmitEvent::CacheEvents { .. }
            | AdmitEvent::FirstToken { .. }
            | AdmitEvent::Link(_)
            | AdmitEvent::Load(_)
            | AdmitEvent::Reconcile { .. } => {}
        }
        self.grant_read(actions);
        self.grant_queued(actions);
        self.wake(now, actions);
    }
}

impl ReservePolicy {
    fn announce(&mut self, request: AdmitRequest, phase: AnnouncedPhase) {
        let mut hold = self.hold(&request);
        match phase {
            AnnouncedPhase::Decoding { decode, .. }
            | AnnouncedPhase::Transferring { decode, .. } => {
                self.pool.take(&decode);
                hold.decode = Some(decode);
            }
            AnnouncedPhase::Prefilling { prefill, .. } => {
                self.pool.take(&prefill);
                hold.prefill = Some(prefill);
            }
            AnnouncedPhase::Prefilled { .. } => hold.read = true,
        }
        self.holds.insert(request.key, hold);
    }

    fn end_patience(&mut self, now: Instant, actions: &mut Vec<AdmitAction>) {
        self.wakes = None;
        let mut ended = Vec::new();
        for (_, arrived, key) in &self.queue {
            let Some(hold) = self.holds.get(key) else {
                continue;
            };
            if now.saturating_duration_since(*arrived) > hold.patience {
                ended.push(key.clone());
            }
        }
        for key in ended {
            self.give_up(key, ResultCode::PatienceEnded, actions);
        }
    }

    fn forget(&mut self, key: &RequestKey) {
        self.release(key);
        let Some(hold) = self.holds.remove(key) else {
            return;
        };
        self.queue.remove(&(hold.rank, hold.arrived, key.clone()));
    }

    fn give_up(&mut self, key: RequestKey, code: ResultCode, actions: &mut Vec<AdmitAction>) {
        self.forget(&key);
        actions.push(AdmitAction::Refuse {
            code,
            key,
            retry_after: RETRY_AFTER,
        });
    }

    fn grant_queued(&mut self, actions: &mut Vec<AdmitAction>) {
        while let Some((rank, arrived, key)) = self.queue.first().cloned() {
            let Some(decode) = self.pool.free_decode() else {
                return;
            };
            let Some(prefill) = self.pool.free_prefill(MOST_PROMPTS) else {
                return;
            };
            self.queue.remove(&(rank, arrived, key.clone()));
            let Some(hold) = self.holds.get_mut(&key) else {
                continue;
            };
            self.pool.take(&decode);
            self.pool.take(&prefill);
            hold.decode = Some(decode);
            hold.prefill = Some(prefill.clone());
            hold.readings += 1;
            actions.push(AdmitAction::GrantPrefill { key, prefill });
        }
    }

    /// Requests whose held place was refused, or that another allocator had read.
    fn grant_read(&mut self, actions: &mut Vec<AdmitAction>) {
        for (key, hold) in &mut self.holds {
            if !hold.read {
                continue;
            }
            let Some(decode) = self.pool.free_decode() else {
                return;
            };
            self.pool.take(&decode);
            hold.read = false;
            hold.decode = Some(decode.clone());
            let key = key.clone();
            actions.push(AdmitAction::GrantDecode { decode, key });
        }
    }

    fn hold(&self, request: &AdmitRequest) -> ReserveHold {
        let row = self.table.row(&request.work);
        ReserveHold {
            arrived: request.arrived,
            decode: None,
            patience: row.map_or(Duration::MAX, |row| row.patience),
            prefill: None,
            rank: row.map_or(Rank::MAX, |row| row.rank),
            read: false,
            readings: 0,
        }
    }

    fn prefill_done(&mut self, key: RequestKey, actions: &mut Vec<AdmitAction>) {
        let Some(hold) = self.holds.get_mut(&key) else {
            return;
        };
        if let Some(prefill) = hold.prefill.take() {
            self.pool.release(&prefill);
        }
        match hold.decode.clone() {
            Some(decode) => actions.push(AdmitAction::GrantDecode { decode, key }),
            None => hold.read = true,
        }
    }

    fn queue_again(&mut self, key: RequestKey, actions: &mut Vec<AdmitAction>) {
        self.release(&key);
        let Some(hold) = self.holds.get_mut(&key) else {
            return;
        };
        if hold.readings >= MOST_READINGS {
            self.give_up(key, ResultCode::UpstreamRefused, actions);
            return;
        }
        self.queue.insert((hold.rank, hold.arrived, key));
    }

    fn refused(&mut self, key: &RequestKey) {
        self.release(key);
        if let Some(hold) = self.holds.get_mut(key) {
            hold.read = true;
        }
    }

    fn release(&mut self, key: &RequestKey) {
        let Some(hold) = self.holds.get_mut(key) else {
            return;
        };
        hold.read = false;
        let held = [hold.decode.take(), hold.prefill.take()];
        for upstream in held.into_iter().flatten() {
            self.pool.release(&upstream);
        }
    }

    fn submit(&mut self, request: AdmitRequest) {
        let hold = self.hold(&request);
        let place = (hold.rank, hold.arrived, request.key.clone());
        self.queue.insert(place);
        self.holds.insert(request.key, hold);
    }

    fn wake(&mut self, now: Instant, actions: &mut Vec<AdmitAction>) {
        if self.queue.is_empty() || self.wakes.is_some() {
            return;
        }
        let at = now + PATIENCE_EVERY;
        self.wakes = Some(at);
        actions.push(AdmitAction::WakeAt(at));
    }
}
