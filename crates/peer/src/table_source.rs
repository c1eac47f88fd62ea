//! Where the table comes from and goes to.

use {
    crate::{peer_error::PeerError, table_revision::TableRevision},
    bytes::Bytes,
    kernel::{InstanceId, TableVersion},
    std::future::Future,
};

/// The holder of the table in force, as the membership needs it. The content is opaque here.
pub trait TableSource: Send + Sync + 'static {
    /// What a peer that has `since` is missing; none when this instance has nothing newer.
    fn changes(&self, since: TableVersion) -> Option<Bytes>;

    /// The table in force.
    fn revision(&self) -> TableRevision;

    /// The version after which to ask a peer for changes; 0 asks for all.
    fn pull_since(&self) -> TableVersion {
        self.revision().version
    }

    /// Puts in force what a peer gave, and tells what is in force then.
    ///
    /// # Errors
    ///
    /// When the content can't be read or is refused.
    fn apply(
        &self,
        from: &InstanceId,
        content: Bytes,
    ) -> impl Future<Output = Result<TableRevision, PeerError>> + Send;
}
