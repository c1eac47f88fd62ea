//! The platform: its transactional table service, object store and instance list, as traits
//! ([`RowStore`], [`ObjectStore`], [`InstanceList`]) and over HTTP ([`HttpPlatform`]).
//!
//! [`TableRepository`] stores the operators' table in its rows, and [`insert_once`] inserts a row if its key
//! does not exist. [`PollPlan`] decides which instances poll, and when.

pub mod budget_platform;
pub mod call_budget;
mod edit_attempts;
pub mod edit_origin;
pub mod edit_record;
pub mod edit_request;
pub mod head_row;
pub mod http_platform;
pub mod instance_record;
pub mod key_range;
pub mod keyed_rows;
pub mod number_field;
pub mod object_store;
pub mod page_cursor;
pub mod plat_error;
pub mod poll_plan;
pub mod query_text;
pub mod row_store;
pub mod stored_table;
pub mod table_keys;
pub mod table_repository;
pub mod table_snapshot;
mod table_transaction;

pub use {
    budget_platform::{BudgetPlatform, DeferCounts},
    call_budget::{CallBudget, CallKind, CallRate},
    edit_origin::EditOrigin,
    edit_record::{EditId, EditRecord},
    edit_request::{EditOutcome, EditRequest},
    head_row::HeadRow,
    http_platform::HttpPlatform,
    instance_record::{InstanceKind, InstanceRecord, InstanceState},
    key_range::KeyRange,
    keyed_rows::{InsertOutcome, insert_once},
    number_field::number_field,
    object_store::ObjectStore,
    page_cursor::{PageCursor, PageEnd, PageFault},
    plat_error::PlatError,
    poll_plan::{PollAction, PollEvent, PollPlan, PollSettings},
    row_store::{
        InstanceList, RowCondition, RowStore, RowWrite, StoredRow, Transaction, TransactionReply,
    },
    stored_table::content_digest,
    table_repository::TableRepository,
    table_snapshot::TableSnapshot,
};
