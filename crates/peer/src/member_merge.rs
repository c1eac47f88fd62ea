//! Merges the messages of peers: heartbeats and the updates in them.

use {
    crate::{
        heartbeat::{Heartbeat, MemberMessage, SyncReply},
        member_action::MemberAction,
        member_record::{MemberRecord, MemberStanding},
        member_state::MemberState,
        member_table::MemberTable,
        member_update::MemberUpdate,
        peer_identity::PeerIdentity,
        peer_metrics::RefusedCause,
        upstream_mark::UpstreamMark,
        zone_summary::ZoneSummary,
    },
    kernel::{Incarnation, InstanceId},
    std::time::Instant,
};

impl MemberTable {
    pub(crate) fn on_message(
        &mut self,
        now: Instant,
        from: &PeerIdentity,
        message: MemberMessage,
        actions: &mut Vec<MemberAction>,
    ) {
        if from.instance == self.instance {
            return;
        }
        match message {
            MemberMessage::Heartbeat(heartbeat) => {
                self.on_heartbeat(now, from, &heartbeat, actions);
            }
            MemberMessage::Probe(heartbeat) => {
                if self.on_heartbeat(now, from, &heartbeat, actions) {
                    self.answer_probe(now, from, actions);
                }
            }
            MemberMessage::Reply(reply) => self.on_reply(now, reply, actions),
            MemberMessage::Request(request) => self.on_request(now, from, &request, actions),
        }
    }

    fn answer_probe(&mut self, now: Instant, from: &PeerIdentity, actions: &mut Vec<MemberAction>) {
        if self.stale.is_some() || self.neighbours.contains(&from.instance) {
            return;
        }
        let message = MemberMessage::Heartbeat(Box::new(self.build_heartbeat(now)));
        let to = vec![from.instance.clone()];
        actions.push(MemberAction::Send { message, to });
    }

    /// Returns whether the heartbeat was accepted.
    fn on_heartbeat(
        &mut self,
        now: Instant,
        from: &PeerIdentity,
        heartbeat: &Heartbeat,
        actions: &mut Vec<MemberAction>,
    ) -> bool {
        let is_own_record = heartbeat.member.instance == from.instance;
        if !is_own_record
            || heartbeat.member.incarnation != from.incarnation
            || !heartbeat.is_bounded()
        {
            actions.push(MemberAction::Refuse(RefusedCause::Garbled));
            return false;
        }
        if self.notify_if_dead(from, actions) {
            return false;
        }
        let watch = self.watch(now, &from.instance, from.incarnation);
        if !watch.advance_sequence(from.incarnation, heartbeat.sequence) {
            actions.push(MemberAction::Refuse(RefusedCause::Replayed));
            return false;
        }
        watch.heard = now;
        watch.floors = Some(heartbeat.floors);
        self.mark_reachable(&from.instance, actions);
        self.merge_record(now, heartbeat.member.clone(), true, actions);
        self.notify_if_suspect(now, from, actions);
        self.merge_updates(now, heartbeat, actions);
        self.merge_platform_contact(now, heartbeat);
        self.compare_tables(now, from, heartbeat, actions);
        self.compare_digests(now, from, heartbeat, actions);
        true
    }

    /// Tells a sender whose incarnation is dead or superseded so; its heartbeat is ignored.
    fn notify_if_dead(&self, from: &PeerIdentity, actions: &mut Vec<MemberAction>) -> bool {
        let Some(known) = self.records.get(&from.instance) else {
            return false;
        };
        let same_incarnation = known.incarnation == from.incarnation;
        let is_dead = known.incarnation > from.incarnation || (same_incarnation && known.is_dead());
        if is_dead {
            actions.push(record_reply(from, known));
        }
        is_dead
    }

