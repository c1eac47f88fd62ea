//! The upper bound: greedy with exact knowledge.

use {
    crate::{
        policies::{
            bench_policy::BenchPolicy,
            clairvoyant_plan::ClairvoyantPlan,
            clairvoyant_view::{ClairvoyantView, QueuedBytes, WaitingProspect},
        },
        world::{ReadingPhase, WorldTruth},
    },
    admit::{AdmitAction, AdmitEvent, AdmitPolicy, RequestKey},
    kernel::ResultCode,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Waiting requests looked at for one free prefill engine, the first ones of the order.
const CANDIDATES: usize = 32;
/// Transfers that run at once, unless an eviction is near.
const MOST_TRANSFERS: usize = 2;
/// An eviction this near starts a transfer whatever else runs.
const NEAR_EVICTION: Duration = Duration::from_millis(60);
/// How often waiting requests are looked through for those that can't succeed any more.
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// What refused callers are told.
const RETRY_AFTER: Duration = Duration::from_secs(1);

type RequestIndex = usize;
type EngineIndex = usize;

/// What the clairvoyant policy keeps of its own decisions.
#[derive(Clone, Debug)]
pub struct ClairvoyantPolicy {
    /// Their callers go away before any answer could be whole.
    doomed: Vec<RequestIndex>,
    keys: BTreeMap<RequestIndex, RequestKey>,
    /// Granted a decode place, the first token not yet seen.
    moving: BTreeMap<RequestIndex, EngineIndex>,
    plan: ClairvoyantPlan,
    /// Read, with the time of eviction.
    read: BTreeMap<RequestIndex, Instant>,
    /// Being read, or about to be.
    reading: BTreeMap<RequestIndex, EngineIndex>,
    waiting: BTreeMap<RequestIndex, WaitingProspect>,
    wakes: Option<Instant>,
}

impl BenchPolicy for ClairvoyantPolicy {
    const EXACT: bool = true;

    fn decide(
        &mut self,
        now: Instant,
        event: AdmitEvent,
        truth: &WorldTruth,
        actions: &mut Vec<AdmitAction>,
    ) {
        let view = ClairvoyantView::new(now, truth, self.plan);
        if !self.note(event, &view) {
            return;
        }
        self.grant_decodes(&view, actions);
        self.grant_prefills(&view, actions);
        self.refuse_hopeless(&view, actions);
        self.wake(now, actions);
    }
}

impl AdmitPolicy for ClairvoyantPolicy {
    /// Does nothing: this policy decides by the truth alone.
    fn on_event(&mut self, _: Instant, _: AdmitEvent, _: &mut Vec<AdmitAction>) {}
}

impl ClairvoyantPolicy {
    /// A policy that serves by `plan`.
    pub fn new(plan: ClairvoyantPlan) -> Self {
        Self {
            doomed: Vec::new(),
            keys: BTreeMap::new(),
            moving: BTreeMap::new(),
            plan,
            read: BTreeMap::new(),
            reading: BTreeMap::new(),
            waiting: BTreeMap::new(),
            wakes: None,
        }
    }

    /// Keeps what an event says; whether there is anything to decide.
    fn note(&mut self, event: AdmitEvent, view: &ClairvoyantView<'_>) -> bool {
        let truth = view.truth;
        let now = view.now;
        match event {
            AdmitEvent::Cancel { key }
            | AdmitEvent::DecodeLost { key }
            | AdmitEvent::Finished { key, .. } => {
                let request = truth.attempts[key.serial as usize];
                // A later attempt of the same request may wait already.
                if self.keys.get(&request) == Some(&key) {
                    self.forget(request);
                }
            }
            AdmitEvent::DecodeRefused { key } => {
                let request = truth.attempts[key.serial as usize];
                self.moving.remove(&request);
                self.read.insert(request, now);
            }
            AdmitEvent::FirstToken { key } => {
                self.moving.remove(&truth.attempts[key.serial as usize]);
            }
            AdmitEvent::HolderGone { before, instance } => {
                self.holder_gone(&instance, before);
            }
            AdmitEvent::KvEvicted { key } | AdmitEvent::PrefillFailed { key, .. } => {
                let request = truth.attempts[key.serial as usize];
                self.forget(request);
                self.wait(request, key, view);
            }
            AdmitEvent::PrefillDone { key, .. } => {
                let request = truth.attempts[key.serial as usize];
                self.reading.remove(&request);
                self.read.insert(request, now + truth.file.link.eviction);
            }
            AdmitEvent::Submit(asked) => {
                let request = truth.attempts[asked.key.serial as usize];
                self.wait(request, asked.key, view);
            }
            AdmitEvent::Tick => self.wakes = None,
            _ => return false,
        }
        true
    }

    fn wait(&mut self, request: RequestIndex, key: RequestKey, view: &ClairvoyantView<'_>) {
        self.keys.insert(request, key);
        match view.prospect(request) {
            Some(prospect) => {
                self.waiting.insert(request, prospect);
            }
            None => self.doomed.push(request),
        }
    }

    fn forget(&mut self, request: RequestIndex) {
        self.keys.remove(&request);
        self.moving.remove(&request);
        self.read.remove(&request);
        self.reading.remove(&request);
        self.waiting.remove(&request);
    }

    fn holder_gone(&mut self, instance: &str, before: u64) {
        let mut gone = Vec::new();
        for (request, key) in &self.keys {
            if &*key.instance == instance && key.incarnation < before {
                gone.push(*request);
            }
        }
        for request in gone {
            self.forget(request);
        }
    }

    /// Places that are promised to requests and not yet held in truth.
    fn promised(&self, truth: &WorldTruth) -> usize {
        self.asked(truth) + self.read.len() + self.reading.len()
    }

    /// Requests on their way to a decode engine, which holds no place for them yet.
    fn asked(&self, truth: &WorldTruth) -> usize {
        let mut count = 0;
        for request in self.moving.keys() {
            if phase(truth, *request) == Some(ReadingPhase::Kept) {
                count += 1;
            }
        }
        count
    }

    fn grant_decodes(&mut self, view: &ClairvoyantView<'_>, actions: &mut Vec<AdmitAction>) {
        let mut order: Vec<(Instant, RequestIndex)> = Vec::new();
        for (request, evicts) in &self.read {
            order.push((view.transfer_by(*request, *evicts), *request));
        }
        order.sort();
        for (_, request) in order {
            let near = self.read[&request].saturating_duration_since(view.now) < NEAR_EVICTION;
            let busy = view.truth.transfers + self.asked(view.truth) >= MOST_TRANSFERS;
            if busy && !near && !view.is_small(request) {
                continue;
            }
            let Some(decode) = view.pick_decode(request, &self.moving) else {
                continue;
            };
            self.read.remove(&request);
            self.moving.insert(request, decode);
            actions.push(AdmitAction::GrantDecode {
                decode: view.truth.decode_names[decode].clone(),
                key: self.keys[&request].clone(),
            });
        }
    }

    fn grant_prefills(&mut self, view: &ClairvoyantView<'_>, actions: &mut Vec<AdmitAction>) {
        for prefill in 0..view.truth.prefills.len() {
            if self.waiting.is_empty() {
                return;
            }
            if !self.is_free(prefill, view) {
                continue;
            }
            let Some(request) = self.pick_waiting(prefill, view) else {
                continue;
            };
            self.waiting.remove(&request);
            self.reading.insert(request, prefill);
            actions.push(AdmitAction::GrantPrefill {
                key: self.keys[&request].clone(),
                prefill: view.truth.prefill_names[prefill].clone(),
            });
        }
    }

    fn is_free(&self, prefill: EngineIndex, view: &ClairvoyantView<'_>) -> bool {
        let coming = self.reading.iter().any(|(request, engine)| {
            let phase = phase(view.truth, *request);
            *engine == prefill && phase != Some(ReadingPhase::Reading)
        });
        !coming && view.is_free(prefill)
    }

    fn pick_waiting(
        &self,
        prefill: EngineIndex,
        view: &ClairvoyantView<'_>,
    ) -> Option<RequestIndex> {
        let mut order: Vec<(u8, f64, RequestIndex)> = Vec::new();
        for (request, prospect) in &self.waiting {
            let (class, score) = view.score(prospect);
            order.push((class, score, *request));
        }
        order.sort_by(|left, right| {
            let classes = left.0.cmp(&right.0);
            classes.then(left.1.total_cmp(&right.1))
        });
        let promised = self.promised(view.truth);
        let queued = self.queued_bytes(view);
        let first = order.into_iter().take(CANDIDATES);
        first
            .map(|(_, _, request)| request)
            .find(|request| view.can_serve(*request, prefill, promised, queued))
    }

    /// Bytes that have yet to cross the link.
    fn queued_bytes(&self, view: &ClairvoyantView<'_>) -> QueuedBytes {
        let mut queued = QueuedBytes::default();
        let moving = self.moving.keys();
        for request in moving.chain(self.read.keys()).chain(self.reading.keys()) {
            let bytes = view.bytes(*request);
            queued.all += bytes;
            if view.is_urgent(*request) {
                queued.urgent += bytes;
            }
        }
        queued
    }

    fn refuse_hopeless(&mut self, view: &ClairvoyantView<'_>, actions: &mut Vec<AdmitAction>) {
        let mut hopeless = std::mem::take(&mut self.doomed);
        for (request, prospect) in &self.waiting {
            if view.now > prospect.latest {
                hopeless.push(*request);
            }
        }
        for request in hopeless {
            let key = self.keys[&request].clone();
            self.forget(request);
            actions.push(AdmitAction::Refuse {
                code: ResultCode::FirstTokenLate,
                key,
                retry_after: RETRY_AFTER,
            });
        }
    }

    fn wake(&mut self, now: Instant, actions: &mut Vec<AdmitAction>) {
        let idle = self.waiting.is_empty() && self.read.is_empty();
        if idle || self.wakes.is_some() {
            return;
        }
        let at = now + LOOK_EVERY;
        self.wakes = Some(at);
        actions.push(AdmitAction::WakeAt(at));
    }
}

fn phase(truth: &WorldTruth, request: RequestIndex) -> Option<ReadingPhase> {
    let reading = truth.current[request]?;
    Some(truth.readings[reading].phase)
}
