//! The settings of the orders that the instance gives to engines.

use serde::{Deserialize, Serialize};

/// Whether engines are ordered to change role.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RoleMoves {
    /// Engines keep their roles.
    #[default]
    Off,
    /// Engines move between the prefill and the decode pool as the load requires.
    On,
}

/// The section `control`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlSettings {
    /// Whether engines are ordered to change role.
    pub role_moves: RoleMoves,
}
