//! Keeps the software versions of each service in the directory.

use {super::SharedSource, plat::RowStore, policy::UpstreamRecord, relay::OperatorSource};

impl<S: OperatorSource + RowStore> SharedSource<S> {
    /// Has the versions of a list that was just read written, if it changes them, and leaves out what must not serve yet.
    pub(super) async fn write_versions(&self, records: &mut Vec<UpstreamRecord>) {
        let Some(view) = self.join.lock().as_ref().map(|join| join.view.clone()) else {
            return;
        };
        let (view, _) = self.versions.keep(view, records).await;
        if let Some(join) = self.join.lock().as_mut() {
            join.view = view;
        }
    }
}
