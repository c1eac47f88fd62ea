//! The crashes during which one suspect ran.

use {
    crate::CrashMark,
    kernel::UpstreamId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The score of a crash soon after the request started.
const EARLY_POINTS: u32 = 3;
/// The score of a later crash: a stream that has run for seconds is more likely a bystander than the cause.
const LATE_POINTS: u32 = 2;
/// The score at which a suspect is convicted: three early crashes, or five late ones. A caller that retries once causes
/// two at most.
const CONVICTION_POINTS: u32 = 9;
/// The score at which a part of prompts is convicted even if its crashes came in close succession.
const BURST_POINTS: u32 = 15;
/// The least score of the crashes that no other convicted suspect explains.
const UNEXPLAINED_POINTS: u32 = 6;
/// The same where suspects that are accused but not convicted explain crashes too: more often than convicted ones they
/// are bystanders.
const UNEXPLAINED_POINTS_OF_ACCUSED: u32 = EARLY_POINTS;
/// Upstreams that crash within this time of each other may have a common cause, such as a rack that lost power.
const BURST: Duration = Duration::from_millis(500);

/// The crashes of one suspect, by upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashEntry {
    pub(crate) crashes: BTreeMap<UpstreamId, UpstreamCrash>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct UpstreamCrash {
    pub(crate) mark: CrashMark,
    pub(crate) since: Instant,
}

impl CrashEntry {
    /// Whether the score suffices for a conviction. Many requests share a part of their prompts, so upstreams that crash
    /// together count once against it; a request runs at one upstream after the other.
    pub(crate) fn is_convicted(&self, is_shared: bool) -> bool {
        match is_shared {
            true => self.spread_points() >= CONVICTION_POINTS || self.points() >= BURST_POINTS,
            false => self.points() >= CONVICTION_POINTS,
        }
    }

    /// Whether the score suffices for a conviction apart from upstreams that crashed together, and each crash came early.
    /// Such a suspect may have caused them, although no request is refused for it.
    pub(crate) fn is_accused(&self) -> bool {
        let mut marks = self.crashes.values().map(|crash| crash.mark);
        self.points() >= CONVICTION_POINTS && !marks.any(|mark| mark == CrashMark::Late)
    }

    /// Whether other suspects leave too few crashes to suspect this one: the convicted ones, or all that are accused.
    pub(crate) fn is_explained(&self, convicted: &[&Self], accused: &[&Self]) -> bool {
        self.unexplained(convicted) < UNEXPLAINED_POINTS
            || self.unexplained(accused) < UNEXPLAINED_POINTS_OF_ACCUSED
    }

    /// The time until the remaining reports no longer suffice for a conviction; `None` when they do not now.
    pub(crate) fn remaining(&self, ttl: Duration, now: Instant) -> Option<Duration> {
        let mut crashes: Vec<UpstreamCrash> = self.crashes.values().copied().collect();
        // Latest first: the quarantine lasts until the report that completes the score expires.
        crashes.sort_by_key(|crash| std::cmp::Reverse(crash.since));
        let mut points = 0;
        for crash in crashes {
            points += crash.mark.points();
            if points >= CONVICTION_POINTS {
                let left = (crash.since + ttl).saturating_duration_since(now);
                return (!left.is_zero()).then_some(left);
            }
        }
        None
    }

    /// The time of the latest crash.
    pub(crate) fn latest(&self) -> Option<Instant> {
        self.crashes.values().map(|crash| crash.since).max()
    }

    fn ran_at(&self, upstream: &UpstreamId) -> bool {
        let crash = self.crashes.get(upstream);
        crash.is_some_and(|crash| crash.mark != CrashMark::Cleared)
    }

    /// The score of the crashes at upstreams where none of `others` ran.
    fn unexplained(&self, others: &[&Self]) -> u32 {
        let is_open = |upstream: &UpstreamId| !others.iter().any(|other| other.ran_at(upstream));
        let open = self
            .crashes
            .iter()
            .filter(|(upstream, _)| is_open(upstream));
        open.map(|(_, crash)| crash.mark.points()).sum()
    }

    fn points(&self) -> u32 {
        let crashes = self.crashes.values();
        crashes.map(|crash| crash.mark.points()).sum()
    }

    /// The score where upstreams that crashed together count once.
    fn spread_points(&self) -> u32 {
        let crashes = self.crashes.values();
        let mut crashes: Vec<&UpstreamCrash> = crashes
            .filter(|crash| crash.mark != CrashMark::Cleared)
            .collect();
        crashes.sort_by_key(|crash| crash.since);
        let mut points = 0;
        let mut burst: Option<(Instant, u32)> = None;
        for crash in crashes {
            let score = crash.mark.points();
            match &mut burst {
                Some((began, highest)) if crash.since < *began + BURST => {
                    points += score.saturating_sub(*highest);
                    *highest = score.max(*highest);
                }
                _ => {
                    points += score;
                    burst = Some((crash.since, score));
                }
            }
        }
        points
    }
}

impl CrashMark {
    fn points(self) -> u32 {
        match self {
            Self::Cleared => 0,
            Self::Early => EARLY_POINTS,
            Self::Late => LATE_POINTS,
        }
    }
}
