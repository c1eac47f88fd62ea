//! The keys that instances trust each other by.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, path::PathBuf, sync::Arc},
};

/// The section `keys`: three PEM files, or the same as text under `test`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeySettings {
    /// The file with the certificates of the authorities that peers are checked against.
    pub authority: Option<PathBuf>,
    /// The file with the certificate of this instance; it names the instance as a DNS name.
    pub certificate: Option<PathBuf>,
    /// The file with the private key of this instance.
    pub key: Option<PathBuf>,
    /// Keys inside the settings, for trials; `trestlewalk keys` makes them.
    pub test: Option<TestKeys>,
}

/// Keys inside the settings, as PEM text.
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
