//! Shares the routes with other instances.

use {
    super::SharedSource,
    crate::SpreadState,
    plat::RowStore,
    relay::{BookNews, BookReading, OperatorSource, StoreVersion},
    std::time::{Duration, Instant},
    tokio::time,
};

impl<S: OperatorSource + RowStore> SharedSource<S> {
    /// Waits for routes that another instance has read, or until this instance reads the store
    /// itself.
    pub(super) async fn wait_for_routes(&self, after: StoreVersion, wait: Duration) -> BookNews {
        let mut state = self.members.state.subscribe();
        let is_over =
            |state: &SpreadState| state.reads_store || state.routes_after(after).is_some();
        let waiting = time::timeout(wait, state.wait_for(is_over)).await;
        let Ok(Ok(state)) = waiting else {
            return BookNews::Unchanged(after, None);
        };
        let reading = state
            .routes_after(after)
            .and_then(|_| state.routes_reading());
        match reading {
            Some(reading) => BookNews::Changed(Box::new(reading)),
            None => BookNews::Unchanged(after, None),
        }
    }

    /// The known routes, while another instance reads for this one.
    pub(super) fn peer_routes(&self) -> Option<BookReading> {
        let state = self.members.state.borrow();
        state.routes_reading().filter(|_| !state.reads_store)
    }

    /// Keeps routes read from the store, to pass them on.
    pub(super) fn keep_routes(&self, reading: &BookReading) {
        let Some(book) = reading.book.clone() else {
            return;
        };
        self.members
            .state
            .send_modify(|state| state.apply_routes(book, reading.version, reading.as_of));
    }

    /// Records that the known routes were the newest at `as_of`. Other instances learn it with the
    /// next update, or at once if the routes had not been confirmed for long.
    pub(super) fn note_unchanged(&self, as_of: Instant) {
        self.members.state.send_if_modified(|state| {
            let version = state.routes.as_ref().map(|(book, _)| book.version);
            let before = state.update_count;
            if let Some(version) = version {
                state.note_current_routes(version, as_of);
            }
            state.update_count > before
        });
    }
}
