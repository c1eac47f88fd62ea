//! The log of streams in the store, as several instances of an availability zone write and read it.

mod note_model;

use {
    kernel::WorkerPool,
    note_model::{MemoryRows, note, open, write},
    policy::StreamKey,
};

/// A stream of the shard of stream 0.
const SAME_SHARD: StreamKey = 8;

/// Guards against notes that are replaced by those of another writer: instances whose views differ choose two.
#[tokio::test]
async fn writers_of_one_slot_keep_the_notes_of_each_other() {
    let (rows, pool) = (MemoryRows::new(), WorkerPool::new());
    let [first, second] = [open(&rows, &pool), open(&rows, &pool)];
    let streams = [0, SAME_SHARD, 2 * SAME_SHARD, 3 * SAME_SHARD];
    for (stream, writer) in streams.iter().zip([&first, &second, &first, &second]) {
        write(writer, &[*stream]).await;
    }
    let reader = open(&rows, &pool);
    for stream in streams {
        let found = reader.find(stream).await;
        assert_eq!(found, Some(note(stream).software), "stream {stream}");
    }
}

/// Guards against notes that are replaced by older rows: a write without an answer may take effect after later ones.
#[tokio::test]
async fn a_write_that_takes_effect_late_replaces_no_newer_notes() {
    let (rows, pool) = (MemoryRows::new(), WorkerPool::new());
    let store = open(&rows, &pool);
    let streams = [0, SAME_SHARD, 2 * SAME_SHARD];
    for stream in streams {
        if stream == SAME_SHARD {
            rows.hold_commit();
        }
        write(&store, &[stream]).await;
    }
    rows.apply_late();
    for stream in streams {
        let found = store.find(stream).await;
        assert_eq!(found, Some(note(stream).software), "stream {stream}");
    }
}

/// Guards against notes that are lost since the store has not answered yet where they are to be written.
#[tokio::test]
async fn notes_that_come_before_the_first_answer_of_the_store_are_written() {
    let (rows, pool) = (MemoryRows::new(), WorkerPool::new());
    let store = open(&rows, &pool);
    rows.set_clock(false);
    write(&store, &[0]).await;
    rows.set_clock(true);
    write(&store, &[SAME_SHARD]).await;
    for stream in [0, SAME_SHARD] {
        let found = store.find(stream).await;
        assert_eq!(found, Some(note(stream).software), "stream {stream}");
    }
}

/// Guards against rows that grow by their own notes each time a write is repeated.
#[tokio::test]
async fn notes_whose_write_took_effect_without_an_answer_are_stored_once() {
    let sizes = [false, true].map(|is_lost| async move {
        let (rows, pool) = (MemoryRows::new(), WorkerPool::new());
        let store = open(&rows, &pool);
        if is_lost {
            rows.lose_reply();
        }
        write(&store, &(0..100).collect::<Vec<_>>()).await;
        for stream in 0..100 {
            assert_eq!(store.find(stream).await, Some(note(stream).software));
        }
        rows.size()
    });
    let [whole, repeated] = sizes;
    assert_eq!(repeated.await, whole.await);
}
