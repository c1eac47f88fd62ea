//! Splits a stream of server-sent events at event boundaries.

use {
    crate::{BodyAllowance, BufferBudget, CollectError, CountedBuffer},
    bytes::Bytes,
    http::HeaderValue,
    std::sync::Arc,
};

/// Maximum size of an event, bytes: what may wait in the channel to a caller.
pub const MAX_EVENT_BYTES: usize = 64 << 10;
/// Maximum number of pieces in which an event arrives.
const MAX_EVENT_PIECES: usize = 1 << 10;
/// The memory of a partial event that is not counted: what a connection reads at a time.
const UNCOUNTED_BYTES: usize = 8 << 10;

/// The field that carries the id of an event.
const ID_FIELD: &[u8] = b"id:";

/// Consecutive complete events.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EventBatch {
    /// Their bytes, up to the end of the last complete event.
    pub bytes: Bytes,
    /// How many events they are.
    pub count: u64,
    /// Whether no call can name the last event that has an id, so that a stream can't go on after it.
    pub has_unfit_id: bool,
    /// The id of the last event that has one; `None` if no call can name it.
    pub last_id: Option<Arc<str>>,
}

/// Buffers a partial event until it is complete, so that a caller never receives half an event.
#[derive(Debug)]
pub struct EventSplitter {
    allowance: BodyAllowance,
    buffer: CountedBuffer,
    /// The pieces of the buffered partial event.
    pieces: usize,
}

impl EventSplitter {
    /// An empty splitter whose stream may take `allowance`, and whose buffer counts towards `budget`.
    pub fn new(budget: &BufferBudget, allowance: BodyAllowance) -> Self {
        Self {
            allowance,
            buffer: CountedBuffer::new(budget, UNCOUNTED_BYTES),
            pieces: 0,
        }
    }

    /// Size of the buffered partial event, bytes.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.bytes().len()
    }

    /// Appends bytes and returns the events that are now complete, if any.
    ///
    /// # Errors
    ///
    /// The stream or an event of it is too large, or there is no memory for the event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<EventBatch>, CollectError> {
        self.allowance.take(bytes.len())?;
        let searched = self.pending_bytes();
        self.buffer.extend(bytes, MAX_EVENT_BYTES)?;
        let end = last_event_end(self.buffer.bytes(), searched).unwrap_or(0);
        self.pieces = match end {
            0 => self.pieces + 1,
            _ => 1,
        };
        if self.pending_bytes() - end > MAX_EVENT_BYTES || self.pieces > MAX_EVENT_PIECES {
            return Err(CollectError::TooLarge);
        }
        Ok((end > 0).then(|| self.take_events(end)))
    }

    /// Takes the first `end` bytes, which are complete events, in memory of their own size.
    fn take_events(&mut self, end: usize) -> EventBatch {
        let bytes = self.buffer.take_front(end);
        let id = last_id(&bytes);
        let last_id = id.and_then(fit_id);
        EventBatch {
            count: event_count(&bytes),
            has_unfit_id: id.is_some() && last_id.is_none(),
            last_id,
            bytes,
        }
    }
}

/// The end of the last event that ends behind the first `searched` bytes.
fn last_event_end(bytes: &[u8], searched: usize) -> Option<usize> {
    let blank = |index: &usize| {
        bytes[..*index].ends_with(b"\n\n") || bytes[..*index].ends_with(b"\r\n\r\n")
    };
    (searched + 1..=bytes.len()).rev().find(blank)
}

/// The number of non-empty blocks between blank lines.
fn event_count(bytes: &[u8]) -> u64 {
    let mut count = 0;
    let mut has_content = false;
    for line in bytes.split(|byte| *byte == b'\n') {
        let is_blank = line.strip_suffix(b"\r").unwrap_or(line).is_empty();
        if is_blank && has_content {
            count += 1;
        }
        has_content = !is_blank;
    }
    count
}

fn last_id(bytes: &[u8]) -> Option<&[u8]> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    ids.next_back().map(<[u8]>::trim_ascii)
}

/// An id that names an event in a header; `None` for one that no header can carry.
fn fit_id(id: &[u8]) -> Option<Arc<str>> {
    HeaderValue::from_bytes(id).ok()?;
    let text = std::str::from_utf8(id).ok();
    text.filter(|text| !text.is_empty()).map(Arc::from)
}
