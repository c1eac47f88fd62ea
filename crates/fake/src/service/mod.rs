//! Stand-in for a plain service.

pub mod body_chunks;
pub mod service_answer;
pub mod service_counters;
pub mod service_faults;
pub mod service_headers;
mod service_routes;
pub mod service_settings;
mod service_state;
pub mod stand_in_service;

pub use {
    body_chunks::{BodyChunks, expected_body},
    service_answer::ServiceAnswer,
    service_counters::ServiceCounters,
    service_faults::ServiceFaults,
    service_settings::ServiceSettings,
    stand_in_service::{StandInService, run_service},
};
