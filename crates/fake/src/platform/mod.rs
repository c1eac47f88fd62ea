//! Stand-in for the platform: rows, objects and the list of instances.

pub mod instance_registry;
mod platform_admin;
pub mod platform_core;
pub mod platform_counters;
pub mod platform_faults;
mod platform_routes;
pub mod platform_settings;
pub mod row_table;
pub mod stand_in_platform;

pub use {
    instance_registry::InstanceRegistry,
    platform_core::PlatformCore,
    platform_counters::PlatformCounters,
    platform_faults::PlatformFaults,
    platform_settings::PlatformSettings,
    row_table::RowTable,
    stand_in_platform::{StandInPlatform, run_platform},
};
