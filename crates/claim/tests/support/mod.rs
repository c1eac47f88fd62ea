//! Simulation, oracle and faults of the fuzz test.

pub(crate) mod flaky_rows;
pub(crate) mod fuzz;
pub(crate) mod once_oracle;
mod once_request;
pub(crate) mod once_simulation;
pub(crate) mod once_step;
