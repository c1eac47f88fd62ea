//! Link of limited bandwidth shared by concurrent transfers.

use {
    crate::fair_share_table::FairShareTable,
    std::{
        collections::BTreeSet,
        sync::{Arc, Mutex, MutexGuard},
        time::Instant,
    },
    tokio::{sync::Notify, time},
};

type TransferKey = u64;

#[derive(Debug)]
struct LinkState {
    ended: BTreeSet<TransferKey>,
    next_key: TransferKey,
    table: FairShareTable<TransferKey>,
}

#[derive(Debug)]
struct LinkShared {
    changed: Notify,
    state: Mutex<LinkState>,
}

/// A link or weight store; clones share its rate.
#[derive(Clone, Debug)]
pub struct RateLink {
    shared: Arc<LinkShared>,
}

impl RateLink {
    /// Transfers `units` and returns when they have arrived. Dropping the future aborts the transfer.
    pub async fn transfer(&self, units: f64) {
        let transfer = self.start(units);
        loop {
            let changed = self.shared.changed.notified();
            let Some(next_completion) = transfer.next_completion() else {
                return;
            };
            tokio::select! {
                () = changed => {}
                () = time::sleep_until(next_completion.into()) => {}
            }
        }
    }

    /// Creates a link of `rate` units per second; zero or less means unlimited.
    pub fn new(rate: f64) -> Self {
        let state = LinkState {
            ended: BTreeSet::new(),
            next_key: 0,
            table: FairShareTable::new(rate),
        };
        Self {
            shared: Arc::new(LinkShared {
                changed: Notify::new(),
                state: Mutex::new(state),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(|poison| poison.into_inner())
    }

    fn start(&self, units: f64) -> TransferGuard<'_> {
        let now = Instant::now();
        let mut state = self.lock();
        self.advance(now, &mut state);
        let key = state.next_key;
        state.next_key += 1;
        state.table.start(now, key, units);
        TransferGuard { key, link: self }
    }

    fn advance(&self, now: Instant, state: &mut LinkState) {
        let ended = state.table.advance(now);
        if ended.is_empty() {
            return;
        }
        state.ended.extend(ended);
        self.shared.changed.notify_waiters();
    }
}

struct TransferGuard<'a> {
    key: TransferKey,
    link: &'a RateLink,
}

impl TransferGuard<'_> {
    /// Completion time of the link's next transfer; `None` once this transfer is complete.
    fn next_completion(&self) -> Option<Instant> {
        let mut state = self.link.lock();
        self.link.advance(Instant::now(), &mut state);
        if state.ended.contains(&self.key) {
            return None;
        }
        state.table.next_completion()
    }
}

impl Drop for TransferGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.link.lock();
        self.link.advance(Instant::now(), &mut state);
        state.ended.remove(&self.key);
        if state.table.stop(&self.key).is_some() {
            self.link.shared.changed.notify_waiters();
        }
    }
}
