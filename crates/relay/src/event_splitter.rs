//! Splits a stream of server-sent events into whole events.

use {
    bytes::{Bytes, BytesMut},
    std::sync::Arc,
};

/// The field of an event that carries its id.
const ID_FIELD: &[u8] = b"id:";

/// Whole events that came together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EventBatch {
    /// The bytes, up to the end of the last whole event.
    pub bytes: Bytes,
    /// The id of the last event that has one.
    pub last_id: Option<Arc<str>>,
}

/// Holds the bytes of an event back until it is whole, so that a caller never gets half of one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// How many bytes of an unfinished event are held.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Adds bytes and gives the events that are whole now, if there are any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<EventBatch> {
        self.buffer.extend_from_slice(bytes);
        let end = last_event_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let last_id = last_id(&bytes);
        Some(EventBatch { bytes, last_id })
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let blank = |index: &usize| {
        bytes[..*index].ends_with(b"\n\n") || bytes[..*index].ends_with(b"\r\n\r\n")
    };
    (1..=bytes.len()).rev().find(blank)
}

fn last_id(bytes: &[u8]) -> Option<Arc<str>> {
    let mut last = None;
    for line in bytes.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(ID_FIELD) else {
            continue;
        };
        last = std::str::from_utf8(value.trim_ascii()).ok();
    }
    last.map(Arc::from)
}
