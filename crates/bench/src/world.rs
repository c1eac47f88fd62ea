//! One availability zone in virtual time: callers, entry instances, engines, the link, and what they hear late.

mod decode_engine;
mod entry_side;
mod event_heap;
mod fault_side;
mod link_side;
mod outsider_side;
mod prefill_engine;
mod prefill_side;
mod prefix_cache;
mod progress_queue;
mod reading_state;
mod request_plan;
mod request_state;
mod run_tally;
mod token_ledger;
mod virtual_world;
mod world_event;
mod world_truth;

pub(crate) use reading_state::ReadingPhase;
pub use {
    request_plan::{CancelPlan, RequestPlan, plan_requests},
    request_state::RequestOutcome,
    run_tally::{RowTally, RunTally},
    token_ledger::{TokenLedger, WasteCause},
    virtual_world::VirtualWorld,
    world_truth::WorldTruth,
};
