//! What an instance decides about its requests: which upstream, which engine reads, how long to wait, what to spend a
//! retry on, and which engines change their stage.
//!
//! No I/O, no clock and no task: times are passed in, and the same inputs give the same decision. `relay` moves the bytes
//! and asks this crate.

pub mod caller_key;
pub mod closed_spell;
pub mod crash_report;
pub mod crash_table;
pub mod customer_limit;
pub mod loss_table;
pub mod part_table;
pub mod place_pace;
pub mod quota_bucket;
pub mod quota_rule;
pub mod quota_table;
pub mod read_pace;
pub mod repeat_rule;
pub mod request_fingerprint;
pub mod retry_window;
pub mod stage_plan;
pub mod stage_pressure;
pub mod store_moment;
pub mod stream_tries;
pub mod table_age;
pub mod upstream_entry;
pub mod upstream_record;
pub mod upstream_table;
pub mod use_ledger;
pub mod use_rate;
mod use_source;
pub mod zone_refusals;

pub use {
    caller_key::{CallerKey, KeyDigest, KeyHasher, KeySalt},
    closed_spell::ClosedSpell,
    crash_report::{AgedReport, CrashMark, CrashReport},
    crash_table::{CrashTable, QuarantineRow},
    customer_limit::{CustomerLimit, QuotaUnit},
    loss_table::{LossStep, LossTable, LostRun, UpstreamReach},
    part_table::PartTable,
    place_pace::PlacePace,
    quota_bucket::{QuotaBucket, QuotaNews, QuotaView},
    quota_rule::QuotaRule,
    quota_table::{QuotaRefusal, QuotaRow, QuotaTable},
    read_pace::ReadPace,
    repeat_rule::RepeatRule,
    request_fingerprint::{FingerprintParts, RequestFingerprint},
    retry_window::{RetryBounds, RetryWindow},
    stage_plan::{StageGoal, StageMove, StagePlan},
    stage_pressure::StagePressure,
    store_moment::StoreMoment,
    stream_tries::{StreamTries, TryEnd},
    table_age::TableAge,
    upstream_entry::{CallVerdict, UpstreamEntry},
    upstream_record::{UpstreamRecord, UpstreamStage},
    upstream_table::{ChoiceQuery, ReaderChoice, UpstreamTable},
    use_ledger::{UseLedger, UseRow, UseTeller, UseTotals},
    use_rate::UseRate,
    zone_refusals::ZoneRefusals,
};
