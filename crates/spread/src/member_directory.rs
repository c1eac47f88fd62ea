//! The directory of instances in the store: the members, and the key that signs their certificates.
//!
//! One row per availability zone holds all members of the zone, so that a starting instance learns
//! with one call whom to ask. The row with the key is written once, by the very first instance.
//! Whoever may read and write the store may join: the instances trust the store, and have nothing
//! else that outlasts them.

use {
    crate::{
        DirectoryView, MemberRow,
        directory_view::{AUTHORITY_KEY, DIRECTORY_PREFIX, SOFTWARE_KEY, zone_key},
    },
    plat::{PlatError, RowStore, Transaction, TransactionReply},
    std::sync::Arc,
};

/// Reads the directory and writes the row of the own zone.
#[derive(Debug)]
pub struct MemberDirectory<S> {
    own: MemberRow,
    store: Arc<S>,
}

impl<S: RowStore> MemberDirectory<S> {
    /// A client of the directory for one instance.
    pub fn new(store: Arc<S>, own: MemberRow) -> Self {
        Self { own, store }
    }

    /// Entry of this instance.
    pub fn own(&self) -> &MemberRow {
        &self.own
    }

    /// Reads the directory with one call.
    ///
    /// # Errors
    ///
    /// The rows can't be read.
    pub async fn read(&self) -> Result<DirectoryView, PlatError> {
        let rows = self.store.scan(DIRECTORY_PREFIX).await?;
        Ok(DirectoryView::new(&rows))
    }

    /// Writes the members of the own zone, the software versions, if any are given, and the key if there is none, unless
    /// another instance has written since `view` was read. Returns the resulting view. This is a single call, which is
    /// harmless if it takes effect late.
    ///
    /// # Errors
    ///
    /// The store did not answer, or refused.
    pub async fn write(
        &self,
        view: DirectoryView,
        members: Vec<MemberRow>,
        authority: &Arc<str>,
    ) -> Result<DirectoryView, PlatError> {
        let mut view = view;
        let mut changes = Transaction::default();
        let key = zone_key(&self.own.zone);
        // A list of structs of strings and numbers always serialises.
        let value = serde_json::to_string(&members).unwrap_or_default();
        changes.write(key.clone(), view.version(&key), value.into());
        let draft = view.draft.take();
        let draft =
            draft.filter(|draft| !draft.is_empty() && view.software.as_ref() != Some(draft));
        if let Some(draft) = &draft {
            let value = serde_json::to_string(draft).unwrap_or_default();
            changes.write(
                SOFTWARE_KEY.into(),
                view.version(SOFTWARE_KEY),
                value.into(),
            );
        }
        if view.authority.is_none() {
            changes.write(
                AUTHORITY_KEY.into(),
                view.version(AUTHORITY_KEY),
                authority.clone(),
            );
        }
        match self.store.commit(&changes).await? {
            TransactionReply::Committed => {
                view.authority.get_or_insert_with(|| authority.clone());
                view.zones.insert(self.own.zone.clone(), members);
                view.software = draft.or(view.software);
                tracing::info!("wrote the members of the availability zone");
            }
            TransactionReply::Conflict { rows } => {
                for row in &rows {
                    view.apply(row);
                }
            }
        }
        Ok(view)
    }
}
