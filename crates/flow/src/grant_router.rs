//! Delivers the decisions of local allocators to the instances that hold the requests.

use {
    crate::{
        cell_driver::GrantSink, cell_frame::GrantFrame, cell_hub::CellHub, cell_notice::CellGrant,
        upstream_registry::UpstreamRegistry,
    },
    admit::RequestKey,
    kernel::{InstanceId, LockRank, ModelId, RankedLock},
    std::{collections::BTreeMap, sync::Arc},
    tokio::sync::mpsc::UnboundedSender,
};

/// Delivers grants to the local hub, or over the session of the requesting instance.
pub struct GrantRouter {
    hub: Arc<CellHub>,
    instance: InstanceId,
    registry: Arc<UpstreamRegistry>,
    sessions: RankedLock<BTreeMap<InstanceId, UnboundedSender<GrantFrame>>>,
}

impl GrantRouter {
    /// Sets the session of an instance and drops its previous one.
    pub fn attach(&self, instance: InstanceId, session: UnboundedSender<GrantFrame>) {
        self.sessions.lock().insert(instance, session);
    }

    /// Creates a router without sessions.
    pub fn new(hub: Arc<CellHub>, instance: InstanceId, registry: Arc<UpstreamRegistry>) -> Self {
        let sessions = RankedLock::new(LockRank::Sessions, BTreeMap::new());
        Self {
            hub,
            instance,
            registry,
            sessions,
        }
    }
}

impl GrantSink for GrantRouter {
    fn deliver(&self, model: &ModelId, key: RequestKey, grant: CellGrant) {
        let frame = GrantFrame {
            address: grant
                .upstream()
                .and_then(|upstream| self.registry.address(upstream)),
            grant,
            key,
            model: model.clone(),
        };
        if frame.key.instance == self.instance {
            self.hub.on_grant(&self.instance, frame);
            return;
        }
        let sessions = self.sessions.lock();
        let Some(session) = sessions.get(&frame.key.instance) else {
            return;
        };
        // If the session is closed, the instance announces its requests over the next one.
        let _ = session.send(frame);
    }
}
