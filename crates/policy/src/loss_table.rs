//! Runs lost with their connections, until it is known whether their upstreams crashed. Free of I/O; times are passed
//! in.
//!
//! A connection may be reset or an answer break off while the upstream is healthy, which says nothing about the
//! request. The upstream is therefore probed first: if it refuses connections it has crashed, and each run lost there
//! is reported.

use {
    crate::{CrashMark, CrashReport, SuspectId, SuspectSet},
    kernel::UpstreamId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// A crash within this time after the start of a run is early. A request that crashes its upstream does so within the
/// time to the first token, or the duration of a plain call. Most bystanders have started earlier, since streams last
/// for seconds.
const EARLY_CRASH: Duration = Duration::from_secs(1);
/// How long losses at one upstream are kept: when it crashes, all its connections break within a short time.
const LOSS_TTL: Duration = Duration::from_secs(10);

/// A run whose connection was lost before the end of its answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostRun {
    /// The request that ran, with the parts of its prompt.
    pub suspects: SuspectSet,
    /// Whether a part of its answer had arrived.
    pub has_answered: bool,
    /// The time from its start to the loss.
    pub ran: Duration,
}

/// What the caller has to do about a loss.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LossAction {
    /// The upstream is known to have crashed: report this run.
    Report(LostRun),
    /// Probe the upstream, and pass the result to [`LossTable::note_probe`].
    Probe,
    /// Nothing: a probe is in progress.
    AwaitProbe,
}

/// The result of connecting to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// It accepted the connection.
    Accepted,
    /// It refused the connection: no process listens there.
    Refused,
    /// No reply: it may be unreachable.
    NoAnswer,
}

/// The recent losses, by upstream.
#[derive(Clone, Debug, Default)]
pub struct LossTable {
    losses: BTreeMap<UpstreamId, UpstreamLosses>,
}

#[derive(Clone, Debug)]
struct UpstreamLosses {
    has_crashed: bool,
    runs: Vec<LostRun>,
    since: Instant,
}

impl LossTable {
    /// Records the result of a probe. Returns the runs to report: all that were lost, if the upstream has crashed.
    pub fn note_probe(&mut self, upstream: &UpstreamId, outcome: ProbeOutcome) -> Vec<LostRun> {
        if outcome != ProbeOutcome::Refused {
            self.losses.remove(upstream);
            return Vec::new();
        }
        let Some(losses) = self.losses.get_mut(upstream) else {
            return Vec::new();
        };
        losses.has_crashed = true;
        std::mem::take(&mut losses.runs)
    }

    /// Records a lost run.
    pub fn note(&mut self, upstream: &UpstreamId, run: LostRun, now: Instant) -> LossAction {
        self.losses
            .retain(|_, losses| now.saturating_duration_since(losses.since) < LOSS_TTL);
        let Some(losses) = self.losses.get_mut(upstream) else {
            let losses = UpstreamLosses {
                has_crashed: false,
                runs: vec![run],
                since: now,
            };
            self.losses.insert(upstream.clone(), losses);
            return LossAction::Probe;
        };
        if losses.has_crashed {
            return LossAction::Report(run);
        }
        losses.runs.push(run);
        LossAction::AwaitProbe
    }
}

impl ProbeOutcome {
    /// The label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Accepted => "answers",
            Self::Refused => "ended",
            Self::NoAnswer => "silent",
        }
    }
}

impl LostRun {
    /// The report that a suspect of this run was at an upstream when that crashed.
    pub fn report(&self, suspect: SuspectId, upstream: &UpstreamId) -> CrashReport {
        CrashReport {
            mark: self.mark(),
            suspect,
            upstream: upstream.clone(),
        }
    }

    /// How strongly a crash suggests that this run caused it. A run without output may have been queued: it has hardly
    /// started, however long ago it was sent.
    pub fn mark(&self) -> CrashMark {
        match !self.has_answered || self.ran <= EARLY_CRASH {
            true => CrashMark::Early,
            false => CrashMark::Late,
        }
    }
}
