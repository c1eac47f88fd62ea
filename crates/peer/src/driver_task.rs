//! The task that owns the membership state machine: it feeds events in and executes the resulting actions.

use {
    crate::{
        heartbeat::MemberMessage,
        member_action::MemberAction,
        member_event::MemberEvent,
        member_metrics::MemberMetrics,
        member_table::MemberTable,
        member_update::MemberUpdate,
        member_view::MemberView,
        peer_driver::{MEMBER_TAG, TABLE_TAG},
        peer_endpoint::PeerEndpoint,
        peer_identity::PeerIdentity,
        peer_incoming::PeerIncoming,
        peer_metrics::RefusedCause,
        table_source::TableSource,
        wire,
    },
    arc_swap::ArcSwap,
    bytes::Bytes,
    kernel::{Incarnation, InstanceId, ShutdownSignal, TableVersion, unix_time},
    std::{
        sync::Arc,
        time::{Instant, SystemTime},
    },
    tokio::sync::{broadcast, mpsc},
};

/// The task's state and channels.
pub(crate) struct DriverTask<S> {
    pub(crate) commands: mpsc::UnboundedReceiver<MemberEvent>,
    pub(crate) endpoint: PeerEndpoint,
    pub(crate) inbox: mpsc::Receiver<PeerIncoming>,
    pub(crate) metrics: MemberMetrics,
    pub(crate) updates: broadcast::Sender<MemberUpdate>,
    pub(crate) own_commands: mpsc::UnboundedSender<MemberEvent>,
    pub(crate) signal: ShutdownSignal,
    pub(crate) source: Arc<S>,
    pub(crate) table: MemberTable,
    pub(crate) view: Arc<ArcSwap<MemberView>>,
}

impl<S: TableSource> DriverTask<S> {
    /// Runs until the shutdown signal, then announces the shutdown to the neighbours.
    pub(crate) async fn run(mut self) {
        loop {
            let wake = tokio::time::Instant::from_std(self.table.next_wake());
            let event = tokio::select! {
                () = self.signal.raised() => break,
                Some(command) = self.commands.recv() => Some(command),
                Some(incoming) = self.inbox.recv() => self.decode(incoming),
                () = tokio::time::sleep_until(wake) => Some(MemberEvent::Tick),
            };
            let Some(event) = event else {
                continue;
            };
            self.handle(event);
        }
        self.announce_shutdown().await;
    }

    fn handle(&mut self, event: MemberEvent) {
        let now = Instant::now();
        let changes_view = !matches!(event, MemberEvent::Message { .. });
        let mut actions = Vec::new();
        self.table.on_event(now, event, &mut actions);
        let notifies = actions
            .iter()
            .any(|action| matches!(action, MemberAction::Notify(_)));
        self.execute(actions);
        if changes_view || notifies {
            self.publish(now);
        }
    }

