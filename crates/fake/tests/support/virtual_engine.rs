//! An engine's core in virtual time, with a link and a prefill engine that answers as told.

#![allow(
    dead_code,
    reason = "each test binary takes what it needs from the shared helpers"
)]

use {
    engine::wire::{StreamState, route_role::EngineRole},
    fake::{
        EngineCore, EngineSettings, FairShareTable,
        model::{
            EngineAction, EngineCall, EngineEvent, KvAnswer, KvImport, KvRecord, RunEnd, RunId,
            RunView,
        },
    },
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// One engine with all that its driver would do.
pub(crate) struct VirtualEngine {
    pub(crate) answer: KvAnswer,
    pub(crate) core: EngineCore,
    pub(crate) released: Vec<bool>,
    link: FairShareTable<RunId>,
    next_run: RunId,
    now: Instant,
    started: Instant,
    views: BTreeMap<RunId, RunView>,
}

impl VirtualEngine {
    /// An engine that starts at time zero.
    pub(crate) fn new(settings: EngineSettings) -> Self {
        let started = Instant::now();
        let link = FairShareTable::new(settings.link_bytes_per_second);
        Self {
            answer: KvAnswer::Evicted,
            core: EngineCore::new(settings, started, 1),
            link,
            next_run: 0,
            now: started,
            released: Vec::new(),
            started,
            views: BTreeMap::new(),
        }
    }

    /// Lets time pass, and does what is due on the way.
    pub(crate) fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(due) = self.next_due() {
            if due > until {
                break;
            }
            self.now = self.now.max(due);
            self.end_transfers();
            self.event(EngineEvent::Tick);
        }
        self.now = until;
        self.event(EngineEvent::Tick);
    }

    /// How a run ended.
    pub(crate) fn end(&self, run: RunId) -> Option<RunEnd> {
        self.views[&run].end.clone()
    }

    /// The error that a run was refused with.
    pub(crate) fn error(&self, run: RunId) -> Option<Arc<str>> {
        match self.end(run)? {
            RunEnd::Refused(error) => Some(error.error),
            _ => None,
        }
    }

    /// Hands an event to the core and does what it asks for.
    pub(crate) fn event(&mut self, event: EngineEvent) {
        let mut actions = Vec::new();
        self.core.on_event(self.now, event, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    /// The time now.
    pub(crate) fn now(&self) -> Instant {
        self.now
    }

    /// The time since the start.
    pub(crate) fn passed(&self) -> Duration {
        self.now - self.started
    }

    /// What the streams are doing, by id.
    pub(crate) fn states(&self) -> Vec<(Arc<str>, StreamState)> {
        let records = self.core.streams().into_iter();
        records.map(|record| (record.id, record.state)).collect()
    }

    /// Hands a call to the core.
    pub(crate) fn submit(&mut self, call: EngineCall) -> RunId {
        let run = self.next_run;
        self.next_run += 1;
        self.event(EngineEvent::Submit { call, run });
        run
    }

    /// The tokens of a run so far.
    pub(crate) fn tokens(&self, run: RunId) -> u32 {
        self.views[&run].tokens
    }

    fn act(&mut self, action: EngineAction) {
        match action {
            EngineAction::ClaimKv { run, .. } => {
                let answer = self.answer.clone();
                self.event(EngineEvent::KvAnswered { answer, run });
            }
            EngineAction::Forget(_) => {}
            EngineAction::LoadWeights { model, .. } => {
                self.event(EngineEvent::ModelLoaded(model));
            }
            EngineAction::ReleaseKv { used, .. } => self.released.push(used),
            EngineAction::StartTransfer { bytes, run } => {
                self.end_transfers();
                self.link.start(self.now, run, bytes);
            }
            EngineAction::StopTransfer(run) => {
                self.link.stop(&run);
            }
            EngineAction::Update { run, view } => {
                let old = self.views.insert(run, view);
                let ended = old.is_some_and(|old| old.end.is_some());
                assert!(!ended, "run {run} was seen after its end");
            }
        }
    }

    fn end_transfers(&mut self) {
        for run in self.link.advance(self.now) {
            self.event(EngineEvent::TransferEnded(run));
        }
    }

    fn next_due(&self) -> Option<Instant> {
        let dues = [self.core.next_wake(), self.link.next_completion()];
        dues.into_iter().flatten().min()
    }
}

/// A prefill call.
pub(crate) fn prefill_call(id: &str, prompt: &str) -> EngineCall {
    EngineCall {
        id: Arc::from(id),
        import: None,
        keep_kv: true,
        max_tokens: 4,
        model: Arc::from("glaze"),
        priority: 0,
        prompt: Arc::from(prompt),
    }
}

/// A decode call whose KV cache lies elsewhere.
pub(crate) fn decode_call(id: &str, prompt: &str) -> EngineCall {
    let import = KvImport {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        handle: 1,
    };
    EngineCall {
        import: Some(import),
        keep_kv: false,
        ..prefill_call(id, prompt)
    }
}

/// A KV cache of so many bytes.
pub(crate) fn found(bytes: f64) -> KvAnswer {
    KvAnswer::Found(KvRecord { bytes, tokens: 1 })
}

/// A prefill engine that reads 1000 tokens a second.
pub(crate) fn prefill_settings() -> EngineSettings {
    EngineSettings::builder()
        .prefill_rate(1000.0)
        .role(EngineRole::Prefill)
        .build()
}

/// A decode engine with 2 places, 10 ms and 5 ms between tokens, and a link of 1000 bytes a second.
pub(crate) fn decode_settings() -> EngineSettings {
    EngineSettings::builder()
        .decode_base(Duration::from_millis(10))
        .decode_places(2)
        .decode_slope(Duration::from_millis(5))
        .link_bytes_per_second(1000.0)
        .prefill_rate(1000.0)
        .build()
}

/// A prompt of so many tokens that starts with a mark.
pub(crate) fn prompt_of(mark: &str, tokens: usize) -> String {
    let mut prompt = mark.repeat(tokens * 4);
    prompt.truncate(tokens * 4);
    prompt
}
