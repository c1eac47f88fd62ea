//! Whether this instance reaches the upstreams of each service. Free of I/O; times are passed in.
//!
//! One upstream without an answer may be slow, full or dead. Only when all that were called since the last answer of any
//! of them gave none, the fault may be on this instance's side. Connection attempts then confirm or refute it.

use {
    kernel::{ServiceId, UpstreamId},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// The number of upstreams that gave no answer before connection attempts are made; fewer if a service has fewer.
const SUSPECT_COUNT: usize = 2;
/// The minimum interval between two series of connection attempts, since new connections are costly.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A change of whether a service is reachable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReachChange {
    /// None of its upstreams can be reached.
    Lost,
    /// An upstream answered after it was lost for this long.
    Regained(Duration),
}

#[derive(Clone, Debug, Default)]
struct ServiceReach {
    checked_at: Option<Instant>,
    contacted_at: Option<Instant>,
    lost_since: Option<Instant>,
    /// The upstreams that gave no answer since the last contact.
    silent: BTreeSet<UpstreamId>,
}

/// The services of one instance.
#[derive(Clone, Debug, Default)]
pub struct ReachTable {
    services: BTreeMap<ServiceId, ServiceReach>,
}

impl ReachTable {
    /// Whether no upstream of a service can be reached.
    pub fn is_lost(&self, service: &ServiceId) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(|reach| reach.lost_since.is_some())
    }

    /// The number of lost services.
    pub fn lost_count(&self) -> usize {
        let services = self.services.values();
        services.filter(|reach| reach.lost_since.is_some()).count()
    }

    /// When an upstream of a service last answered; `None` before the first time.
    pub fn last_contact(&self, service: &ServiceId) -> Option<Instant> {
        self.services.get(service)?.contacted_at
    }

    /// Records that an upstream answered or accepted a connection.
    pub fn note_contact(&mut self, service: &ServiceId, now: Instant) -> Option<ReachChange> {
        let reach = self.services.entry(service.clone()).or_default();
        reach.contacted_at = Some(now);
        reach.silent.clear();
        let since = reach.lost_since.take()?;
        Some(ReachChange::Regained(now.saturating_duration_since(since)))
    }

    /// Records that an upstream accepted no connection or gave no answer; `count` is the number of upstreams that could
    /// have been called in its place, itself included. Returns whether connection attempts should show if the service is reachable.
    #[must_use]
    pub fn note_silence(
        &mut self,
        service: &ServiceId,
        upstream: &UpstreamId,
        count: usize,
        now: Instant,
    ) -> bool {
        let reach = self.services.entry(service.clone()).or_default();
        reach.silent.insert(upstream.clone());
        let is_suspect = reach.silent.len() >= SUSPECT_COUNT.min(count);
        let is_due = reach
            .checked_at
            .is_none_or(|at| now.saturating_duration_since(at) >= CHECK_INTERVAL);
        if reach.lost_since.is_some() || !is_suspect || !is_due {
            return false;
        }
        reach.checked_at = Some(now);
        true
    }

    /// Records that all connection attempts begun at `began` failed. An answer that arrived meanwhile counts more.
    pub fn note_check_failed(
        &mut self,
        service: &ServiceId,
        began: Instant,
        now: Instant,
    ) -> Option<ReachChange> {
        let reach = self.services.entry(service.clone()).or_default();
        let was_contacted = reach.contacted_at.is_some_and(|at| at >= began);
        if was_contacted || reach.lost_since.is_some() {
            return None;
        }
        reach.lost_since = Some(now);
        Some(ReachChange::Lost)
    }
}
