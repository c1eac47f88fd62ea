//! Joins an instance to the directory and keeps its zone's row up to date.

use {
    super::{JoinState, SharedSource, silent_error},
    crate::{DirectoryView, MemberRow},
    kernel::{InstanceId, steady_clock},
    peer::KeyAuthority,
    plat::RowStore,
    policy::{StoreVersion, UpstreamRecord},
    relay::{OperatorSource, SourceError},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Time over which the instances spread their first calls when the whole system starts for the
/// first time. No instance knows the others or serves yet, so those that are to read call first and
/// all others find them.
const FIRST_START_SPREAD: Duration = Duration::from_secs(3);
/// Range of [`MemberRow::start_priority`], whatever the capacity of the machines.
const START_PRIORITY_BOUNDS: (f64, f64) = (1e2, 1e8);

impl<S: OperatorSource + RowStore> SharedSource<S> {
    /// Joins the directory, with backoff while the store does not answer.
    pub(super) async fn join_with_backoff(&self) -> Result<(), SourceError> {
        let due = self.members.election.lock().next_store_call();
        if let Some(due) = due {
            time::sleep(due.saturating_duration_since(steady_clock::now())).await;
        }
        let began = steady_clock::now();
        let joined = self.join().await;
        let mut election = self.members.election.lock();
        match joined {
            Ok(()) => election.record_joined(),
            Err(_) => election.record_store_failure(began, steady_clock::now()),
        }
        drop(election);
        joined
    }

    /// Joins the directory: reads the members and the key that all instances trust, or writes both
    /// if there are none.
    pub(super) async fn join(&self) -> Result<(), SourceError> {
        if self.first_start {
            time::sleep(first_start_delay(&self.members.own)).await;
        }
        let view = self.with_read_timeout(self.directory.read()).await?;
        let own = vec![self.members.own.clone()];
        let is_first = !view.zones.contains_key(&self.members.own.zone);
        let view = match (&view.authority, is_first) {
            (Some(_), false) => view,
            (Some(authority), true) => {
                let authority = authority.clone();
                self.with_read_timeout(self.directory.write(view, own, &authority))
                    .await?
            }
            (None, _) => {
                let authority = KeyAuthority::new().map(|authority| authority.private_key());
                let authority = authority.map_err(|error| silent_error(error.to_string()))?;
                self.with_read_timeout(self.directory.write(view, own, &authority))
                    .await?
            }
        };
        self.apply_view(view, &[], false);
        Ok(())
    }

    /// Reads the directory when it is due, and writes the row of the own zone if it has changed.
    /// Instances that read the store do so periodically too; the first of a zone whose list comes
    /// from another zone does so only after a change.
    /// `records` is a list that was just read and is not in use yet.
    pub(super) async fn refresh(
        &self,
        now: Instant,
        in_period: bool,
        records: Option<&[UpstreamRecord]>,
    ) {
        let silent = self.members.election.lock().silent_members(now);
        let is_restored = self.is_restored();
        let Some(known) = self.claim_refresh(now, in_period, !silent.is_empty()) else {
            return;
        };
        let view = match self.with_read_timeout(self.directory.read()).await {
            Ok(view) => view,
            Err(error) => {
                tracing::info!(%error, "failed to read the directory");
                return;
            }
        };
        self.apply_view(view.clone(), &silent, is_restored);
        let members = self.members.zone_members();
        let listed = view.zones.get(&self.members.own.zone);
        let is_listed =
            listed.is_some_and(|listed| MemberRow::digest(listed) == MemberRow::digest(&members));
        if is_listed && view.authority.is_some() {
            return;
        }
        let authority = view.authority.clone().unwrap_or(known);
        let mut view = view;
        let known = view.software.as_ref();
        let mut draft = self.versions.draft(records, known);
        if records.is_none()
            && let Some(known) = known
        {
            draft.keep_listed(known);
        }
        view.draft = Some(draft);
        match self
            .with_read_timeout(self.directory.write(view, members, &authority))
            .await
        {
            Ok(view) => self.apply_view(view, &silent, is_restored),
            Err(error) => tracing::info!(%error, "failed to write the directory"),
        }
    }

    /// Has the directory read and written at the next opportunity after a restore of the store.
    pub(super) fn note_era(&self, version: StoreVersion) {
        let before = {
            let mut era = self.era.lock();
            let before = *era;
            *era = before.max(Some(version.era));
            before
        };
        if before.is_none_or(|before| version.era <= before) {
            return;
        }
        if let Some(join) = self.join.lock().as_mut() {
            join.is_restored = true;
        }
    }

    /// If the directory is to be read now, schedules the next read and returns the known key.
    pub(super) fn claim_refresh(
        &self,
        now: Instant,
        in_period: bool,
        has_silent: bool,
    ) -> Option<Arc<str>> {
        let members = MemberRow::digest(&self.members.zone_members());
        let mut join = self.join.lock();
        let join = join.as_mut()?;
        let listed = join.view.zones.get(&self.members.own.zone);
        let is_listed = !has_silent
            && !join.is_restored
            && listed.is_some_and(|listed| MemberRow::digest(listed) == members);
        if is_listed && !in_period {
            return None;
        }
        let period = match is_listed {
            true => self.times.directory_period,
            false => self.times.directory_debounce,
        };
        if now < join.tried_at + period && !join.is_restored {
            return None;
        }
        join.tried_at = now;
        join.view.authority.clone()
    }

    fn is_restored(&self) -> bool {
        let join = self.join.lock();
        join.as_ref().is_some_and(|join| join.is_restored)
    }

    /// Applies a view of the directory; `is_restored` when it is the first one after a restore of the store, which may
    /// lack members.
    pub(super) fn apply_view(&self, view: DirectoryView, silent: &[InstanceId], is_restored: bool) {
        let next = JoinState {
            is_restored: false,
            tried_at: steady_clock::now(),
            view: view.clone(),
        };
        let before = self.join.lock().replace(next);
        let known = before.and_then(|before| before.view.authority);
        if known != view.authority
            && let Some(authority) = &view.authority
        {
            self.trust(authority);
        }
        self.versions.remember(&view);
        self.members.merge(&view, silent, is_restored);
    }

    /// Has the key of this instance certified by the key that all instances trust, and trusts that
    /// key.
    pub(super) fn trust(&self, authority: &str) {
        let instance = &self.members.own.instance;
        let certified = KeyAuthority::from_private_key(authority)
            .and_then(|authority| authority.certify(instance, &self.keys))
            .and_then(|keys| self.endpoint.reload(&keys));
        if let Err(error) = certified {
            tracing::warn!(%error, "the key in the directory is unusable");
        }
    }
}

/// How long an instance waits when the whole system starts for the first time.
fn first_start_delay(own: &MemberRow) -> Duration {
    let (min, max) = START_PRIORITY_BOUNDS;
    let share = (own.start_priority().clamp(min, max) / min).ln() / (max / min).ln();
    FIRST_START_SPREAD.mul_f64(1.0 - share)
}
