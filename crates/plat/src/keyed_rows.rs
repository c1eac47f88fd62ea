//! Rows that are inserted at most once.

use crate::{
    plat_error::PlatError,
    row_store::{RowCondition, RowStore, RowWrite, StoredRow, Transaction, TransactionReply},
};

/// How often an insert is attempted when its reply is lost.
const MAX_INSERT_ATTEMPTS: u32 = 3;

/// The outcome of a conditional insert.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum InsertOutcome {
    /// The row has the requested value, by this insert or an earlier attempt.
    Inserted,
    /// The row already existed with another value.
    Taken(StoredRow),
}

/// Inserts a row if it does not exist. The value must be unique to the caller, such as a ticket's id: a row
/// with the same value is taken for an earlier attempt whose reply was lost.
///
/// # Errors
///
/// The error of the last attempt. Unless it is [`PlatError::Refused`], the row may have been written nevertheless.
pub async fn insert_once<S: RowStore>(
    store: &S,
    key: &str,
    value: &str,
) -> Result<InsertOutcome, PlatError> {
    let transaction = Transaction {
        conditions: vec![RowCondition {
            key: key.into(),
            version: 0,
        }],
        writes: vec![RowWrite {
            key: key.into(),
            value: Some(value.into()),
        }],
    };
    let mut last = None;
    for _ in 0..MAX_INSERT_ATTEMPTS {
        match store.commit(&transaction).await {
            Ok(TransactionReply::Committed) => return Ok(InsertOutcome::Inserted),
            Ok(TransactionReply::Conflict { rows }) => return classify_conflict(rows, key, value),
            Err(error) if error.is_outcome_unknown() => last = Some(error),
            Err(error) => return Err(error),
        }
    }
    Err(last.unwrap_or(PlatError::Unreachable {
        detail: "no attempt was made".to_owned(),
    }))
}

fn classify_conflict(
    rows: Vec<StoredRow>,
    key: &str,
    value: &str,
) -> Result<InsertOutcome, PlatError> {
    for row in rows {
        if &*row.key != key {
            continue;
        }
        return Ok(match &*row.value == value {
            true => InsertOutcome::Inserted,
            false => InsertOutcome::Taken(row),
        });
    }
    Err(PlatError::Garbled {
        detail: format!("the conflict reply for {key} lacks the row"),
    })
}
