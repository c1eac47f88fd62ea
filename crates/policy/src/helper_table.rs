//! Which other instances can serve what this one can't. Free of I/O; times are passed in.
//!
//! An instance asks a few others, however many there are: some of its own availability zone and some of others, since a
//! whole zone may have lost the same upstreams.

use {
    crate::FleetMembers,
    kernel::{InstanceId, ServiceId, ZoneId, seeded_rng},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// How many instances of the own availability zone are asked.
const NEAR_COUNT: usize = 3;
/// How many instances of other zones are asked.
const FAR_COUNT: usize = 4;
/// The interval between two surveys of a service.
const SURVEY_INTERVAL: Duration = Duration::from_millis(500);
/// How long a report counts.
const REPORT_LIFE: Duration = Duration::from_secs(2);
/// An instance that an upstream has not answered for this long may have lost it as well.
const QUIET_AFTER: Duration = Duration::from_secs(1);
/// The cost of another availability zone, in open requests.
const FAR_COST: f64 = 3.0;
/// The cost of an instance that has heard nothing of the service lately, in open requests.
const QUIET_COST: f64 = 6.0;

/// What an instance says of itself about one service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReachReport {
    /// How long ago an upstream of the service last answered it; `None` before the first time.
    pub contact_age: Option<Duration>,
    /// Whether it can reach none of them.
    pub is_lost: bool,
    /// How many requests it serves for others.
    pub open_requests: u32,
}

#[derive(Clone, Debug)]
struct HelperRow {
    is_far: bool,
    /// Open requests of this instance there.
    open_here: u32,
    report: Option<ReachReport>,
    reported_at: Instant,
}

#[derive(Clone, Debug, Default)]
struct ServiceHelpers {
    asked_at: Option<Instant>,
    helpers: BTreeMap<InstanceId, HelperRow>,
    /// The instances that have not answered the survey yet.
    pending: BTreeSet<InstanceId>,
    /// The number of surveys that found nobody, to ask others next time.
    vain_surveys: usize,
}

/// The helpers known to one instance, by service.
#[derive(Clone, Debug, Default)]
pub struct HelperTable {
    services: BTreeMap<ServiceId, ServiceHelpers>,
}

