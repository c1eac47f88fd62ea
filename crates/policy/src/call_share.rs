//! The share of one instance in the rate of calls that an upstream accepts.
//!
//! A few instances, the regular callers, use nearly all of the rate, evenly spaced. Their number follows the rate, so that
//! a small one is not divided into parts which nobody could use. All others get a short turn now and then: it shows them
//! whether the limit still holds, also when they hear nothing from other instances.

use {
    crate::{CallRate, FleetMembers, TurnClock},
    kernel::{InstanceId, UpstreamId, ZoneId, seeded_rng},
    std::time::{Duration, Instant},
};

/// The part of the rate that the regular callers use. The rest covers instances whose views of the fleet differ.
const REGULAR_SHARE: f64 = 0.7;
/// The part of the rate for the turns of all others.
const TURN_SHARE: f64 = 0.1;
/// The longest interval between calls or turns.
const MAX_INTERVAL: Duration = Duration::from_secs(86_400);
/// When to ask again while the other instances are not known.
const UNKNOWN_WAIT: Duration = Duration::from_secs(1);

/// When this instance may call the upstream.
#[derive(Clone, Copy, Debug)]
pub enum CallShare {
    /// At most one call in each interval.
    Regular {
        /// The interval.
        interval: Duration,
        /// When the next call is due.
        next: Instant,
    },
    /// One short turn in each period.
    Turns {
        /// The turns.
        clock: TurnClock,
        /// Where in the period the turns begin, 0 to 1.
        offset: f64,
        /// The period.
        period: Duration,
    },
    /// Never, since the other instances are not known.
    Unknown,
}

impl CallShare {
    /// The share of an instance. `before` is its share by an earlier rate or an earlier view of the fleet.
    pub fn new(
        instance: &InstanceId,
        upstream: (&UpstreamId, &ZoneId),
        rate: CallRate,
        fleet: &FleetMembers,
        before: Option<Self>,
        now: Instant,
    ) -> Self {
        let (id, zone) = upstream;
        let Some(position) = fleet.position(instance, id, zone) else {
            return Self::Unknown;
        };
        let rate = rate.per_second();
        let regular_count = (rate.ceil() as usize + 1).min(fleet.count());
        if position < regular_count {
            let interval = interval(regular_count, rate * REGULAR_SHARE);
            let due = now + interval;
            let next = match before {
                Some(Self::Regular { next, .. }) => next.min(due),
                _ => due,
            };
            return Self::Regular { interval, next };
        }
        let clock = match before {
            Some(Self::Turns { clock, .. }) => clock,
            _ => TurnClock::new(now),
        };
        Self::Turns {
            clock,
            offset: seeded_rng::rendezvous_score(id, instance) as f64 / u64::MAX as f64,
            period: interval(fleet.count(), rate * TURN_SHARE),
        }
    }

    /// Records a call.
    pub fn note_call(&mut self, now: Instant) {
        match self {
            Self::Regular { interval, next } => *next = (*next).max(now) + *interval,
            Self::Turns { clock, .. } => clock.note_call(now),
            Self::Unknown => {}
        }
    }

    /// The label in the state dump.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Regular { .. } => "regular",
            Self::Turns { .. } => "turns",
            Self::Unknown => "unknown",
        }
    }

    /// The interval between calls or turns; `None` while there are none.
    pub fn interval(&self) -> Option<Duration> {
        match self {
            Self::Regular { interval, .. } => Some(*interval),
            Self::Turns { period, .. } => Some(*period),
            Self::Unknown => None,
        }
    }

    /// The time until the next call is allowed; zero when it is now.
    pub fn wait(&self, now: Instant) -> Duration {
        match self {
            Self::Regular { next, .. } => next.saturating_duration_since(now),
            Self::Turns {
                clock,
                offset,
                period,
            } => clock.wait(*period, *offset, now),
            Self::Unknown => UNKNOWN_WAIT,
        }
    }
}

/// The interval at which each of `count` instances calls when they share a rate.
fn interval(count: usize, rate: f64) -> Duration {
    let seconds = count as f64 / rate;
    Duration::from_secs_f64(seconds.min(MAX_INTERVAL.as_secs_f64()))
}
