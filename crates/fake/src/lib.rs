//! Stand-ins for the systems outside: the platform, model engines and plain services.
//!
//! Each one starts on a loopback port, says its addresses, takes faults and shows counters at an admin address, and
//! stops when its `close` is called. The decisions are pure ([`RowTable`], [`InstanceBoard`], [`EngineCore`],
//! [`ShareTable`]): time and seeds are passed in.

pub mod expected_answer;
pub mod fake_error;
pub mod model;
mod net;
pub mod platform;
pub mod ready_line;
pub mod service;
pub mod share_table;

pub use {
    expected_answer::{LengthSpread, block_hashes, expected_length, expected_token, prompt_tokens},
    fake_error::FakeError,
    model::{
        EngineCore, EngineCounters, EngineFaults, EngineSettings, RateLink, StandInEngine,
        run_engine,
    },
    platform::{
        InstanceBoard, PlatformCore, PlatformCounters, PlatformFaults, PlatformSettings, RowTable,
        StandInPlatform, run_platform,
    },
    ready_line::ReadyLine,
    service::{
        ServiceAnswer, ServiceCounters, ServiceFaults, ServiceSettings, StandInService, run_service,
    },
    share_table::ShareTable,
};
