//! Passes requests for decode places and reports of places to the schedulers of the availability zone.
//!
//! The scheduler of a cell is the first live instance of its zone, by capacity and then by rendezvous hashing, so all
//! instances choose the same one without agreeing on it. While their views differ there are two, and the engines decide between their grants.

use {
    crate::{MemberRow, PLACE_TAG, PlaceCall, PlaceResult, SilentSchedulers},
    kernel::{InstanceId, LockRank, RankedLock, ZoneId, steady_clock},
    peer::{PeerEndpoint, PeerError},
    relay::{
        FleetView, PlaceAnswer, PlaceClient, PlaceJob, PlaceScope, SchedulerHost, SchedulerLife,
    },
    sched::{PlaceNote, PlaceReply, PlaceRequest, ZoneSpare},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::{self, MissedTickBehavior},
    },
};

/// How long reports for one scheduler are collected.
const COLLECT_PERIOD: Duration = Duration::from_millis(20);
/// How much longer than it may be kept a call is waited for.
const ANSWER_SLACK: Duration = Duration::from_millis(50);
/// How long a scheduler may take to take reports.
const NOTES_TIMEOUT: Duration = Duration::from_millis(300);
/// How often held places are announced.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);
/// How often other zones learn what this one can take over.
const SPARE_PERIOD: Duration = Duration::from_millis(250);
/// The reports kept for one scheduler; older ones are dropped, and announcements make up for them.
const MAX_NOTES: usize = 4_096;

/// The exchange of one instance.
#[derive(Clone, Debug)]
pub struct PlaceExchange {
    client: PlaceClient,
    endpoint: PeerEndpoint,
    fleet: FleetView,
    host: SchedulerHost,
    own: MemberRow,
    silent: Arc<RankedLock<SilentSchedulers>>,
}

/// What the running exchange remembers from one job to the next.
#[derive(Debug, Default)]
struct ExchangeState {
    /// The scheduler that has the announcements of a cell.
    announced: BTreeMap<PlaceScope, (InstanceId, SchedulerLife)>,
    collected: BTreeMap<PlaceScope, Vec<PlaceNote>>,
    /// The cells whose last reports are on their way; those after them wait, so that they stay in order.
    in_flight: BTreeSet<PlaceScope>,
}

/// The end of a call.
#[derive(Debug)]
enum CallOutcome {
    /// A scheduler decided on a request.
    Heard(PlaceScope, InstanceId, SchedulerLife),
    /// Reports were taken.
    Taken(PlaceScope, InstanceId, SchedulerLife),
    /// Reports were not taken.
    Untaken(PlaceScope, Vec<PlaceNote>),
}

#[bon::bon]
impl PlaceExchange {
    /// An exchange of the instance `own` with the other instances of a fleet.
    #[builder]
    pub fn new(
        client: PlaceClient,
        endpoint: PeerEndpoint,
        fleet: FleetView,
        host: SchedulerHost,
        own: MemberRow,
    ) -> Self {
        let silent = SilentSchedulers::default();
        Self {
            client,
            endpoint,
            fleet,
            host,
            own,
            silent: Arc::new(RankedLock::new(LockRank::Samples, silent)),
        }
    }
}

impl PlaceExchange {
    /// Carries out jobs until the request path ends.
    pub async fn run(self, jobs: mpsc::Receiver<PlaceJob>) {
        let mut jobs = jobs;
        let mut state = ExchangeState::default();
        // Unbounded, but holds at most one entry for each call that is open.
        let (outcomes, mut ended) = mpsc::unbounded_channel();
        let mut announce = interval(ANNOUNCE_PERIOD);
        let mut flush = interval(COLLECT_PERIOD);
        let mut spare = interval(SPARE_PERIOD);
        loop {
            tokio::select! {
                job = jobs.recv() => match job {
                    None => return,
                    Some(PlaceJob::Note { note, scope }) => collect(&mut state, scope, [note]),
                    Some(PlaceJob::Submit { reply, request, scope, wait }) => {
                        let exchange = self.clone();
                        let outcomes = outcomes.clone();
                        tokio::spawn(async move {
                            exchange.submit(scope, request, wait, reply, outcomes).await;
                        });
                    }
                },
                Some(outcome) = ended.recv() => self.note_outcome(&mut state, outcome),
                _ = announce.tick() => self.announce(&mut state),
                _ = flush.tick(), if !state.collected.is_empty() => {
                    self.flush(&mut state, &outcomes);
                }
                _ = spare.tick() => {
                    self.tell_spares();
                    self.probe_silent();
                }
            }
        }
    }

