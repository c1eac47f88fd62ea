//! A stream that arrives in pieces of any size is passed on as complete events, in order and once.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    relay::EventSplitter,
};

fn stream(events: usize, ending: &str) -> String {
    (1..=events)
        .map(|index| format!("id: {index}{0}data: token {index}{0}{0}", ending))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(14),
        ..ProptestConfig::default()
    })]

    #[test]
    fn pieces_of_any_size_make_whole_events(
        events in 1..12_usize,
        sizes in proptest::collection::vec(1..40_usize, 1..60),
        carriage in any::<bool>(),
    ) {
        let ending = if carriage { "\r\n" } else { "\n" };
        let text = stream(events, ending);
        let mut splitter = EventSplitter::default();
        let mut given = Vec::new();
        let mut last = None;
        let mut rest = text.as_bytes();
        let mut sizes = sizes.into_iter().cycle();
        while !rest.is_empty() {
            let size = sizes.next().unwrap().min(rest.len());
            let (piece, after) = rest.split_at(size);
            rest = after;
            let Some(batch) = splitter.push(piece) else {
                continue;
            };
            let blank = ending.repeat(2);
            prop_assert!(batch.bytes.ends_with(blank.as_bytes()));
            given.extend_from_slice(&batch.bytes);
            last = batch.last_id;
        }
        prop_assert_eq!(given, text.as_bytes());
        prop_assert_eq!(splitter.pending_bytes(), 0);
        let expected = events.to_string();
        prop_assert_eq!(last.as_deref(), Some(expected.as_str()));
    }
}

#[test]
fn half_an_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    let batch = splitter
        .push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n")
        .unwrap();
    assert_eq!(&batch.bytes[..], b"id: 1\ndata: a\n\n");
    assert_eq!(batch.last_id.as_deref(), Some("1"));
    assert_eq!(splitter.pending_bytes(), "id: 2\ndata: b\n".len());
}
