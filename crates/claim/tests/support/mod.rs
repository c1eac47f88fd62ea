//! What the fuzz test is made of.

pub(crate) mod flaky_rows;
pub(crate) mod fuzz;
pub(crate) mod once_oracle;
pub(crate) mod once_step;
pub(crate) mod once_world;