impl HelperTable {
    /// Chooses an instance for a request; `tried` are excluded. `None` while no instance is known to reach the service.
    pub fn choose(
        &self,
        service: &ServiceId,
        request: &str,
        tried: &[InstanceId],
        now: Instant,
    ) -> Option<InstanceId> {
        let helpers = &self.services.get(service)?.helpers;
        let mut best: Option<(f64, &InstanceId)> = None;
        for (instance, row) in helpers {
            if tried.contains(instance) {
                continue;
            }
            let Some(cost) = row.cost(now) else {
                continue;
            };
            let tie = seeded_rng::rendezvous_score(request, instance) as f64 / u64::MAX as f64;
            let cost = cost + tie;
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, instance));
            }
        }
        best.map(|(_, instance)| instance.clone())
    }

    /// The instances to ask about a service; empty until the next survey is due.
    pub fn begin_survey(
        &mut self,
        service: &ServiceId,
        own: (&InstanceId, &ZoneId),
        fleet: &FleetMembers,
        now: Instant,
    ) -> Vec<InstanceId> {
        let known = self.services.entry(service.clone()).or_default();
        let is_due = known
            .asked_at
            .is_none_or(|at| now.saturating_duration_since(at) >= SURVEY_INTERVAL);
        if !is_due {
            return Vec::new();
        }
        if known.asked_at.is_some() && !known.has_reachable(now) {
            known.vain_surveys += 1;
        }
        known.asked_at = Some(now);
        known.pending.clear();
        let (near, far) = ordered_others(own, fleet);
        let mut asked = rotated(near, NEAR_COUNT, known.vain_surveys);
        let near_count = asked.len();
        asked.extend(rotated(far, FAR_COUNT, known.vain_surveys));
        known
            .helpers
            .retain(|instance, row| row.open_here > 0 || asked.contains(instance));
        for (index, instance) in asked.iter().enumerate() {
            known.pending.insert(instance.clone());
            let row = known.helpers.entry(instance.clone());
            row.or_insert(HelperRow {
                is_far: index >= near_count,
                open_here: 0,
                report: None,
                reported_at: now,
            });
        }
        asked
    }

    /// Whether an answer to the last survey is still to come.
    pub fn has_pending(&self, service: &ServiceId) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|known| !known.pending.is_empty())
    }

    /// Records that an instance did not serve a request: it is not chosen before its next report.
    pub fn note_failure(&mut self, service: &ServiceId, instance: &InstanceId) {
        if let Some(row) = self.row(service, instance) {
            row.report = None;
        }
    }

    /// Records what an instance reported; `None` when it did not answer.
    pub fn note_report(
        &mut self,
        service: &ServiceId,
        instance: &InstanceId,
        report: Option<ReachReport>,
        now: Instant,
    ) {
        if let Some(known) = self.services.get_mut(service) {
            known.pending.remove(instance);
        }
        if let Some(row) = self.row(service, instance) {
            row.report = report;
            row.reported_at = now;
        }
    }

    /// Records that a request is forwarded to an instance.
    pub fn begin(&mut self, service: &ServiceId, instance: &InstanceId) {
        if let Some(row) = self.row(service, instance) {
            row.open_here += 1;
        }
    }

    /// Records the end of a forwarded request.
    pub fn end(&mut self, service: &ServiceId, instance: &InstanceId) {
        if let Some(row) = self.row(service, instance) {
            row.open_here = row.open_here.saturating_sub(1);
        }
    }

    fn row(&mut self, service: &ServiceId, instance: &InstanceId) -> Option<&mut HelperRow> {
        self.services.get_mut(service)?.helpers.get_mut(instance)
    }
}

impl ServiceHelpers {
    fn has_reachable(&self, now: Instant) -> bool {
        self.helpers.values().any(|row| row.cost(now).is_some())
    }
}

impl HelperRow {
    /// The cost of forwarding to the instance, in open requests; `None` if it can't help.
    fn cost(&self, now: Instant) -> Option<f64> {
        let report = self.report.filter(|report| !report.is_lost)?;
        let age = now.saturating_duration_since(self.reported_at);
        if age > REPORT_LIFE {
            return None;
        }
        let mut cost = f64::from(self.open_here.max(report.open_requests));
        if self.is_far {
            cost += FAR_COST;
        }
        if report
            .contact_age
            .is_none_or(|contact| contact > QUIET_AFTER)
        {
            cost += QUIET_COST;
        }
        Some(cost)
    }
}

/// The other instances of the own zone and of other zones, each in an order that differs between instances, so that not
/// all ask the same ones.
fn ordered_others(
    own: (&InstanceId, &ZoneId),
    fleet: &FleetMembers,
) -> (Vec<InstanceId>, Vec<InstanceId>) {
    let (instance, zone) = own;
    let mut others: Vec<_> = fleet
        .iter()
        .filter(|member| member.instance != *instance)
        .collect();
    others.sort_by_key(|member| seeded_rng::rendezvous_score(instance, &member.instance));
    let (near, far): (Vec<_>, Vec<_>) = others.into_iter().partition(|member| member.zone == *zone);
    let names = |members: Vec<&crate::FleetMember>| {
        let names = members.into_iter().map(|member| member.instance.clone());
        names.collect()
    };
    (names(near), names(far))
}

/// Up to `count` instances, others at each further survey.
fn rotated(instances: Vec<InstanceId>, count: usize, surveys: usize) -> Vec<InstanceId> {
    let skipped = surveys * count % instances.len().max(1);
    let chosen = instances.iter().cycle().skip(skipped);
    chosen.take(count.min(instances.len())).cloned().collect()
}
