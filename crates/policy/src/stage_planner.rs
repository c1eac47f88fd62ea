//! Which engines of a model service should change their stage. No I/O and no clock.
//!
//! Memory for decoding is what most deployments run out of first, and a decode engine can read a prompt itself when the
//! prefill engines are late. So few prefill engines are wanted to begin with, and a surplus goes back to decoding as
//! engines come and go. What requests meet goes before that: readers that are needed stay, and a stage that is pressed for
//! long gets an engine of the other if that has room. Long prompts press the engines that read, long answers the memory of
//! those that generate. A change takes an engine out for some seconds, so bursts change nothing.

use {
    crate::{StagePressure, UpstreamRecord, UpstreamStage},
    kernel::{ServiceId, ZoneId},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Prefill engines are pressed, and a surplus of them is needed, when so large a share of readings waits: a queue of one server at this load is four
/// readings long.
const READERS_PRESSED: f64 = 0.8;
/// After an engine was given away, at most this share of readings may wait: a wait of one reading.
const READERS_AFTER: f64 = 0.65;
/// Decode engines are pressed when so large a share of requests finds no place at once: one in three is kept waiting or
/// refused.
const PLACES_PRESSED: f64 = 0.35;
/// Decode engines have room when at most this share of requests finds no place at once.
const PLACES_ROOMY: f64 = 0.1;

/// The settings of a [`StagePlanner`].
#[derive(Clone, Debug, PartialEq, bon::Builder)]
pub struct StageGoal {
    /// How long a stage has to have too few engines before one changes, the same for all instances.
    pub patience: Duration,
    /// How long after a change, by this instance or another, the next is considered.
    pub pause: Duration,
    /// How long a stage has to be pressed before an engine changes: longer than the bursts that pass by themselves, since
    /// an engine that changes serves nothing for some seconds.
    pub pressed_patience: Duration,
    /// The share of the engines of a service that read prompts, rounded up, while requests ask for nothing else.
    pub prefill_share: f64,
    /// The fewest engines of a stage that are left.
    pub spare_floor: usize,
}

/// Engines that should change their stage.
#[derive(Clone, Debug, PartialEq)]
pub struct StageChange {
    /// The engines.
    pub engines: Vec<Arc<UpstreamRecord>>,
    /// The service.
    pub service: ServiceId,
    /// Their new stage.
    pub stage: UpstreamStage,
}

/// One look at the engines of a service.
#[derive(Clone, Copy, Debug)]
struct SeenStages {
    decoders: usize,
    readers: usize,
    /// The share of requests that found no place at once.
    refused: Option<f64>,
    /// The share of readings that waited.
    waiting: Option<f64>,
}

/// Watches how the engines of one service are shared between the stages.
#[derive(Debug)]
pub struct StagePlanner {
    goal: StageGoal,
    /// Whether requests have told of the pressure: from then on an instance that few requests reach knows nothing, and
    /// leaves a surplus to those that do.
    has_seen: bool,
    quiet_until: Option<Instant>,
    short_since: Option<(UpstreamStage, Instant)>,
    /// Added to the patience, different for each instance, so that one goes first and the others see its change.
    stagger: Duration,
}

impl StagePlanner {
    /// A plan that has seen nothing.
    pub fn new(goal: StageGoal, stagger: Duration) -> Self {
        Self {
            goal,
            has_seen: false,
            quiet_until: None,
            short_since: None,
            stagger,
        }
    }

    /// A change was ordered, or another instance was seen to order: look again later.
    pub fn start_cooldown(&mut self, now: Instant) {
        self.short_since = None;
        self.quiet_until = Some(now + self.goal.pause);
    }

    /// Looks at the engines of a service, and says which should change now.
    pub fn decide(
        &mut self,
        service: &ServiceId,
        engines: &[Arc<UpstreamRecord>],
        pressure: &StagePressure,
        now: Instant,
    ) -> Option<StageChange> {
        if self.quiet_until.is_some_and(|until| now < until) {
            return None;
        }
        let readers = of_stage(engines, UpstreamStage::Prefill);
        let decoders = of_stage(engines, UpstreamStage::Decode);
        let seen = SeenStages {
            decoders: decoders.len(),
            readers: readers.len(),
            refused: pressure.slot_miss_share(now),
            waiting: pressure.prefill_wait_share(now),
        };
        self.has_seen |= seen.waiting.is_some();
        let off_goal = self.off_goal(&seen);
        let Some((stage, count)) = off_goal.or_else(|| self.pressed(&seen)) else {
            self.short_since = None;
            return None;
        };
        let patience = match off_goal {
            Some(_) => self.goal.patience,
            None => self.goal.pressed_patience,
        };
        let since = match self.short_since {
            Some((before, since)) if before == stage => since,
            _ => now,
        };
        self.short_since = Some((stage, since));
        if now < since + patience + self.stagger {
            return None;
        }
        let donors = match stage {
            UpstreamStage::Decode => readers,
            _ => decoders,
        };
        Some(StageChange {
            engines: from_fullest_zones(donors, count),
            service: service.clone(),
            stage,
        })
    }

    /// The stage that has too few engines by their number, and how many it is to get.
    fn off_goal(&self, seen: &SeenStages) -> Option<(UpstreamStage, usize)> {
        let wanted = self.wanted_readers(seen);
        if seen.readers < wanted.min(self.goal.spare_floor) && seen.decoders > self.goal.spare_floor
        {
            return Some((UpstreamStage::Prefill, 1));
        }
        let surplus = seen.readers.saturating_sub(wanted);
        let is_needed = match seen.waiting {
            Some(_) => !seen.spares(surplus),
            None => self.has_seen,
        };
        (surplus > 0 && !is_needed).then_some((UpstreamStage::Decode, surplus))
    }

    /// How many readers the goal asks for. Of a few engines one is enough: the others can read prompts themselves, and
    /// nothing else holds what they generate.
    fn wanted_readers(&self, seen: &SeenStages) -> usize {
        let all = seen.readers + seen.decoders;
        (all as f64 * self.goal.prefill_share).ceil() as usize
    }

    /// The stage whose engines are pressed while the other has room, and how many it is to get.
    fn pressed(&self, seen: &SeenStages) -> Option<(UpstreamStage, usize)> {
        let floor = self.goal.spare_floor;
        let waiting = seen.waiting?;
        let refused = seen.refused?;
        if waiting >= READERS_PRESSED && refused <= PLACES_ROOMY && seen.decoders > floor {
            return Some((UpstreamStage::Prefill, 1));
        }
        let least = self.wanted_readers(seen).min(floor);
        let is_spare = seen.readers > least && seen.spares(1);
        (refused >= PLACES_PRESSED && is_spare).then_some((UpstreamStage::Decode, 1))
    }
}

impl SeenStages {
    /// Whether so many readers can go without the others being pressed.
    fn spares(&self, count: usize) -> bool {
        let left = self.readers.saturating_sub(count).max(1);
        let after = |waiting: f64| waiting * self.readers as f64 / left as f64;
        self.waiting
            .is_some_and(|waiting| after(waiting) <= READERS_AFTER)
    }
}

fn of_stage(engines: &[Arc<UpstreamRecord>], stage: UpstreamStage) -> Vec<Arc<UpstreamRecord>> {
    let matching = engines.iter().filter(|engine| engine.stage == stage);
    matching.cloned().collect()
}

/// Engines of the availability zones that have the most of them.
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
