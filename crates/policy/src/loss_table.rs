//! Runs that were lost with their connections, until it is known whether their upstreams ended. No I/O and no clock.
//!
//! A connection may be reset, or an answer break off, while its upstream is well; nothing can be said of the request then. So
//! the upstream is asked first: one that refuses connections has ended, and each run that it lost is reported.

use {
    crate::{CrashMark, CrashReport, RequestFingerprint},
    kernel::UpstreamId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// What brings its upstream down does so soon after it begins: within the time to the first token, or the work of a plain
/// call. Of the others that run there most have begun earlier: streams last for seconds.
const EARLY_END: Duration = Duration::from_secs(1);
/// How long losses at one upstream are remembered: the connections of one that ended break within moments of each other.
const MEMORY: Duration = Duration::from_secs(10);

/// A run that was lost.
#[derive(Clone, Copy, Debug)]
pub struct LostRun {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Whether something of its answer had come.
    pub has_answered: bool,
    /// How long it had run.
    pub ran: Duration,
}

/// What to do about a loss.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LossAction {
    /// The upstream is known to have ended.
    Report(CrashReport),
    /// Find out whether the upstream ended.
    Probe,
    /// It is being found out.
    AwaitProbe,
}

/// What an upstream does with a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// It takes it.
    Accepted,
    /// Nobody listens there any more.
    Refused,
    /// Nothing came back: it may be out of reach.
    NoAnswer,
}

/// The losses by upstream.
#[derive(Clone, Debug, Default)]
pub struct LossTable {
    losses: BTreeMap<UpstreamId, UpstreamLosses>,
}

#[derive(Clone, Debug)]
struct UpstreamLosses {
    has_ended: bool,
    runs: Vec<LostRun>,
    since: Instant,
}

impl LossTable {
    /// An upstream was examined; gives a report of each run that it lost if it has ended.
    pub fn note_probe(&mut self, upstream: &UpstreamId, reach: ProbeOutcome) -> Vec<CrashReport> {
        if reach != ProbeOutcome::Refused {
            self.losses.remove(upstream);
            return Vec::new();
        }
        let Some(losses) = self.losses.get_mut(upstream) else {
            return Vec::new();
        };
        losses.has_ended = true;
        let runs = std::mem::take(&mut losses.runs);
        runs.iter().map(|run| report(upstream, run)).collect()
    }

    /// A run was lost.
    pub fn note(&mut self, upstream: &UpstreamId, run: LostRun, now: Instant) -> LossAction {
        self.losses
            .retain(|_, losses| now.saturating_duration_since(losses.since) < MEMORY);
        let Some(losses) = self.losses.get_mut(upstream) else {
            let losses = UpstreamLosses {
                has_ended: false,
                runs: vec![run],
                since: now,
            };
            self.losses.insert(upstream.clone(), losses);
            return LossAction::Probe;
        };
        if losses.has_ended {
            return LossAction::Report(report(upstream, &run));
        }
        losses.runs.push(run);
        LossAction::AwaitProbe
    }
}

impl ProbeOutcome {
    /// The word for it in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Accepted => "answers",
            Self::Refused => "ended",
            Self::NoAnswer => "silent",
        }
    }
}

fn report(upstream: &UpstreamId, run: &LostRun) -> CrashReport {
    CrashReport {
        fingerprint: run.fingerprint,
        // What has given nothing yet may have waited for its turn: it has hardly begun, however long ago it was sent.
        mark: match !run.has_answered || run.ran <= EARLY_END {
            true => CrashMark::Early,
            false => CrashMark::Late,
        },
        upstream: upstream.clone(),
    }
}
