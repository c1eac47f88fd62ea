//! The customers that the operators declare, indexed by their keys.

use {
    kernel::{CustomerId, RegionId},
    policy::{CallerKey, CustomerLimit, KeyDigest, KeyHasher, KeySalt},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
    table::Rank,
};

/// A customer as the operators declare it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CustomerInfo {
    /// The unique name.
    pub id: CustomerId,
    /// The quota; `None` for unlimited use.
    pub limit: Option<CustomerLimit>,
    /// Overrides the rank of the route; `None` keeps that.
    pub rank: Option<Rank>,
    /// The regions whose upstreams may process its requests; `None` for all, empty for none.
    pub regions: Option<BTreeSet<RegionId>>,
}

/// A customer with the digests of its keys, as instances send it to each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CustomerRow {
    /// The customer.
    pub info: CustomerInfo,
    /// The salted digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// All customers of one version of the operators' table.
#[derive(Clone, Debug)]
pub struct CustomerTable {
    by_key: HashMap<KeyDigest, Arc<CustomerInfo>>,
    customers: BTreeMap<CustomerId, Arc<CustomerInfo>>,
    hasher: KeyHasher,
}

impl CustomerTable {
    /// Looks a customer up by name.
    pub fn customer(&self, id: &str) -> Option<&Arc<CustomerInfo>> {
        self.customers.get(id)
    }

    /// All customers, sorted by name.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<CustomerInfo>> {
        self.customers.values()
    }

    /// Looks up the customer that holds a key.
    pub fn find(&self, key: &CallerKey) -> Option<&Arc<CustomerInfo>> {
        self.by_key.get(&self.hasher.digest(key))
    }

    /// A table of rows whose digests are keyed with `salt`.
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

    /// The salt, and all customers with the digests of their keys.
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
