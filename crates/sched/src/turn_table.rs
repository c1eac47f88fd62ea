//! The turns of refused requests.

use {
    crate::TurnKey,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// The maximum number of turns. The one that falls due first leaves when there are more.
pub const MAX_TURNS: usize = 4096;
/// How much earlier than told a caller may come back.
const EARLY_TIME: Duration = Duration::from_millis(100);
/// How much later than told a caller may come back.
const LATE_TIME: Duration = Duration::from_secs(2);

/// Longer waits are not told apart.
const MAX_PROMISE: Duration = Duration::from_secs(3600);

/// The turn of a request that is back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Turn {
    /// When its first attempt arrived.
    pub arrived: Instant,
    /// Whether it came a little before the time that it was told.
    pub is_early: bool,
}

/// When refused requests were told to come back.
#[derive(Clone, Debug, Default)]
pub struct TurnTable {
    due: BTreeSet<(Instant, TurnKey)>,
    turns: BTreeMap<TurnKey, PromisedTurn>,
}

#[derive(Clone, Copy, Debug)]
struct PromisedTurn {
    arrived: Instant,
    due: Instant,
}

impl TurnTable {
    /// A table without turns.
    pub fn new() -> Self {
        Self::default()
    }

    /// A request was refused and told to come back after `wait`. A new turn replaces an older one of the request.
    pub fn promise(&mut self, turn: TurnKey, arrived: Instant, wait: Duration, now: Instant) {
        let due = now + wait.min(MAX_PROMISE);
        self.remove(turn);
        self.turns.insert(turn, PromisedTurn { arrived, due });
        self.due.insert((due, turn));
        if self.turns.len() <= MAX_TURNS {
            return;
        }
        if let Some((_, first)) = self.due.first().copied() {
            self.remove(first);
        }
    }

    /// The request is back: its turn, if it comes from 100 ms before the time that it was told to 2 s after. Each turn is
    /// used once; a request that comes too early keeps it.
    pub fn take(&mut self, turn: TurnKey, now: Instant) -> Option<Turn> {
        let promised = *self.turns.get(&turn)?;
        if now + EARLY_TIME < promised.due {
            return None;
        }
        self.remove(turn);
        if promised.due + LATE_TIME < now {
            return None;
        }
        Some(Turn {
            arrived: promised.arrived,
            is_early: now < promised.due,
        })
    }

    /// How many promised turns fall due within `wait` from now, so that a place isn't promised twice. Those that were due
    /// in the last 100 ms count, since their callers may be on the way.
    pub fn due_within(&self, wait: Duration, now: Instant) -> usize {
        let first = now.checked_sub(EARLY_TIME).unwrap_or(now);
        let range = (first, TurnKey::MIN)..=(now + wait.min(MAX_PROMISE), TurnKey::MAX);
        self.due.range(range).count()
    }

    /// Forgets the turns of callers that didn't come back.
    pub fn expire(&mut self, now: Instant) {
        while let Some((due, turn)) = self.due.first().copied() {
            if due + LATE_TIME >= now {
                return;
            }
            self.remove(turn);
        }
    }

    /// The number of turns.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether no turn is promised.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    fn remove(&mut self, turn: TurnKey) {
        let Some(promised) = self.turns.remove(&turn) else {
            return;
        };
        self.due.remove(&(promised.due, turn));
    }
}
