//! What the fuzz test is made of.

pub(crate) mod flaky_rows;
pub(crate) mod fuzz;
pub(crate) mod once_oracle;
mod once_request;
pub(crate) mod once_step;
pub(crate) mod once_world;
