//! Rows that are inserted once: the keyed claims.

use crate::{
    plat_error::PlatError,
    row_store::{RowCondition, RowStore, RowWrite, StoredRow, Transaction, TransactionReply},
};

/// How often an insert is tried when its reply is lost.
const MAX_INSERT_ATTEMPTS: u32 = 3;

/// What became of a conditional insert.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum InsertOutcome {
    /// The row has the value asked for, by this insert or an earlier try of it.
    Inserted,
    /// The row was there before, with another value.
    Taken(StoredRow),
}

/// Inserts a row if it is not there. The value has to be the asker's own, such as a ticket's id: a row found with the same
/// value is taken for an earlier try whose reply was lost.
///
/// # Errors
///
/// The last try's error; unless it is [`PlatError::Refused`], the row may be there all the same.
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
        detail: "no try was made".to_owned(),
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
        detail: format!("a conflict about {key} without the row"),
    })
}
