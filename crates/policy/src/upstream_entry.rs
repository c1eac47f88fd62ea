//! The state of one upstream, as observed by one instance.

use {
    crate::{
        ColdPhase, PrefillEstimate, RefusalCooldown, ReplicaPace, UpstreamRecord, UpstreamStage,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The half-life of the failure rate without new verdicts. An upstream that has recovered gets a trial request within a
/// few seconds.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// The weight of one verdict in the failure rate, which thus covers about five calls.
const VERDICT_WEIGHT: f64 = 0.2;
/// How long a full upstream is avoided: a few of its steps.
const FULL_COOLDOWN: Duration = Duration::from_millis(150);
/// How long an upstream that differs from its record is avoided: until the list is up to date, which takes a report of
/// the upstream and a read of the list. A prefill engine that refuses a prefill is usually about to change its stage;
/// each further refusal would turn the run after it into a retry that is charged to the retry budget.
const MISDIRECTED_COOLDOWN: Duration = Duration::from_millis(2_200);

/// The longest time that an upstream counts as cold for one report.
const MAX_COLD: Duration = Duration::from_secs(3_600);

/// What the end of a call says about its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallVerdict {
    /// It answered.
    Answered,
    /// It answered with an error.
    Failed,
    /// It had no free slot.
    Full,
    /// The answer was truncated, malformed or missing.
    Lost,
    /// Its address belongs to another upstream, or its stage has changed: the list is stale.
    Misdirected,
    /// Nothing: the caller disconnected.
    Neutral,
    /// No connection could be established.
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

    /// The label in metrics.
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

    /// The weight of the verdict as a failure, 0 to 1; `None` if it says nothing. An error answer counts less, since
    /// some requests fail at any upstream.
    fn failure_weight(self) -> Option<f64> {
        match self {
            Self::Answered => Some(0.0),
            Self::Failed => Some(0.4),
            Self::Full | Self::Misdirected | Self::Neutral => None,
            Self::Lost | Self::Unreachable => Some(1.0),
        }
    }
}

/// The load, failures and record of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamEntry {
    /// The phase in which it is cold; `None` before the first one.
    pub cold: Option<ColdPhase>,
    /// The cooldown after it has refused requests with reserved slots.
    pub cooldown: RefusalCooldown,
    failure: f64,
    failure_at: Instant,
    full_until: Option<Instant>,
    /// Since when it is missing from the list; `None` while it is listed.
    pub missing_since: Option<Instant>,
    /// In-flight calls of this instance.
    pub in_flight: u32,
    /// Tokens of the in-flight calls of this instance.
    pub in_flight_tokens: u64,
    /// How long it takes to answer, where it is of a plain service.
    pub pace: ReplicaPace,
    /// Its estimated prefill time.
    pub prefill: PrefillEstimate,
    /// Its record in the latest list that has it.
    pub record: Arc<UpstreamRecord>,
}

impl UpstreamEntry {
    /// The failure rate of recent calls, 0 to 1, which decays over time.
    pub fn failure_share(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.failure_at);
        self.failure * 0.5_f64.powf(age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Whether it is avoided since it was recently full or misdirected.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Creates the state of an upstream without observations.
    pub fn new(record: Arc<UpstreamRecord>, now: Instant) -> Self {
        let mut entry = Self {
            cold: None,
            cooldown: RefusalCooldown::default(),
            failure: 0.0,
            failure_at: now,
            full_until: None,
            missing_since: None,
            in_flight: 0,
            in_flight_tokens: 0,
            pace: ReplicaPace::new(now),
            prefill: PrefillEstimate::new(now),
            record,
        };
        entry.note_cold(entry.record.cold_for, now);
        entry
    }

    /// Records that the upstream is cold for some time; a later report does not shorten that.
    pub fn note_cold(&mut self, duration: Duration, now: Instant) {
        if duration.is_zero() {
            return;
        }
        let phase = self.cold.filter(|phase| !phase.left(now).is_zero());
        let mut phase = phase.unwrap_or(ColdPhase::new(now, now));
        phase.extend(now + duration.min(MAX_COLD));
        self.cold = Some(phase);
    }

    /// Replaces the record by a newer one.
    pub fn set_record(&mut self, record: &UpstreamRecord, now: Instant) {
        if self.record.is_alike(record) {
            return;
        }
        self.record = Arc::new(record.clone());
        self.note_cold(record.cold_for, now);
    }

    /// Records the verdict of a call.
    pub fn note(&mut self, verdict: CallVerdict, now: Instant) {
        let cooldown = match verdict {
            CallVerdict::Full if self.record.stage != UpstreamStage::Prefill => Some(FULL_COOLDOWN),
            CallVerdict::Full | CallVerdict::Misdirected => Some(MISDIRECTED_COOLDOWN),
            _ => None,
        };
        if let Some(cooldown) = cooldown {
            self.full_until = Some(now + cooldown);
        }
        let Some(failure_weight) = verdict.failure_weight() else {
            return;
        };
        let before = self.failure_share(now);
        self.failure = match verdict {
            CallVerdict::Unreachable => 1.0,
            _ => before + (failure_weight - before) * VERDICT_WEIGHT,
        };
        self.failure_at = now;
    }
}
