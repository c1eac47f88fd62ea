//! Observes whether this instance reaches the upstreams of each service, and checks by connection attempts what its calls
//! suggest.

use {
    crate::{ConnectionPool, RelayCounts, SharedUpstreams},
    kernel::{LockRank, RankedLock, ServiceId, steady_clock},
    policy::{ReachChange, ReachTable, UpstreamRecord},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time},
};

/// How many upstreams a check tries to connect to, at the same time.
const CHECK_COUNT: usize = 3;
/// The interval between two attempts while a service is lost: one upstream after the other.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The reachability of the services, with the tasks that check it.
#[derive(Debug)]
pub struct ReachWatch {
    counts: RelayCounts,
    pool: Arc<ConnectionPool>,
    table: RankedLock<ReachTable>,
    upstreams: Arc<SharedUpstreams>,
}

impl ReachWatch {
    /// Whether no upstream of a service can be reached from this instance.
    pub fn is_lost(&self, service: &ServiceId) -> bool {
        self.table.lock().is_lost(service)
    }

    /// How long ago an upstream of a service last answered this instance; `None` before the first time.
    pub fn contact_age(&self, service: &ServiceId) -> Option<Duration> {
        let contact = self.table.lock().last_contact(service);
        contact.map(steady_clock::elapsed)
    }

    /// A watch without any observation.
    pub fn new(
        upstreams: Arc<SharedUpstreams>,
        counts: RelayCounts,
        pool: Arc<ConnectionPool>,
    ) -> Self {
        Self {
            counts,
            pool,
            table: RankedLock::new(LockRank::Losses, ReachTable::default()),
            upstreams,
        }
    }

    /// Records that an upstream answered.
    pub fn note_contact(&self, service: &ServiceId) {
        let change = self.table.lock().note_contact(service, steady_clock::now());
        self.report(service, change);
    }

    /// Records that an upstream accepted no connection, or gave no answer in time.
    pub fn note_silence(self: &Arc<Self>, upstream: &UpstreamRecord) {
        let service = &upstream.service;
        // Requests may only ever call the upstreams of one stage.
        let peers = self.targets(service).into_iter();
        let count = peers.filter(|peer| peer.stage == upstream.stage).count();
        let mut table = self.table.lock();
        let is_suspect = table.note_silence(service, &upstream.id, count, steady_clock::now());
        drop(table);
        if is_suspect {
            tokio::spawn(self.clone().check(service.clone()));
        }
    }

    /// Checks a service by connection attempts. While it is lost they continue.
    async fn check(self: Arc<Self>, service: ServiceId) {
        let began = steady_clock::now();
        let mut attempts = JoinSet::new();
        for upstream in self.targets(&service).into_iter().take(CHECK_COUNT) {
            let pool = self.pool.clone();
            attempts.spawn(async move { pool.accepts(&upstream.id, upstream.address).await });
        }
        while let Some(attempt) = attempts.join_next().await {
            if attempt.unwrap_or(false) {
                return self.note_contact(&service);
            }
        }
        if self.note_check_failed(&service, began) {
            self.await_regained(&service).await;
        }
    }

    /// Records that all attempts failed; returns whether the service is lost by it.
    fn note_check_failed(&self, service: &ServiceId, began: Instant) -> bool {
        let now = steady_clock::now();
        let change = self.table.lock().note_check_failed(service, began, now);
        self.report(service, change);
        change.is_some()
    }

    /// Tries one upstream after the other until one accepts a connection.
    async fn await_regained(&self, service: &ServiceId) {
        let mut next = 0;
        while self.is_lost(service) {
            time::sleep(RETRY_INTERVAL).await;
            let targets = self.targets(service);
            let Some(upstream) = targets.get(next % targets.len().max(1)) else {
                continue;
            };
            next += 1;
            if self.pool.accepts(&upstream.id, upstream.address).await {
                self.note_contact(service);
            }
        }
    }

    fn report(&self, service: &ServiceId, change: Option<ReachChange>) {
        let Some(change) = change else {
            return;
        };
        let count = self.table.lock().lost_count();
        self.counts.lost_services.set(count as i64);
        match change {
            ReachChange::Lost => {
                tracing::warn!(%service, "no upstream of the service can be reached");
            }
            ReachChange::Regained(lost_for) => {
                let lost_ms = lost_for.as_millis() as u64;
                tracing::info!(%service, lost_ms, "the service can be reached again");
            }
        }
    }

    fn targets(&self, service: &ServiceId) -> Vec<Arc<UpstreamRecord>> {
        self.upstreams.lock().active_of(service)
    }
}
