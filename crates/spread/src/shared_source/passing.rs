//! The routes, as they come from another instance or go to others.

use {
    super::SharedSource,
    crate::SpreadState,
    plat::RowStore,
    relay::{OperatorSource, RouteSnapshot, RouteUpdate, StoreVersion},
    std::time::{Duration, Instant},
    tokio::time,
};

impl<S: OperatorSource + RowStore> SharedSource<S> {
    /// Waits for routes that another instance has read, or until this one reads the store itself.
    pub(super) async fn await_passed(&self, after: StoreVersion, wait: Duration) -> RouteUpdate {
        let mut state = self.members.state.subscribe();
        let is_over = |state: &SpreadState| state.reads_store || state.book_after(after).is_some();
        let waiting = time::timeout(wait, state.wait_for(is_over)).await;
        let Ok(Ok(state)) = waiting else {
            return RouteUpdate::Unchanged(after, None);
        };
        let newer = state.book_after(after).and_then(|_| state.book_reading());
        match newer {
            Some(reading) => RouteUpdate::Changed(Box::new(reading)),
            None => RouteUpdate::Unchanged(after, None),
        }
    }

    /// The routes that are known already, while another instance reads for this one.
    pub(super) fn passed_book(&self) -> Option<RouteSnapshot> {
        let state = self.members.state.borrow();
        state.book_reading().filter(|_| !state.reads_store)
    }

    /// Keeps routes that the store gave, to pass them on.
    pub(super) fn keep_book(&self, reading: &RouteSnapshot) {
        let Some(book) = reading.table.clone() else {
            return;
        };
        self.members
            .state
            .send_modify(|state| state.take_book(book, reading.version, reading.as_of));
    }

    /// The routes that are known were the newest at a moment. It goes along with the next reading, unless they were not known to
    /// be for long.
    pub(super) fn note_unchanged(&self, as_of: Instant) {
        self.members.state.send_if_modified(|state| {
            let version = state.book.as_ref().map(|(book, _)| book.version);
            let before = state.news_count;
            if let Some(version) = version {
                state.note_newest(version, as_of);
            }
            state.news_count > before
        });
    }
}
