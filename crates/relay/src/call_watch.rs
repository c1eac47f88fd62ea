//! Watches a connection to an upstream, which carries one call at a time.

use {
    crate::{HeadMeter, StreamWatch},
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
    },
};

/// What the connection knows of its current call. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct CallWatch {
    head: HeadMeter,
    is_open: Arc<AtomicBool>,
}

impl CallWatch {
    /// A call is about to be sent.
    pub fn begin_call(&self) {
        self.head.begin_head();
        self.is_open.store(true, Ordering::Release);
    }

    /// The answer was read to its end.
    pub fn end_call(&self) {
        self.is_open.store(false, Ordering::Release);
    }

    /// The head of the answer has arrived.
    pub fn end_head(&self) {
        self.head.end_head();
    }
}

impl StreamWatch for CallWatch {
    /// Whether a call is given up. What was written of it may still be on its way, and would arrive after an ordinary close.
    fn is_cut_short(&self) -> bool {
        self.is_open.load(Ordering::Acquire)
    }

    fn note_read(&self, bytes: usize) -> io::Result<()> {
        self.head.note_read(bytes)
    }
}
