//! Executes the actions of an engine's core.

use {
    super::{
        connection_guard::ConnectionGuard,
        core_prefill::ExportError,
        engine_core::EngineCore,
        engine_event::{EngineAction, EngineCall, EngineEvent, KvImport, KvRecord},
        engine_run::{KvHandle, RunEnd, RunId, RunView},
        kv_client::KvClient,
        stand_in_engine::EngineLinks,
    },
    crate::expected_answer::prompt_digest,
    engine::wire::{EngineOrder, OrderRefusal},
    kernel::ShutdownSignal,
    std::{
        collections::BTreeMap,
        future::Future,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Instant,
    },
    tokio::{
        sync::{Notify, watch},
        task::AbortHandle,
        time,
    },
    tokio_util::task::TaskTracker,
};

#[derive(Debug)]
struct DriverState {
    core: EngineCore,
    next_run: RunId,
    transfers: BTreeMap<RunId, AbortHandle>,
    views: BTreeMap<RunId, watch::Sender<RunView>>,
}

#[derive(Debug)]
struct DriverShared {
    address: SocketAddr,
    client: KvClient,
    links: EngineLinks,
    signal: ShutdownSignal,
    state: Mutex<DriverState>,
    tracker: TaskTracker,
    wake: Notify,
}

/// Subscription of one connection to the progress of a run.
#[derive(Debug)]
pub(super) struct RunSubscription {
    pub(super) call: EngineCall,
    _guard: ConnectionGuard,
    pub(super) views: watch::Receiver<RunView>,
}

impl RunSubscription {
    /// Finish reason of a completion of `tokens` tokens.
    pub(super) fn finish_reason(&self, tokens: u32) -> Arc<str> {
        let reason = match tokens < self.call.max_tokens {
            false => "length",
            true => "stop",
        };
        Arc::from(reason)
    }
}

/// An engine's core with its timers and transfers; clones share the state.
#[derive(Clone, Debug)]
pub(super) struct EngineDriver {
    shared: Arc<DriverShared>,
}

impl EngineDriver {
    /// Address of the engine's own interface.
    pub(super) fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Cancels the run of a request id; returns `false` if it is not active.
    pub(super) fn cancel(&self, id: &str) -> bool {
        let mut state = self.lock();
        let Some(run) = state.core.find_run(id) else {
            return false;
        };
        let held = state.core.holds_resources(run);
        self.apply(&mut state, EngineEvent::Cancel(run));
        held
    }

    /// Finds an exported KV cache and extends its lifetime for a transfer that is starting.
    pub(super) fn claim_export(
        &self,
        handle: KvHandle,
        digest: &str,
    ) -> Result<KvRecord, ExportError> {
        let mut state = self.lock();
        let record = state.core.find_export(handle, digest)?;
        self.apply(&mut state, EngineEvent::KvClaimed(handle));
        Ok(record)
    }

    /// Stops timers and transfers and waits for their tasks.
    pub(super) async fn close(self) {
        self.shared.signal.raise();
        self.shared.tracker.close();
        self.shared.tracker.wait().await;
    }

    /// Passes an event to the core and executes the resulting actions.
    pub(super) fn handle(&self, event: EngineEvent) {
        self.apply(&mut self.lock(), event);
    }

    /// Creates the driver and starts its timers. `address` is advertised in KV transfer parameters.
    pub(super) fn new(core: EngineCore, address: SocketAddr, links: EngineLinks) -> Self {
        let state = DriverState {
            core,
            next_run: 0,
            transfers: BTreeMap::new(),
            views: BTreeMap::new(),
        };
        let driver = Self {
            shared: Arc::new(DriverShared {
                address,
                client: KvClient::new(),
                links,
                signal: ShutdownSignal::new(),
                state: Mutex::new(state),
                tracker: TaskTracker::new(),
                wake: Notify::new(),
            }),
        };
        driver.spawn(driver.clone().run_timers());
        driver
    }

    /// Checks an order's fencing token and executes the order.
    pub(super) fn order(&self, order: EngineOrder) -> Result<(), OrderRefusal> {
        let mut state = self.lock();
        state.core.check_order(Instant::now(), &order)?;
        self.apply(&mut state, EngineEvent::Order(order));
        Ok(())
    }

