//! The state of the availability zone as it truly is, which no allocator sees without lag, save the clairvoyant one.

use {
    crate::{
        scenario::scenario_file::{SERVICE, ScenarioFile},
        world::{
            decode_engine::DecodeEngine,
            prefill_engine::PrefillEngine,
            progress_queue::ProgressQueue,
            reading_state::{ReadingIndex, ReadingState},
            request_plan::RequestPlan,
            request_state::RequestIndex,
            world_event::EngineName,
        },
    },
    admit::AdmitEvent,
    kernel::UpstreamId,
    route::{UpstreamInfo, UpstreamRole},
    std::{sync::Arc, time::Instant},
};

/// Engines, link, readings and requests as they truly are.
pub struct WorldTruth {
    /// The request of each attempt, by the attempt's serial.
    pub(crate) attempts: Vec<RequestIndex>,
    /// The latest reading of each request.
    pub(crate) current: Vec<Option<ReadingIndex>>,
    pub(crate) decode_names: Vec<UpstreamId>,
    pub(crate) decodes: Vec<DecodeEngine>,
    pub(crate) file: Arc<ScenarioFile>,
    /// Transfers; one unit of progress is one byte of each.
    pub(crate) link: ProgressQueue,
    pub(crate) plans: Arc<Vec<RequestPlan>>,
    pub(crate) prefill_names: Vec<UpstreamId>,
    pub(crate) prefills: Vec<PrefillEngine>,
    pub(crate) readings: Vec<ReadingState>,
    pub(crate) started: Instant,
    /// Transfers that run.
    pub(crate) transfers: usize,
}

impl WorldTruth {
    pub(crate) fn new(
        file: Arc<ScenarioFile>,
        plans: Arc<Vec<RequestPlan>>,
        started: Instant,
    ) -> Self {
        let sizes = &file.engines;
        let mut decodes = Vec::new();
        let mut decode_names = Vec::new();
        for index in 0..sizes.decode {
            decodes.push(DecodeEngine::new(sizes, started));
            decode_names.push(format!("decode-{index}").into());
        }
        let mut prefills = Vec::new();
        let mut prefill_names = Vec::new();
        for index in 0..sizes.prefill {
            prefills.push(PrefillEngine::new(sizes.prefill_rate, sizes.cache_blocks));
            prefill_names.push(format!("prefill-{index}").into());
        }
        Self {
            attempts: Vec::new(),
            current: vec![None; plans.len()],
            decode_names,
            decodes,
            file,
            link: ProgressQueue::new(started),
            plans,
            prefill_names,
            prefills,
            readings: Vec::new(),
            started,
            transfers: 0,
        }
    }

    pub(crate) fn engine(&self, name: &str) -> Option<EngineName> {
        if let Some(index) = self.decode_names.iter().position(|known| &**known == name) {
            return Some(EngineName::Decode(index));
        }
        let index = self
            .prefill_names
            .iter()
            .position(|known| &**known == name)?;
        Some(EngineName::Prefill(index))
    }

    pub(crate) fn engines(&self) -> Vec<EngineName> {
        let decodes = (0..self.decodes.len()).map(EngineName::Decode);
        let prefills = (0..self.prefills.len()).map(EngineName::Prefill);
        decodes.chain(prefills).collect()
    }

    pub(crate) fn upstream(&self, engine: EngineName) -> UpstreamId {
        match engine {
            EngineName::Decode(index) => self.decode_names[index].clone(),
            EngineName::Prefill(index) => self.prefill_names[index].clone(),
        }
    }

    pub(crate) fn upstream_info(&self, engine: EngineName) -> UpstreamInfo {
        let sizes = &self.file.engines;
        let role = match engine {
            EngineName::Decode(_) => UpstreamRole::Decode,
            EngineName::Prefill(_) => UpstreamRole::Prefill,
        };
        UpstreamInfo {
            decode_base_seconds: sizes.decode_base.as_secs_f64(),
            decode_places: sizes.decode_places,
            decode_slope_seconds: sizes.decode_slope.as_secs_f64(),
            model: Some(SERVICE.into()),
            prefill_rate: sizes.prefill_rate,
            role,
            service: SERVICE.into(),
            upstream: self.upstream(engine),
            zone: ZONE.into(),
        }
    }

    /// What a new allocator hears first: the table, the link, and the engines that live.
    pub(crate) fn introduction(&self) -> Vec<AdmitEvent> {
        let table = Arc::new(self.file.table());
        let mut events = vec![
            AdmitEvent::Table { share: 1.0, table },
            AdmitEvent::Link(self.file.link.info()),
        ];
        for engine in self.engines() {
            if self.is_alive(engine) {
                events.push(AdmitEvent::UpstreamUp(self.upstream_info(engine)));
            }
        }
        events
    }

    pub(crate) fn is_alive(&self, engine: EngineName) -> bool {
        match engine {
            EngineName::Decode(index) => self.decodes[index].alive,
            EngineName::Prefill(index) => self.prefills[index].alive,
        }
    }

    pub(crate) fn is_leaving(&self, engine: EngineName) -> bool {
        match engine {
            EngineName::Decode(index) => self.decodes[index].leaving,
            EngineName::Prefill(index) => self.prefills[index].leaving,
        }
    }

    /// Prompt tokens that a prefill engine has to read for a request, by its prefix cache.
    pub(crate) fn uncached_tokens(&self, prefill: usize, request: RequestIndex) -> u32 {
        let plan = &self.plans[request];
        let blocks = self.prefills[prefill].cache.matching(&plan.prefix) as u32;
        let cached = blocks * self.file.engines.block_tokens;
        // The last token is always read, since the first new one follows from it.
        plan.prompt_tokens.saturating_sub(cached).max(1)
    }
}

/// The availability zone of every scenario.
const ZONE: &str = "zone";
