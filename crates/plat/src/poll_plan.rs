//! Decides which instances poll the platform, and when.

use {
    kernel::{InstanceId, ZoneId, seeded_rng::rendezvous_score},
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::time::{Duration, Instant},
};

/// The polling settings of an instance.
#[derive(Clone, Copy, Debug, bon::Builder)]
pub struct PollSettings {
    /// The maximum backoff after failures.
    #[builder(default = Duration::from_secs(30))]
    pub max_backoff: Duration,
    /// The interval between successful polls, before jitter.
    #[builder(default = Duration::from_secs(1))]
    pub interval: Duration,
    /// How long a poll may take before it counts as failed.
    #[builder(default = Duration::from_secs(5))]
    pub poll_timeout: Duration,
    /// How many instances of an availability zone poll.
    #[builder(default = 2)]
    pub pollers: usize,
    /// The seed of the jitter, different for each instance.
    pub seed: u64,
}

/// An input to a plan.
#[derive(Clone, Debug)]
pub enum PollEvent {
    /// A poll ended.
    Done {
        /// Whether the platform answered.
        answered: bool,
    },
    /// The live instances of the own availability zone, including this one.
    Members(Vec<InstanceId>),
    /// Time passed.
    Tick,
}

/// An output of a plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PollAction {
    /// Poll the platform now; report the result with [`PollEvent::Done`].
    Poll,
    /// Send [`PollEvent::Tick`] at this time; it replaces earlier ones.
    WakeAt(Instant),
}

/// Decides when this instance polls. At most one poll is in flight. After each failure the backoff doubles,
/// with jitter, so that the instances do not all retry at once after an outage.
#[derive(Clone, Debug)]
pub struct PollPlan {
    failures: u32,
    instance: InstanceId,
    is_poller: bool,
    next: Instant,
    random: Pcg64Mcg,
    settings: PollSettings,
    started: Option<Instant>,
    zone: ZoneId,
}

impl PollPlan {
    /// Whether this instance is one of its zone's pollers.
    pub fn is_poller(&self) -> bool {
        self.is_poller
    }

    /// The plan of an instance that knows no others yet, and therefore polls.
    pub fn new(now: Instant, zone: ZoneId, instance: InstanceId, settings: PollSettings) -> Self {
        let mut plan = Self {
            failures: 0,
            instance,
            is_poller: true,
            next: now,
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            settings,
            started: None,
            zone,
        };
        // Jitter keeps instances that start together from polling together.
        plan.next = now + plan.jitter(settings.interval);
        plan
    }

    /// Handles one event and appends the resulting actions. `now` never decreases.
    pub fn on_event(&mut self, now: Instant, event: PollEvent, actions: &mut Vec<PollAction>) {
        match event {
            PollEvent::Done { answered } => self.on_done(now, answered),
            PollEvent::Members(members) => self.on_members(now, &members),
            PollEvent::Tick => {}
        }
        self.advance(now, actions);
    }

    fn advance(&mut self, now: Instant, actions: &mut Vec<PollAction>) {
        if let Some(started) = self.started {
            let limit = started + self.settings.poll_timeout;
            if now < limit {
                actions.push(PollAction::WakeAt(limit));
                return;
            }
            self.on_done(now, false);
        }
        if !self.is_poller {
            return;
        }
        if now < self.next {
            actions.push(PollAction::WakeAt(self.next));
            return;
        }
        self.started = Some(now);
        actions.push(PollAction::Poll);
        actions.push(PollAction::WakeAt(now + self.settings.poll_timeout));
    }

    /// A uniformly distributed delay between half of `delay` and all of it.
    fn jitter(&mut self, delay: Duration) -> Duration {
        delay.mul_f64(self.random.random_range(0.5..=1.0))
    }

    fn on_done(&mut self, now: Instant, answered: bool) {
        if self.started.take().is_none() {
            return;
        }
        self.failures = match answered {
            true => 0,
            false => self.failures.saturating_add(1),
        };
        let factor = 2_u32.saturating_pow(self.failures);
        let delay = self.settings.interval.saturating_mul(factor);
        let limit = self.settings.max_backoff.max(self.settings.interval);
        self.next = now + self.jitter(delay.min(limit));
    }

    fn on_members(&mut self, now: Instant, members: &[InstanceId]) {
        let was_poller = self.is_poller;
        let own = (rendezvous_score(&self.zone, &self.instance), &self.instance);
        let ahead = members.iter().filter(|member| {
            **member != self.instance && (rendezvous_score(&self.zone, member), *member) > own
        });
        self.is_poller = ahead.count() < self.settings.pollers;
        if self.is_poller && !was_poller {
            // A poller that takes over during an outage also starts with a jittered delay.
            self.next = self.next.max(now + self.jitter(self.settings.interval));
        }
    }
}
