//! The policy bench: its world keeps its own rules, whatever a policy does.

mod conservation;
mod determinism;
mod full_engines;
mod regression_bounds;
mod scenario_faults;
mod support;
