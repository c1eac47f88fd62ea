//! A decode place that this instance holds for a request.

use {
    crate::{PlaceClient, PlaceScope},
    kernel::UpstreamId,
    sched::{HeldStream, PlaceKey, PlaceNote},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// What is known of a held place. The request writes it and announcements read it.
#[derive(Debug)]
pub struct HeldEntry {
    events: AtomicU64,
    has_begun: AtomicBool,
    /// The cell of the engine.
    pub scope: PlaceScope,
    stream: HeldStream,
}

impl HeldEntry {
    /// The place as it is announced now.
    pub fn stream(&self) -> HeldStream {
        let has_begun = self.has_begun.load(Ordering::Acquire);
        HeldStream {
            events: has_begun.then(|| self.events.load(Ordering::Relaxed)),
            ..self.stream.clone()
        }
    }

    /// The attempt that holds the place.
    pub fn key(&self) -> &PlaceKey {
        &self.stream.key
    }
}

/// Follows one place and reports what becomes of it. Dropped before its stream has begun it reports that the place is free
/// again, and after that the end of a stream that is not whole.
#[derive(Debug)]
pub struct HeldPlace {
    client: PlaceClient,
    entry: Arc<HeldEntry>,
    is_reported: bool,
}

impl HeldPlace {
    /// Follows a place; `stream` is the place at its beginning.
    pub fn new(client: PlaceClient, scope: PlaceScope, stream: HeldStream) -> Self {
        let entry = Arc::new(HeldEntry {
            events: AtomicU64::new(0),
            has_begun: AtomicBool::new(false),
            scope,
            stream,
        });
        client.hold(entry.clone());
        Self {
            client,
            entry,
            is_reported: false,
        }
    }

    /// Announces a place that no scheduler gave.
    pub fn announce(&self) {
        self.note(PlaceNote::Holds(self.entry.stream()));
    }

    /// The first event arrived.
    pub fn began(&self) {
        if !self.entry.has_begun.swap(true, Ordering::AcqRel) {
            self.note(PlaceNote::Began(self.entry.key().clone()));
        }
    }

    /// Counts events that arrived.
    pub fn note_events(&self, count: u64) {
        self.entry.events.fetch_add(count, Ordering::Relaxed);
    }

    /// A prefill for this place ended; `took` is `None` when it failed.
    pub fn prefilled(&self, engine: &UpstreamId, took: Option<Duration>) {
        self.note(PlaceNote::Prefilled {
            engine: engine.clone(),
            key: self.entry.key().clone(),
            took,
        });
    }

    /// The engine refused the place.
    pub fn rejected(mut self) {
        let key = self.entry.key().clone();
        self.report(PlaceNote::Rejected(key));
    }

    /// The stream ended; `is_whole` when its answer is complete.
    pub fn close(mut self, is_whole: bool) {
        let note = self.ended(is_whole);
        self.report(note);
    }

    fn ended(&self, is_whole: bool) -> PlaceNote {
        PlaceNote::Ended {
            events: self.entry.events.load(Ordering::Relaxed),
            is_whole,
            key: self.entry.key().clone(),
        }
    }

    fn note(&self, note: PlaceNote) {
        self.client.note(self.entry.scope.clone(), note);
    }

    /// Reports the end of the place. It is no longer announced from then on.
    fn report(&mut self, note: PlaceNote) {
        if std::mem::replace(&mut self.is_reported, true) {
            return;
        }
        self.client.release(self.entry.key());
        self.note(note);
    }
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        let note = match self.entry.has_begun.load(Ordering::Acquire) {
            true => self.ended(false),
            false => PlaceNote::Released(self.entry.key().clone()),
        };
        self.report(note);
    }
}
