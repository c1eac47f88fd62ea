//! A stream that arrives in pieces of any size is passed on as complete events, in order and once.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    relay::{
        BodyAllowance, BufferBudget, CollectError, EventSplitter, event_splitter::MAX_EVENT_BYTES,
    },
};

const BUDGET_BYTES: usize = 1 << 20;

fn splitter() -> EventSplitter {
    EventSplitter::new(
        &BufferBudget::new(BUDGET_BYTES),
        BodyAllowance::for_answer(),
    )
}

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
        let mut splitter = splitter();
        let mut given = Vec::new();
        let mut last = None;
        let mut rest = text.as_bytes();
        let mut sizes = sizes.into_iter().cycle();
        while !rest.is_empty() {
            let size = sizes.next().unwrap().min(rest.len());
            let (piece, after) = rest.split_at(size);
            rest = after;
            let Some(batch) = splitter.push(piece).unwrap() else {
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
    let mut splitter = splitter();
    let batch = splitter
        .push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n")
        .unwrap()
        .unwrap();
    assert_eq!(&batch.bytes[..], b"id: 1\ndata: a\n\n");
    assert_eq!(batch.last_id.as_deref(), Some("1"));
    assert_eq!(splitter.pending_bytes(), "id: 2\ndata: b\n".len());
}

// Guards against memory without bound, and time that grows with its square, for an event without end.
#[test]
fn an_event_without_end_is_given_up() {
    for size in [1, 60, 1_448, 8_192] {
        let mut splitter = splitter();
        let mut held = 0;
        let fault = loop {
            match splitter.push(&vec![b'x'; size]) {
                Ok(batch) => assert_eq!(batch, None),
                Err(fault) => break fault,
            }
            held = splitter.pending_bytes();
        };
        assert_eq!(fault, CollectError::TooLarge);
        assert!(held <= MAX_EVENT_BYTES, "{held}");
    }
}

#[test]
fn the_largest_event_is_whole_and_its_memory_is_given_back() {
    let budget = BufferBudget::new(BUDGET_BYTES);
    let mut splitter = EventSplitter::new(&budget, BodyAllowance::for_answer());
    let event = format!("data: {}\n\n", "x".repeat(MAX_EVENT_BYTES - 8));
    let mut given = Vec::new();
    for piece in event.as_bytes().chunks(1_448) {
        if let Some(batch) = splitter.push(piece).unwrap() {
            given.extend_from_slice(&batch.bytes);
        }
    }
    assert_eq!(given, event.as_bytes());
    assert_eq!(budget.free().available_permits(), BUDGET_BYTES);
}

// Many events at once share the memory for bodies.
#[test]
fn partial_events_beyond_the_budget_find_no_memory() {
    let budget = BufferBudget::new(100_000);
    let mut splitters: Vec<_> = (0..4)
        .map(|_| EventSplitter::new(&budget, BodyAllowance::for_answer()))
        .collect();
    let outcomes = splitters
        .iter_mut()
        .map(|splitter| splitter.push(&[b'x'; 30_000]));
    let outcomes: Vec<_> = outcomes.collect();
    assert_eq!(outcomes[..3], [Ok(None), Ok(None), Ok(None)]);
    assert_eq!(outcomes[3], Err(CollectError::BudgetSpent));
}

#[test]
fn a_stream_of_too_many_pieces_is_given_up() {
    let mut splitter = splitter();
    let mut pieces = (0..300_000).map(|_| splitter.push(b"data: x\n\n"));
    assert!(pieces.any(|outcome| outcome == Err(CollectError::TooLarge)));
}
