//! The customer that a request's key identified when the request arrived.

use {crate::CustomerInfo, kernel::TableVersion, policy::CallerKey, std::sync::Arc};

/// The authenticated customer of a request.
#[derive(Clone, Debug)]
pub struct CustomerAccess {
    /// The customer.
    pub customer: Arc<CustomerInfo>,
    /// The key, to check it again when the table changes while the request is in progress. `None` for a request of another
    /// instance, which keeps it to itself.
    pub key: Option<CallerKey>,
    /// The version of the table in which the key was found.
    pub version: TableVersion,
}

impl CustomerAccess {
    /// The access of a customer whose key is valid in this version of the table.
    pub fn new(customer: Arc<CustomerInfo>, key: CallerKey, version: TableVersion) -> Self {
        Self {
            customer,
            key: Some(key),
            version,
        }
    }

    /// The access of a customer whose key another instance has found in this version of the table.
    pub fn checked_elsewhere(customer: Arc<CustomerInfo>, version: TableVersion) -> Self {
        Self {
            customer,
            key: None,
            version,
        }
    }
}
