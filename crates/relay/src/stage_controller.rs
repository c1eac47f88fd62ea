//! Keeps the engines of each model service near the target ratio of stages: plans moves, takes the lease, and sends the
//! orders.

use {
    crate::{BufferedBody, OrderDialect, OrderState, RelayCore, StageOrder, UpstreamDialect},
    bytes::Bytes,
    engine::wire::{EngineOrder, OrderKind, engine_role::EngineRole},
    http::{Request, StatusCode},
    http_body_util::Full,
    kernel::{InstanceId, ServiceId, UpstreamId, seeded_rng, steady_clock},
    lease::{LeaseKeeper, LeaseSettings, OrderReply, OrderSender},
    plat::RowStore,
    policy::{CallBlock, StageChange, StageGoal, StagePlanner, UpstreamRecord, UpstreamStage},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time,
};

/// Interval of the checks, which only read state that this instance already has.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// The instances spread their first attempts over this time, so that most see another's change before their own
/// attempt.
const STAGGER: Duration = Duration::from_secs(3);
/// Seed of the spread.
const STAGGER_SEED: u64 = 2;
/// Timeout for an engine's answer about its orders.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The answer of an engine lists its running requests.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// How long an order may take to arrive. An order names the count of accepted orders that it expects, so a delayed one
/// has no effect after this time; the platform may execute its own orders up to 12 s late.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(12);

/// The settings of a [`StageController`].
#[derive(Clone, Debug, bon::Builder)]
pub struct StageSettings {
    /// Whether engines refuse outdated fencing tokens.
    pub checks_fence: bool,
    /// The target.
    pub goal: StageGoal,
    /// The incarnation of this process.
    pub holder: InstanceId,
    /// The duration of a lease.
    pub lease_life: Duration,
}

/// Controls the stages of all model services for one instance.
pub struct StageController<D, S> {
    core: Arc<RelayCore<D>>,
    stages: BTreeMap<ServiceId, ServiceStages<S>>,
    settings: StageSettings,
    store: Arc<S>,
}

struct ServiceStages<S> {
    lease: LeaseKeeper<S>,
    planner: StagePlanner,
}

/// Sends the orders of one move.
struct StageSender<'a, D> {
    core: &'a RelayCore<D>,
    engines: BTreeMap<UpstreamId, (Arc<UpstreamRecord>, OrderState)>,
    holder: &'a str,
}

impl<D: OrderDialect + UpstreamDialect, S: RowStore + 'static> StageController<D, S> {
    /// A controller without any lease.
    pub fn new(core: Arc<RelayCore<D>>, store: Arc<S>, settings: StageSettings) -> Self {
        Self {
            core,
            stages: BTreeMap::new(),
            settings,
            store,
        }
    }

    /// Checks the engines periodically.
    pub async fn run(mut self) {
        let mut clock = time::interval(CHECK_PERIOD);
        clock.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            clock.tick().await;
            // Each attempt asks the store for the lease, so only the few instances that read the store make any.
            if !self.core.reader.get() {
                continue;
            }
            for (service, engines) in self.engines() {
                // Whoever reaches the engines can order them.
                if self.core.reach.is_lost(&service) {
                    continue;
                }
                self.check(service, &engines).await;
            }
        }
    }

    /// The engines that accept new work, by service.
    fn engines(&self) -> BTreeMap<ServiceId, Vec<Arc<UpstreamRecord>>> {
        let mut services: BTreeMap<ServiceId, Vec<Arc<UpstreamRecord>>> = BTreeMap::new();
        let Some(table) = self.core.routes.load_full() else {
            return services;
        };
        let now = steady_clock::now();
        let upstreams = self.core.upstreams.lock();
        for entry in upstreams.entries() {
            let record = &entry.record;
            let block = upstreams.call_block(&record.id, now);
            let is_idle = matches!(block, Some(CallBlock::Evacuated | CallBlock::Leaving));
            if record.stage == UpstreamStage::Plain || is_idle {
                continue;
            }
            // Services that the operators don't declare get no requests, so their engines get no orders either.
            if !table.services.contains_key(&record.service) {
                continue;
            }
            let list = services.entry(record.service.clone()).or_default();
            list.push(record.clone());
        }
        services
    }

    async fn check(&mut self, service: ServiceId, engines: &[Arc<UpstreamRecord>]) {
        let stages = self.stages.entry(service.clone()).or_insert_with(|| {
            let settings = &self.settings;
            let lease = LeaseSettings::builder()
                .holder(settings.holder.clone())
                .key(format!("stages/{service}"))
                .life(settings.lease_life)
                .longest_order(MAX_ORDER_DELAY)
                .build();
            ServiceStages {
                lease: LeaseKeeper::new(self.store.clone(), lease),
                planner: StagePlanner::new(settings.goal.clone(), stagger(&settings.holder)),
            }
        });
        let Some(plan) = stages.planner.decide(
            &service,
            engines,
            &self.core.pressure(&service),
            steady_clock::now(),
        ) else {
            return;
        };
        // Whatever the outcome, the next check waits until the list of upstreams shows it.
        stages.planner.start_cooldown(steady_clock::now());
        execute_move(&self.core, &self.settings, &stages.lease, &plan).await;
    }
}

