//! The settings of calls to the platform.

use {
    crate::settings::HumanDuration,
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// The default of a required address, by which the check recognises a missing one.
pub const UNSET_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// The section `platform`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// The TCP address of the platform; required.
    pub address: SocketAddr,
    /// The interval between reads of the list of instances.
    #[serde_as(as = "HumanDuration")]
    pub list_poll: Duration,
    /// The interval between reads of the table's head, for an instance that polls it.
    #[serde_as(as = "HumanDuration")]
    pub poll: Duration,
    /// The timeout of one call.
    #[serde_as(as = "HumanDuration")]
    pub timeout: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: UNSET_ADDRESS,
            list_poll: Duration::from_secs(1),
            poll: Duration::from_millis(500),
            timeout: Duration::from_secs(2),
        }
    }
}
