//! The rate limits that upstreams state in their answers, and the share of this instance in each. Free of I/O; times are
//! passed in.
//!
//! An instance learns of a limit from an answer or from another instance. All of them derive the shares from the same
//! limit and the same set of instances, so that the sum holds without communication for each call.

use {
    crate::{CallRate, CallShare, FleetMembers, RateNote, RateStatement},
    kernel::{InstanceId, UpstreamId, ZoneId, seeded_rng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How long a change is included in the requests to other instances: several requests, since some fail.
const FORWARD_WINDOW: Duration = Duration::from_secs(5);
/// How long a lifted limit is remembered, so that no older note brings it back.
const LIFTED_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of notes on recent changes in one request: at about 45 bytes each a third of what a message may have.
const MAX_RECENT_NOTES: usize = 2_048;
/// Seed of the digest.
const DIGEST_SEED: u64 = 6;

/// A change of the limit of one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateChange {
    /// Another limit than before, or the first one.
    Limited(CallRate),
    /// The upstream no longer states a limit.
    Lifted,
    /// The first of a series of statements that can't be read.
    Unreadable,
}

#[derive(Clone, Debug)]
struct RateRow {
    /// When this instance learned of the limit, or of its end.
    changed_at: Instant,
    /// Whether the last statement could not be read.
    is_unreadable: bool,
    /// The limit with this instance's share; `None` while no limit is in force.
    limit: Option<(CallRate, CallShare)>,
    /// When the upstream last stated this.
    stated_at: Instant,
    zone: ZoneId,
}

/// The limits in force, by upstream.
#[derive(Clone, Debug, Default)]
pub struct RateTable {
    fleet: Arc<FleetMembers>,
    instance: InstanceId,
    rows: BTreeMap<UpstreamId, RateRow>,
}

impl RateTable {
    /// A table without limits.
    pub fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            ..Self::default()
        }
    }

    /// The limit of an upstream; `None` when it states none.
    pub fn limit(&self, id: &UpstreamId) -> Option<CallRate> {
        let (rate, _) = self.rows.get(id)?.limit?;
        Some(rate)
    }

    /// The time until this instance may call an upstream; `None` when the upstream states no limit.
    pub fn wait(&self, id: &UpstreamId, now: Instant) -> Option<Duration> {
        let (_, share) = self.rows.get(id)?.limit.as_ref()?;
        Some(share.wait(now))
    }

    /// When a caller that was refused at an upstream may come back; `None` when the upstream states no limit. Callers are
    /// spread over one interval, and any instance may serve them then.
    pub fn retry_after(&self, id: &UpstreamId, request: &str, now: Instant) -> Option<Duration> {
        let (rate, share) = self.rows.get(id)?.limit.as_ref()?;
        let interval = Duration::from_secs_f64(1.0 / rate.per_second());
        let spread = seeded_rng::rendezvous_score(request, id) as f64 / u64::MAX as f64;
        Some(share.wait(now).min(interval) + interval.mul_f64(spread))
    }

    /// Records a call to an upstream.
    pub fn note_call(&mut self, id: &UpstreamId, now: Instant) {
        let row = self.rows.get_mut(id);
        if let Some((_, share)) = row.and_then(|row| row.limit.as_mut()) {
            share.note_call(now);
        }
    }

    /// Records the statement of an answer to a call that began at `began`. An answer without a statement lifts the limit
    /// only if its call began after the last statement, since answers may overtake each other.
    pub fn note_answer(
        &mut self,
        upstream: (&UpstreamId, &ZoneId),
        statement: RateStatement,
        began: Instant,
        now: Instant,
    ) -> Option<RateChange> {
        let (id, zone) = upstream;
        match statement {
            RateStatement::Invalid => {
                let row = self.rows.entry(id.clone());
                let row = row.or_insert_with(|| RateRow::lifted(zone.clone(), now));
                let was_unreadable = std::mem::replace(&mut row.is_unreadable, true);
                (!was_unreadable).then_some(RateChange::Unreadable)
            }
            RateStatement::Limited(rate) => self.apply(upstream, Some(rate), now, now),
            RateStatement::Unlimited => {
                let row = self.rows.get(id)?;
                match began < row.stated_at {
                    true => None,
                    false => self.apply(upstream, None, now, now),
                }
            }
        }
    }

    /// Merges the notes of another instance. Returns what changed.
    pub fn merge(&mut self, notes: &[RateNote], now: Instant) -> Vec<(UpstreamId, RateChange)> {
        let mut changes = Vec::new();
        for note in notes {
            let stated_at = now.checked_sub(note.age).unwrap_or(now);
            let known = self.rows.get(&note.upstream);
            if known.is_some_and(|row| row.stated_at >= stated_at) {
                continue;
            }
            let change = self.apply((&note.upstream, &note.zone), note.rate, stated_at, now);
            changes.extend(change.map(|change| (note.upstream.clone(), change)));
        }
        changes
    }

    /// All notes, for an instance whose digest differs.
    pub fn notes(&self, now: Instant) -> Vec<RateNote> {
        notes_on(&self.rows, now)
    }

    /// The notes on what changed recently, to be included in requests to other instances; of too many, those on the
    /// latest changes. An instance with another digest gets the others with its own requests.
    pub fn recent_notes(&self, now: Instant) -> Vec<RateNote> {
        let is_recent =
            |row: &RateRow| now.saturating_duration_since(row.changed_at) < FORWARD_WINDOW;
        let mut rows: Vec<_> = self.rows.iter().filter(|(_, row)| is_recent(row)).collect();
        if rows.len() > MAX_RECENT_NOTES {
            rows.select_nth_unstable_by_key(MAX_RECENT_NOTES, |(_, row)| Reverse(row.changed_at));
            rows.truncate(MAX_RECENT_NOTES);
        }
        notes_on(rows, now)
    }

    /// The limits in force with the share of this instance, by upstream.
    pub fn shares(&self) -> impl Iterator<Item = (&UpstreamId, CallRate, CallShare)> {
        let rows = self.rows.iter();
        rows.filter_map(|(id, row)| row.limit.map(|(rate, share)| (id, rate, share)))
    }

    /// Digest of the limits in force, independent of their ages.
    pub fn digest(&self) -> u64 {
        let mut digest = 0_u64;
        for (id, row) in &self.rows {
            let Some((rate, _)) = row.limit else {
                continue;
            };
            let text = format!("{id} {}", rate.per_second());
            digest = digest.wrapping_add(seeded_rng::mix(DIGEST_SEED, text.as_bytes()));
        }
        digest
    }

    /// Sets the instances that share the limits.
    pub fn set_fleet(&mut self, fleet: &Arc<FleetMembers>, now: Instant) {
        if Arc::ptr_eq(fleet, &self.fleet) {
            return;
        }
        self.fleet = fleet.clone();
        for (id, row) in &mut self.rows {
            let Some((rate, share)) = row.limit else {
                continue;
            };
            let upstream = (id, &row.zone);
            let share = CallShare::new(&self.instance, upstream, rate, fleet, Some(share), now);
            row.limit = Some((rate, share));
        }
    }

    /// Drops the limits of upstreams that are not listed, and those lifted long ago.
    pub fn retain(&mut self, listed: &BTreeSet<UpstreamId>, now: Instant) {
        self.rows.retain(|id, row| {
            let age = now.saturating_duration_since(row.changed_at);
            listed.contains(id) && (row.limit.is_some() || age < LIFTED_RETENTION)
        });
    }

    /// Whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn apply(
        &mut self,
        upstream: (&UpstreamId, &ZoneId),
        rate: Option<CallRate>,
        stated_at: Instant,
        now: Instant,
    ) -> Option<RateChange> {
        let (id, zone) = upstream;
        let row = self.rows.entry(id.clone());
        let row = row.or_insert_with(|| RateRow::lifted(zone.clone(), now));
        row.stated_at = stated_at;
        row.is_unreadable = false;
        let before = row.limit;
        if before.map(|(rate, _)| rate) == rate {
            return None;
        }
        row.changed_at = now;
        let Some(rate) = rate else {
            row.limit = None;
            return Some(RateChange::Lifted);
        };
        let before = before.map(|(_, share)| share);
        let share = CallShare::new(&self.instance, upstream, rate, &self.fleet, before, now);
        row.limit = Some((rate, share));
        Some(RateChange::Limited(rate))
    }
}

fn notes_on<'a>(
    rows: impl IntoIterator<Item = (&'a UpstreamId, &'a RateRow)>,
    now: Instant,
) -> Vec<RateNote> {
    let rows = rows.into_iter();
    let notes = rows.map(|(id, row)| RateNote {
        age: now.saturating_duration_since(row.stated_at),
        rate: row.limit.map(|(rate, _)| rate),
        upstream: id.clone(),
        zone: row.zone.clone(),
    });
    notes.collect()
}

impl RateRow {
    /// An upstream without a limit.
    fn lifted(zone: ZoneId, now: Instant) -> Self {
        Self {
            changed_at: now,
            is_unreadable: false,
            limit: None,
            stated_at: now,
            zone,
        }
    }
}
