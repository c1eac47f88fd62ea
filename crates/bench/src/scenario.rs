//! Scenario files: fields, checks, computed capacity.

pub mod capacity_estimate;
pub mod day_point;
pub mod engine_sizes;
pub mod fault_event;
pub mod human_time;
pub mod length_spread;
pub mod link_sizes;
pub mod load_burst;
pub mod message_delays;
pub mod outsider_load;
pub(crate) mod scenario_check;
pub mod scenario_file;
pub mod work_mix;
