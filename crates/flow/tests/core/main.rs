//! The state machine of one request, checked against a simple oracle.

mod flow_cases;
mod flow_fuzz;
mod flow_step;
mod flow_world;
