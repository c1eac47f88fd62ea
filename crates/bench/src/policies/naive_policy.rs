//! The floor: read at once, then try any decode engine.

use {
    crate::policies::{bench_policy::BenchPolicy, pool_view::PoolView},
    admit::{AdmitAction, AdmitEvent, AdmitPolicy, AnnouncedPhase, RequestKey},
    kernel::{ResultCode, UpstreamId},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// A request whose KV cache is lost is read this often at most.
const MOST_READINGS: u32 = 3;
/// After every decode engine refused, the next try comes this much later.
const NEXT_TRY: Duration = Duration::from_millis(20);
/// What refused callers are told.
const RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, Default)]
struct NaiveHold {
    prefill: Option<UpstreamId>,
    readings: u32,
    tries: u32,
    /// Waits for the next round of tries.
    waits: bool,
}

/// First free prefill engine at once, then the decode engines in turn until one takes the request.
#[derive(Clone, Debug, Default)]
pub struct NaivePolicy {
    holds: BTreeMap<RequestKey, NaiveHold>,
    last: Option<UpstreamId>,
    pool: PoolView,
}

impl BenchPolicy for NaivePolicy {}

impl AdmitPolicy for NaivePolicy {
    fn on_event(&mut self, now: Instant, event: AdmitEvent, actions: &mut Vec<AdmitAction>) {
        match event {
            AdmitEvent::Announce { phase, request } => self.announce(request.key, phase, actions),
            AdmitEvent::Cancel { key }
            | AdmitEvent::DecodeLost { key }
            | AdmitEvent::Finished { key, .. }
            | AdmitEvent::FirstToken { key } => self.forget(&key),
            AdmitEvent::DecodeRefused { key } => self.refused(now, key, actions),
            AdmitEvent::HolderGone { before, instance } => {
                for key in self.holds.keys().cloned().collect::<Vec<_>>() {
                    if key.instance == instance && key.incarnation < before {
                        self.forget(&key);
                    }
                }
            }
            AdmitEvent::KvEvicted { key } | AdmitEvent::PrefillFailed { key, .. } => {
                self.release_prefill(&key);
                self.read(key, actions);
            }
            AdmitEvent::PrefillDone { key, .. } => {
                self.release_prefill(&key);
                self.decode(key, actions);
            }
            AdmitEvent::Submit(request) => {
                self.holds.insert(request.key.clone(), NaiveHold::default());
                self.read(request.key, actions);
            }
            AdmitEvent::Tick => self.retry(actions),
            AdmitEvent::UpstreamGone(upstream) | AdmitEvent::UpstreamDraining(upstream, _) => {
                self.pool.block(&upstream);
            }
            AdmitEvent::UpstreamUp(info) => self.pool.add(&info),
            AdmitEvent::CacheEvents { .. }
            | AdmitEvent::Link(_)
            | AdmitEvent::Load(_)
            | AdmitEvent::Reconcile { .. }
            | AdmitEvent::Table { .. } => {}
        }
    }
}

impl NaivePolicy {
    fn announce(&mut self, key: RequestKey, phase: AnnouncedPhase, actions: &mut Vec<AdmitAction>) {
        match phase {
            AnnouncedPhase::Decoding { .. } | AnnouncedPhase::Transferring { .. } => {}
            AnnouncedPhase::Prefilling { prefill, .. } => {
                self.pool.take(&prefill);
                let hold = self.holds.entry(key).or_default();
                hold.prefill = Some(prefill);
            }
            AnnouncedPhase::Prefilled { .. } => {
                self.holds.entry(key.clone()).or_default();
                self.decode(key, actions);
            }
        }
    }

    fn decode(&mut self, key: RequestKey, actions: &mut Vec<AdmitAction>) {
        let Some(decode) = self.pool.turn_decode(self.last.as_ref()) else {
            self.give_up(key, ResultCode::UpstreamMissing, actions);
            return;
        };
        self.last = Some(decode.clone());
        actions.push(AdmitAction::GrantDecode { decode, key });
    }

    fn forget(&mut self, key: &RequestKey) {
        self.release_prefill(key);
        self.holds.remove(key);
    }

    fn give_up(&mut self, key: RequestKey, code: ResultCode, actions: &mut Vec<AdmitAction>) {
        self.forget(&key);
        actions.push(AdmitAction::Refuse {
            code,
            key,
            retry_after: RETRY_AFTER,
        });
    }

    fn read(&mut self, key: RequestKey, actions: &mut Vec<AdmitAction>) {
        let Some(hold) = self.holds.get_mut(&key) else {
            return;
        };
        hold.tries = 0;
        hold.waits = false;
        hold.readings += 1;
        if hold.readings > MOST_READINGS {
            self.give_up(key, ResultCode::UpstreamRefused, actions);
            return;
        }
        let Some(prefill) = self.pool.free_prefill(u32::MAX) else {
            self.give_up(key, ResultCode::UpstreamMissing, actions);
            return;
        };
        hold.prefill = Some(prefill.clone());
        self.pool.take(&prefill);
        actions.push(AdmitAction::GrantPrefill { key, prefill });
    }

    fn refused(&mut self, now: Instant, key: RequestKey, actions: &mut Vec<AdmitAction>) {
        let Some(hold) = self.holds.get_mut(&key) else {
            return;
        };
        hold.tries += 1;
        if hold.tries % self.pool.usable_decodes().max(1) == 0 {
            hold.waits = true;
            actions.push(AdmitAction::WakeAt(now + NEXT_TRY));
            return;
        }
        self.decode(key, actions);
    }

    fn release_prefill(&mut self, key: &RequestKey) {
        let Some(hold) = self.holds.get_mut(key) else {
            return;
        };
        if let Some(prefill) = hold.prefill.take() {
            self.pool.release(&prefill);
        }
    }

    fn retry(&mut self, actions: &mut Vec<AdmitAction>) {
        let mut waiting = Vec::new();
        for (key, hold) in &mut self.holds {
            if hold.waits {
                hold.waits = false;
                waiting.push(key.clone());
            }
        }
        for key in waiting {
            self.decode(key, actions);
        }
    }
}
