//! Schedules decode places: which request gets memory at which decode engine next, which waits, and which is refused.
//!
//! One instance of an availability zone schedules the engines of one cell for all instances of the zone. Instances ask it
//! for a place, reserve the place at the engine themselves, and report what becomes of it. The engine remains the arbiter:
//! without an answer of the scheduler, or with two schedulers at once, instances reserve places by their own view.
//!
//! Everything here is free of I/O and reads no clock; times are passed in.

pub mod customer_share;
mod ended_places;
pub mod engine_info;
pub mod engine_load;
pub mod engine_memory;
mod engine_state;
pub mod fair_clock;
mod granted_place;
pub mod held_stream;
mod hint_errors;
pub mod length_belief;
pub mod length_model;
mod memory_stream;
pub mod place_decision;
pub mod place_grant;
pub mod place_note;
pub mod place_queue;
pub mod place_reply;
pub mod place_request;
pub mod place_scheduler;
pub mod prefill_queue;
mod queue_slot;
pub mod refusal_rule;
pub mod scheduler_rows;
mod spare_zones;
pub mod stream_need;
pub mod turn_table;
mod unfit_sizes;
pub mod wait_decision;
pub mod waiting_request;
pub mod zone_spare;

pub use {
    customer_share::CustomerShare,
    engine_info::EngineInfo,
    engine_load::EngineLoad,
    engine_memory::EngineMemory,
    fair_clock::FairClock,
    held_stream::HeldStream,
    length_belief::LengthBelief,
    length_model::LengthModel,
    place_decision::PlaceDecision,
    place_grant::PlaceGrant,
    place_note::PlaceNote,
    place_queue::PlaceQueue,
    place_reply::{PlaceReply, RefusalReason},
    place_request::PlaceRequest,
    place_scheduler::PlaceScheduler,
    prefill_queue::PrefillQueue,
    scheduler_rows::SchedulerRows,
    stream_need::StreamNeed,
    turn_table::{Turn, TurnTable},
    wait_decision::WaitDecision,
    waiting_request::WaitingRequest,
    zone_spare::ZoneSpare,
};

/// Identifies one attempt of a caller at the scheduler.
pub type PlaceKey = std::sync::Arc<str>;

/// Identifies a request over all attempts of its caller, so that a refused request keeps its turn.
pub type TurnKey = u64;
