//! How the end of an answer reaches its caller.

use {
    bytes::Bytes,
    relay::{AnswerCut, BufferBudget, PieceReceiver, PieceSender, piece_channel},
    std::future::poll_fn,
};

async fn one_piece() -> (PieceSender, PieceReceiver) {
    let (sender, mut receiver) = piece_channel(&BufferBudget::new(1 << 20));
    let piece = Bytes::from_static(b"event");
    sender.send(piece.clone()).await.unwrap();
    assert_eq!(next_piece(&mut receiver).await.unwrap().unwrap(), piece);
    (sender, receiver)
}

async fn next_piece(receiver: &mut PieceReceiver) -> Option<Result<Bytes, AnswerCut>> {
    poll_fn(|context| receiver.poll_piece(context)).await
}

#[tokio::test]
async fn a_complete_answer_ends() {
    let (sender, mut receiver) = one_piece().await;
    sender.end();
    assert!(next_piece(&mut receiver).await.is_none());
}

// Guards against a truncated answer that looks complete, since the task that passed it on ended before it.
#[tokio::test]
async fn an_answer_whose_sender_is_dropped_before_its_end_is_truncated() {
    let (sender, mut receiver) = one_piece().await;
    drop(sender);
    assert!(next_piece(&mut receiver).await.unwrap().is_err());
}
