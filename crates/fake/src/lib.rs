//! Stand-ins for the systems outside: the platform, model engines and plain services.
//!
//! Each one listens on a loopback port and tells its addresses. At its admin address it takes faults and shows its
//! counters; its `close` stops it. What it answers is decided without I/O ([`RowTable`], [`InstanceRegistry`],
//! [`EngineCore`], [`FairShareTable`]): time and seeds are passed in.

pub mod expected_answer;
pub mod fair_share_table;
pub mod fake_error;
pub mod model;
mod net;
pub mod platform;
pub mod ready_line;
pub mod service;

pub use {
    expected_answer::{LengthSpread, block_hashes, expected_length, expected_token, prompt_tokens},
    fair_share_table::FairShareTable,
    fake_error::FakeError,
    model::{
        EngineCore, EngineCounters, EngineFaults, EngineSettings, RateLink, StandInEngine,
        run_engine,
    },
    platform::{
        InstanceRegistry, PlatformCore, PlatformCounters, PlatformFaults, PlatformSettings,
        RowTable, StandInPlatform, run_platform,
    },
    ready_line::ReadyLine,
    service::{
        ServiceAnswer, ServiceCounters, ServiceFaults, ServiceSettings, StandInService, run_service,
    },
};
