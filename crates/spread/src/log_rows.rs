//! The rows of the log of streams in the store.

use {
    base64::{Engine, engine::general_purpose::STANDARD_NO_PAD},
    kernel::{SoftwareVersion, ZoneId},
    policy::{LogRow, LoggedNote, StreamKey},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Prefix of all keys of the log.
const LOG_PREFIX: &str = "notes/";

/// The content of a row. The order of fields is the format.
#[derive(Debug, Deserialize, Serialize)]
struct RowContent {
    /// When the first of the notes expires, in milliseconds of the store's clock.
    base_ms: u64,
    /// The stream, the index of its version, and how long after the first it expires, in milliseconds.
    notes: Vec<(StreamKey, u16, u64)>,
    versions: Vec<SoftwareVersion>,
}

/// Prefix of the keys of a shard.
pub(crate) fn shard_prefix(shard: u64) -> String {
    format!("{LOG_PREFIX}{shard}/")
}

/// Key of a row of a zone.
pub(crate) fn row_key(zone: &ZoneId, row: &LogRow) -> Arc<str> {
    format!("{LOG_PREFIX}{}/{zone}/{}", row.shard, row.slot).into()
}

/// Encodes notes as text, which is what rows hold.
pub(crate) fn encode_notes(notes: &[LoggedNote]) -> Arc<str> {
    let base_ms = notes.iter().map(|note| note.expires_ms).min();
    let mut content = RowContent {
        base_ms: base_ms.unwrap_or_default(),
        notes: Vec::new(),
        versions: Vec::new(),
    };
    let mut indices: BTreeMap<&SoftwareVersion, u16> = BTreeMap::new();
    for note in notes {
        let index = *indices.entry(&note.software).or_insert_with(|| {
            content.versions.push(note.software.clone());
            (content.versions.len() - 1) as u16
        });
        let life = note.expires_ms - content.base_ms;
        content.notes.push((note.stream, index, life));
    }
    // Strings and numbers always serialise.
    let bytes = postcard::to_stdvec(&content).unwrap_or_default();
    STANDARD_NO_PAD.encode(bytes).into()
}

/// Decodes a row; `None` if it can't be read.
pub(crate) fn decode_notes(value: &str) -> Option<Vec<LoggedNote>> {
    let bytes = STANDARD_NO_PAD.decode(value).ok()?;
    let content: RowContent = postcard::from_bytes(&bytes).ok()?;
    let notes = content.notes.into_iter();
    let notes = notes.map(|(stream, index, life)| {
        Some(LoggedNote {
            expires_ms: content.base_ms + life,
            software: content.versions.get(usize::from(index))?.clone(),
            stream,
        })
    });
    notes.collect()
}
