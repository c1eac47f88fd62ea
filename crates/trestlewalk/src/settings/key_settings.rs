//! The keys that instances trust each other by.

use {
    serde::{Deserialize, Serialize},
    std::path::PathBuf,
};

/// The section `keys`: three PEM files, or a test key.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeySettings {
    /// The certificate of the authority that signed every instance's certificate.
    pub authority: Option<PathBuf>,
    /// The certificate of this instance.
    pub certificate: Option<PathBuf>,
    /// The private key of this instance.
    pub key: Option<PathBuf>,
    /// Whether the process makes up keys from the test authority; for trials on one machine only.
    pub test: bool,
}
