//! What the instance may order engines to do.

use serde::{Deserialize, Serialize};

/// Whether engines are ordered to change role.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RoleMoves {
    /// Engines keep the role that they have.
    #[default]
    Off,
    /// Engines move between the prefill and the decode pool as load asks for.
    On,
}

/// The section `control`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlSettings {
    /// Whether engines are ordered to change role.
    pub role_moves: RoleMoves,
}
