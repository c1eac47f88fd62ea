//! The demonstration: a complete system in one process on loopback, under the load of a short simulated day.

pub mod day_plan;
pub mod day_report;
pub mod day_run;
pub mod demo_call;
pub mod demo_system;
pub mod system_plan;

pub use {
    day_plan::{DayArrival, DayPlan, DayWork},
    day_report::{CallOutcome, DayReport},
    day_run::run_day,
    demo_call::DemoCaller,
    demo_system::DemoSystem,
};
