//! The notes of streams of one availability zone that are to outlast all instances. Free of I/O; times are those of the
//! store's clock, which all processes share.
//!
//! The rows are a ring: a row has the notes of one shard of streams that were told within one slot of time, and is
//! overwritten after [`LOG_SLOTS`] of them. So the store keeps a fixed number of rows.

use {
    crate::{SoftwareNote, StreamKey},
    kernel::SoftwareVersion,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// How many rows the streams of a slot are spread over.
pub const LOG_SHARDS: u64 = 8;
/// How many slots the ring has.
pub const LOG_SLOTS: u64 = 8;
/// The time of a slot.
const SLOT_TIME: Duration = Duration::from_secs(4);
/// Notes that wait to be written; further ones are dropped.
const MAX_QUEUED: usize = 8_192;
/// Notes of a row, which stays below what the store takes; further ones are dropped.
const MAX_ROW_NOTES: usize = 2_500;

/// A stream in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoggedNote {
    /// Until when the caller may come back, in milliseconds of the store's clock.
    pub expires_ms: u64,
    /// The version at which the stream began.
    pub software: SoftwareVersion,
    /// The stream.
    pub stream: StreamKey,
}

/// The row of a shard in a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogRow {
    /// Its notes.
    pub notes: Vec<LoggedNote>,
    /// The shard.
    pub shard: u64,
    /// The slot of the ring.
    pub slot: u64,
    /// The version of the stored row whose notes are part of it, 0 for none. It may replace no other one.
    pub version: u64,
}

#[derive(Clone, Debug, Default)]
struct Shard {
    is_dirty: bool,
    notes: BTreeMap<StreamKey, LoggedNote>,
    /// The version of the stored row; `None` until the first write of the slot.
    version: Option<u64>,
}

/// The log as its writer keeps it.
#[derive(Clone, Debug)]
pub struct NoteLog {
    dropped: u64,
    queued: Vec<LoggedNote>,
    shards: Vec<Shard>,
    /// Counts the slots since the start of the store's clock.
    slot: u64,
}

/// The shard of a stream.
pub fn log_shard(stream: StreamKey) -> u64 {
    stream % LOG_SHARDS
}

impl NoteLog {
    /// An empty log.
    pub fn new() -> Self {
        Self {
            dropped: 0,
            queued: Vec::new(),
            shards: vec![Shard::default(); LOG_SHARDS as usize],
            slot: 0,
        }
    }

    /// Adds a stream, which is written next.
    pub fn add(&mut self, note: SoftwareNote, clock: Duration) {
        if self.queued.len() >= MAX_QUEUED {
            self.dropped += 1;
            return;
        }
        self.queued.push(LoggedNote {
            expires_ms: (clock + note.life).as_millis() as u64,
            software: note.software,
            stream: note.stream,
        });
    }

    /// The rows to write now. They are written again until [`Self::note_written`].
    pub fn rows(&mut self, clock: Duration) -> Vec<LogRow> {
        let slot = clock.as_millis() as u64 / SLOT_TIME.as_millis() as u64;
        if slot != self.slot {
            self.slot = slot;
            for shard in &mut self.shards {
                let unwritten = std::mem::take(shard);
                if unwritten.is_dirty {
                    self.queued.extend(unwritten.notes.into_values());
                }
            }
        }
        for note in std::mem::take(&mut self.queued) {
            let shard = log_shard(note.stream) as usize;
            if self.insert(note, clock) {
                self.shards[shard].is_dirty = true;
            }
        }
        if !self.shards.iter().any(|shard| shard.is_dirty) {
            return Vec::new();
        }
        // The first write of a slot names all rows, so that one refusal brings what others wrote to any of them.
        let shards = self.shards.iter().zip(0..);
        let due = shards.filter(|(shard, _)| shard.is_dirty || shard.version.is_none());
        let rows = due.map(|(shard, number)| LogRow {
            notes: shard.notes.values().cloned().collect(),
            shard: number,
            slot: slot % LOG_SLOTS,
            version: shard.version.unwrap_or_default(),
        });
        rows.collect()
    }

    /// Merges the stored row of a shard in the present slot, which has this version; 0 if there is none.
    pub fn merge(&mut self, shard: u64, version: u64, notes: Vec<LoggedNote>, clock: Duration) {
        for note in notes {
            if log_shard(note.stream) == shard {
                self.insert(note, clock);
            }
        }
        self.shards[shard as usize].version = Some(version);
    }

    /// Records that rows were written. The store counts the writes of a row.
    pub fn note_written(&mut self, rows: &[LogRow]) {
        for row in rows {
            let shard = &mut self.shards[row.shard as usize];
            shard.is_dirty = false;
            shard.version = Some(row.version + 1);
        }
    }

    /// Whether there is something to write.
    pub fn is_pending(&self) -> bool {
        !self.queued.is_empty() || self.shards.iter().any(|shard| shard.is_dirty)
    }

    /// Takes the number of notes that were dropped since the last time.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Adds a note to its row; whether that changed the row.
    fn insert(&mut self, note: LoggedNote, clock: Duration) -> bool {
        if u128::from(note.expires_ms) <= clock.as_millis() {
            return false;
        }
        let notes = &mut self.shards[log_shard(note.stream) as usize].notes;
        match notes.get(&note.stream) {
            Some(known) if known.expires_ms >= note.expires_ms => return false,
            None if notes.len() >= MAX_ROW_NOTES => {
                self.dropped += 1;
                return false;
            }
            _ => {}
        }
        notes.insert(note.stream, note);
        true
    }
}

impl Default for NoteLog {
    fn default() -> Self {
        Self::new()
    }
}
