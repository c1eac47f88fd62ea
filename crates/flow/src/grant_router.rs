//! Carries the decisions of the allocators here to the instances that hold the requests.

use {
    crate::{
        cell_driver::GrantSink, cell_frame::GrantFrame, cell_hub::CellHub, cell_notice::CellGrant,
    },
    admit::RequestKey,
    kernel::{InstanceId, LockRank, ModelId, RankedLock},
    std::{collections::BTreeMap, sync::Arc},
    tokio::sync::mpsc::UnboundedSender,
};

/// Carries grants to this instance's own hub, or into the session of the instance that asked.
pub struct GrantRouter {
    hub: Arc<CellHub>,
    instance: InstanceId,
    sessions: RankedLock<BTreeMap<InstanceId, UnboundedSender<GrantFrame>>>,
}

impl GrantRouter {
    /// Takes the session of an instance in; an earlier one of its is dropped.
    pub fn attach(&self, instance: InstanceId, session: UnboundedSender<GrantFrame>) {
        self.sessions.lock().insert(instance, session);
    }

    /// A router without sessions.
    pub fn new(hub: Arc<CellHub>, instance: InstanceId) -> Self {
        let sessions = RankedLock::new(LockRank::Sessions, BTreeMap::new());
        Self {
            hub,
            instance,
            sessions,
        }
    }
}

impl GrantSink for GrantRouter {
    fn deliver(&self, model: &ModelId, key: RequestKey, grant: CellGrant) {
        let frame = GrantFrame {
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
        // The instance announces itself again over its next session.
        let _ = session.send(frame);
    }
}
