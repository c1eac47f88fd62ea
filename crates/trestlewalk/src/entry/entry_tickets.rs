//! The tickets of an entry instance: their table, the layer in front of the handlers that checks them, and the sweep of
//! old claims.

use {
    crate::{
        RunError,
        entry::{EntryParts, EntryPlatform, PathComponents},
        run_error::{MetricsSnafu, TicketsSnafu},
    },
    claim::{ClaimKeeper, IncarnationKey, TicketSettings, claim_sweep},
    door::{AdmissionGate, TICKET_TAG, TicketDispatcher, TicketMetrics, TicketRegistry},
    kernel::{InstanceId, seeded_rng},
    peer::PeerDriver,
    snafu::ResultExt,
    std::{
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::time,
};

/// How often ended claims are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// The ticket layer in front of the handlers of this process.
pub type EntryTickets = TicketDispatcher<EntryPlatform>;

/// Creates the ticket layer in front of `handlers`, and starts the tasks that answer other instances and sweep claims.
///
/// # Errors
///
/// The names of this instance are not valid in a ticket.
pub fn start_tickets(
    components: &PathComponents,
    parts: &EntryParts,
    gate: Arc<AdmissionGate>,
    handlers: axum::Router,
    members: Arc<PeerDriver>,
) -> Result<Arc<EntryTickets>, RunError> {
    let registry = Arc::new(make_registry(parts)?);
    parts.map.insert(registry.clone());
    let store = Arc::new(components.platform.clone());
    let keeper = ClaimKeeper::new(store.clone());
    components.pool.spawn(sweep_claims(keeper, members.clone()));
    let dispatcher = TicketDispatcher::builder()
        .claim_secret(shared_secret(parts))
        .registry(registry)
        .endpoint(components.endpoint.clone())
        .gate(gate)
        .handlers(handlers)
        .limit(parts.settings.limits.body as usize)
        .members(members)
        .store(store)
        .build();
    let dispatcher = Arc::new(dispatcher);
    let incoming = components.endpoint.register(TICKET_TAG);
    components.pool.spawn(
        dispatcher
            .clone()
            .serve_peers(incoming, components.pool.clone()),
    );
    Ok(dispatcher)
}

fn make_registry(parts: &EntryParts) -> Result<TicketRegistry, RunError> {
    let identity = &parts.identity;
    let life = IncarnationKey {
        incarnation: identity.incarnation,
        instance: identity.instance.clone(),
    };
    let metrics = TicketMetrics::new().context(MetricsSnafu)?;
    let settings = TicketSettings::builder().secret(own_secret(parts)).build();
    TicketRegistry::new(life, metrics, settings, identity.zone.clone()).context(TicketsSnafu)
}

/// The secret that this process signs its tickets with: that of the settings, or one derived from the incarnation and
/// the time.
fn own_secret(parts: &EntryParts) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.unwrap_or_default().as_nanos();
    match &parts.settings.secret {
        Some(secret) => seeded_rng::mix(0, secret.as_bytes()),
        None => seeded_rng::mix(parts.identity.incarnation, &now.to_le_bytes()),
    }
}

/// The secret that the rows of claims are hashed with; the same at all instances.
fn shared_secret(parts: &EntryParts) -> u64 {
    let secret = parts.settings.secret.as_deref().unwrap_or_default();
    seeded_rng::mix(0, secret.as_bytes())
}

/// Removes ended claims periodically, at the one instance that is the sweeper among the live ones. Never returns.
async fn sweep_claims(keeper: ClaimKeeper<EntryPlatform>, members: Arc<PeerDriver>) {
    let mut ticks = time::interval(SWEEP_INTERVAL);
    loop {
        ticks.tick().await;
        let view = members.view();
        let heard = view.heard.iter().map(|record| record.instance.clone());
        let live: Vec<InstanceId> = heard.collect();
        if !claim_sweep::is_sweeper(&view.instance, &live) {
            continue;
        }
        if let Err(error) = keeper.sweep().await {
            tracing::debug!(%error, "the sweep of ended claims failed");
        }
    }
}
