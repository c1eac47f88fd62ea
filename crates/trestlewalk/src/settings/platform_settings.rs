//! How the platform is reached.

use {
    crate::settings::HumanDuration,
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// Stands for a required address that the file does not give.
pub const UNSET_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// The section `platform`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Where the platform answers, TCP; required.
    pub address: SocketAddr,
    /// The time from one reading of the list of instances to the next.
    #[serde_as(as = "HumanDuration")]
    pub list_poll: Duration,
    /// The time from one reading of the table's head to the next, for an instance that polls it.
    #[serde_as(as = "HumanDuration")]
    pub poll: Duration,
    /// How long one call may take.
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
