//! Simulation for the fuzz test.

pub(crate) mod lease_simulation;
