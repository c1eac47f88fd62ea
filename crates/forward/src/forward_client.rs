//! Forwards the requests of this instance's callers, and finds out who can serve them.

use {
    crate::{
        FORWARD_TAG, ForwardTask, ReachQuery,
        forward_message::{decode, encode},
    },
    kernel::{InstanceId, LockRank, RankedLock, ServiceId, steady_clock},
    peer::PeerEndpoint,
    policy::HelperTable,
    relay::{ForwardJob, RelayCore, UpstreamDialect},
    std::{pin::pin, sync::Arc, time::Duration},
    tokio::{
        sync::{Notify, mpsc},
        time,
    },
};

/// How long a request waits for the first instance that says it reaches the service.
const SURVEY_TIMEOUT: Duration = Duration::from_millis(120);
/// How long an instance may take to answer a question or to accept a session.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Forwards requests. Clones share their state.
#[derive(Debug)]
pub struct ForwardClient<D> {
    /// The state of the request path.
    pub core: Arc<RelayCore<D>>,
    /// Opens sessions with other instances.
    pub endpoint: PeerEndpoint,
    helpers: Arc<RankedLock<HelperTable>>,
    /// Notified when an instance has answered a question.
    reported: Arc<Notify>,
}

impl<D> Clone for ForwardClient<D> {
    fn clone(&self) -> Self {
        Self {
            core: self.core.clone(),
            endpoint: self.endpoint.clone(),
            helpers: self.helpers.clone(),
            reported: self.reported.clone(),
        }
    }
}

impl<D: UpstreamDialect> ForwardClient<D> {
    /// A client that knows of no other instance.
    pub fn new(core: Arc<RelayCore<D>>, endpoint: PeerEndpoint) -> Self {
        Self {
            core,
            endpoint,
            helpers: Arc::new(RankedLock::new(LockRank::Services, HelperTable::default())),
            reported: Arc::new(Notify::new()),
        }
    }

    /// Forwards the queued requests, each in its own task.
    pub async fn run(self, jobs: mpsc::Receiver<ForwardJob>) {
        let mut jobs = jobs;
        while let Some(job) = jobs.recv().await {
            let ForwardJob {
                reply,
                request,
                route,
                runs,
                service,
            } = job;
            let task = ForwardTask::new(self.clone(), request, route, service, runs);
            tokio::spawn(task.run(reply));
        }
    }

    /// Finds an instance that reaches the service, other than those `tried`. Waits only for answers that are still to come.
    pub async fn find_helper(
        &self,
        service: &ServiceId,
        request: &str,
        tried: &[InstanceId],
    ) -> Option<InstanceId> {
        let end = time::Instant::now() + SURVEY_TIMEOUT;
        loop {
            let mut reported = pin!(self.reported.notified());
            reported.as_mut().enable();
            self.survey_when_due(service);
            let (helper, is_pending) = self.choose(service, request, tried);
            if helper.is_some() || !is_pending {
                return helper;
            }
            time::timeout_at(end, reported).await.ok()?;
        }
    }

    /// The instance to forward to, and whether further ones may still report.
    fn choose(
        &self,
        service: &ServiceId,
        request: &str,
        tried: &[InstanceId],
    ) -> (Option<InstanceId>, bool) {
        let helpers = self.helpers.lock();
        let helper = helpers.choose(service, request, tried, steady_clock::now());
        (helper, helpers.has_pending(service))
    }

    /// Asks a few instances whether they reach the service, unless that was done a moment ago.
    fn survey_when_due(&self, service: &ServiceId) {
        let settings = self.core.settings.load();
        let own = (&settings.instance, &settings.zone);
        let fleet = self.core.fleet.members();
        let now = steady_clock::now();
        let asked = self.helpers.lock().begin_survey(service, own, &fleet, now);
        for instance in asked {
            tokio::spawn(self.clone().ask(service.clone(), instance));
        }
    }

    async fn ask(self, service: ServiceId, instance: InstanceId) {
        let query = ReachQuery {
            service: service.clone(),
        };
        let asking = async {
            let body = encode(&query)?;
            let answer = self.endpoint.call(&instance, FORWARD_TAG, &body).await?;
            decode(&answer)
        };
        let report = match time::timeout(CALL_TIMEOUT, asking).await {
            Ok(Ok(report)) => Some(report),
            Ok(Err(error)) => {
                tracing::debug!(%instance, %error, "an instance does not say what it reaches");
                None
            }
            Err(_) => None,
        };
        let mut helpers = self.helpers.lock();
        helpers.note_report(&service, &instance, report, steady_clock::now());
        drop(helpers);
        self.reported.notify_waiters();
    }

    /// Records that a request is forwarded to an instance.
    pub(crate) fn note_begin(&self, service: &ServiceId, helper: &InstanceId) {
        self.helpers.lock().begin(service, helper);
    }

    /// Records the end of a forwarded request.
    pub(crate) fn note_end(&self, service: &ServiceId, helper: &InstanceId) {
        self.helpers.lock().end(service, helper);
    }

    /// Records that an instance did not serve a request. It is asked again with the next survey.
    pub(crate) fn note_failure(&self, service: &ServiceId, helper: &InstanceId) {
        self.helpers.lock().note_failure(service, helper);
    }
}
