//! The platform: its transactional table service, its object store and its list of instances, as traits and over HTTP.

pub mod instance_record;
pub mod object_store;
pub mod plat_error;
pub mod row_store;

pub use {
    instance_record::{InstanceKind, InstanceRecord, InstanceState},
    object_store::ObjectStore,
    plat_error::PlatError,
    row_store::{
        InstanceList, RowCondition, RowStore, RowWrite, StoredRow, Transaction, TransactionReply,
    },
};
