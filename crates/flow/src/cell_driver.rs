//! Drives the allocator of one cell: passes events to it and delivers its decisions to the holders of the requests.

use {
    crate::{cell_frame::CellFrame, cell_notice::CellGrant, open_keys::OpenKeys},
    admit::{AdmitAction, AdmitEvent, AdmitPolicy, RequestKey},
    kernel::{LockRank, ModelId, RankedLock, ShutdownSignal},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    table::WorkTable,
    tokio::{sync::Notify, time},
};

/// Delivers decisions to the entry instances that hold the requests.
pub trait GrantSink: Send + Sync + 'static {
    /// Delivers one grant. A grant for a request that is no longer held is dropped.
    fn deliver(&self, model: &ModelId, key: RequestKey, grant: CellGrant);
}

/// The allocator of one cell with its timer.
pub struct CellDriver<P, S> {
    model: ModelId,
    since: Instant,
    sink: Arc<S>,
    state: RankedLock<CellState<P>>,
    timer: Notify,
}

struct CellState<P> {
    /// Request events that arrived before the allocator knew its engines; `None` afterwards.
    buffered: Option<Vec<AdmitEvent>>,
    open_keys: OpenKeys,
    policy: P,
    /// The table that the allocator last received.
    table: Option<Arc<WorkTable>>,
    wake_at: Option<Instant>,
}

impl<P, S> CellDriver<P, S>
where
    P: AdmitPolicy + Send + 'static,
    S: GrantSink,
{
    /// Creates a driver for the allocator of a model's cell.
    pub fn new(model: ModelId, policy: P, sink: Arc<S>) -> Self {
        Self {
            model,
            since: Instant::now(),
            sink,
            state: RankedLock::new(
                LockRank::Allocator,
                CellState {
                    buffered: Some(Vec::new()),
                    open_keys: OpenKeys::default(),
                    policy,
                    table: None,
                    wake_at: None,
                },
            ),
            timer: Notify::new(),
        }
    }

    /// How long the allocator has had its cell.
    pub fn age(&self) -> Duration {
        self.since.elapsed()
    }

    /// Stores the table and returns whether it differs from the previous one.
    pub fn replace_table(&self, table: &Arc<WorkTable>) -> bool {
        let mut state = self.state.lock();
        if state.table.as_ref() == Some(table) {
            return false;
        }
        state.table = Some(table.clone());
        true
    }

    /// Reads the state of the allocator.
    pub fn inspect<T>(&self, read: impl FnOnce(&P) -> T) -> T {
        read(&self.state.lock().policy)
    }

    /// Passes one event to the allocator and delivers its decisions.
    pub fn on_event(&self, event: AdmitEvent) {
        let actions = self.apply(&mut self.state.lock(), event);
        for action in actions {
            self.deliver(action);
        }
    }

    /// Handles a frame from an entry instance.
    pub fn on_frame(&self, now: Instant, frame: CellFrame) {
        if let CellFrame::Holds {
            instance, serials, ..
        } = &frame
        {
            let missing = self.state.lock().open_keys.begin_session(instance, serials);
            for key in missing {
                self.on_request(AdmitEvent::Cancel { key });
            }
            return;
        }
        let Some(event) = frame.into_event(now) else {
            return;
        };
        let event = self.state.lock().open_keys.reconcile(event);
        self.on_request(event);
    }

    /// Passes one request event to the allocator. Events are buffered until [`CellDriver::open`], because an allocator
    /// that knows no engine yet would refuse requests that it could serve a moment later.
    pub fn on_request(&self, event: AdmitEvent) {
        {
            let mut state = self.state.lock();
            let CellState {
                buffered,
                open_keys,
                ..
            } = &mut *state;
            if let Some(buffered) = buffered {
                open_keys.track(&event);
                buffered.push(event);
                return;
            }
        }
        self.on_event(event);
    }

    /// Passes on the buffered events, once the allocator knows the engines that answer.
    pub fn open(&self) {
        let mut actions = Vec::new();
        {
            // Holding the lock keeps an event that arrives meanwhile behind the buffered ones.
            let mut state = self.state.lock();
            for event in state.buffered.take().unwrap_or_default() {
                actions.extend(self.apply(&mut state, event));
            }
        }
        for action in actions {
            self.deliver(action);
        }
    }

    /// Wakes the allocator at the times it requests, until the signal is raised.
    pub async fn run_timer(&self, signal: ShutdownSignal) {
        loop {
            let wake_at = self.state.lock().wake_at;
            tokio::select! {
                () = signal.raised() => return,
                () = self.timer.notified() => continue,
                () = sleep_until(wake_at) => {}
            }
            // An event may have requested another time since this one was due.
            self.state
                .lock()
                .wake_at
                .take_if(|at| *at <= Instant::now());
            self.on_event(AdmitEvent::Tick);
        }
    }

    /// Passes one event to the allocator. The caller delivers the decisions after releasing the lock.
    fn apply(&self, state: &mut CellState<P>, event: AdmitEvent) -> Vec<AdmitAction> {
        let mut actions = Vec::new();
        state.open_keys.track(&event);
        state.policy.on_event(Instant::now(), event, &mut actions);
        close_refused(&mut state.open_keys, &actions);
        self.schedule_wake(state, &actions);
        actions
    }

    fn deliver(&self, action: AdmitAction) {
        let (key, grant) = match action {
            AdmitAction::GrantDecode { decode, key } => (key, CellGrant::Decode(decode)),
            AdmitAction::GrantPrefill { key, prefill } => (key, CellGrant::Prefill(prefill)),
            AdmitAction::Refuse {
                code,
                key,
                retry_after,
            } => (key, CellGrant::Refuse { code, retry_after }),
            AdmitAction::Resync { key } => (key, CellGrant::Resync),
            AdmitAction::WakeAt(_) => return,
        };
        self.sink.deliver(&self.model, key, grant);
    }

    /// Keeps the earliest requested time that is still in the future.
    fn schedule_wake(&self, state: &mut CellState<P>, actions: &[AdmitAction]) {
        let now = Instant::now();
        for action in actions {
            let AdmitAction::WakeAt(at) = action else {
                continue;
            };
            let is_sooner = |earlier| now < earlier && earlier <= *at;
            if state.wake_at.is_some_and(is_sooner) {
                continue;
            }
            state.wake_at = Some(*at);
            self.timer.notify_one();
        }
    }
}

fn close_refused(open_keys: &mut OpenKeys, actions: &[AdmitAction]) {
    for action in actions {
        let AdmitAction::Refuse { key, .. } = action else {
            continue;
        };
        open_keys.close(key);
    }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}
