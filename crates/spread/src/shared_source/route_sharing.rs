//! Shares the routes with other instances.

use {
    super::SharedSource,
    crate::SpreadState,
    plat::RowStore,
    policy::StoreVersion,
    relay::{OperatorSource, RouteSnapshot, RouteUpdate},
    std::time::{Duration, Instant},
    tokio::time,
};

impl<S: OperatorSource + RowStore> SharedSource<S> {
    /// Waits for routes that another instance has read, or until this instance reads the store
    /// itself.
    pub(super) async fn wait_for_routes(&self, after: StoreVersion, wait: Duration) -> RouteUpdate {
        let mut state = self.members.state.subscribe();
        let is_over = |state: &SpreadState| state.reads_store || state.has_routes_after(after);
        let waiting = time::timeout(wait, state.wait_for(is_over)).await;
        let Ok(Ok(state)) = waiting else {
            return RouteUpdate::Unchanged(after, None);
        };
        let is_newer = state.has_routes_after(after);
        match state.routes_snapshot().filter(|_| is_newer) {
            Some(snapshot) => RouteUpdate::Changed(Box::new(snapshot)),
            None => RouteUpdate::Unchanged(after, None),
        }
    }

    /// The known routes, while another instance reads for this one.
    pub(super) fn peer_routes(&self) -> Option<RouteSnapshot> {
        let state = self.members.state.borrow();
        state.routes_snapshot().filter(|_| !state.reads_store)
    }

    /// Keeps routes read from the store, to pass them on.
    pub(super) fn keep_routes(&self, snapshot: &RouteSnapshot) {
        self.members.state.send_modify(|state| {
            if let Some(evacuations) = snapshot.evacuations.clone() {
                state.apply_evacuations(evacuations);
            }
            if let Some(table) = snapshot.table.clone() {
                state.apply_routes(table, snapshot.version, snapshot.as_of);
            }
        });
    }

    /// Records that the known routes were the newest at `as_of`. Other instances learn it with the
    /// next update, or at once if the routes had not been confirmed for long.
    pub(super) fn note_unchanged(&self, as_of: Instant) {
        self.members.state.send_if_modified(|state| {
            let version = state.routes.as_ref().map(|(table, _)| table.version);
            let before = state.update_count;
            if let Some(version) = version {
                state.note_current_routes(version, as_of);
            }
            state.update_count > before
        });
    }
}
