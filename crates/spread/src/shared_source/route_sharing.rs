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
    pub(super) async fn wait_for_routes(&self, after: StoreVersion, wait: Duration) -> RouteUpdate {
        let mut state = self.members.state.subscribe();
        let is_over =
            |state: &SpreadState| state.reads_store || state.routes_after(after).is_some();
        let waiting = time::timeout(wait, state.wait_for(is_over)).await;
        let Ok(Ok(state)) = waiting else {
            return RouteUpdate::Unchanged(after, None);
        };
        let newer = state
            .routes_after(after)
            .and_then(|_| state.routes_reading());
        match newer {
            Some(reading) => RouteUpdate::Changed(Box::new(reading)),
            None => RouteUpdate::Unchanged(after, None),
        }
    }

    /// The routes that are known already, while another instance reads for this one.
    pub(super) fn peer_routes(&self) -> Option<RouteSnapshot> {
        let state = self.members.state.borrow();
        state.routes_reading().filter(|_| !state.reads_store)
    }

    /// Keeps routes that the store gave, to pass them on.
    pub(super) fn keep_routes(&self, reading: &RouteSnapshot) {
        let Some(book) = reading.table.clone() else {
            return;
        };
        self.members
            .state
            .send_modify(|state| state.apply_routes(book, reading.version, reading.as_of));
    }

    /// The routes that are known were the newest at a moment. It goes along with the next reading, unless they were not known to
    /// be for long.
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
