//! Plans stage changes of the engines of a model service. Free of I/O; times are passed in.
//!
//! Most deployments run out of decode memory first, and a decode engine can prefill a prompt itself when the prefill
//! engines are late. The target is therefore a small number of prefill engines, and a surplus returns to decoding as
//! engines join and leave. Observed load takes precedence: prefill engines that are needed stay, and a stage that is
//! overloaded for long gets an engine of the other stage if that has capacity to spare. Long prompts load the prefill
//! engines, long answers the memory of the decode engines. A change takes an engine out of service for some seconds, so
//! bursts cause none.

use {
    crate::{StagePressure, UpstreamRecord, UpstreamStage},
    kernel::{ServiceId, ZoneId},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Prefill engines are overloaded when at least this fraction of prefills has to wait: the queue of one server at this
/// load is four prefills long.
const PREFILL_OVERLOADED: f64 = 0.8;
/// The maximum fraction of waiting prefills expected after a prefill engine is given away: a wait of one prefill. A
/// surplus that would exceed it is kept.
const PREFILL_AFTER_CHANGE: f64 = 0.65;
/// Decode engines are overloaded when at least this fraction of requests finds no free slot at once: one in three waits
/// or is refused.
const DECODE_OVERLOADED: f64 = 0.35;
/// Decode engines have spare capacity when at most this fraction of requests finds no free slot at once.
const DECODE_SPARE: f64 = 0.1;

/// The engines of one change. The instance that orders it holds a connection to each, and a surplus of a large service
/// is corrected in several changes.
const MAX_ENGINES_PER_CHANGE: usize = 64;

/// The settings of a [`StagePlanner`].
#[derive(Clone, Debug, PartialEq, bon::Builder)]
pub struct StageGoal {
    /// How long the number of engines in a stage has to be off target before one changes, the same for all instances.
    pub patience: Duration,
    /// The cooldown after a change by this instance or another.
    pub pause: Duration,
    /// How long a stage has to be overloaded before an engine changes: longer than a burst, since an engine serves
    /// nothing for some seconds during the change.
    pub pressed_patience: Duration,
    /// The target fraction of prefill engines of a service, rounded up, while the load requires no other.
    pub prefill_share: f64,
    /// The minimum number of engines that a change leaves in a stage.
    pub spare_floor: usize,
}

/// A planned stage change.
#[derive(Clone, Debug, PartialEq)]
pub struct StageChange {
    /// The engines to change.
    pub engines: Vec<Arc<UpstreamRecord>>,
    /// The service they belong to.
    pub service: ServiceId,
    /// Their new stage.
    pub stage: UpstreamStage,
}

/// A snapshot of the engines of a service and their load.
#[derive(Clone, Copy, Debug)]
struct StageSnapshot {
    decode: usize,
    prefill: usize,
    /// The fraction of requests that found no free slot at once; `None` while too few were observed.
    refused: Option<f64>,
    /// The fraction of prefills that had to wait; `None` while too few were observed.
    waiting: Option<f64>,
}

/// Decides when engines of one service change between the stages.
#[derive(Debug)]
pub struct StagePlanner {
    goal: StageGoal,
    /// Whether the load was ever known. From then on, an instance that receives too few requests to know the load
    /// leaves a surplus to the instances that do.
    has_known_load: bool,
    cooldown_until: Option<Instant>,
    wanting_since: Option<(UpstreamStage, Instant)>,
    /// Added to the patience and different for each instance, so that one acts first and the others see its change.
    stagger: Duration,
}

impl StagePlanner {
    /// Creates a planner without observations.
    pub fn new(goal: StageGoal, stagger: Duration) -> Self {
        Self {
            goal,
            has_known_load: false,
            cooldown_until: None,
            wanting_since: None,
            stagger,
        }
    }

    /// Starts the cooldown after a change ordered by this or another instance.
    pub fn start_cooldown(&mut self, now: Instant) {
        self.wanting_since = None;
        self.cooldown_until = Some(now + self.goal.pause);
    }

    /// Returns the change to make now, if any, from the current engines and load of a service.
    pub fn decide(
        &mut self,
        service: &ServiceId,
        engines: &[Arc<UpstreamRecord>],
        pressure: &StagePressure,
        now: Instant,
    ) -> Option<StageChange> {
        if self.cooldown_until.is_some_and(|until| now < until) {
            return None;
        }
        let prefill = of_stage(engines, UpstreamStage::Prefill);
        let decode = of_stage(engines, UpstreamStage::Decode);
        let snapshot = StageSnapshot {
            decode: decode.len(),
            prefill: prefill.len(),
            refused: pressure.slot_miss_share(now),
            waiting: pressure.prefill_wait_share(now),
        };
        self.has_known_load |= snapshot.waiting.is_some();
        let off_target = self.off_target(&snapshot);
        let Some((stage, count)) = off_target.or_else(|| self.overloaded(&snapshot)) else {
            self.wanting_since = None;
            return None;
        };
        let patience = match off_target {
            Some(_) => self.goal.patience,
            None => self.goal.pressed_patience,
        };
        let since = match self.wanting_since {
            Some((before, since)) if before == stage => since,
            _ => now,
        };
        self.wanting_since = Some((stage, since));
        if now < since + patience + self.stagger {
            return None;
        }
        let donors = match stage {
            UpstreamStage::Decode => prefill,
            _ => decode,
        };
        Some(StageChange {
            engines: from_fullest_zones(donors, count.min(MAX_ENGINES_PER_CHANGE)),
            service: service.clone(),
            stage,
        })
    }

    /// The stage whose number of engines is below target, and how many it should get.
    fn off_target(&self, snapshot: &StageSnapshot) -> Option<(UpstreamStage, usize)> {
        let target = self.target_prefill(snapshot);
        if snapshot.prefill < target.min(self.goal.spare_floor)
            && snapshot.decode > self.goal.spare_floor
        {
            return Some((UpstreamStage::Prefill, 1));
        }
        let surplus = snapshot.prefill.saturating_sub(target);
        let is_needed = match snapshot.waiting {
            Some(_) => !snapshot.can_spare(surplus),
            None => self.has_known_load,
        };
        (surplus > 0 && !is_needed).then_some((UpstreamStage::Decode, surplus))
    }

    /// The target number of prefill engines. With few engines one is enough: the others can prefill prompts themselves,
    /// and nothing else can hold the streams that they generate.
    fn target_prefill(&self, snapshot: &StageSnapshot) -> usize {
        let all = snapshot.prefill + snapshot.decode;
        (all as f64 * self.goal.prefill_share).ceil() as usize
    }

    /// The stage that is overloaded while the other has spare capacity, and how many engines it should get.
    fn overloaded(&self, snapshot: &StageSnapshot) -> Option<(UpstreamStage, usize)> {
        let floor = self.goal.spare_floor;
        let waiting = snapshot.waiting?;
        let refused = snapshot.refused?;
        if waiting >= PREFILL_OVERLOADED && refused <= DECODE_SPARE && snapshot.decode > floor {
            return Some((UpstreamStage::Prefill, 1));
        }
        let minimum = self.target_prefill(snapshot).min(floor);
        let is_spare = snapshot.prefill > minimum && snapshot.can_spare(1);
        (refused >= DECODE_OVERLOADED && is_spare).then_some((UpstreamStage::Decode, 1))
    }
}

impl StageSnapshot {
    /// Whether `count` prefill engines can change without overloading the others.
    fn can_spare(&self, count: usize) -> bool {
        let left = self.prefill.saturating_sub(count).max(1);
        let after = |waiting: f64| waiting * self.prefill as f64 / left as f64;
        self.waiting
            .is_some_and(|waiting| after(waiting) <= PREFILL_AFTER_CHANGE)
    }
}

fn of_stage(engines: &[Arc<UpstreamRecord>], stage: UpstreamStage) -> Vec<Arc<UpstreamRecord>> {
    let matching = engines.iter().filter(|engine| engine.stage == stage);
    matching.cloned().collect()
}

/// Picks engines from the availability zones that have the most of them.
fn from_fullest_zones(donors: Vec<Arc<UpstreamRecord>>, count: usize) -> Vec<Arc<UpstreamRecord>> {
    let mut zones: BTreeMap<ZoneId, Vec<Arc<UpstreamRecord>>> = BTreeMap::new();
    for donor in donors {
        zones.entry(donor.zone.clone()).or_default().push(donor);
    }
    let mut chosen = Vec::new();
    for _ in 0..count {
        let fullest = zones.values_mut().max_by_key(|list| list.len());
        let Some(engine) = fullest.and_then(Vec::pop) else {
            break;
        };
        chosen.push(engine);
    }
    chosen
}
