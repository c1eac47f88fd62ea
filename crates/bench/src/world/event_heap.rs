//! Events in the order of their time.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
    time::Instant,
};

struct HeapEntry<E> {
    at: Instant,
    event: E,
    serial: u64,
}

impl<E> PartialEq for HeapEntry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for HeapEntry<E> {}

impl<E> PartialOrd for HeapEntry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for HeapEntry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.serial).cmp(&(other.at, other.serial))
    }
}

/// A queue of events by time; events of one time keep the order in which they were pushed.
pub(crate) struct EventHeap<E> {
    entries: BinaryHeap<Reverse<HeapEntry<E>>>,
    pushed: u64,
}

impl<E> EventHeap<E> {
    pub(crate) fn new() -> Self {
        Self {
            entries: BinaryHeap::new(),
            pushed: 0,
        }
    }

    pub(crate) fn pop(&mut self) -> Option<(Instant, E)> {
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.at, entry.event))
    }

    pub(crate) fn push(&mut self, at: Instant, event: E) {
        let serial = self.pushed;
        self.pushed += 1;
        self.entries.push(Reverse(HeapEntry { at, event, serial }));
    }
}