    /// The scheduler of a cell; `None` while no instance of the zone is known.
    fn scheduler(&self, scope: &PlaceScope) -> Option<InstanceId> {
        let fleet = self.fleet.members();
        let silent = self.silent.lock();
        let own = &self.own.instance;
        let is_excluded = |name: &InstanceId| name != own && silent.is_silent(name);
        let key = scope.scheduler_key();
        fleet.carrier(&scope.zone, &key, is_excluded).cloned()
    }

    async fn submit(
        &self,
        scope: PlaceScope,
        request: PlaceRequest,
        wait: Duration,
        reply: oneshot::Sender<PlaceAnswer>,
        outcomes: mpsc::UnboundedSender<CallOutcome>,
    ) {
        let Some(scheduler) = self.scheduler(&scope) else {
            // Fails only when the caller has left.
            let _ = reply.send(PlaceAnswer::none());
            return;
        };
        let result = match scheduler == self.own.instance {
            true => {
                let (life, reply) = self.host.submit(&scheduler, &scope, request, wait).await;
                Some(PlaceResult { life, reply })
            }
            false => {
                let call = PlaceCall::Submit {
                    scope: scope.clone(),
                    request,
                    wait,
                };
                self.call(&scheduler, &call, wait + ANSWER_SLACK).await
            }
        };
        let decision = match result {
            Some(result) => {
                // Fails only when the exchange has ended.
                let _ = outcomes.send(CallOutcome::Heard(scope, scheduler.clone(), result.life));
                result.reply
            }
            None => PlaceReply::Unknown,
        };
        let answer = PlaceAnswer {
            reply: decision,
            scheduler: Some(scheduler),
        };
        // Fails only when the caller has left, which reports so itself.
        let _ = reply.send(answer);
    }

