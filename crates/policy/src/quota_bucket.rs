//! The token bucket of one customer, as estimated by one instance.

use {
    crate::{CustomerLimit, QuotaRule, UsageRate},
    std::time::{Duration, Instant},
};

/// How long after the last exchange the usage rates of others are extrapolated.
const FORECAST_SPAN: Duration = Duration::from_millis(1_500);
/// The minimum share of a rate that an instance grants while it hears nothing from others. An instance that has just
/// started knows of no others; the callers of a customer are connected to about a dozen instances at a time.
const MIN_SHARE: f64 = 1.0 / 16.0;
/// How long a bucket counts as in use after a request.
const IN_USE_SPAN: Duration = Duration::from_secs(1);

/// Whether and since when an instance knows the usage of others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaSync {
    /// There are no other instances.
    Standalone,
    /// The time of the last exchange.
    Synced(Instant),
    /// There may be others, but there has been no exchange since this instance started.
    Unsynced,
}

/// The state of an instance that applies to all its buckets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaView {
    /// Whether it knows the usage of others.
    pub sync: QuotaSync,
    /// The fraction of the availability zones whose usage it receives.
    pub coverage: f64,
    /// How much usage beyond the limits is tolerated.
    pub rule: QuotaRule,
}

impl QuotaView {
    /// Whether the last exchange is recent enough to extrapolate from.
    fn is_fresh(&self, now: Instant) -> bool {
        matches!(self.sync, QuotaSync::Synced(synced) if now < synced + FORECAST_SPAN)
    }
}

/// A token bucket shared by all instances: known usage is subtracted, and the usage of others since the last exchange
/// is estimated.
#[derive(Clone, Copy, Debug)]
pub struct QuotaBucket {
    /// When `balance` was last updated.
    updated: Instant,
    /// The balance at that time by reported usage, units; negative when overdrawn.
    balance: f64,
    /// The estimated usage of others by then that they had not reported, units.
    assumed: i64,
    /// Rate, capacity and unit of the bucket.
    pub limit: CustomerLimit,
    /// The usage through this instance since it started, units.
    pub own_usage: i64,
    own_reported: i64,
    own_rate: UsageRate,
    others_rate: UsageRate,
    /// The usage of others, as reported, units.
    others_total: i64,
    last_use: Option<Instant>,
}

impl QuotaBucket {
    /// Creates an empty bucket for an instance that started at `started`: before a restart it may have used all there
    /// was.
    pub fn new(limit: CustomerLimit, started: Instant) -> Self {
        Self {
            limit,
            others_rate: UsageRate::default(),
            others_total: 0,
            own_usage: 0,
            own_reported: 0,
            own_rate: UsageRate::default(),
            assumed: 0,
            balance: 0.0,
            updated: started,
            last_use: None,
        }
    }

    /// Whether the customer has sent requests recently.
    pub fn is_used(&self, now: Instant) -> bool {
        self.last_use
            .is_some_and(|used| now.saturating_duration_since(used) < IN_USE_SPAN)
    }

    /// Records that the customer sent a request.
    pub fn note_use(&mut self, now: Instant) {
        self.last_use = Some(now);
    }

    /// Adopts a balance reported by another instance, from which the caller has subtracted what this one has used
    /// since.
    pub fn follow_balance(&mut self, reported: f64, now: Instant) {
        self.balance += reported - self.reported_balance(now);
    }

    /// Applies the refill up to now while there is no recent exchange; what exceeds the capacity is lost.
    pub fn settle(&mut self, view: &QuotaView, now: Instant) {
        if view.is_fresh(now) {
            return;
        }
        let refilled = self.balance + self.refill(view.sync, now) - self.unreported() as f64;
        self.balance = refilled.min(self.capacity(view, now));
        self.own_reported = self.own_usage;
        self.updated = now;
    }

    /// The balance by reported usage alone, units.
    pub fn reported_balance(&self, now: Instant) -> f64 {
        let span = now.saturating_duration_since(self.updated).as_secs_f64();
        self.balance + self.limit.rate * span - self.unreported() as f64
    }

    /// Lowers the balance to `limit` if it is higher.
    pub fn cap_balance(&mut self, limit: f64, view: &QuotaView, now: Instant) {
        let excess = self.balance(view, now) - limit;
        self.balance -= excess.max(0.0);
    }

    /// Records the total usage reported by others, and the estimate of what they have not reported.
    pub fn note_others(&mut self, total: i64, assumed: i64, view: &QuotaView, now: Instant) {
        let span = now.saturating_duration_since(self.updated);
        let others = total - self.others_total;
        let own = self.own_usage - self.own_reported;
        let refilled = self.balance + self.limit.rate * span.as_secs_f64() - (own + others) as f64;
        self.balance = refilled.min(view.rule.capacity(&self.limit) * view.coverage);
        self.own_rate.note(own, span);
        self.others_rate.note(others, span);
        self.assumed = assumed;
        self.others_total = total;
        self.own_reported = self.own_usage;
        self.updated = now;
    }

    /// The best estimate of the balance, units.
    pub fn balance(&self, view: &QuotaView, now: Instant) -> f64 {
        let taken = (self.unreported() + self.assumed) as f64;
        let refilled = self.balance + self.refill(view.sync, now) - taken;
        refilled.min(self.capacity(view, now))
    }

    /// The capacity available to this instance, units: all of it while it hears from all zones.
    pub fn capacity(&self, view: &QuotaView, now: Instant) -> f64 {
        let share = match view.sync {
            QuotaSync::Standalone => 1.0,
            QuotaSync::Synced(_) if view.is_fresh(now) => view.coverage,
            QuotaSync::Synced(_) | QuotaSync::Unsynced => self.share(view.sync),
        };
        view.rule.capacity(&self.limit) * share
    }

    /// The usage of this instance since the last update, units.
    pub fn unreported(&self) -> i64 {
        self.own_usage - self.own_reported
    }

    /// How long until `missing` units are refilled, at the rate granted to this instance.
    pub fn wait(&self, missing: f64, view: &QuotaView, now: Instant) -> Duration {
        let rate = match view.sync {
            QuotaSync::Synced(_) if view.is_fresh(now) => self.limit.rate,
            QuotaSync::Standalone => self.limit.rate,
            QuotaSync::Synced(_) | QuotaSync::Unsynced => self.limit.rate * self.share(view.sync),
        };
        Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX)
    }

    /// The refill since the last update, less the expected usage of others.
    fn refill(&self, sync: QuotaSync, now: Instant) -> f64 {
        let rate = self.limit.rate;
        let span = now.saturating_duration_since(self.updated);
        let synced = match sync {
            QuotaSync::Standalone => return rate * span.as_secs_f64(),
            QuotaSync::Synced(synced) => synced,
            QuotaSync::Unsynced => return rate * self.share(sync) * span.as_secs_f64(),
        };
        let known_until = synced + FORECAST_SPAN;
        let known = known_until
            .saturating_duration_since(self.updated)
            .min(span);
        let unknown = (span - known).as_secs_f64();
        (rate - self.others_rate.get()) * known.as_secs_f64() + rate * self.share(sync) * unknown
    }

    /// The share of the rate granted to this instance while it hears nothing: its own share of the recent usage.
    fn share(&self, sync: QuotaSync) -> f64 {
        let own = self.own_rate.get();
        let all = own + self.others_rate.get();
        match sync {
            QuotaSync::Synced(_) if all > 0.0 => (own / all).clamp(MIN_SHARE, 1.0),
            _ => MIN_SHARE,
        }
    }
}