    /// Tells a suspected sender of the suspicion, so that it can refute it, and restarts the time until its death.
    fn notify_if_suspect(
        &mut self,
        now: Instant,
        from: &PeerIdentity,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(known) = self.records.get(&from.instance) else {
            return;
        };
        if !known.is_suspect() {
            return;
        }
        actions.push(record_reply(from, known));
        let watch = self.watch(now, &from.instance, from.incarnation);
        watch.suspected = Some(now);
    }

    pub(crate) fn mark_reachable(
        &mut self,
        instance: &InstanceId,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(watch) = self.watches.get_mut(instance) else {
            return;
        };
        if !std::mem::take(&mut watch.is_unreachable) {
            return;
        }
        self.ring_stale = true;
        let Some(record) = self.records.get(instance) else {
            return;
        };
        if record.is_dead() {
            return;
        }
        let update = MemberUpdate::MemberUp(record.clone());
        actions.push(MemberAction::Notify(update));
    }

    fn merge_updates(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        actions: &mut Vec<MemberAction>,
    ) {
        for record in &heartbeat.records {
            self.merge_record(now, record.clone(), true, actions);
        }
        for mark in &heartbeat.marks {
            self.merge_mark(now, mark.clone(), true, actions);
        }
        for summary in &heartbeat.zones {
            self.merge_zone_summary(now, summary, actions);
        }
        for summary in &heartbeat.cells {
            let key = (summary.cell.clone(), summary.by.clone());
            let is_near = summary.zone == self.zone;
            if self.cells.put(now, summary.clone()) && is_near {
                self.cell_gossip.push(key);
            }
        }
    }

    fn merge_zone_summary(
        &mut self,
        now: Instant,
        summary: &ZoneSummary,
        actions: &mut Vec<MemberAction>,
    ) {
        if summary.zone == self.zone {
            return;
        }
        let limit = self.settings.zone_timeout;
        if !self.zones.put(now, summary.clone(), limit) {
            return;
        }
        let zone = summary.zone.clone();
        actions.push(MemberAction::Notify(MemberUpdate::ZoneReachable { zone }));
    }

    pub(crate) fn merge_mark(
        &mut self,
        now: Instant,
        mark: UpstreamMark,
        is_gossiped: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        if !self.marks.put(now, mark.clone()) {
            return;
        }
        if is_gossiped {
            let key = (mark.upstream.clone(), mark.by.clone());
            self.mark_gossip.push(key);
            self.schedule_flush(now);
        }
        actions.push(MemberAction::Notify(MemberUpdate::Marked(mark)));
    }

    /// Stores a record when it supersedes the known one, and passes it on when `is_gossiped`.
    pub(crate) fn merge_record(
        &mut self,
        now: Instant,
        record: MemberRecord,
        is_gossiped: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        if record.instance == self.instance {
            self.merge_own_record(now, &record, actions);
            return;
        }
        let known = self.records.get(&record.instance);
        if known.is_some_and(|known| !record.supersedes(known)) {
            return;
        }
        if known.is_none() && self.records.len() >= self.settings.member_limit {
            return;
        }
        let old = self.records.put(record.clone());
        self.ring_stale = true;
        if is_refuted(old.as_ref(), &record) {
            self.mark_reachable(&record.instance, actions);
        }
        self.note_record(now, &record);
        push_record_updates(old.as_ref(), &record, actions);
        if is_gossiped {
            self.record_gossip.push(record.instance);
            self.schedule_flush(now);
        }
    }

    fn note_record(&mut self, now: Instant, record: &MemberRecord) {
        let watch = self.watch(now, &record.instance, record.incarnation);
        match record.standing {
            MemberStanding::Alive => {
                watch.dead_since = None;
                watch.suspected = None;
                watch.is_unreachable = false;
            }
            MemberStanding::Dead => watch.dead_since = Some(now),
            MemberStanding::Suspect => {
                watch.suspected.get_or_insert(now);
            }
        }
    }

