//! Propagates table versions: decides which table is in force, from where to pull, and when to raise an alarm.

use {
    crate::{
        keeper_action::KeeperAction, keeper_event::KeeperEvent, stamped_table::StampedTable,
        table_head::TableHead, table_patch::TablePatch, table_source::TableSource,
    },
    kernel::{ResultCode, TableVersion},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How long the platform may be silent before the instance is considered cut off from it.
pub const CUT_OFF_AFTER: Duration = Duration::from_secs(10);
/// How long a pull may take before another source is tried.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// The minimum interval between two write-backs.
pub const MIN_RESTORE_INTERVAL: Duration = Duration::from_secs(2);

/// Holds the table in force on one instance. The version never decreases and no row returns to an earlier edit,
/// whatever the platform or a peer sends.
#[derive(Clone, Debug)]
pub struct TableKeeper {
    /// Whether the table matched the sender's digest after the last patch, or the patch was complete.
    is_consistent: bool,
    alarms: BTreeSet<(ResultCode, TableSource)>,
    heads: BTreeMap<TableSource, TableHead>,
    in_force_since: Instant,
    platform_contact: Instant,
    pull: Option<(TableSource, Instant)>,
    restored_at: Option<Instant>,
    /// The heads that were pulled completely, with the own head afterwards: pulling them again changes nothing.
    reconciled: BTreeMap<TableSource, (TableHead, TableHead)>,
    table: Arc<StampedTable>,
}

impl TableKeeper {
    /// The active alarms.
    pub fn alarms(&self) -> &BTreeSet<(ResultCode, TableSource)> {
        &self.alarms
    }

    /// The last contact of this instance or a peer with the platform, if it is longer ago than [`CUT_OFF_AFTER`].
    pub fn cut_off_since(&self, now: Instant) -> Option<Instant> {
        let silence = now.saturating_duration_since(self.platform_contact);
        (silence > CUT_OFF_AFTER).then_some(self.platform_contact)
    }

    /// The head to announce in heartbeats.
    pub fn head(&self) -> TableHead {
        self.table.head()
    }

    /// When the current table came into force.
    pub fn in_force_since(&self) -> Instant {
        self.in_force_since
    }

    /// Whether a table is in force.
    pub fn is_ready(&self) -> bool {
        self.table.version() > 0
    }

    /// Creates a keeper without a table.
    pub fn new(now: Instant) -> Self {
        Self {
            is_consistent: true,
            alarms: BTreeSet::new(),
            heads: BTreeMap::new(),
            in_force_since: now,
            platform_contact: now,
            pull: None,
            restored_at: None,
            reconciled: BTreeMap::new(),
            table: Arc::default(),
        }
    }

    /// Handles one event and appends the resulting actions to `actions`. `now` never decreases.
    pub fn on_event(&mut self, now: Instant, event: KeeperEvent, actions: &mut Vec<KeeperAction>) {
        match event {
            KeeperEvent::Head {
                asked,
                head,
                source,
            } => self.on_head(now, asked, head, source, actions),
            KeeperEvent::PeerRemoved(instance) => {
                self.on_peer_removed(TableSource::Peer(instance), actions)
            }
            KeeperEvent::PlatformContact { at } => self.record_platform_contact(at),
            KeeperEvent::PullFailed { source } => {
                // The next heartbeat reports its head again; until then other sources are tried.
                self.heads.remove(&source);
                self.end_pull(&source);
            }
            KeeperEvent::Pulled { patch, source } => self.on_pulled(now, &patch, source, actions),
            KeeperEvent::Restored { version } => self.on_restored(version),
            KeeperEvent::Tick => {}
        }
        self.pull_next(now, actions);
    }

    /// The patch for a peer that has the version `since`.
    pub fn patch_since(&self, since: TableVersion) -> TablePatch {
        self.table.patch_since(since)
    }

    /// The version after which to request rows from a holder of a newer version. It is 0, for all rows, while the last
    /// patch did not result in its sender's digest.
    pub fn pull_since(&self) -> TableVersion {
        match self.is_consistent {
            true => self.table.version(),
            false => 0,
        }
    }

    /// The time since the platform last answered this instance or a peer that reported it.
    pub fn platform_silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.platform_contact)
    }

    /// The table in force; empty at the start.
    pub fn table(&self) -> &Arc<StampedTable> {
        &self.table
    }

    fn alarm(
        &mut self,
        code: ResultCode,
        head: TableHead,
        source: &TableSource,
        actions: &mut Vec<KeeperAction>,
    ) {
        if !self.alarms.insert((code, source.clone())) {
            return;
        }
        actions.push(KeeperAction::Alarm {
            code,
            head,
            source: source.clone(),
        });
    }

    fn clear_alarm(
        &mut self,
        code: ResultCode,
        source: &TableSource,
        actions: &mut Vec<KeeperAction>,
    ) {
        if !self.alarms.remove(&(code, source.clone())) {
            return;
        }
        actions.push(KeeperAction::AlarmCleared {
            code,
            source: source.clone(),
        });
    }

    fn on_peer_removed(&mut self, source: TableSource, actions: &mut Vec<KeeperAction>) {
        for code in [
            ResultCode::DigestDiffers,
            ResultCode::PeerRefused,
            ResultCode::VersionFell,
        ] {
            self.clear_alarm(code, &source, actions);
        }
        self.heads.remove(&source);
        self.reconciled.remove(&source);
        self.end_pull(&source);
    }

    fn on_head(
        &mut self,
        now: Instant,
        asked: Instant,
        head: TableHead,
        source: TableSource,
        actions: &mut Vec<KeeperAction>,
    ) {
        let own = self.head();
        // The answer to a poll that was in flight while a newer table arrived does not show the platform's present state.
        let is_stale = asked < self.in_force_since && head.version <= own.version;
        if source == TableSource::Platform {
            self.record_platform_contact(asked);
            if is_stale {
                return;
            }
        }
        self.heads.insert(source.clone(), head);
        let differs = head.version == own.version && head.digest != own.digest;
        let is_behind = head.version < own.version && source == TableSource::Platform;
        match differs {
            true => self.alarm(ResultCode::DigestDiffers, head, &source, actions),
            false => self.clear_alarm(ResultCode::DigestDiffers, &source, actions),
        }
        match is_behind {
            true => self.alarm(ResultCode::VersionFell, head, &source, actions),
            false => self.clear_alarm(ResultCode::VersionFell, &source, actions),
        }
        let is_reconciled = self.reconciled.get(&source) == Some(&(head, own));
        if is_behind || (differs && is_reconciled && source == TableSource::Platform) {
            self.restore(now, actions);
        }
    }

    fn on_pulled(
        &mut self,
        now: Instant,
        patch: &TablePatch,
        source: TableSource,
        actions: &mut Vec<KeeperAction>,
    ) {
        self.end_pull(&source);
        let head = TableHead {
            digest: patch.digest,
            version: patch.version,
        };
        if !patch.is_sound() {
            self.heads.remove(&source);
            return self.alarm(ResultCode::PeerRefused, head, &source, actions);
        }
        self.clear_alarm(ResultCode::PeerRefused, &source, actions);
        if Arc::make_mut(&mut self.table).join(patch) {
            self.in_force_since = now;
            actions.push(KeeperAction::InForce(self.table.clone()));
        }
        let own = self.head();
        self.heads.insert(source.clone(), head);
        self.is_consistent = patch.is_whole() || head == own;
        if !patch.is_whole() {
            return;
        }
        self.reconciled.insert(source.clone(), (head, own));
        if head != own && source == TableSource::Platform {
            let code = match head.version < own.version {
                true => ResultCode::VersionFell,
                false => ResultCode::DigestDiffers,
            };
            self.alarm(code, head, &source, actions);
            self.restore(now, actions);
        }
    }

    fn on_restored(&mut self, version: TableVersion) {
        // The next poll reads the head again; until then the old one must not raise alarms.
        if version >= self.table.version() {
            self.heads.remove(&TableSource::Platform);
        }
    }

    fn end_pull(&mut self, source: &TableSource) {
        if self.pull.as_ref().is_some_and(|(asked, _)| asked == source) {
            self.pull = None;
        }
    }

    /// The best source to pull from and the version to start at. Peers are preferred, because the platform limits reads.
    fn best_source(&self) -> Option<(TableSource, TableVersion)> {
        let own = self.head();
        let mut best: Option<(TableVersion, &TableSource)> = None;
        for (source, head) in &self.heads {
            let is_reconciled = self.reconciled.get(source) == Some(&(*head, own));
            if head.version < own.version || *head == own || is_reconciled {
                continue;
            }
            if best.is_none_or(|(version, _)| head.version > version) {
                best = Some((head.version, source));
            }
        }
        let (version, source) = best?;
        // With an equal version, or after a patch that did not result in the sender's digest, the full table is needed.
        let since = match version > own.version {
            true => self.pull_since(),
            false => 0,
        };
        Some((source.clone(), since))
    }

    fn pull_next(&mut self, now: Instant, actions: &mut Vec<KeeperAction>) {
        if let Some((source, asked)) = self.pull.clone() {
            if now.saturating_duration_since(asked) < PULL_TIMEOUT {
                return;
            }
            self.heads.remove(&source);
            self.pull = None;
        }
        let Some((source, since)) = self.best_source() else {
            return;
        };
        self.pull = Some((source.clone(), now));
        actions.push(KeeperAction::Pull { since, source });
    }

    fn restore(&mut self, now: Instant, actions: &mut Vec<KeeperAction>) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= MIN_RESTORE_INTERVAL;
        if !self.restored_at.is_none_or(is_due) {
            return;
        }
        self.restored_at = Some(now);
        actions.push(KeeperAction::Restore(self.table.clone()));
    }

    fn record_platform_contact(&mut self, at: Instant) {
        self.platform_contact = self.platform_contact.max(at);
    }
}
