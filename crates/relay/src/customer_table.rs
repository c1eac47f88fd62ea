//! The customers that the operators declare, found by their keys.

use {
    kernel::CustomerId,
    policy::{CallerKey, CustomerLimit, KeyDigest, KeyHasher, KeySalt},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
    table::Rank,
};

/// One customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CustomerInfo {
    /// The name.
    pub id: CustomerId,
    /// How much it may use; none without a bound.
    pub limit: Option<CustomerLimit>,
    /// Goes before the rank of a row; none leaves that.
    pub rank: Option<Rank>,
}

/// One customer with the digests of its keys, as instances pass it on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CustomerRow {
    /// The customer.
    pub info: CustomerInfo,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// All customers of one version.
#[derive(Clone, Debug)]
pub struct CustomerTable {
    by_key: HashMap<KeyDigest, Arc<CustomerInfo>>,
    customers: BTreeMap<CustomerId, Arc<CustomerInfo>>,
    hasher: KeyHasher,
}

impl CustomerTable {
    /// A customer by name.
    pub fn customer(&self, id: &str) -> Option<&Arc<CustomerInfo>> {
        self.customers.get(id)
    }

    /// The customers by name.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<CustomerInfo>> {
        self.customers.values()
    }

    /// The customer that holds a key.
    pub fn find(&self, key: &CallerKey) -> Option<&Arc<CustomerInfo>> {
        self.by_key.get(&self.hasher.digest(key))
    }

    /// A table of rows whose digests are keyed with a salt.
    pub fn new(salt: KeySalt, rows: Vec<CustomerRow>) -> Self {
        let mut table = Self {
            by_key: HashMap::new(),
            customers: BTreeMap::new(),
            hasher: KeyHasher::new(salt),
        };
        for row in rows {
            let info = Arc::new(row.info);
            for key in row.keys {
                table.by_key.insert(key, info.clone());
            }
            table.customers.insert(info.id.clone(), info);
        }
        table
    }

    /// The customers with the digests of their keys, and the salt of these.
    pub fn rows(&self) -> (KeySalt, Vec<CustomerRow>) {
        let mut keys: BTreeMap<&CustomerId, Vec<KeyDigest>> = BTreeMap::new();
        for (key, info) in &self.by_key {
            keys.entry(&info.id).or_default().push(*key);
        }
        let rows = self.customers.values().map(|info| {
            let mut keys = keys.remove(&info.id).unwrap_or_default();
            keys.sort_unstable();
            CustomerRow {
                info: (**info).clone(),
                keys,
            }
        });
        (self.hasher.salt(), rows.collect())
    }
}
