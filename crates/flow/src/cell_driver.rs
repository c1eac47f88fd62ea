//! Drives the allocator of one cell: gives it events and carries its decisions to whoever holds the requests.

use {
    crate::{cell_frame::CellFrame, cell_notice::CellGrant, open_keys::OpenKeys},
    admit::{AdmitAction, AdmitEvent, AdmitPolicy, RequestKey},
    kernel::{LockRank, ModelId, RankedLock, ShutdownSignal},
    std::{sync::Arc, time::Instant},
    table::WorkTable,
    tokio::{sync::Notify, time},
};

/// Carries a decision to the entry instance that holds the request.
pub trait GrantSink: Send + Sync + 'static {
    /// Delivers one grant; a request that is no longer held is dropped.
    fn deliver(&self, model: &ModelId, key: RequestKey, grant: CellGrant);
}

/// One cell's allocator with its timer.
pub struct CellDriver<P, S> {
    model: ModelId,
    sink: Arc<S>,
    state: RankedLock<CellState<P>>,
    timer: Notify,
}

struct CellState<P> {
    /// Events of requests that came before the allocator knew its engines; `None` once it does.
    buffered: Option<Vec<AdmitEvent>>,
    open_keys: OpenKeys,
    policy: P,
    /// The table that the allocator was told last.
    table: Option<Arc<WorkTable>>,
    wake_at: Option<Instant>,
}

impl<P, S> CellDriver<P, S>
where
    P: AdmitPolicy + Send + 'static,
    S: GrantSink,
{
    /// A driver around the allocator of one model's cell.
    pub fn new(model: ModelId, policy: P, sink: Arc<S>) -> Self {
        Self {
            model,
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

    /// Whether a table differs from the one that came here before; it counts as told from then on.
    pub fn replace_table(&self, table: &Arc<WorkTable>) -> bool {
        let mut state = self.state.lock();
        if state.table.as_ref() == Some(table) {
            return false;
        }
        state.table = Some(table.clone());
        true
    }

    /// Reads the allocator's state.
    pub fn inspect<T>(&self, read: impl FnOnce(&P) -> T) -> T {
        read(&self.state.lock().policy)
    }

    /// Gives one event to the allocator and delivers what it decides.
    pub fn on_event(&self, event: AdmitEvent) {
        let actions = self.apply(&mut self.state.lock(), event);
        for action in actions {
            self.deliver(action);
        }
    }

    /// Takes a frame of an entry instance.
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

    /// Gives one event of a request to the allocator. Before [`CellDriver::open`] it is kept: an allocator that knows no
    /// engine yet would refuse what it could serve a moment later.
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

    /// Says that the allocator was told of the engines that answer.
    pub fn open(&self) {
        let mut actions = Vec::new();
        {
            // An event that comes meanwhile is taken after the earlier ones.
            let mut state = self.state.lock();
            for event in state.buffered.take().unwrap_or_default() {
                actions.extend(self.apply(&mut state, event));
            }
        }
        for action in actions {
            self.deliver(action);
        }
    }

    /// Wakes the allocator when it asked for it, until the signal.
    pub async fn run_timer(&self, signal: ShutdownSignal) {
        loop {
            let wake_at = self.state.lock().wake_at;
            tokio::select! {
                () = signal.raised() => return,
                () = self.timer.notified() => continue,
                () = sleep_until(wake_at) => {}
            }
            // An event may have asked for another time since this one was due.
            self.state
                .lock()
                .wake_at
                .take_if(|at| *at <= Instant::now());
            self.on_event(AdmitEvent::Tick);
        }
    }

    /// Gives one event to the allocator; its decisions are to be delivered without the lock.
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

    /// Keeps the earliest time that was asked for and is still to come.
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