    fn note_outcome(&self, state: &mut ExchangeState, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Heard(scope, scheduler, life) => {
                self.note_life(state, scope, scheduler, life);
            }
            CallOutcome::Taken(scope, scheduler, life) => {
                state.in_flight.remove(&scope);
                self.note_life(state, scope, scheduler, life);
            }
            CallOutcome::Untaken(scope, notes) => {
                state.in_flight.remove(&scope);
                let later = state.collected.remove(&scope).unwrap_or_default();
                collect(state, scope, notes.into_iter().chain(later));
            }
        }
    }

    /// Announces all places of a cell to a scheduler that does not know them.
    fn note_life(
        &self,
        state: &mut ExchangeState,
        scope: PlaceScope,
        scheduler: InstanceId,
        life: SchedulerLife,
    ) {
        let current = (scheduler, life);
        if state.announced.get(&scope) == Some(&current) {
            return;
        }
        let (scheduler, life) = &current;
        tracing::debug!(service = %scope.service, cell = scope.cell, %scheduler, life, "another scheduler decides on places");
        state.announced.insert(scope.clone(), current);
        let held = self.client.held_in(&scope);
        collect(state, scope, held.into_iter().map(PlaceNote::Holds));
    }

    fn announce(&self, state: &mut ExchangeState) {
        for (scope, held) in self.client.held() {
            collect(state, scope, held.into_iter().map(PlaceNote::Holds));
        }
        let fleet = self.fleet.members();
        let mut silent = self.silent.lock();
        silent.retain(|instance| fleet.iter().any(|member| member.instance == *instance));
    }

    /// Passes on the collected reports, except those of cells whose last reports are still on their way.
    fn flush(&self, state: &mut ExchangeState, outcomes: &mpsc::UnboundedSender<CallOutcome>) {
        for (scope, notes) in std::mem::take(&mut state.collected) {
            if state.in_flight.contains(&scope) {
                state.collected.insert(scope, notes);
                continue;
            }
            let Some(scheduler) = self.scheduler(&scope) else {
                continue;
            };
            if scheduler == self.own.instance {
                let life = self.host.note(&scheduler, &scope, notes);
                self.note_life(state, scope, scheduler, life);
                continue;
            }
            state.in_flight.insert(scope.clone());
            let exchange = self.clone();
            let outcomes = outcomes.clone();
            tokio::spawn(async move {
                let outcome = exchange.pass_on(scope, scheduler, notes).await;
                // Fails only when the exchange has ended.
                let _ = outcomes.send(outcome);
            });
        }
    }

    async fn pass_on(
        &self,
        scope: PlaceScope,
        scheduler: InstanceId,
        notes: Vec<PlaceNote>,
    ) -> CallOutcome {
        let call = PlaceCall::Notes {
            scope: scope.clone(),
            notes: notes.clone(),
        };
        match self.call(&scheduler, &call, NOTES_TIMEOUT).await {
            Some(result) => CallOutcome::Taken(scope, scheduler, result.life),
            None => CallOutcome::Untaken(scope, notes),
        }
    }

    /// Tells the schedulers of the same service in other zones what this one can take over.
    fn tell_spares(&self) {
        for (own_scope, tokens) in self.host.spares() {
            let spare = ZoneSpare {
                age: Duration::ZERO,
                tokens,
                zone: own_scope.zone.clone(),
            };
            for zone in self.other_zones() {
                let scope = PlaceScope {
                    zone,
                    ..own_scope.clone()
                };
                self.tell_spare(scope, spare.clone());
            }
        }
    }

    fn tell_spare(&self, scope: PlaceScope, spare: ZoneSpare) {
        let Some(scheduler) = self.scheduler(&scope) else {
            return;
        };
        // Strings and numbers always serialise.
        let Ok(body) = postcard::to_stdvec(&PlaceCall::Spare { scope, spare }) else {
            return;
        };
        if let Err(error) = self.endpoint.send(&scheduler, PLACE_TAG, &body) {
            tracing::debug!(%scheduler, %error, "another zone does not learn what this one can take over");
        }
    }

    fn other_zones(&self) -> BTreeSet<ZoneId> {
        let fleet = self.fleet.members();
        let others = fleet.iter().filter(|member| member.zone != self.own.zone);
        others.map(|member| member.zone.clone()).collect()
    }

    /// Calls silent instances, so that they are asked again once they answer.
    fn probe_silent(&self) {
        let due = self.silent.lock().take_due(steady_clock::now());
        for instance in due {
            let exchange = self.clone();
            tokio::spawn(async move { exchange.probe(&instance).await });
        }
    }

    async fn probe(&self, instance: &InstanceId) {
        let answer = self.call(instance, &PlaceCall::Probe, NOTES_TIMEOUT).await;
        if answer.is_some() {
            tracing::info!(%instance, "a silent instance answers calls about places again");
        } else if self.silent.lock().is_silent(instance) {
            // Another process may have its address by now.
            self.endpoint.forget(instance);
        }
    }

    /// Calls an instance; `None` without an answer in time.
    async fn call(
        &self,
        to: &InstanceId,
        call: &PlaceCall,
        limit: Duration,
    ) -> Option<PlaceResult> {
        // Strings and numbers always serialise.
        let body = postcard::to_stdvec(call).ok()?;
        let calling = self.endpoint.call(to, PLACE_TAG, &body);
        let answer = match time::timeout(limit, calling).await {
            Ok(Ok(answer)) => postcard::from_bytes(&answer).map_err(|error| error.to_string()),
            // Its connection works, and it may well answer the calls that it has.
            Ok(Err(error @ PeerError::Busy { .. })) => {
                tracing::debug!(scheduler = %to, %error, "a scheduler has too much to do");
                return None;
            }
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("no answer in time".to_owned()),
        };
        let mut silent = self.silent.lock();
        match answer {
            Ok(result) => {
                silent.note_answer(to);
                Some(result)
            }
            Err(detail) => {
                let is_new = silent.note_silence(to, steady_clock::now());
                drop(silent);
                tracing::debug!(scheduler = %to, detail, is_new, "a scheduler did not answer");
                // Once for all calls that fail together: each connection that is given up takes memory at both ends.
                if is_new {
                    self.endpoint.forget(to);
                }
                None
            }
        }
    }
}

/// Adds reports for a scheduler. The oldest are dropped beyond the limit.
fn collect(
    state: &mut ExchangeState,
    scope: PlaceScope,
    notes: impl IntoIterator<Item = PlaceNote>,
) {
    let mut notes = notes.into_iter().peekable();
    if notes.peek().is_none() {
        return;
    }
    let list = state.collected.entry(scope).or_default();
    list.extend(notes);
    let excess = list.len().saturating_sub(MAX_NOTES);
    list.drain(..excess);
}

fn interval(period: Duration) -> time::Interval {
    let mut interval = time::interval(period);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}
