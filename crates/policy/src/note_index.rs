//! The streams that were read from the store's log of notes, by shard. Free of I/O.

use {
    crate::{LoggedNote, StreamKey, log_shard},
    kernel::SoftwareVersion,
    std::{collections::BTreeMap, time::Duration},
};

/// Streams that are kept of a shard; further ones are read again.
const MAX_STREAMS: usize = 65_536;

/// The streams of the shards that were read.
#[derive(Clone, Debug, Default)]
pub struct NoteIndex {
    shards: BTreeMap<u64, BTreeMap<StreamKey, SoftwareVersion>>,
}

impl NoteIndex {
    /// Replaces the streams of a shard by those that were read at `clock` of the store's clock.
    pub fn replace(&mut self, shard: u64, notes: Vec<LoggedNote>, clock: Option<Duration>) {
        let now_ms = clock.map_or(0, |clock| clock.as_millis() as u64);
        let live = notes.into_iter().filter(|note| note.expires_ms > now_ms);
        let streams = live.map(|note| (note.stream, note.software));
        self.shards
            .insert(shard, streams.take(MAX_STREAMS).collect());
    }

    /// The version at which a stream began, if it is known.
    pub fn software(&self, stream: StreamKey) -> Option<&SoftwareVersion> {
        self.shards.get(&log_shard(stream))?.get(&stream)
    }
}
