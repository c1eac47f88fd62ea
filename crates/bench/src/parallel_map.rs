//! Runs that don't depend on one another, on a few threads.

use std::{
    num::NonZero,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

/// The results of `work` for each item, in the order of the items, whatever the threads' order was.
pub fn parallel_map<T: Sync, R: Send>(items: &[T], work: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let cores = thread::available_parallelism().map_or(1, NonZero::get);
    let threads = (cores / 2).clamp(1, items.len().max(1));
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<Option<R>>> = Mutex::new(items.iter().map(|_| None).collect());
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((index, item)) = take(items, &next) {
                    let result = work(item);
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results[index] = Some(result);
                }
            });
        }
    });
    let results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.into_iter().flatten().collect()
}

fn take<'a, T>(items: &'a [T], next: &AtomicUsize) -> Option<(usize, &'a T)> {
    let index = next.fetch_add(1, Ordering::Relaxed);
    let item = items.get(index)?;
    Some((index, item))
}
