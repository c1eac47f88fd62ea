//! Bounds what an upstream may send before the head of its answer is complete.
//!
//! The HTTP client bounds a single head. It skips interim answers, which may come without end, and parses an incomplete head
//! again whenever a piece of it arrives.

use {
    crate::StreamWatch,
    std::{
        io::{self, ErrorKind},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
    },
};

/// Maximum size of all heads of an answer, interim ones included, and of what the HTTP client reads of the body before it
/// hands the head over, bytes.
const MAX_HEAD_BYTES: usize = 128 << 10;
/// Maximum number of pieces in which they arrive.
const MAX_HEAD_READS: usize = 128;

/// What was read of the head of the current answer. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct HeadMeter {
    state: Arc<MeterState>,
}

#[derive(Debug, Default)]
struct MeterState {
    bytes: AtomicUsize,
    is_in_head: AtomicBool,
    reads: AtomicUsize,
}

impl HeadMeter {
    /// A call is about to be sent, and the head of its answer is next.
    pub fn begin_head(&self) {
        self.state.bytes.store(0, Ordering::Relaxed);
        self.state.reads.store(0, Ordering::Relaxed);
        self.state.is_in_head.store(true, Ordering::Release);
    }

    /// The head has arrived.
    pub fn end_head(&self) {
        self.state.is_in_head.store(false, Ordering::Release);
    }
}

impl StreamWatch for HeadMeter {
    /// Fails when the head is longer, or comes in more pieces, than any proper one.
    fn note_read(&self, bytes: usize) -> io::Result<()> {
        if !self.state.is_in_head.load(Ordering::Acquire) {
            return Ok(());
        }
        let bytes = self.state.bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let reads = self.state.reads.fetch_add(1, Ordering::Relaxed) + 1;
        match bytes > MAX_HEAD_BYTES || reads > MAX_HEAD_READS {
            true => Err(io::Error::new(
                ErrorKind::InvalidData,
                format!("no head of an answer in {bytes} bytes and {reads} pieces"),
            )),
            false => Ok(()),
        }
    }
}
