//! Connects the request path with the membership.

use {
    crate::{admin::ReadinessState, entry::AllocatorFactory},
    flow::{CellHub, CellTable, GrantRouter, LifeView, MemberView, UpstreamRegistry},
    kernel::{Incarnation, InstanceId, LockRank, RankedLock, UpstreamId, ZoneId},
    peer::{ListedMember, MemberState, MemberUpdate, PeerDriver},
    plat::{InstanceKind, InstanceRecord, InstanceState},
    route::load_report::LeavingCause,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{broadcast::error::RecvError, watch},
        time,
    },
};

/// After this time an incarnation without a record counts as gone; until then its record may still arrive.
const UNKNOWN_INCARNATION_TIMEOUT: Duration = Duration::from_secs(3);
/// How often marks are exchanged between the registry and the membership.
const MARK_INTERVAL: Duration = Duration::from_millis(200);
/// How often a mark that still applies is renewed; well below the lifetime of a mark.
const MARK_REFRESH_INTERVAL: Duration = Duration::from_secs(20);

/// The incarnations that are not known to run.
#[derive(Default)]
struct LostIncarnations {
    /// By instance: all incarnations before this one are gone.
    gone: BTreeMap<InstanceId, Incarnation>,
    /// Incarnations without a record, with the time when one was first looked up.
    unknown: BTreeMap<(InstanceId, Incarnation), Instant>,
}

/// The membership as the request path sees it.
pub struct MemberWatch {
    registry: Arc<UpstreamRegistry>,
    driver: Arc<PeerDriver>,
    lost: RankedLock<LostIncarnations>,
    zone: ZoneId,
}

impl MemberWatch {
    /// Creates a watch over a running membership, for an instance in `zone`.
    pub fn new(registry: Arc<UpstreamRegistry>, driver: Arc<PeerDriver>, zone: ZoneId) -> Self {
        let lost = RankedLock::new(LockRank::Members, LostIncarnations::default());
        Self {
            registry,
            driver,
            lost,
            zone,
        }
    }

    /// The membership.
    pub fn driver(&self) -> Arc<PeerDriver> {
        self.driver.clone()
    }

    /// Passes each new list of the platform on to the membership. Returns when the list's sender is gone.
    pub async fn run_list(self: Arc<Self>, mut list: watch::Receiver<Vec<InstanceRecord>>) {
        while list.changed().await.is_ok() {
            let members = listed_members(&list.borrow_and_update());
            self.driver.set_listed(members);
        }
    }

    /// Exchanges marks between the registry and the membership in both directions. Never returns.
    pub async fn run_marks(self: Arc<Self>) {
        let mut published: BTreeMap<UpstreamId, (LeavingCause, Instant)> = BTreeMap::new();
        let mut ticks = time::interval(MARK_INTERVAL);
        loop {
            ticks.tick().await;
            self.publish_marks(Instant::now(), &mut published);
            self.registry.put_peer_marks(&self.peer_marks());
        }
    }

    /// Handles the updates of the membership. Returns when the membership is closed.
    pub async fn run_updates(
        self: Arc<Self>,
        cells: Arc<CellTable<AllocatorFactory, GrantRouter>>,
        hub: Arc<CellHub>,
    ) {
        let mut updates = self.driver.updates();
        loop {
            match updates.recv().await {
                Ok(update) => self.on_update(update, &cells, &hub),
                Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            }
        }
    }

    /// Publishes to the members whether this instance accepts requests. Never returns.
    pub async fn run_state(self: Arc<Self>, readiness: Arc<ReadinessState>) {
        let mut ticks = time::interval(MARK_INTERVAL);
        let mut published = None;
        loop {
            ticks.tick().await;
            let state = match readiness.is_ready() {
                true => MemberState::Serving,
                false if readiness.is_closing() => MemberState::Leaving,
                false => MemberState::NotReady,
            };
            if published.replace(state) != Some(state) {
                self.driver.set_state(state);
            }
        }
    }

