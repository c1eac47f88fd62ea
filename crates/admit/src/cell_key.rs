//! The identifier of a cell.

use {
    kernel::{ModelId, ZoneId},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Identifies a cell: a group of engines of one model in one availability zone.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CellKey {
    /// The index among the cells of the availability zone and model, from 0.
    pub cell: u32,
    /// The model that the cell's engines serve.
    pub model: ModelId,
    /// The availability zone of the cell's engines.
    pub zone: ZoneId,
}

impl fmt::Display for CellKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}/{}", self.zone, self.model, self.cell)
    }
}
