//! The periodic part of the membership: heartbeats, suspicion, death, probes.

use {
    crate::{
        heartbeat::{Heartbeat, MemberMessage},
        member_action::MemberAction,
        member_record::{MemberRecord, MemberStanding},
        member_table::MemberTable,
        member_update::MemberUpdate,
        member_watch::MemberWatch,
        neighbour_ring::NeighbourRing,
        version_floors::{self, VersionFloors},
        zone_summary::ZoneSummary,
    },
    kernel::InstanceId,
    std::time::{Duration, Instant},
};

/// How many other availability zones a heartbeat reports.
const ZONES_PER_HEARTBEAT: usize = 4;

impl MemberTable {
    pub(crate) fn on_close(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
        if self.stale.is_some() {
            return;
        }
        self.refresh_ring(now, actions);
        self.change_own(now, |own| own.standing = MemberStanding::Dead);
        self.send_heartbeat(now, actions);
        self.stale = Some(self.incarnation());
    }

    pub(crate) fn on_tick(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
        if now < self.next_heartbeat {
            return;
        }
        self.detect_own_pause(now, actions);
        self.expire(now);
        self.refresh_ring(now, actions);
        self.suspect_silent(now, actions);
        self.expire_suspects(now, actions);
        self.report_silent_zones(now, actions);
        self.refresh_ring(now, actions);
        self.advance_floors();
        if self.stale.is_none() {
            self.send_heartbeat(now, actions);
        }
        self.probe(now, actions);
        self.last_heartbeat = now;
        self.next_heartbeat = now + self.settings.heartbeat_interval;
    }

    /// After a pause of this process the missing heartbeats are its own fault, so all silence timers restart. After a
    /// pause as long as the others take to declare a member dead, this incarnation has ended even if no peer said so.
    fn detect_own_pause(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
        let pause = now.saturating_duration_since(self.next_heartbeat);
        if pause < self.settings.suspicion_timeout {
            return;
        }
        for watch in self.watches.values_mut() {
            watch.heard = now;
            watch.suspected = watch.suspected.map(|_| now);
        }
        self.zones.shift(now);
        if pause < self.death_timeout() || self.stale.is_some() {
            return;
        }
        let above = self.incarnation();
        self.stale = Some(above);
        actions.push(MemberAction::Renew { above });
    }

    fn expire(&mut self, now: Instant) {
        self.cells.expire(now);
        self.marks.expire(now);
        let mut forgotten = Vec::new();
        for (instance, watch) in &self.watches {
            let Some(dead_since) = watch.dead_since else {
                continue;
            };
            if now.saturating_duration_since(dead_since) < self.settings.forget_after {
                continue;
            }
            forgotten.push(instance.clone());
        }
        for instance in forgotten {
            self.contacts.remove(&instance);
            self.records.remove(&instance);
            self.watches.remove(&instance);
        }
    }

    /// Recomputes the neighbours after a change of members. The silence of a new neighbour counts from now.
    fn refresh_ring(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
        if !self.ring_stale {
            return;
        }
        self.ring_stale = false;
        let mut ring = NeighbourRing::default();
        for record in self.records.live() {
            // Without the unreachable member, the next members on the ring become neighbours and are monitored instead.
            if record.zone == self.zone && self.is_unreachable(&record.instance) {
                continue;
            }
            let can_relay = !record.is_suspect();
            ring.add(record.zone.clone(), record.instance.clone(), can_relay);
        }
        let limits = self.settings.ring_limits();
        let neighbours = ring.neighbours(&self.zone, &self.instance, limits);
        for instance in &neighbours {
            if self.neighbours.contains(instance) {
                continue;
            }
            let incarnation = self.known_incarnation(instance);
            let watch = self.watch(now, instance, incarnation);
            watch.heard = now;
        }
        let left = std::mem::replace(&mut self.neighbours, neighbours);
        for instance in left {
            if !self.neighbours.contains(&instance) {
                self.mark_foreign_reachable(&instance, actions);
            }
        }
    }

    /// A member of another zone that is no longer a neighbour takes the standing that its own zone reports.
    fn mark_foreign_reachable(&mut self, instance: &InstanceId, actions: &mut Vec<MemberAction>) {
        let record = self.records.get(instance);
        let is_alive =
            record.is_some_and(|record| record.zone != self.zone && !record.is_suspect());
        if is_alive {
            self.mark_reachable(instance, actions);
        }
    }

    fn suspect_silent(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
        for instance in self.neighbours.clone() {
            let Some(record) = self.records.get(&instance).cloned() else {
                continue;
            };
            let Some(watch) = self.watches.get_mut(&instance) else {
                continue;
            };
            let silence = now.saturating_duration_since(watch.heard);
            if record.zone != self.zone {
                let limit = self.settings.suspicion_timeout + self.settings.gone_timeout;
                if silence > limit && !watch.is_unreachable {
                    watch.is_unreachable = true;
                    actions.push(MemberAction::Notify(MemberUpdate::MemberUnreachable {
                        instance,
                    }));
                }
                continue;
            }
            if silence <= self.settings.suspicion_timeout || record.is_suspect() {
                continue;
            }
            let suspect = MemberRecord {
                standing: MemberStanding::Suspect,
                ..record
            };
            self.merge_record(now, suspect, true, actions);
        }
    }