    fn on_update(
        &self,
        update: MemberUpdate,
        cells: &CellTable<AllocatorFactory, GrantRouter>,
        hub: &CellHub,
    ) {
        match update {
            MemberUpdate::MemberDead { before, instance } => {
                tracing::info!(%instance, before, "an instance is gone");
                self.lost.lock().gone.insert(instance.clone(), before);
                cells.on_holder_gone(&instance, before);
            }
            MemberUpdate::Renewed { incarnation } => {
                tracing::warn!(
                    incarnation,
                    "the other instances took this instance for gone; it goes on with a new incarnation"
                );
                hub.renew(incarnation);
            }
            MemberUpdate::Superseded { by } => {
                tracing::error!(
                    by,
                    "another process runs under this instance's name with a later incarnation"
                );
            }
            MemberUpdate::ZoneReachable { zone } => {
                tracing::info!(%zone, "the availability zone is reachable again")
            }
            MemberUpdate::ZoneUnreachable { zone } => {
                tracing::warn!(%zone, "the availability zone is cut off")
            }
            _ => {}
        }
    }

    /// The marks of other instances. Marks for failed calls are left out, since the fault may lie in the network of the
    /// instance that set them.
    fn peer_marks(&self) -> BTreeMap<UpstreamId, LeavingCause> {
        let view = self.driver.view();
        let mut marks = BTreeMap::new();
        for mark in &view.marks {
            let Some(cause) = mark.cause else {
                continue;
            };
            if mark.by == view.instance || cause == LeavingCause::Failed {
                continue;
            }
            marks.insert(mark.upstream.clone(), cause);
        }
        marks
    }

    fn publish_marks(
        &self,
        now: Instant,
        published: &mut BTreeMap<UpstreamId, (LeavingCause, Instant)>,
    ) {
        let marks = self.registry.own_marks();
        for (upstream, cause) in &marks {
            let is_fresh = published.get(upstream).is_some_and(|(before, at)| {
                before == cause && now.saturating_duration_since(*at) < MARK_REFRESH_INTERVAL
            });
            if is_fresh {
                continue;
            }
            published.insert(upstream.clone(), (*cause, now));
            self.driver.mark(upstream.clone(), Some(*cause));
        }
        let ended: Vec<UpstreamId> = published
            .keys()
            .filter(|upstream| !marks.contains_key(*upstream))
            .cloned()
            .collect();
        for upstream in ended {
            published.remove(&upstream);
            self.driver.mark(upstream, None);
        }
    }
}

impl LifeView for MemberWatch {
    fn is_gone(&self, instance: &str, incarnation: Incarnation) -> bool {
        let view = self.driver.view();
        let known = view
            .heard
            .iter()
            .chain(&view.unheard)
            .find(|record| *record.instance == *instance);
        let mut lost = self.lost.lock();
        if lost
            .gone
            .get(instance)
            .is_some_and(|before| incarnation < *before)
        {
            return true;
        }
        let key = (InstanceId::from(instance), incarnation);
        if let Some(record) = known {
            lost.unknown.remove(&key);
            return incarnation < record.incarnation;
        }
        let since = *lost.unknown.entry(key).or_insert_with(Instant::now);
        since.elapsed() > UNKNOWN_INCARNATION_TIMEOUT
    }

    fn is_silent(&self, instance: &str) -> bool {
        let view = self.driver.view();
        !view
            .heard
            .iter()
            .any(|record| *record.instance == *instance)
    }
}

impl MemberView for MemberWatch {
    fn zone_members(&self) -> Vec<InstanceId> {
        let view = self.driver.view();
        let serving = view.serving_in(&self.zone);
        let eligible = serving.filter(|record| !view.is_stale || record.instance != view.instance);
        eligible.map(|record| record.instance.clone()).collect()
    }
}

fn listed_members(list: &[InstanceRecord]) -> Vec<ListedMember> {
    let mut members = Vec::new();
    for record in list {
        if record.kind != InstanceKind::Entry {
            continue;
        }
        let Ok(address) = record.address.parse() else {
            continue;
        };
        members.push(ListedMember {
            address,
            instance: record.name.clone(),
            leaving: record.state == InstanceState::Leaving,
        });
    }
    members
}
