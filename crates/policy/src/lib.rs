//! The decisions of an instance about its requests: which upstream to use, where to prefill, quotas, retries and
//! quarantine, and which engines change their stage.
//!
//! Free of I/O, clocks and tasks: times are passed in, and the same inputs give the same decision. The `relay` crate
//! moves the bytes and calls this one.

pub mod answer_time;
mod answered_parts;
pub mod backoff_statement;
pub mod backoff_table;
pub mod cache_index;
pub mod call_block;
mod call_cost;
pub mod call_rate;
pub mod call_share;
pub mod caller_key;
pub mod choice_query;
pub mod cold_phase;
pub mod cold_rule;
mod crash_entry;
pub mod crash_report;
pub mod crash_table;
pub mod customer_limit;
pub mod departure_table;
pub mod evacuation_set;
mod evacuation_state;
pub mod fleet_members;
pub mod helper_table;
pub mod keeper_table;
mod list_history;
pub mod loss_table;
pub mod note_index;
pub mod note_log;
pub mod note_table;
pub mod prefill_choice;
pub mod prefill_estimate;
pub mod quota_bucket;
pub mod quota_rule;
pub mod quota_table;
pub mod rate_note;
pub mod rate_statement;
pub mod rate_table;
pub mod reach_table;
pub mod refusal_cooldown;
mod remote_usage;
pub mod repeat_rule;
pub mod replica_pace;
mod report_mark;
mod report_order;
pub mod retry_window;
pub mod slot_hold_time;
pub mod software_answers;
pub mod software_history;
pub mod software_memory;
pub mod software_note;
pub mod software_report;
pub mod stage_planner;
pub mod stage_pressure;
pub mod store_clock;
pub mod store_version;
pub mod stream_attempts;
pub mod suspect_id;
pub mod suspect_set;
pub mod table_age;
pub mod turn_clock;
pub mod upstream_entry;
pub mod upstream_name;
pub mod upstream_record;
pub mod upstream_statement;
pub mod upstream_table;
pub mod usage_ledger;
pub mod usage_rate;
mod usual_time;
pub mod wanted_versions;
pub mod zone_filter;
pub mod zone_refusals;

pub use {
    answer_time::AnswerTime,
    backoff_statement::BackoffStatement,
    backoff_table::BackoffTable,
    cache_index::CacheIndex,
    call_block::CallBlock,
    call_rate::CallRate,
    call_share::CallShare,
    caller_key::{CallerKey, KeyDigest, KeyHasher, KeySalt},
    choice_query::ChoiceQuery,
    cold_phase::ColdPhase,
    cold_rule::ColdRule,
    crash_report::{AgedReport, CrashMark, CrashReport},
    crash_table::{CrashTable, QuarantineRow},
    customer_limit::{CustomerLimit, QuotaUnit},
    departure_table::DepartureTable,
    evacuation_set::{EvacuationChange, EvacuationSet},
    fleet_members::{FleetMember, FleetMembers},
    helper_table::{HelperTable, ReachReport},
    keeper_table::KeeperTable,
    loss_table::{LossAction, LossTable, LostRun, ProbeOutcome},
    note_index::NoteIndex,
    note_log::{LOG_SHARDS, LOG_SLOTS, LogRow, LoggedNote, NoteLog, log_shard},
    note_table::NoteTable,
    prefill_choice::PrefillChoice,
    prefill_estimate::PrefillEstimate,
    quota_bucket::{QuotaBucket, QuotaSync, QuotaView},
    quota_rule::QuotaRule,
    quota_table::{QuotaRefusal, QuotaRow, QuotaTable},
    rate_note::RateNote,
    rate_statement::RateStatement,
    rate_table::{RateChange, RateTable},
    reach_table::{ReachChange, ReachTable},
    refusal_cooldown::RefusalCooldown,
    repeat_rule::RepeatRule,
    replica_pace::ReplicaPace,
    retry_window::{RetryBounds, RetryWindow},
    slot_hold_time::SlotHoldTime,
    software_answers::SoftwareAnswers,
    software_history::SoftwareHistory,
    software_memory::SoftwareMemory,
    software_note::{SoftwareNote, StreamKey, stream_key},
    software_report::SoftwareReport,
    stage_planner::{StageChange, StageGoal, StagePlanner},
    stage_pressure::StagePressure,
    store_clock::StoreClock,
    store_version::StoreVersion,
    stream_attempts::{AttemptEnd, StreamAttempts},
    suspect_id::{RequestContent, SuspectId},
    suspect_set::{SuspectPart, SuspectSet, shared_parts},
    table_age::TableAge,
    turn_clock::TurnClock,
    upstream_entry::{CallVerdict, UpstreamEntry},
    upstream_name::name_fault,
    upstream_record::{UpstreamRecord, UpstreamStage},
    upstream_statement::UpstreamStatement,
    upstream_table::UpstreamTable,
    usage_ledger::{UsageLedger, UsageReporter, UsageRow, UsageTotals},
    usage_rate::UsageRate,
    wanted_versions::WantedVersions,
    zone_filter::ZoneFilter,
    zone_refusals::ZoneRefusals,
};
