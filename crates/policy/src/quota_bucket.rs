//! The bucket of one customer, as one instance sees it.

use {
    crate::{CustomerLimit, QuotaRule, UsageRate},
    std::time::{Duration, Instant},
};

/// How long after the last exchange others are taken to go on as they did.
const FORECAST_SPAN: Duration = Duration::from_millis(1_500);
/// The part of a rate that an instance without news gives by itself, at least. An instance of many that has just started
/// knows of nobody; a customer's callers have connections to about a dozen instances at a time.
const BLIND_SHARE: f64 = 1.0 / 16.0;
/// How long a bucket counts as in use after a request.
const USE_SPAN: Duration = Duration::from_secs(1);

/// Since when, and whether at all, an instance knows what others use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaSync {
    /// There are no others.
    Standalone,
    /// The last exchange was at this moment.
    Synced(Instant),
    /// There may be others, of whom nothing was heard in this life.
    Unsynced,
}

/// How an instance sees all buckets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaView {
    /// Whether it knows what others use.
    pub sync: QuotaSync,
    /// The part of the zones that it hears of.
    pub coverage: f64,
    /// What the operators allow beyond limits.
    pub rule: QuotaRule,
}

impl QuotaView {
    /// Whether others were heard of lately.
    fn is_fresh(&self, now: Instant) -> bool {
        matches!(self.sync, QuotaSync::Synced(heard) if now < heard + FORECAST_SPAN)
    }
}

/// A bucket: what all have used is taken out as far as it is known, and what others use meanwhile is estimated.
#[derive(Clone, Copy, Debug)]
pub struct QuotaBucket {
    /// When it was last set by what others told.
    since: Instant,
    /// What was in it then by what was told, units; below 0 when more was used than there was.
    balance: f64,
    /// What others were taken to have used by then beyond what they had told, units.
    assumed: i64,
    /// The limit.
    pub limit: CustomerLimit,
    /// What this life of the instance has used, units.
    pub own_usage: i64,
    own_before: i64,
    own_rate: UsageRate,
    others_rate: UsageRate,
    /// What others have used, as far as it was told.
    others_total: i64,
    last_use: Option<Instant>,
}

impl QuotaBucket {
    /// An empty bucket of an instance that began at `born`: lives before it may have used all there was.
    pub fn new(limit: CustomerLimit, born: Instant) -> Self {
        Self {
            limit,
            others_rate: UsageRate::default(),
            others_total: 0,
            own_usage: 0,
            own_before: 0,
            own_rate: UsageRate::default(),
            assumed: 0,
            balance: 0.0,
            since: born,
            last_use: None,
        }
    }

    /// Whether requests of the customer came in lately.
    pub fn is_used(&self, now: Instant) -> bool {
        self.last_use
            .is_some_and(|used| now.saturating_duration_since(used) < USE_SPAN)
    }

    /// A request of the customer came in.
    pub fn note_use(&mut self, now: Instant) {
        self.last_use = Some(now);
    }

    /// Goes by what another instance has in the bucket by what it was told, less what this one has used since.
    pub fn follow_balance(&mut self, told: f64, now: Instant) {
        self.balance += told - self.reported_balance(now);
    }

    /// Takes in what came in meanwhile, while nobody tells anything: what a full bucket could not hold is lost.
    pub fn settle(&mut self, view: &QuotaView, now: Instant) {
        if view.is_fresh(now) {
            return;
        }
        let filled = self.balance + self.gain(view.sync, now) - self.unreported() as f64;
        self.balance = filled.min(self.capacity(view, now));
        self.own_before = self.own_usage;
        self.since = now;
    }

    /// What is in the bucket by what was told, units.
    pub fn reported_balance(&self, now: Instant) -> f64 {
        let span = now.saturating_duration_since(self.since).as_secs_f64();
        self.balance + self.limit.rate * span - self.unreported() as f64
    }

    /// There is no more in the bucket than this.
    pub fn cap_balance(&mut self, most: f64, view: &QuotaView, now: Instant) {
        let excess = self.balance(view, now) - most;
        self.balance -= excess.max(0.0);
    }

    /// What others have used in all is told, and what they are taken to have used beyond that.
    pub fn note_others(&mut self, total: i64, assumed: i64, view: &QuotaView, now: Instant) {
        let span = now.saturating_duration_since(self.since);
        let others = total - self.others_total;
        let own = self.own_usage - self.own_before;
        let filled = self.balance + self.limit.rate * span.as_secs_f64() - (own + others) as f64;
        self.balance = filled.min(view.rule.capacity(&self.limit) * view.coverage);
        self.own_rate.note(own, span);
        self.others_rate.note(others, span);
        self.assumed = assumed;
        self.others_total = total;
        self.own_before = self.own_usage;
        self.since = now;
    }

    /// What is in the bucket, units, by the best estimate.
    pub fn balance(&self, view: &QuotaView, now: Instant) -> f64 {
        let taken = (self.unreported() + self.assumed) as f64;
        let filled = self.balance + self.gain(view.sync, now) - taken;
        filled.min(self.capacity(view, now))
    }

    /// The most that the bucket holds for this instance, units: all of it while it hears of all others.
    pub fn capacity(&self, view: &QuotaView, now: Instant) -> f64 {
        let part = match view.sync {
            QuotaSync::Standalone => 1.0,
            QuotaSync::Synced(_) if view.is_fresh(now) => view.coverage,
            QuotaSync::Synced(_) | QuotaSync::Unsynced => self.share(view.sync),
        };
        view.rule.capacity(&self.limit) * part
    }

    /// What this instance has used since others told last, units.
    pub fn unreported(&self) -> i64 {
        self.own_usage - self.own_before
    }

    /// How long until there is room for so much, units; at the rate that this instance may count on.
    pub fn wait(&self, missing: f64, view: &QuotaView, now: Instant) -> Duration {
        let rate = match view.sync {
            QuotaSync::Synced(_) if view.is_fresh(now) => self.limit.rate,
            QuotaSync::Standalone => self.limit.rate,
            QuotaSync::Synced(_) | QuotaSync::Unsynced => self.limit.rate * self.share(view.sync),
        };
        Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX)
    }

    /// What came in since the bucket was set, less what others are expected to have used.
    fn gain(&self, sync: QuotaSync, now: Instant) -> f64 {
        let rate = self.limit.rate;
        let span = now.saturating_duration_since(self.since);
        let heard = match sync {
            QuotaSync::Standalone => return rate * span.as_secs_f64(),
            QuotaSync::Synced(heard) => heard,
            QuotaSync::Unsynced => return rate * self.share(sync) * span.as_secs_f64(),
        };
        let known_until = heard + FORECAST_SPAN;
        let known = known_until.saturating_duration_since(self.since).min(span);
        let blind = (span - known).as_secs_f64();
        (rate - self.others_rate.get()) * known.as_secs_f64() + rate * self.share(sync) * blind
    }

    /// The part of the rate that is this instance's while it hears nothing: that of the use which was its own.
    fn share(&self, sync: QuotaSync) -> f64 {
        let own = self.own_rate.get();
        let all = own + self.others_rate.get();
        match sync {
            QuotaSync::Synced(_) if all > 0.0 => (own / all).clamp(BLIND_SHARE, 1.0),
            _ => BLIND_SHARE,
        }
    }
}
