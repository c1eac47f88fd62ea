//! Stand-in for a model engine.

mod cache_event_log;
mod connection_guard;
mod core_decode;
mod core_lifecycle;
mod core_orders;
pub mod core_prefill;
mod engine_admin;
pub mod engine_core;
pub mod engine_counters;
mod engine_driver;
pub mod engine_event;
pub mod engine_faults;
mod engine_routes;
pub mod engine_run;
pub mod engine_settings;
mod kv_client;
mod load_history;
mod prefix_cache;
pub mod rate_link;
pub mod stand_in_engine;
mod token_body;

pub use {
    engine_core::EngineCore,
    engine_counters::{EngineCounters, OrderEntry},
    engine_event::{EngineAction, EngineCall, EngineEvent, KvAnswer, KvImport, KvRecord},
    engine_faults::EngineFaults,
    engine_run::{KvHandle, RunEnd, RunId, RunView},
    engine_settings::EngineSettings,
    rate_link::RateLink,
    stand_in_engine::{EngineLinks, StandInEngine, run_engine},
};
