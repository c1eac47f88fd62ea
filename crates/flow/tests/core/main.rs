//! The steps of one request against a simple oracle.

mod flow_fuzz;
mod flow_step;
mod flow_world;