    /// Declares suspects of the own zone dead when they did not refute in time, as long as at least half of the zone is
    /// alive. Otherwise they are only marked as unreachable from here.
    fn expire_suspects(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
        let mut heard = 0;
        let mut total = 0;
        let mut due = Vec::new();
        for record in self.records.live() {
            let is_own_zone = record.zone == self.zone;
            total += usize::from(is_own_zone);
            heard += usize::from(is_own_zone && !record.is_suspect());
            if record.is_suspect() && self.is_due(now, &record.instance) {
                due.push(record.clone());
            }
        }
        let can_declare_dead = heard * 2 >= total && self.stale.is_none();
        for record in due {
            if !can_declare_dead || record.zone != self.zone {
                self.repeat_suspicion(now, record.instance.clone());
                self.mark_unreachable(record.instance, actions);
                continue;
            }
            let gone = MemberRecord {
                standing: MemberStanding::Dead,
                ..record
            };
            self.merge_record(now, gone, true, actions);
        }
    }

    /// Gossips a suspicion again, so that a suspect that is alive receives and refutes it.
    fn repeat_suspicion(&mut self, now: Instant, instance: InstanceId) {
        if let Some(watch) = self.watches.get_mut(&instance) {
            watch.suspected = Some(now);
        }
        self.record_gossip.push(instance);
    }

    fn is_due(&self, now: Instant, instance: &str) -> bool {
        let Some(watch) = self.watches.get(instance) else {
            return false;
        };
        let Some(suspected) = watch.suspected else {
            return false;
        };
        now.saturating_duration_since(suspected) > self.settings.gone_timeout
    }

    fn mark_unreachable(&mut self, instance: InstanceId, actions: &mut Vec<MemberAction>) {
        let Some(watch) = self.watches.get_mut(&instance) else {
            return;
        };
        if watch.is_unreachable {
            return;
        }
        watch.is_unreachable = true;
        self.ring_stale = true;
        actions.push(MemberAction::Notify(MemberUpdate::MemberUnreachable {
            instance,
        }));
    }

    fn report_silent_zones(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
        for zone in self.zones.mark_unreachable(now, self.settings.zone_timeout) {
            actions.push(MemberAction::Notify(MemberUpdate::ZoneUnreachable { zone }));
        }
    }

    fn advance_floors(&mut self) {
        let own = self.own_floor();
        let neighbours = self
            .neighbours
            .iter()
            .filter_map(|instance| self.neighbour_floors(instance));
        self.floors = version_floors::advance(own, &self.floors, neighbours);
    }

    fn neighbour_floors(&self, instance: &str) -> Option<&VersionFloors> {
        let record = self.records.get(instance)?;
        if record.zone != self.zone || record.is_suspect() {
            return None;
        }
        self.watches.get(instance)?.floors.as_ref()
    }

    pub(crate) fn send_heartbeat(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
        let to: Vec<InstanceId> = self.neighbours.iter().cloned().collect();
        let heartbeat = self.build_heartbeat(now);
        if to.is_empty() {
            return;
        }
        let message = MemberMessage::Heartbeat(Box::new(heartbeat));
        actions.push(MemberAction::Send { message, to });
    }

    pub(crate) fn build_heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.sequence += 1;
        let own_zone = ZoneSummary {
            age: Duration::ZERO,
            floor: self.zone_floor(),
            zone: self.zone.clone(),
        };
        let mut zones = vec![own_zone];
        zones.extend(self.zones.next(now, ZONES_PER_HEARTBEAT));
        let cells = self.cell_gossip.take(self.settings.cells_per_beat);
        let marks = self.mark_gossip.take(self.settings.marks_per_beat);
        let records = self.record_gossip.take(self.settings.records_per_beat);
        Heartbeat {
            cells: cells
                .iter()
                .filter_map(|key| self.cells.get(key).cloned())
                .collect(),
            floors: self.floors,
            marks: marks
                .iter()
                .filter_map(|key| self.marks.get(now, key))
                .collect(),
            marks_digest: self.marks.digest(),
            member: self.own().clone(),
            members_digest: self.records.digest(),
            platform_age: self
                .platform_contact
                .map(|at| now.saturating_duration_since(at)),
            records: records
                .iter()
                .filter_map(|instance| self.records.get(instance).cloned())
                .filter(|record| record.instance != self.instance)
                .collect(),
            sequence: self.sequence,
            table: self.table,
            zones,
        }
    }

    /// Probes one known instance that is not reachable. This is how a new instance joins and how the two sides of a
    /// partition find each other again.
    fn probe(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
        let alone = self.neighbours.is_empty() || self.stale.is_some();
        if (now < self.next_probe && !alone) || self.own().is_dead() {
            return;
        }
        self.next_probe = now + self.settings.probe_interval;
        let targets: Vec<&InstanceId> = self
            .contacts
            .iter()
            .filter(|instance| self.needs_probe(instance))
            .collect();
        if targets.is_empty() {
            return;
        }
        self.probe_cursor += 1;
        let target = targets[self.probe_cursor % targets.len()].clone();
        let message = MemberMessage::Probe(Box::new(self.build_heartbeat(now)));
        let to = vec![target];
        actions.push(MemberAction::Send { message, to });
    }

    fn needs_probe(&self, instance: &str) -> bool {
        if self.stale.is_some() {
            return true;
        }
        let Some(record) = self.records.get(instance) else {
            return true;
        };
        record.is_dead() || self.is_unreachable(instance)
    }

    /// The local observations of a member, created when missing.
    pub(crate) fn watch(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        incarnation: u64,
    ) -> &mut MemberWatch {
        self.watches
            .entry(instance.clone())
            .or_insert_with(|| MemberWatch::new(now, incarnation))
    }

    fn known_incarnation(&self, instance: &str) -> u64 {
        self.records
            .get(instance)
            .map_or(0, |record| record.incarnation)
    }
}
