//! Anti-entropy: pulls newer tables, and exchanges full lists where digests differ.

use {
    crate::{
        heartbeat::{Heartbeat, MemberMessage, SyncReply, SyncRequest},
        member_action::MemberAction,
        member_table::{MemberTable, PendingPull},
        member_update::MemberUpdate,
        peer_identity::PeerIdentity,
        table_revision::TableRevision,
    },
    std::time::{Duration, Instant},
};

/// Replies with more entries than this are not gossiped on: the neighbours compare digests themselves.
const MAX_GOSSIPED_ENTRIES: usize = 16;
/// By how much a peer's last platform contact must be newer than the own one to replace it.
const MIN_PLATFORM_GAIN: Duration = Duration::from_secs(1);

impl MemberTable {
    pub(crate) fn compare_tables(
        &mut self,
        now: Instant,
        from: &PeerIdentity,
        heartbeat: &Heartbeat,
        actions: &mut Vec<MemberAction>,
    ) {
        let theirs = heartbeat.table;
        self.compare_contents(now, from, theirs, actions);
        if theirs.version <= self.table.version {
            return;
        }
        let is_pulled = self
            .pull
            .as_ref()
            .is_some_and(|pull| pull.version >= theirs.version && now < pull.until);
        if is_pulled {
            return;
        }
        self.pull = Some(PendingPull {
            until: now + self.settings.pull_timeout,
            version: theirs.version,
        });
        actions.push(MemberAction::Pull {
            from: from.instance.clone(),
            version: theirs.version,
        });
    }
    /// Merges the sender's last platform contact. Its age does not include the time on the way, so a contact that comes
    /// back over other instances looks newer than it is: a gain within the margin is ignored, and so are heartbeats that
    /// waited in the inbox while this process was paused.
    pub(crate) fn merge_platform_contact(&mut self, now: Instant, heartbeat: &Heartbeat) {
        let Some(heard) = heartbeat.platform_age.and_then(|age| now.checked_sub(age)) else {
            return;
        };
        if now.saturating_duration_since(self.next_heartbeat) >= self.settings.suspicion_timeout {
            return;
        }
        let is_newer = self
            .platform_contact
            .is_none_or(|known| heard > known + MIN_PLATFORM_GAIN);
        if is_newer {
            self.platform_contact = Some(heard);
        }
    }

    /// Reports a peer that has this instance's table version with different content, and the end of that condition.
    fn compare_contents(
        &mut self,
        now: Instant,
        from: &PeerIdentity,
        theirs: TableRevision,
        actions: &mut Vec<MemberAction>,
    ) {
        let differs = theirs.version == self.table.version && theirs != self.table;
        let watch = self.watch(now, &from.instance, from.incarnation);
        let differed = std::mem::replace(&mut watch.table_differs, differs);
        let instance = from.instance.clone();
        let TableRevision { digest, version } = theirs;
        if differs {
            actions.push(MemberAction::Notify(MemberUpdate::DigestDiffers {
                digest,
                instance,
                version,
            }));
        } else if differed {
            actions.push(MemberAction::Notify(MemberUpdate::DigestConverged {
                digest,
                instance,
                version,
            }));
        }
    }

    pub(crate) fn compare_digests(
        &mut self,
        now: Instant,
        from: &PeerIdentity,
        heartbeat: &Heartbeat,
        actions: &mut Vec<MemberAction>,
    ) {
        let equal = heartbeat.members_digest == self.records.digest()
            && heartbeat.marks_digest == self.marks.digest();
        let rounds = self.settings.sync_rounds;
        let is_first = heartbeat.sequence == 1;
        let is_joining = self.records.len() <= 2;
        let watch = self.watch(now, &from.instance, from.incarnation);
        watch.digest_mismatches = if equal {
            0
        } else {
            watch.digest_mismatches.saturating_add(1)
        };
        let due = watch.digest_mismatches >= rounds || (!equal && (is_first || is_joining));
        if !due || now < self.next_sync {
            return;
        }
        let watch = self.watch(now, &from.instance, from.incarnation);
        watch.digest_mismatches = 0;
        self.next_sync = now + self.settings.heartbeat_interval;
        let request = SyncRequest {
            marks_digest: self.marks.digest(),
            zones: self.records.zone_digests(),
        };
        let message = MemberMessage::Request(request);
        let to = vec![from.instance.clone()];
        actions.push(MemberAction::Send { message, to });
    }

    pub(crate) fn on_request(
        &self,
        now: Instant,
        from: &PeerIdentity,
        request: &SyncRequest,
        actions: &mut Vec<MemberAction>,
    ) {
        let mut reply = SyncReply::default();
        for record in self.records.all() {
            let ours = self.records.zone_digest(&record.zone);
            let theirs = request.zones.iter().find(|(zone, _)| *zone == record.zone);
            if theirs.is_some_and(|(_, theirs)| *theirs == ours) {
                continue;
            }
            reply.records.push(record.clone());
        }
        if request.marks_digest != self.marks.digest() {
            reply.marks = self.marks.all(now);
        }
        let message = MemberMessage::Reply(reply);
        let to = vec![from.instance.clone()];
        actions.push(MemberAction::Send { message, to });
    }

    pub(crate) fn on_reply(
        &mut self,
        now: Instant,
        reply: SyncReply,
        actions: &mut Vec<MemberAction>,
    ) {
        let gossip_records = reply.records.len() <= MAX_GOSSIPED_ENTRIES;
        for record in reply.records {
            self.merge_record(now, record, gossip_records, actions);
        }
        let gossip_marks = reply.marks.len() <= MAX_GOSSIPED_ENTRIES;
        for mark in reply.marks {
            self.merge_mark(now, mark, gossip_marks, actions);
        }
    }
}
