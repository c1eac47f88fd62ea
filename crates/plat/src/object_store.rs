//! The platform's object store.

use {crate::plat_error::PlatError, bytes::Bytes, std::future::Future};

/// Whole objects by key.
pub trait ObjectStore: Send + Sync {
    /// Reads one object; `None` if it does not exist.
    fn get_object(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<Bytes>, PlatError>> + Send;
    /// Writes one complete object.
    fn put_object(
        &self,
        key: &str,
        content: Bytes,
    ) -> impl Future<Output = Result<(), PlatError>> + Send;
}
