//! A keyed row is inserted at most once, and an insert whose reply was lost is recognised.

mod common;

use {
    common::{Fault, MemoryStore},
    plat::{InsertOutcome, PlatError, insert_once},
};

#[tokio::test]
async fn the_first_insert_wins() {
    let store = MemoryStore::default();
    let first = insert_once(&store, "claims/k", "ticket-1").await.unwrap();
    assert_eq!(first, InsertOutcome::Inserted);
    let second = insert_once(&store, "claims/k", "ticket-2").await.unwrap();
    let InsertOutcome::Taken(row) = second else {
        panic!("{second:?}");
    };
    assert_eq!((&*row.value, row.version), ("ticket-1", 1));
}

#[tokio::test]
async fn an_insert_whose_reply_was_lost_is_recognised() {
    let store = MemoryStore::default();
    store.inject(&[Fault::LoseRequest, Fault::LoseReply]);
    let outcome = insert_once(&store, "claims/k", "ticket-1").await.unwrap();
    assert_eq!(outcome, InsertOutcome::Inserted);
    assert_eq!(store.state().rows["claims/k"].version, 1);
}

#[tokio::test]
async fn an_outage_is_said_and_a_refusal_not_tried_again() {
    let store = MemoryStore::default();
    store.state().is_down = true;
    let error = insert_once(&store, "claims/k", "ticket-1")
        .await
        .unwrap_err();
    assert!(error.is_outcome_unknown());
    assert_eq!(store.state().calls, 3);
    let store = MemoryStore::default();
    store.inject(&[Fault::Refuse]);
    let error = insert_once(&store, "claims/k", "ticket-1")
        .await
        .unwrap_err();
    assert!(matches!(error, PlatError::Refused { .. }));
    assert_eq!(store.state().calls, 1);
}
