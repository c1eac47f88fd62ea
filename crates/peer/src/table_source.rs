//! The interface to the holder of the operators' table.

use {
    crate::{peer_error::PeerError, table_revision::TableRevision},
    bytes::Bytes,
    kernel::{InstanceId, TableVersion},
    std::future::Future,
};

/// Provides the table in force to peers and applies what they send. The content is opaque to this crate.
pub trait TableSource: Send + Sync + 'static {
    /// The changes after `since`; `None` when this instance has nothing newer.
    fn changes(&self, since: TableVersion) -> Option<Bytes>;

    /// The table in force.
    fn revision(&self) -> TableRevision;

    /// The version after which to request changes from a peer; 0 requests the full table.
    fn pull_since(&self) -> TableVersion {
        self.revision().version
    }

    /// Applies the changes from a peer and returns the resulting table revision.
    ///
    /// # Errors
    ///
    /// When the content can't be decoded or is refused.
    fn apply(
        &self,
        from: &InstanceId,
        content: Bytes,
    ) -> impl Future<Output = Result<TableRevision, PeerError>> + Send;
}
