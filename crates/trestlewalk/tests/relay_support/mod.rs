//! Stand-ins of the users' platform, as its pages describe it: the store, upstreams, callers, and a builder that starts
//! the real binary between them as a process of its own.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses its own part of the support module"
)]

pub mod caller;
pub mod crash_ground;
pub mod engine_side;
pub mod relay_test;
pub mod store;
pub mod upstream;
pub mod wire_text;
pub mod zone_run;

#[allow(
    unused_imports,
    reason = "each test file uses its own part of the support module"
)]
pub use {
    caller::{Caller, CallerReply},
    crash_ground::CrashGround,
    relay_test::{RelayRun, RelayTest},
    store::StoreStandIn,
    upstream::{Seen, UpstreamKind, UpstreamMode, UpstreamStandIn},
    zone_run::ZoneRun,
};
