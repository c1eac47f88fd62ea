//! What an instance knows of one upstream beyond its record.

use {
    crate::{PrefillEstimate, RefusalCooldown, UpstreamRecord, UpstreamStage},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// After so long without a new verdict, half of an upstream's bad name is forgotten. Set so that an upstream whose fault
/// has passed gets a trial request within a few seconds.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// How much one verdict moves the share of failures: about the last five calls count.
const VERDICT_WEIGHT: f64 = 0.2;
/// How long an upstream that was full is passed over: a few of its steps.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// How long an upstream that is not what the list says is passed over: until the list has caught up, which takes a report
/// of the upstream and a reading. A prefill engine that refuses a reading is most often about to change its stage; each
/// further refusal of it would make the run after it a repeated call, for which the retry budget pays.
const MISDIRECTED_PAUSE: Duration = Duration::from_millis(2_200);

/// How a call to an upstream ended, as far as it tells about the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallVerdict {
    /// It answered.
    Answered,
    /// It answered with a failure of its own.
    Failed,
    /// It had no room.
    Full,
    /// The answer was cut, can't be read or did not come.
    Lost,
    /// Another upstream has its address, or it does another stage now: the list is behind.
    Misdirected,
    /// It tells nothing: the caller went away.
    Neutral,
    /// No connection could be made.
    Unreachable,
}

impl CallVerdict {
    /// Every verdict.
    pub const ALL: [Self; 7] = [
        Self::Answered,
        Self::Failed,
        Self::Full,
        Self::Lost,
        Self::Misdirected,
        Self::Neutral,
        Self::Unreachable,
    ];

    /// The word for it in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Full => "full",
            Self::Lost => "lost",
            Self::Misdirected => "misdirected",
            Self::Neutral => "caller_gone",
            Self::Unreachable => "unreachable",
        }
    }

    /// What the verdict counts as a failure, 0 to 1. A failure of its own counts less, since some requests fail anywhere.
    fn badness(self) -> Option<f64> {
        match self {
            Self::Answered => Some(0.0),
            Self::Failed => Some(0.4),
            Self::Full | Self::Misdirected | Self::Neutral => None,
            Self::Lost | Self::Unreachable => Some(1.0),
        }
    }
}

/// The state of one upstream as this instance sees it.
#[derive(Clone, Debug)]
pub struct UpstreamEntry {
    /// Whether it turns requests away from places that it reserved.
    pub cooldown: RefusalCooldown,
    failure: f64,
    failure_at: Instant,
    full_until: Option<Instant>,
    /// Since when the list lacks it, while it may still come back.
    pub missing_since: Option<Instant>,
    /// The calls of this instance that are under way.
    pub in_flight: u32,
    /// The tokens of the calls of this instance that are under way.
    pub in_flight_tokens: u64,
    /// How fast it reads prompts, as far as this instance has seen.
    pub prefill: PrefillEstimate,
    /// What the list says.
    pub record: Arc<UpstreamRecord>,
}

impl UpstreamEntry {
    /// The share of failures among the last calls, which fades with time.
    pub fn failure_share(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.failure_at);
        self.failure * 0.5_f64.powf(age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Whether it had no room a moment ago.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// An upstream that nothing is known of yet.
    pub fn new(record: Arc<UpstreamRecord>, now: Instant) -> Self {
        Self {
            cooldown: RefusalCooldown::default(),
            failure: 0.0,
            failure_at: now,
            full_until: None,
            missing_since: None,
            in_flight: 0,
            in_flight_tokens: 0,
            prefill: PrefillEstimate::new(now),
            record,
        }
    }

    /// Takes a verdict in.
    pub fn note(&mut self, verdict: CallVerdict, now: Instant) {
        let pause = match verdict {
            CallVerdict::Full if self.record.stage != UpstreamStage::Prefill => Some(FULL_PAUSE),
            CallVerdict::Full | CallVerdict::Misdirected => Some(MISDIRECTED_PAUSE),
            _ => None,
        };
        if let Some(pause) = pause {
            self.full_until = Some(now + pause);
        }
        let Some(badness) = verdict.badness() else {
            return;
        };
        let before = self.failure_share(now);
        self.failure = match verdict {
            CallVerdict::Unreachable => 1.0,
            _ => before + (badness - before) * VERDICT_WEIGHT,
        };
        self.failure_at = now;
    }
}
