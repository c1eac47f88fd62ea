//! The software versions at which recent streams began, as far as one instance knows. Free of I/O; times are passed in.

use {
    crate::{SoftwareNote, StreamKey},
    kernel::{ServiceId, SoftwareVersion},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
};

/// How many streams are kept; beyond that the oldest ones are dropped.
const MAX_STREAMS: usize = 16_384;
/// The longest time that a stream is kept.
const MAX_LIFE: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct NoteRow {
    expires_at: Instant,
    software: SoftwareVersion,
    /// The service of a stream that began at this instance and that no other instance was told of.
    untold: Option<ServiceId>,
}

/// The notes by stream.
#[derive(Clone, Debug, Default)]
pub struct NoteTable {
    /// The streams in the order in which they were recorded.
    order: VecDeque<(Instant, StreamKey)>,
    rows: BTreeMap<StreamKey, NoteRow>,
}

impl NoteTable {
    /// Records a stream that began at this instance. Other instances are told later, if at all.
    pub fn add_own(&mut self, note: SoftwareNote, service: &ServiceId, now: Instant) {
        self.add(note, Some(service.clone()), now);
    }

    /// Records a stream that began at another instance, or one that others were told of.
    pub fn add_told(&mut self, note: SoftwareNote, now: Instant) {
        self.add(note, None, now);
    }

    /// The version at which a stream began, if it is known.
    pub fn software(&self, stream: StreamKey, now: Instant) -> Option<&SoftwareVersion> {
        let row = self.rows.get(&stream)?;
        (now < row.expires_at).then_some(&row.software)
    }

    /// The number of streams that are kept.
    pub fn count(&self) -> usize {
        self.rows.len()
    }

    /// Takes the notes of some services that other instances have not been told of.
    pub fn take_untold(
        &mut self,
        services: &BTreeSet<ServiceId>,
        now: Instant,
    ) -> Vec<SoftwareNote> {
        let mut notes = Vec::new();
        for (stream, row) in &mut self.rows {
            let untold = row.untold.as_ref();
            if now >= row.expires_at || untold.is_none_or(|service| !services.contains(service)) {
                continue;
            }
            row.untold = None;
            notes.push(SoftwareNote {
                life: row.expires_at - now,
                software: row.software.clone(),
                stream: *stream,
            });
        }
        notes
    }

    fn add(&mut self, note: SoftwareNote, untold: Option<ServiceId>, now: Instant) {
        self.drop_old(now);
        let row = NoteRow {
            expires_at: now + note.life.min(MAX_LIFE),
            software: note.software,
            untold,
        };
        self.rows.insert(note.stream, row);
        self.order.push_back((now + MAX_LIFE, note.stream));
    }

    /// Drops the streams that were recorded [`MAX_LIFE`] ago, and the oldest ones of too many.
    fn drop_old(&mut self, now: Instant) {
        while let Some((drop_at, stream)) = self.order.front().copied() {
            if now < drop_at && self.order.len() < MAX_STREAMS {
                return;
            }
            self.order.pop_front();
            let row = self.rows.get(&stream);
            if row.is_some_and(|row| now >= row.expires_at || self.order.len() >= MAX_STREAMS - 1) {
                self.rows.remove(&stream);
            }
        }
    }
}
