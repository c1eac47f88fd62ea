//! A service's faults and counters behind their lock.

use {
    super::{service_counters::ServiceCounters, service_faults::ServiceFaults},
    crate::net::ConnectionGate,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// What the requests of one service share.
#[derive(Debug, Default)]
pub(super) struct ServiceShared {
    pub(super) counters: ServiceCounters,
    pub(super) faults: ServiceFaults,
}

/// The book behind its lock, which is never held across an await.
#[derive(Clone, Debug)]
pub(super) struct ServiceState {
    shared: Arc<Mutex<ServiceShared>>,
    delay: Duration,
}

impl ServiceState {
    /// How long a request runs.
    pub(super) fn delay(&self) -> Duration {
        self.delay + self.with(|shared| shared.faults.delay)
    }

    /// A state without faults.
    pub(super) fn new(delay: Duration) -> Self {
        Self {
            shared: Arc::default(),
            delay,
        }
    }

    /// Counts the start of a run, until the guard is gone.
    pub(super) fn start_run(&self, key: &str) -> RunGuard {
        self.with(|shared| {
            let counters = &mut shared.counters;
            counters.runs += 1;
            counters.in_progress += 1;
            counters.peak_in_progress = counters.peak_in_progress.max(counters.in_progress);
            *counters.runs_by_key.entry(Arc::from(key)).or_default() += 1;
        });
        RunGuard {
            finished: false,
            state: self.clone(),
        }
    }

    /// Does something with the shared.
    pub(super) fn with<T>(&self, work: impl FnOnce(&mut ServiceShared) -> T) -> T {
        let mut shared = self
            .shared
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        work(&mut shared)
    }
}

impl ConnectionGate for ServiceState {
    fn admits_connection(&self) -> bool {
        self.with(|shared| !shared.faults.drop_connections)
    }

    fn admits_request(&self, earlier_requests: u64) -> bool {
        self.with(|shared| {
            let reused = earlier_requests > 0 && shared.faults.drop_on_reuse;
            !reused && !shared.faults.drop_connections
        })
    }
}

/// One request that runs.
#[derive(Debug)]
pub(super) struct RunGuard {
    finished: bool,
    state: ServiceState,
}

impl RunGuard {
    /// Marks the answer as sent whole.
    pub(super) fn finish(&mut self) {
        self.finished = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let finished = self.finished;
        self.state.with(|shared| {
            shared.counters.in_progress -= 1;
            shared.counters.unfinished += u64::from(!finished);
        });
    }
}
