//! Whose request it is, as its key told when it came.

use {crate::CustomerInfo, kernel::TableVersion, policy::CallerKey, std::sync::Arc};

/// The customer of a request.
#[derive(Clone, Debug)]
pub struct CustomerAccess {
    /// The customer.
    pub customer: Arc<CustomerInfo>,
    /// The key, to look it up again when the declaration changes while the request is under way.
    pub key: CallerKey,
    /// The version of the declaration that the key was found in.
    pub version: TableVersion,
}

impl CustomerAccess {
    /// A key that a customer holds by a version of the declaration.
    pub fn new(customer: Arc<CustomerInfo>, key: CallerKey, version: TableVersion) -> Self {
        Self {
            customer,
            key,
            version,
        }
    }
}
