//! Those that tell an instance what others have used, and what is assumed while they are silent.

use {
    crate::{UsageRate, UsageTotals},
    kernel::CustomerId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// A zone that was heard of so long ago is taken to use its part of the rate, whatever it really uses.
const ZONE_SILENCE: Duration = Duration::from_millis(1_500);
/// While another instance is asked than before, what was usual is counted for so long at most.
const LONGEST_GAP: Duration = Duration::from_millis(1_500);
/// The part of a rate that zones which are cut off share equally, whoever used it before.
const NEWCOMER_PART: f64 = 0.25;

/// One that tells what others have used.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemoteUsage {
    pub(crate) heard: Option<Instant>,
    pub(crate) rates: BTreeMap<CustomerId, UsageRate>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneUsage {
    /// What it is taken to have used since it was last heard, beyond what was counted.
    pub(crate) assumed: BTreeMap<CustomerId, f64>,
    pub(crate) assumed_until: Option<Instant>,
    /// What was counted for it while it was cut off.
    pub(crate) counted: UsageTotals,
    /// Whether its first instance gave no answer when it was asked last.
    pub(crate) is_silent: bool,
    /// What part of the use of all it had when it was heard last.
    pub(crate) parts: BTreeMap<CustomerId, f64>,
    pub(crate) source: RemoteUsage,
}

impl RemoteUsage {
    /// What is used of a customer's quota a second, usually.
    pub(crate) fn rate(&self, customer: &CustomerId) -> f64 {
        let rate = self.rates.get(customer);
        rate.copied().unwrap_or_default().get()
    }

    /// What was used since it was heard last. While nobody can tell, since another instance is asked now, what is usual.
    pub(crate) fn take(&mut self, news: Option<UsageTotals>, now: Instant) -> UsageTotals {
        let heard = self.heard.replace(now);
        let span = heard.map(|heard| now.saturating_duration_since(heard));
        let Some(news) = news else {
            let span = span.unwrap_or_default().min(LONGEST_GAP).as_secs_f64();
            let rates = self.rates.iter();
            let usual =
                rates.map(|(customer, rate)| (customer.clone(), (rate.get() * span) as i64));
            return usual.collect();
        };
        if let Some(span) = span {
            for customer in news.keys() {
                self.rates.entry(customer.clone()).or_default();
            }
            for (customer, rate) in &mut self.rates {
                rate.note(news.get(customer).copied().unwrap_or_default(), span);
            }
        }
        news
    }
}

impl ZoneUsage {
    /// Whether nothing was heard of the zone for long.
    pub(crate) fn is_cut(&self, now: Instant) -> bool {
        let heard = self.source.heard;
        self.is_silent || heard.is_none_or(|heard| now >= heard + ZONE_SILENCE)
    }

    /// The part of a customer's rate that the zone has while it is cut off: mostly that of the use, and a little for callers
    /// who come to it from elsewhere. The parts of all zones are one.
    pub(crate) fn cut_part(&self, customer: &CustomerId, zones: usize) -> f64 {
        let equal = 1.0 / zones as f64;
        match self.parts.get(customer) {
            Some(part) => (1.0 - NEWCOMER_PART) * part + NEWCOMER_PART * equal,
            None => equal,
        }
    }

    /// What of the time since the zone told something was not counted for yet, in seconds.
    pub(crate) fn untold_span(&mut self, now: Instant) -> Option<f64> {
        let heard = self.source.heard?;
        let from = self.assumed_until.unwrap_or(heard);
        if now <= from {
            return None;
        }
        self.assumed_until = Some(now);
        Some((now - from).as_secs_f64())
    }
}
