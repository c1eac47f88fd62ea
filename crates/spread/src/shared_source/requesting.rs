//! Requests updates from other instances and applies them.

use {
    super::{RequestOutcome, SharedSource, silent_error},
    crate::{
        JournalPosition, PeerRoutes, ReadFailure, ReportOrigin, ReportUpdate, RequesterState,
        RouteTableAge, SPREAD_TAG, SpreadReply, SpreadRequest, SpreadUpdate, TimedReply,
    },
    kernel::{InstanceId, steady_clock},
    plat::RowStore,
    relay::{OperatorSource, UpstreamSnapshot},
    std::time::{Duration, Instant},
    tokio::time,
};

impl<S: OperatorSource + RowStore> SharedSource<S> {
    /// Requests an update from an instance, once more for each further part of its list. Each
    /// request has the time limit.
    pub(super) async fn request_update(
        &self,
        from: InstanceId,
        is_immediate: bool,
        limit: Duration,
    ) -> RequestOutcome {
        let mut is_immediate = is_immediate;
        loop {
            let outcome = self.request_once(from.clone(), is_immediate, limit).await;
            if !matches!(outcome, RequestOutcome::Partial) {
                return outcome;
            }
            is_immediate = true;
        }
    }

    async fn request_once(
        &self,
        from: InstanceId,
        is_immediate: bool,
        limit: Duration,
    ) -> RequestOutcome {
        let request = self.build_request(&from, is_immediate);
        let sent_at = steady_clock::now();
        let call = self.endpoint.call(&from, SPREAD_TAG, &request);
        let mut is_busy = false;
        let answer = match time::timeout(limit, call).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => {
                is_busy = error.is_busy();
                Err(error.to_string())
            }
            Err(_) => Err("no answer in time".to_owned()),
        };
        let reply = answer.and_then(|answer| {
            postcard::from_bytes::<TimedReply>(&answer).map_err(|error| error.to_string())
        });
        let now = steady_clock::now();
        let TimedReply { held, rates, reply } = match reply {
            Ok(reply) => reply,
            Err(detail) => {
                self.note_no_answer(&from, &detail, now);
                if !is_busy {
                    self.endpoint.forget(&from);
                }
                self.members.election.lock().record_no_answer(&from, now);
                return RequestOutcome::NoAnswer(silent_error(detail));
            }
        };
        self.counts.note_peer_read("answered");
        let transit = now.saturating_duration_since(sent_at + held);
        self.rates.merge_after(rates, transit);
        match reply {
            SpreadReply::Update(update) => match self.apply_update(from, *update, transit) {
                Some(snapshot) => RequestOutcome::Update(snapshot),
                None => RequestOutcome::Partial,
            },
            SpreadReply::NoUpdate {
                age,
                reports,
                routes,
            } => {
                self.apply_routes(*routes, transit, now);
                self.apply_reports(&from, reports, now);
                let mut election = self.members.election.lock();
                let tries_others = election.record_no_update(&from, age, now);
                drop(election);
                let error = silent_error(format!("{from} has no update"));
                if tries_others {
                    return RequestOutcome::NoAnswer(error);
                }
                self.record_failure(ReadFailure::NoUpdate);
                RequestOutcome::NoUpdate(error)
            }
        }
    }

    /// Counts and logs that an instance did not answer, and for how long an answer was pending.
    fn note_no_answer(&self, from: &InstanceId, detail: &str, now: Instant) {
        self.counts.note_peer_read("failed");
        let election = self.members.election.lock();
        tracing::info!(
            reader = %from,
            detail,
            questions = election.pending_attempts(from),
            waited_ms = election.waited(from, now).as_millis() as u64,
            "no reading from another instance"
        );
    }

    pub(super) fn build_request(&self, to: &InstanceId, is_immediate: bool) -> Vec<u8> {
        let election = self.members.election.lock();
        let RequesterState {
            has_skipped_readers,
            reads_store,
        } = election.requester_state(steady_clock::now());
        let is_refused = election.is_refused();
        let waited = election.waited(to, steady_clock::now());
        let update_age = election.update_age(steady_clock::now());
        drop(election);
        let mirror = self.mirror.lock();
        let (list, list_digests) = mirror.known_state(to);
        drop(mirror);
        let reports_position = self.reports_position(to);
        let state = self.members.state.borrow();
        let request = SpreadRequest {
            is_immediate,
            evacuations: state.evacuations.as_ref().map(|set| set.version),
            routes: state.routes.as_ref().map(|(table, _)| table.version),
            member: self.members.own.clone(),
            is_refused,
            list,
            list_digests,
            members_digest: state.members_digest(),
            update_age,
            has_skipped_readers,
            reads_store,
            rates: self.rates.recent(),
            rates_digest: self.rates.digest(),
            reports: state.reports.to_forward(steady_clock::now()),
            reports_position,
            waited,
        };
        // Strings, numbers and addresses always serialise.
        postcard::to_stdvec(&request).unwrap_or_default()
    }

    /// Applies an update of another instance. Returns `None` while parts of its list are missing;
    /// routes and members take effect at once.
    pub(super) fn apply_update(
        &self,
        from: InstanceId,
        update: SpreadUpdate,
        transit: Duration,
    ) -> Option<UpstreamSnapshot> {
        let now = steady_clock::now();
        let read = update.read_at(transit, now);
        if let Some(members) = update.members {
            self.members.replace(members);
        }
        self.apply_reports(&from, update.reports, now);
        let mut mirror = self.mirror.lock();
        if !mirror.apply(from.clone(), update.list, update.position) {
            drop(mirror);
            self.members.election.lock().record_partial_update(&from);
            self.apply_routes(update.routes, transit, now);
            return None;
        }
        let records = mirror.records();
        let digest = mirror.digest().clone();
        drop(mirror);
        let mut election = self.members.election.lock();
        election.record_update(&from, read);
        if let Some(age) = update.refused_for {
            election.record_reader_refused(&from, age, now);
        }
        drop(election);
        if let Some(began) = update
            .failed_for
            .and_then(|age| now.checked_sub(age + transit))
        {
            let state = &self.members.state;
            state.send_modify(|state| state.note_failed_read(began));
        }
        let failed_at = self.members.state.borrow().failed_at();
        let snapshot = UpstreamSnapshot {
            as_of: Some(read),
            failed_at,
            faults: Vec::new(),
            first_page: None,
            passed_on: true,
            records,
            version: update.version,
            waited: true,
        };
        self.members
            .state
            .send_modify(|state| state.apply_peer_list(&snapshot, read, &digest));
        self.apply_routes(update.routes, transit, now);
        Some(snapshot)
    }

    /// Applies routes of another instance; their age is increased by the transit time.
    fn apply_routes(&self, routes: PeerRoutes, transit: Duration, now: Instant) {
        let PeerRoutes {
            age,
            copy,
            evacuations,
        } = routes;
        if age.is_none() && copy.is_none() && evacuations.is_none() {
            return;
        }
        self.members.state.send_modify(|state| {
            if let Some(evacuations) = evacuations {
                state.apply_evacuations(evacuations);
            }
            if let Some((table, version)) = copy {
                state.apply_routes(table.into_table(), version, None);
            }
            let Some(RouteTableAge { age, version }) = age else {
                return;
            };
            if let Some(as_of) = now.checked_sub(age + transit) {
                state.note_current_routes(version, as_of);
                self.freshness.note(version, as_of);
            }
        });
    }

    pub(super) fn reports_position(&self, of: &InstanceId) -> Option<JournalPosition> {
        let known = self.report_position.lock();
        let (from, mark) = known.as_ref()?;
        (from == of).then_some(*mark)
    }

    /// Applies crash reports of the instance that answered.
    pub(super) fn apply_reports(&self, from: &InstanceId, update: ReportUpdate, now: Instant) {
        *self.report_position.lock() = Some((from.clone(), update.position));
        self.members
            .merge_reports(&update.reports, ReportOrigin::Instance, now);
    }
}
