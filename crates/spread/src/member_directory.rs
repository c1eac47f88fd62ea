//! The directory of the instances in the store: who they are, and the key that signs their certificates.
//!
//! A row for each availability zone has all its members, so that one call tells a new life whom to ask. The row with the
//! key is written once, by the first instance ever. Whoever may read and write the store may join: the store is what the
//! instances trust, and they have nothing else that outlasts them.

use {
    crate::{
        DirectoryView, MemberRow,
        directory_view::{AUTHORITY_KEY, DIRECTORY_PREFIX, zone_key},
    },
    plat::{PlatError, RowStore, Transaction, TransactionReply},
    std::sync::Arc,
};

/// Reads the directory, and writes the row of the own zone.
#[derive(Debug)]
pub struct MemberDirectory<S> {
    own: MemberRow,
    store: Arc<S>,
}

impl<S: RowStore> MemberDirectory<S> {
    /// The directory, for one instance.
    pub fn new(store: Arc<S>, own: MemberRow) -> Self {
        Self { own, store }
    }

    /// The instance itself.
    pub fn own(&self) -> &MemberRow {
        &self.own
    }

    /// Reads the directory: one call.
    ///
    /// # Errors
    ///
    /// The rows can't be read.
    pub async fn read(&self) -> Result<DirectoryView, PlatError> {
        let rows = self.store.scan(DIRECTORY_PREFIX).await?;
        Ok(DirectoryView::new(&rows))
    }

    /// Writes the members of the own zone, and the key if there is none, unless another instance has written since the
    /// view was read. Gives the view as it is then. One call, which does no harm when it is carried out late.
    ///
    /// # Errors
    ///
    /// The store gave no answer, or refused.
    pub async fn write(
        &self,
        view: DirectoryView,
        members: Vec<MemberRow>,
        authority: &Arc<str>,
    ) -> Result<DirectoryView, PlatError> {
        let mut view = view;
        let mut changes = Transaction::default();
        let key = zone_key(&self.own.zone);
        // A list of structs of texts and numbers always has a JSON text.
        let value = serde_json::to_string(&members).unwrap_or_default();
        changes.write(key.clone(), view.version(&key), value.into());
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
                tracing::info!("members of the availability zone written");
            }
            TransactionReply::Conflict { rows } => {
                for row in &rows {
                    view.take(row);
                }
            }
        }
        Ok(view)
    }
}
