//! The name of one cell.

use {
    kernel::{ModelId, ZoneId},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Names a cell: one part of the engines of a model in an availability zone.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CellKey {
    /// Counts the cells of the availability zone and model, from 0.
    pub cell: u32,
    /// The model.
    pub model: ModelId,
    /// The availability zone.
    pub zone: ZoneId,
}

impl fmt::Display for CellKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}/{}", self.zone, self.model, self.cell)
    }
}
