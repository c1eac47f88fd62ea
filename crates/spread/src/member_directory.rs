//! The rows of the instances of one availability zone in the store.

use {
    crate::MemberRow,
    kernel::{InstanceId, ZoneId},
    plat::{PlatError, RowStore, Transaction},
    std::sync::Arc,
};

/// Reads the rows, and writes the own one.
#[derive(Debug)]
pub struct MemberDirectory<S> {
    own: MemberRow,
    store: Arc<S>,
    /// What the keys of the zone begin with.
    prefix: String,
}

impl<S: RowStore> MemberDirectory<S> {
    /// The directory of a zone, for one of its instances.
    pub fn new(store: Arc<S>, zone: &ZoneId, own: MemberRow) -> Self {
        Self {
            own,
            prefix: format!("members/{zone}/"),
            store,
        }
    }

    /// The own row.
    pub fn own(&self) -> &MemberRow {
        &self.own
    }

    /// Reads the rows of the zone and writes the own one if it is not there as it should be. `silent` are members that
    /// nobody has heard of for long: their rows are removed.
    ///
    /// # Errors
    ///
    /// The rows can't be read. A write that fails is made up for by the next refresh.
    pub async fn refresh(&self, silent: &[InstanceId]) -> Result<Vec<MemberRow>, PlatError> {
        let rows = self.store.scan(&self.prefix).await?;
        let mut members = Vec::new();
        let mut own_version = 0;
        let mut changes = Transaction::default();
        for row in &rows {
            let member = match serde_json::from_str::<MemberRow>(&row.value) {
                Ok(member) => member,
                Err(error) => {
                    tracing::warn!(key = %row.key, %error, "a member row can't be read");
                    continue;
                }
            };
            if member.instance == self.own.instance {
                own_version = row.version;
                if member != self.own {
                    continue;
                }
            } else if silent.contains(&member.instance) {
                changes.remove(row);
                continue;
            }
            members.push(member);
        }
        if !members.contains(&self.own) {
            self.add_own(&mut changes, own_version);
            members.push(self.own.clone());
        }
        if !changes.writes.is_empty() {
            // Each write has the version that was read as its condition, so one that is done late does no harm.
            let outcome = self.store.commit(&changes).await;
            tracing::info!(
                ?outcome,
                writes = changes.writes.len(),
                "member rows written"
            );
        }
        Ok(members)
    }

    fn add_own(&self, changes: &mut Transaction, version: u64) {
        let key: Arc<str> = format!("{}{}", self.prefix, self.own.instance).into();
        // A struct of texts always has a JSON text.
        let value = serde_json::to_string(&self.own).unwrap_or_default();
        changes.write(key, version, value.into());
    }
}
