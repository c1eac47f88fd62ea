//! Faults and counters of a service behind a lock.

use {
    super::{service_counters::ServiceCounters, service_faults::ServiceFaults},
    crate::net::ConnectionGate,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// State shared by the requests of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceShared {
    pub(super) counters: ServiceCounters,
    pub(super) faults: ServiceFaults,
}

/// The shared state behind a lock that is never held across an await.
#[derive(Clone, Debug)]
pub(super) struct ServiceState {
    shared: Arc<Mutex<ServiceShared>>,
    delay: Duration,
}

impl ServiceState {
    /// Duration of a request, including the injected delay.
    pub(super) fn delay(&self) -> Duration {
        self.delay + self.with(|shared| shared.faults.delay)
    }

    /// Creates a state without faults.
    pub(super) fn new(delay: Duration) -> Self {
        Self {
            shared: Arc::default(),
            delay,
        }
    }

    /// Counts the start of a run, which is in progress until the guard is dropped.
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

    /// Runs a closure on the shared state while its lock is held.
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

/// Counts a request as in progress until dropped.
#[derive(Debug)]
pub(super) struct RunGuard {
    finished: bool,
    state: ServiceState,
}

impl RunGuard {
    /// Marks the response as sent completely.
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
