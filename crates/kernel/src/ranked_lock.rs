//! Mutexes with a global lock order that debug builds assert. `docs/LOCKS.md` lists the ranks.

#[cfg(debug_assertions)]
use std::cell::RefCell;
use std::{
    ops::{Deref, DerefMut},
    sync::{Mutex, MutexGuard},
};

macro_rules! lock_ranks {
    ($(#[doc = $text:literal] $name:ident = $number:literal,)*) => {
        /// The position of a lock in the lock order: a thread acquires locks by ascending rank.
        #[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
        #[repr(u8)]
        pub enum LockRank {
            $(#[doc = $text] $name = $number,)*
        }

        impl LockRank {
            /// Every rank, in ascending order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The position in the lock order; lower ranks are acquired first.
            pub fn number(self) -> u8 {
                self as u8
            }

            /// What locks of this rank protect, in one line.
            pub fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text.trim_ascii(),)*
                }
            }
        }
    };
}

lock_ranks! {
    /// The members that this instance knows.
    Members = 10,
    /// The table in force.
    Table = 20,
    /// The list of cells whose allocator this instance is.
    Cells = 25,
    /// The allocators that this instance runs.
    Allocator = 30,
    /// Where the frames of each cell go.
    Seats = 35,
    /// The sessions of other instances with the allocators here.
    Sessions = 37,
    /// The requests that this instance holds.
    Requests = 40,
    /// The tickets and claims.
    Claims = 50,
    /// The choices among replicas of plain services.
    Services = 55,
    /// The schedulers of decode places that this instance runs.
    Schedulers = 56,
    /// The list of upstreams as another instance passed it on.
    Readings = 57,
    /// The runs that were lost with their connections, and the requests in quarantine.
    Losses = 58,
    /// The software versions at which streams began.
    Notes = 59,
    /// The view of upstreams: marks, load, prefixes.
    Upstreams = 60,
    /// The decode places that this instance holds.
    Places = 61,
    /// The idle connections to upstreams and to the store.
    Links = 65,
    /// Counters and samples.
    Samples = 70,
}

#[cfg(debug_assertions)]
thread_local! {
  static HELD_RANKS: RefCell<Vec<LockRank>> = const { RefCell::new(Vec::new()) };
}

/// A mutex that asserts the lock order in debug builds. It must not be held across an await.
#[derive(Debug)]
pub struct RankedLock<T> {
    mutex: Mutex<T>,
    #[cfg(debug_assertions)]
    rank: LockRank,
}

/// Releases its [`RankedLock`] when dropped.
pub struct RankedGuard<'a, T> {
    guard: MutexGuard<'a, T>,
    #[cfg(debug_assertions)]
    rank: LockRank,
}

impl<T> RankedLock<T> {
    /// Acquires the lock. A poisoned lock is acquired all the same.
    ///
    /// # Panics
    ///
    /// In debug builds, if the thread already holds a lock of the same or a greater rank.
    pub fn lock(&self) -> RankedGuard<'_, T> {
        #[cfg(debug_assertions)]
        HELD_RANKS.with_borrow_mut(|held| {
            let top = held.iter().max().copied();
            assert!(
                top < Some(self.rank),
                "lock order: {:?} taken while holding {top:?}",
                self.rank
            );
            held.push(self.rank);
        });
        RankedGuard {
            guard: self
                .mutex
                .lock()
                .unwrap_or_else(|poison| poison.into_inner()),
            #[cfg(debug_assertions)]
            rank: self.rank,
        }
    }

    /// Creates a lock of the given rank around a value.
    pub fn new(rank: LockRank, value: T) -> Self {
        #[cfg(not(debug_assertions))]
        let _ = rank;
        Self {
            mutex: Mutex::new(value),
            #[cfg(debug_assertions)]
            rank,
        }
    }
}

impl<T> Deref for RankedGuard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.guard
    }
}

impl<T> DerefMut for RankedGuard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.guard
    }
}

#[cfg(debug_assertions)]
impl<T> Drop for RankedGuard<'_, T> {
    fn drop(&mut self) {
        HELD_RANKS.with_borrow_mut(|held| {
            let Some(index) = held.iter().rposition(|rank| *rank == self.rank) else {
                return;
            };
            held.remove(index);
        });
    }
}
