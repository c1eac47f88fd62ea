//! Shared by all crates: ids, result codes, plug-ins, ranked locks, seeded hashing, clocks, and the pool of background
//! tasks with the signal that stops it.

pub mod ids;
pub mod plugin_entry;
pub mod ranked_lock;
pub mod result_code;
pub mod seeded_rng;
pub mod shutdown_signal;
pub mod state_map;
pub mod steady_clock;
pub mod unix_time;
pub mod worker_pool;

pub use {
    ids::*,
    inventory,
    plugin_entry::PluginEntry,
    ranked_lock::{LockRank, RankedLock},
    result_code::ResultCode,
    shutdown_signal::ShutdownSignal,
    state_map::StateMap,
    worker_pool::WorkerPool,
};
