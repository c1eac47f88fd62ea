//! Stand-ins for the users' platform (the store, upstreams and callers), and a builder that starts the real binary
//! between them as a separate process.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses its own part of the support module"
)]

pub mod caller;
pub mod contradiction;
pub mod copied_answers;
pub mod copying_upstream;
pub mod crash_scenario;
pub mod crash_trigger;
pub mod dead_port;
pub mod direct_fleet;
pub mod endless;
pub mod engine_answers;
pub mod place_zone;
pub mod relay_test;
pub mod store;
pub mod unsteady_server;
pub mod upstream;
pub mod wire_text;
pub mod zone_run;

#[allow(
    unused_imports,
    reason = "each test file uses its own part of the support module"
)]
pub use {
    caller::{Caller, CallerReply},
    contradiction::Contradiction,
    copied_answers::{CopiedAnswer, CopyPlan, CopyTime},
    crash_scenario::CrashScenario,
    crash_trigger::CrashTrigger,
    direct_fleet::DirectFleet,
    endless::{EndlessAnswer, EndlessPart, EndlessRecord},
    relay_test::{RelayRun, RelayTest},
    store::StoreStandIn,
    unsteady_server::UnsteadyServer,
    upstream::{ReceivedCall, UpstreamKind, UpstreamMode, UpstreamStandIn},
    zone_run::ZoneRun,
};
