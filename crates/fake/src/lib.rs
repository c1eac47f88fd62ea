//! Stand-ins for the external systems: the platform, model engines and plain services.
//!
//! Each one listens on a loopback port and reports its addresses. Its admin address accepts faults and serves its
//! counters; `close` stops it. Responses are computed without I/O ([`RowTable`], [`InstanceRegistry`],
//! [`EngineCore`], [`FairShareTable`]), with time and seeds passed in.

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