    fn execute(&mut self, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Notify(update) => self.notify(update),
                MemberAction::Pull { from, version } => self.pull(from, version),
                MemberAction::Refuse(cause) => self.endpoint.metrics().refuse(cause),
                MemberAction::Renew { above } => self.renew(above),
                MemberAction::Send { message, to } => self.send(&message, &to),
            }
        }
    }

    fn publish(&self, now: Instant) {
        let view = MemberView::new(now, &self.table);
        let cut = view.zones.iter().filter(|zone| zone.cut).count();
        self.metrics.heard.set(as_gauge(view.heard.len()));
        self.metrics.neighbours.set(as_gauge(view.neighbours.len()));
        self.metrics.unreachable_zones.set(as_gauge(cut));
        let version = i64::try_from(view.table.version).unwrap_or(i64::MAX);
        self.metrics.table_version.set(version);
        self.view.store(Arc::new(view));
    }

    fn notify(&self, update: MemberUpdate) {
        match &update {
            MemberUpdate::DigestDiffers { .. } => self.metrics.digest_differs.inc(),
            MemberUpdate::MemberDead { instance, .. } => {
                self.metrics.dead_members.inc();
                self.endpoint.forget(instance);
                tracing::info!(%instance, "member is dead");
            }
            MemberUpdate::MemberUp(record) => {
                let address = record.address;
                let instance = record.instance.clone();
                tracing::info!(%instance, "member is up");
                self.endpoint.addresses().set(instance, address);
            }
            MemberUpdate::Superseded { by } => {
                tracing::error!(
                    by,
                    "another process uses this instance's name with a later incarnation"
                );
            }
            MemberUpdate::ZoneReachable { zone } => {
                tracing::info!(%zone, "availability zone is reachable again")
            }
            MemberUpdate::ZoneUnreachable { zone } => {
                tracing::warn!(%zone, "availability zone is unreachable")
            }
            _ => {}
        }
        // An error only means that there are no subscribers.
        let _ = self.updates.send(update);
    }

    fn renew(&mut self, above: Incarnation) {
        let incarnation = unix_time::micros(SystemTime::now()).max(above + 1);
        self.metrics.renewals.inc();
        self.endpoint.set_incarnation(incarnation);
        tracing::warn!(
            incarnation,
            "peers declared this instance dead; starting a new incarnation"
        );
        let _ = self.own_commands.send(MemberEvent::Renewed(incarnation));
    }

    fn send(&self, message: &MemberMessage, to: &[InstanceId]) {
        let Ok(body) = wire::encode(message) else {
            return;
        };
        for instance in to {
            let _ = self.endpoint.send(instance, MEMBER_TAG, &body);
        }
    }

    fn decode(&self, incoming: PeerIncoming) -> Option<MemberEvent> {
        match incoming {
            PeerIncoming::Call { body, from, reply } => {
                reply.send(Bytes::new());
                self.decode_body(from, &body)
            }
            PeerIncoming::Message { body, from } => self.decode_body(from, &body),
            PeerIncoming::Session { .. } => None,
        }
    }

    fn decode_body(&self, from: PeerIdentity, body: &[u8]) -> Option<MemberEvent> {
        match wire::decode(body) {
            Ok(message) => Some(MemberEvent::Message { from, message }),
            Err(_) => {
                self.endpoint.metrics().refuse(RefusedCause::Garbled);
                None
            }
        }
    }

    fn pull(&self, from: InstanceId, version: TableVersion) {
        self.metrics.pulls.inc();
        let commands = self.own_commands.clone();
        let endpoint = self.endpoint.clone();
        let failed = self.metrics.pulls_failed.clone();
        let source = self.source.clone();
        self.endpoint.spawn(async move {
            let Some(event) = pull_table(&endpoint, &*source, &from).await else {
                failed.inc();
                tracing::debug!(%from, version, "pulling the table failed");
                return;
            };
            let _ = commands.send(event);
        });
    }

    /// Tells each neighbour that this incarnation has ended and waits for their answers, up to the call timeout.
    async fn announce_shutdown(mut self) {
        let mut actions = Vec::new();
        let now = Instant::now();
        self.table.on_event(now, MemberEvent::Close, &mut actions);
        let mut calls = tokio::task::JoinSet::new();
        for action in actions {
            let MemberAction::Send { message, to } = action else {
                continue;
            };
            let Ok(body) = wire::encode(&message) else {
                continue;
            };
            for instance in to {
                let body = body.clone();
                let endpoint = self.endpoint.clone();
                calls.spawn(async move { endpoint.call(&instance, MEMBER_TAG, &body).await });
            }
        }
        while calls.join_next().await.is_some() {}
    }
}

async fn pull_table<S: TableSource>(
    endpoint: &PeerEndpoint,
    source: &S,
    from: &InstanceId,
) -> Option<MemberEvent> {
    let content = request_table(endpoint, from, source.pull_since()).await?;
    let revision = source.apply(from, content).await.ok()?;
    Some(MemberEvent::Table(revision))
}

/// Requests the table's changes after a version from a peer; `None` when it has none or does not answer.
pub(crate) async fn request_table(
    endpoint: &PeerEndpoint,
    from: &InstanceId,
    since: TableVersion,
) -> Option<Bytes> {
    let request = wire::encode(&since).ok()?;
    let content = endpoint.call(from, TABLE_TAG, &request).await.ok()?;
    (!content.is_empty()).then_some(content)
}

fn as_gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Answers table pulls from peers.
pub(crate) async fn serve_table<S: TableSource>(
    source: Arc<S>,
    mut inbox: mpsc::Receiver<PeerIncoming>,
) {
    while let Some(incoming) = inbox.recv().await {
        let PeerIncoming::Call { body, reply, .. } = incoming else {
            continue;
        };
        let Ok(since) = wire::decode(&body) else {
            continue;
        };
        reply.send(source.changes(since).unwrap_or_default());
    }
}