    /// Subscribes again to the run of a request id; `None` if it cannot be resumed.
    pub(super) fn resume(&self, id: &str) -> Option<RunSubscription> {
        let mut state = self.lock();
        let run = state.core.find_run(id)?;
        let call = state.core.call(run)?.clone();
        if call.keep_kv {
            return None;
        }
        let views = state.views.get(&run)?.subscribe();
        self.apply(&mut state, EngineEvent::Reconnected(run));
        drop(state);
        Some(self.subscription(run, call, views))
    }

    /// Submits a call to the core and subscribes to its run.
    pub(super) fn submit(&self, call: EngineCall) -> RunSubscription {
        let mut state = self.lock();
        let run = state.next_run;
        state.next_run += 1;
        let (sender, views) = watch::channel(RunView::default());
        state.views.insert(run, sender);
        let submit = EngineEvent::Submit {
            call: call.clone(),
            run,
        };
        self.apply(&mut state, submit);
        drop(state);
        self.subscription(run, call, views)
    }

    /// Runs a closure on the core while its lock is held.
    pub(super) fn with<T>(&self, work: impl FnOnce(&mut EngineCore) -> T) -> T {
        work(&mut self.lock().core)
    }

    fn apply(&self, state: &mut DriverState, event: EngineEvent) {
        let mut actions = Vec::new();
        state.core.on_event(Instant::now(), event, &mut actions);
        for action in actions {
            self.execute(state, action);
        }
        self.shared.wake.notify_one();
    }

    fn execute(&self, state: &mut DriverState, action: EngineAction) {
        match action {
            EngineAction::ClaimKv {
                import,
                prompt,
                run,
            } => self.spawn(self.clone().claim(import, prompt, run)),
            EngineAction::Forget(run) => {
                state.views.remove(&run);
            }
            EngineAction::LoadWeights { bytes, model } => {
                let driver = self.clone();
                self.spawn(async move {
                    driver.shared.links.weights.transfer(bytes).await;
                    driver.handle(EngineEvent::ModelLoaded(model));
                });
            }
            EngineAction::ReleaseKv { import, used } => {
                let driver = self.clone();
                self.spawn(async move { driver.shared.client.release(&import, used).await });
            }
            EngineAction::StartTransfer { bytes, run } => {
                let transfer = self.clone().transfer(bytes, run);
                let handle = self.shared.tracker.spawn(transfer).abort_handle();
                state.transfers.insert(run, handle);
            }
            EngineAction::StopTransfer(run) => {
                if let Some(transfer) = state.transfers.remove(&run) {
                    transfer.abort();
                }
            }
            EngineAction::Update { run, view } => update(state, run, view),
        }
    }

    async fn claim(self, import: KvImport, prompt: Arc<str>, run: RunId) {
        let digest = prompt_digest(&prompt);
        let answer = self.shared.client.claim(&import, &digest).await;
        self.handle(EngineEvent::KvAnswered { answer, run });
    }

    async fn run_timers(self) {
        loop {
            let due = self.with(|core| core.next_wake());
            let Some(due) = due else {
                self.shared.wake.notified().await;
                continue;
            };
            tokio::select! {
                () = self.shared.wake.notified() => {}
                () = time::sleep_until(due.into()) => self.handle(EngineEvent::Tick),
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, DriverState> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(|poison| poison.into_inner())
    }

    fn subscription(
        &self,
        run: RunId,
        call: EngineCall,
        views: watch::Receiver<RunView>,
    ) -> RunSubscription {
        RunSubscription {
            _guard: ConnectionGuard::new(self.clone(), run),
            call,
            views,
        }
    }

    fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        let signal = self.shared.signal.clone();
        self.shared.tracker.spawn(async move {
            tokio::select! {
                () = signal.raised() => {}
                () = work => {}
            }
        });
    }

    async fn transfer(self, bytes: f64, run: RunId) {
        tokio::select! {
            () = self.shared.signal.raised() => return,
            () = self.shared.links.transfers.transfer(bytes) => {}
        }
        self.lock().transfers.remove(&run);
        self.handle(EngineEvent::TransferEnded(run));
    }
}

fn update(state: &mut DriverState, run: RunId, view: RunView) {
    let is_last = view
        .end
        .as_ref()
        .is_some_and(|end| *end != RunEnd::Finished);
    if let Some(sender) = state.views.get(&run) {
        sender.send_replace(view);
    }
    if is_last {
        state.views.remove(&run);
    }
}
