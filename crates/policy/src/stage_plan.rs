//! Which engines of a model service should change their stage. No I/O and no clock.
//!
//! Memory for decoding is what a deployment runs out of first, while prefill engines wait for prompts most of the time. A
//! decode engine can read a prompt itself when the prefill engines are late, so few of these are enough.

use {
    crate::{UpstreamRecord, UpstreamStage},
    kernel::{ServiceId, ZoneId},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The settings of a [`StagePlan`].
#[derive(Clone, Debug, PartialEq, bon::Builder)]
pub struct StageGoal {
    /// How long a service has to be off its goal before an engine changes, the same for all instances.
    pub patience: Duration,
    /// How long after a change, by this instance or another, the next is considered.
    pub pause: Duration,
    /// The share of the engines of a service that read prompts.
    pub prefill_share: f64,
    /// The fewest engines of a stage that are left.
    pub spare_floor: usize,
}

/// Engines that should change their stage.
#[derive(Clone, Debug, PartialEq)]
pub struct StageMove {
    /// The engines.
    pub engines: Vec<Arc<UpstreamRecord>>,
    /// The service.
    pub service: ServiceId,
    /// Their new stage.
    pub stage: UpstreamStage,
}

/// Watches how the engines of one service are shared between the stages.
#[derive(Debug)]
pub struct StagePlan {
    goal: StageGoal,
    off_since: Option<(UpstreamStage, Instant)>,
    quiet_until: Option<Instant>,
    /// Added to the patience, different for each instance, so that one goes first and the others see its change.
    stagger: Duration,
}

impl StagePlan {
    /// A plan that has seen nothing.
    pub fn new(goal: StageGoal, stagger: Duration) -> Self {
        Self {
            goal,
            off_since: None,
            quiet_until: None,
            stagger,
        }
    }

    /// A change was ordered, or another instance was seen to order: look again later.
    pub fn rest(&mut self, now: Instant) {
        self.off_since = None;
        self.quiet_until = Some(now + self.goal.pause);
    }

    /// Looks at the engines of a service, and says which should change now.
    pub fn decide(
        &mut self,
        service: &ServiceId,
        engines: &[Arc<UpstreamRecord>],
        now: Instant,
    ) -> Option<StageMove> {
        if self.quiet_until.is_some_and(|until| now < until) {
            return None;
        }
        let readers = of_stage(engines, UpstreamStage::Prefill);
        let decoders = of_stage(engines, UpstreamStage::Decode);
        let all = readers.len() + decoders.len();
        let wanted = (all as f64 * self.goal.prefill_share).round() as usize;
        let wanted = wanted.max(self.goal.spare_floor);
        let (stage, count) = if readers.len() > wanted {
            (UpstreamStage::Decode, readers.len() - wanted)
        } else if readers.len() < self.goal.spare_floor && decoders.len() > self.goal.spare_floor {
            (UpstreamStage::Prefill, 1)
        } else {
            self.off_since = None;
            return None;
        };
        let since = match self.off_since {
            Some((before, since)) if before == stage => since,
            _ => now,
        };
        self.off_since = Some((stage, since));
        if now < since + self.goal.patience + self.stagger {
            return None;
        }
        let donors = match stage {
            UpstreamStage::Decode => readers,
            _ => decoders,
        };
        Some(StageMove {
            engines: from_fullest_zones(donors, count),
            service: service.clone(),
            stage,
        })
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
