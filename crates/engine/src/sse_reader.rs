//! A parser for server-sent events.

use bytes::{Bytes, BytesMut};

/// The maximum size of one event.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

const DATA_FIELD: &[u8] = b"data:";

/// Buffers chunks of bytes and returns the data of complete events. Fields other than `data` are ignored.
#[derive(Debug, Default)]
pub struct SseReader {
    buffer: BytesMut,
    data: Option<BytesMut>,
    scanned: usize,
}

impl SseReader {
    /// Whether the buffer contains an incomplete event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty() || self.data.is_some()
    }

    /// Whether the incomplete event exceeds [`MAX_EVENT_BYTES`].
    pub fn is_too_large(&self) -> bool {
        self.buffer.len() + self.data.as_ref().map_or(0, BytesMut::len) > MAX_EVENT_BYTES
    }

    /// Creates a reader with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the data of the next complete event, or `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<Bytes> {
        while let Some(line) = self.next_line() {
            if line.is_empty() {
                let Some(data) = self.data.take() else {
                    continue;
                };
                return Some(data.freeze());
            }
            let Some(value) = line.strip_prefix(DATA_FIELD) else {
                continue;
            };
            let value = value.strip_prefix(b" ").unwrap_or(value);
            match &mut self.data {
                None => self.data = Some(BytesMut::from(value)),
                Some(data) => {
                    data.extend_from_slice(b"\n");
                    data.extend_from_slice(value);
                }
            }
        }
        None
    }

    /// Appends a chunk to the buffer.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    fn next_line(&mut self) -> Option<Bytes> {
        let found = self.buffer[self.scanned..]
            .iter()
            .position(|byte| *byte == b'\n');
        let Some(offset) = found else {
            self.scanned = self.buffer.len();
            return None;
        };
        let end = self.scanned + offset;
        let mut line = self.buffer.split_to(end + 1).freeze();
        self.scanned = 0;
        line.truncate(end);
        if line.ends_with(b"\r") {
            line.truncate(end - 1);
        }
        Some(line)
    }
}