async fn execute_move<D: OrderDialect + UpstreamDialect, S: RowStore>(
    core: &RelayCore<D>,
    settings: &StageSettings,
    lease: &LeaseKeeper<S>,
    plan: &StageChange,
) {
    lease.tick().await;
    if lease.hold().is_none() {
        tracing::info!(service = %plan.service, "another instance gives the orders");
        return;
    }
    let mut sender = StageSender {
        core,
        engines: BTreeMap::new(),
        holder: &settings.holder,
    };
    for engine in &plan.engines {
        match sender.ask(engine).await {
            Some(state) if !state.is_busy => {
                sender
                    .engines
                    .insert(engine.id.clone(), (engine.clone(), state));
            }
            Some(_) => {
                tracing::info!(upstream = %engine.id, "the engine is already executing an order");
                return;
            }
            None => tracing::info!(upstream = %engine.id, "the engine did not report its orders"),
        }
    }
    let role = match plan.stage {
        UpstreamStage::Prefill => EngineRole::Prefill,
        UpstreamStage::Decode | UpstreamStage::Plain => EngineRole::Decode,
    };
    let engines: Vec<UpstreamId> = sender.engines.keys().cloned().collect();
    for engine in engines {
        let kind = OrderKind::ChangeRole { role };
        let outcome = lease
            .order(&sender, &engine, settings.checks_fence, kind)
            .await;
        match outcome {
            Ok(accepted) => {
                tracing::info!(upstream = %engine, ?role, accepted, "ordered to change its stage");
            }
            Err(error) => tracing::warn!(%error, "an order was not carried out"),
        }
    }
}

fn stagger(holder: &str) -> Duration {
    let share = seeded_rng::mix(STAGGER_SEED, holder.as_bytes()) as f64 / u64::MAX as f64;
    STAGGER.mul_f64(share)
}

impl<D: OrderDialect + UpstreamDialect> StageSender<'_, D> {
    async fn ask(&self, upstream: &UpstreamRecord) -> Option<OrderState> {
        let call = self.core.dialect.state_call(upstream);
        let (_, body) = self.send(upstream, call).await?;
        self.core.dialect.state_reply(&body.bytes)
    }

    async fn send(
        &self,
        upstream: &UpstreamRecord,
        call: Request<Full<Bytes>>,
    ) -> Option<(StatusCode, BufferedBody)> {
        let asking = self.core.ask(upstream, call, MAX_ANSWER_BYTES);
        let answer = time::timeout(ANSWER_TIMEOUT, asking).await.ok().flatten();
        if answer.is_none() {
            tracing::info!(upstream = %upstream.id, "the engine gave no answer about its orders");
        }
        answer
    }
}

impl<D: OrderDialect + UpstreamDialect> OrderSender for StageSender<'_, D> {
    async fn send_order(&self, upstream: &UpstreamId, order: &EngineOrder) -> OrderReply {
        let Some((record, state)) = self.engines.get(upstream) else {
            return OrderReply::Refused;
        };
        let OrderKind::ChangeRole { role } = order.kind else {
            return OrderReply::Refused;
        };
        let stage = match role {
            EngineRole::Decode => UpstreamStage::Decode,
            EngineRole::Prefill => UpstreamStage::Prefill,
        };
        let call = self.core.dialect.order_call(&StageOrder {
            expected: state.count,
            fence: order.fence,
            holder: self.holder,
            stage,
            upstream: record,
        });
        match self.send(record, call).await {
            Some((status, _)) => self.core.dialect.order_reply(status),
            None => OrderReply::Unknown,
        }
    }
}