    /// Handles what others report about this instance: refutes a suspicion, and abandons an incarnation that is dead.
    fn merge_own_record(
        &mut self,
        now: Instant,
        record: &MemberRecord,
        actions: &mut Vec<MemberAction>,
    ) {
        let own = self.own();
        if record.incarnation < own.incarnation || !record.supersedes(own) {
            return;
        }
        if record.is_dead() {
            self.abandon_incarnation(record.incarnation, actions);
            return;
        }
        if record.incarnation > own.incarnation {
            self.yield_to_superseder(now, record, actions);
            return;
        }
        let revision = record.revision;
        self.change_own(now, |own| own.revision = revision + 1);
    }

    fn abandon_incarnation(&mut self, above: Incarnation, actions: &mut Vec<MemberAction>) {
        if self.own().is_dead() || self.stale == Some(above) {
            return;
        }
        self.stale = Some(above);
        actions.push(MemberAction::Renew { above });
    }

    /// Handles a later incarnation of this name. It belongs either to another process, which the others still hear, or
    /// to an earlier process of this instance before its clock went back, which falls silent.
    fn yield_to_superseder(
        &mut self,
        now: Instant,
        by: &MemberRecord,
        actions: &mut Vec<MemberAction>,
    ) {
        // One below, so that the death of the later incarnation still requests a new one.
        let stale = Some(by.incarnation - 1);
        if self.stale != stale {
            self.stale = stale;
            self.superseder_silent_since = None;
            let by = by.incarnation;
            actions.push(MemberAction::Notify(MemberUpdate::Superseded { by }));
        }
        if !by.is_suspect() && self.has_zone_contact() {
            self.superseder_silent_since = None;
            return;
        }
        let since = *self.superseder_silent_since.get_or_insert(now);
        if now.saturating_duration_since(since) > self.death_timeout() {
            self.abandon_incarnation(by.incarnation, actions);
        }
    }

    /// Whether another member of the own zone is reachable that could declare the zone's members dead.
    fn has_zone_contact(&self) -> bool {
        self.heard()
            .any(|record| record.zone == self.zone && record.instance != self.instance)
    }
}

/// Whether the member itself refuted what the old record states.
fn is_refuted(old: Option<&MemberRecord>, new: &MemberRecord) -> bool {
    let is_alive = new.standing == MemberStanding::Alive;
    is_alive && old.is_some_and(|old| old.incarnation == new.incarnation)
}

fn record_reply(to: &PeerIdentity, record: &MemberRecord) -> MemberAction {
    let reply = SyncReply {
        marks: Vec::new(),
        records: vec![record.clone()],
    };
    MemberAction::Send {
        message: MemberMessage::Reply(reply),
        to: vec![to.instance.clone()],
    }
}

/// Derives the updates for the other parts of the process from a change of a record.
fn push_record_updates(
    old: Option<&MemberRecord>,
    new: &MemberRecord,
    actions: &mut Vec<MemberAction>,
) {
    let instance = new.instance.clone();
    let old_live = old.filter(|old| !old.is_dead());
    let same_incarnation = old_live.filter(|old| old.incarnation == new.incarnation);
    let mut notify = |update| actions.push(MemberAction::Notify(update));
    if new.is_dead() {
        let before = new.incarnation + 1;
        if old_live.is_some() {
            notify(MemberUpdate::MemberDead { before, instance });
        }
        return;
    }
    if old_live.is_some() && same_incarnation.is_none() {
        let before = new.incarnation;
        let instance = instance.clone();
        notify(MemberUpdate::MemberDead { before, instance });
    }
    if same_incarnation.is_none() {
        notify(MemberUpdate::MemberUp(new.clone()));
    }
    if same_incarnation.is_some_and(|old| old.state == new.state) {
        return;
    }
    match new.state {
        MemberState::Leaving => notify(MemberUpdate::MemberLeaving { instance }),
        MemberState::NotReady => {}
        MemberState::Serving => notify(MemberUpdate::MemberReady { instance }),
    }
}
