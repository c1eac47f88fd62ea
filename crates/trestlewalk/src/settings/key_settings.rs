//! The keys by which instances authenticate each other.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, path::PathBuf, sync::Arc},
};

/// The section `keys`: three PEM files, or their content inline under `test`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeySettings {
    /// The file with the certificates of the authorities that peers are verified against.
    pub authority: Option<PathBuf>,
    /// The file with the certificate of this instance, which has the instance's name as a DNS name.
    pub certificate: Option<PathBuf>,
    /// The file with the private key of this instance.
    pub key: Option<PathBuf>,
    /// Keys inline in the settings, for tests; `trestlewalk keys` makes such keys.
    pub test: Option<TestKeys>,
}

/// Keys inline in the settings, as PEM text.
#[derive(Clone, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TestKeys {
    /// The certificates of the authorities.
    pub authority: Arc<str>,
    /// The certificate of this instance.
    pub certificate: Arc<str>,
    /// The private key of this instance.
    pub key: Arc<str>,
}

impl fmt::Debug for TestKeys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("TestKeys").finish_non_exhaustive()
    }
}
