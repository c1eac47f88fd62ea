//! Sends this instance's requests to the allocators of their cells, local or remote, and distributes the grants.

use {
    crate::{
        cell_frame::{CellFrame, CellSubmit, GrantFrame},
        cell_notice::{CellGrant, CellNotice},
        model_request::ModelRequest,
        prefix_hashes::{prefix_hashes, prompt_tokens},
        request_table::RequestTable,
        upstream_registry::UpstreamRegistry,
    },
    admit::RequestKey,
    kernel::{Incarnation, InstanceId, LockRank, ModelId, RankedLock, ResultCode},
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
};

/// The retry delay after a refusal because the other instances considered this one gone.
const RENEWED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The destination of a cell's frames.
#[derive(Clone, Debug)]
pub struct CellRoute {
    /// The instance that allocates the cell.
    pub allocator: InstanceId,
    /// The channel to the allocator.
    pub frames: UnboundedSender<CellFrame>,
}

/// The entry instance's side of all cells.
#[derive(Debug)]
pub struct CellHub {
    incarnation: AtomicU64,
    instance: InstanceId,
    registry: Arc<UpstreamRegistry>,
    requests: Arc<RequestTable>,
    routes: RankedLock<BTreeMap<ModelId, CellRoute>>,
    serial: AtomicU64,
}

impl CellHub {
    /// Creates a hub without routes. Requests wait until their cell has one.
    pub fn new(
        instance: InstanceId,
        incarnation: Incarnation,
        registry: Arc<UpstreamRegistry>,
    ) -> Self {
        Self {
            incarnation: AtomicU64::new(incarnation),
            instance,
            registry,
            requests: Arc::new(RequestTable::new()),
            routes: RankedLock::new(LockRank::Seats, BTreeMap::new()),
            serial: AtomicU64::new(1),
        }
    }

    /// The allocator of each cell with a route.
    pub fn allocators(&self) -> BTreeMap<ModelId, InstanceId> {
        let routes = self.routes.lock();
        let entries = routes.iter();
        entries
            .map(|(model, route)| (model.clone(), route.allocator.clone()))
            .collect()
    }

    /// Generates the key of the next request.
    pub fn next_key(&self) -> RequestKey {
        RequestKey {
            incarnation: self.incarnation.load(Ordering::Acquire),
            instance: self.instance.clone(),
            serial: self.serial.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Reports a change of a request to its allocator.
    pub fn notify(&self, key: &RequestKey, notice: CellNotice) {
        let Some(model) = self.requests.apply_notice(key.serial, &notice) else {
            return;
        };
        self.send(CellFrame::Notice {
            key: key.clone(),
            model,
            notice,
        });
        self.refuse_ended_incarnation(key);
    }

    /// Handles a grant from an allocator. Grants from an instance that is no longer the cell's allocator are dropped.
    pub fn on_grant(&self, allocator: &InstanceId, frame: GrantFrame) {
        let model = &frame.model;
        // The lock keeps the cell's allocator unchanged until the grant is recorded, so that a new allocator learns of
        // it.
        let routes = self.routes.lock();
        let Some(route) = routes.get(model) else {
            return;
        };
        if route.allocator != *allocator {
            return;
        }
        if let (Some(upstream), Some(address)) = (frame.grant.upstream(), frame.address) {
            self.registry.note_granted(upstream, address);
        }
        let Some(reply) = self.requests.deliver(&frame.key, frame.grant) else {
            return;
        };
        // If the session is closed, a new route follows and everything is announced there.
        let _ = route.frames.send(with_model(reply, model));
    }

    /// Removes a request without notifying the allocator, which refused it.
    pub fn forget(&self, key: &RequestKey) {
        self.requests.remove(key.serial);
    }

    /// The requests held by this instance.
    pub fn requests(&self) -> &RequestTable {
        &self.requests
    }

    /// Refuses the requests of a cell that wait for a grant.
    pub fn refuse_cell(&self, model: &ModelId, retry_after: Duration) {
        let is_selected = |submit: &CellSubmit| submit.model == *model;
        self.requests
            .refuse_waiting(is_selected, ResultCode::UpstreamMissing, retry_after);
    }

    /// Starts a new incarnation, because the allocators consider the requests of the previous one gone. Requests that
    /// wait for a grant are refused, and the others as soon as they would wait for one.
    pub fn renew(&self, incarnation: Incarnation) {
        self.incarnation.store(incarnation, Ordering::Release);
        self.requests.refuse_waiting(
            |submit| submit.key.incarnation < incarnation,
            ResultCode::UpstreamMissing,
            RENEWED_RETRY_AFTER,
        );
    }

    /// Queues another attempt of a held request.
    pub fn resubmit(&self, key: &RequestKey) {
        let Some(frame) = self.requests.requeue(key.serial) else {
            return;
        };
        self.send(frame);
        self.refuse_ended_incarnation(key);
    }

    /// Routes a cell to an allocator and announces the requests held here to it.
    pub fn set_route(&self, model: &ModelId, route: CellRoute) {
        let frames = route.frames.clone();
        // Holding the lock orders later changes after the announcement, which does not contain them.
        let mut routes = self.routes.lock();
        routes.insert(model.clone(), route);
        for frame in self.requests.announcements(&self.instance, model) {
            // If the session is closed, a new route follows.
            let _ = frames.send(frame);
        }
    }

    /// The allocator of a cell; `None` without a route.
    pub fn allocator(&self, model: &ModelId) -> Option<InstanceId> {
        self.routes
            .lock()
            .get(model)
            .map(|route| route.allocator.clone())
    }

    /// Queues a request and returns the channel for its grants.
    pub fn submit(&self, key: &RequestKey, request: &ModelRequest) -> UnboundedReceiver<CellGrant> {
        let (grants, receiver) = mpsc::unbounded_channel();
        let submit = CellSubmit {
            age: Duration::ZERO,
            key: key.clone(),
            max_tokens: request.max_tokens,
            model: request.model.clone(),
            prefix: prefix_hashes(&request.prompt),
            prompt_tokens: prompt_tokens(&request.prompt),
            work: request.work.clone(),
        };
        self.requests
            .insert(submit.clone(), request.arrived, grants);
        self.send(CellFrame::Submit(CellSubmit {
            age: request.arrived.elapsed(),
            ..submit
        }));
        self.refuse_ended_incarnation(key);
        receiver
    }

    /// Refuses a request that waits for a grant and belongs to an earlier incarnation, which no allocator accepts.
    fn refuse_ended_incarnation(&self, key: &RequestKey) {
        if key.incarnation >= self.incarnation.load(Ordering::Acquire) {
            return;
        }
        self.requests.refuse_waiting(
            |submit| submit.key == *key,
            ResultCode::UpstreamMissing,
            RENEWED_RETRY_AFTER,
        );
    }

    fn send(&self, frame: CellFrame) {
        let routes = self.routes.lock();
        let Some(route) = routes.get(frame.model()) else {
            return;
        };
        // If the session is closed, a new route follows and everything is announced there.
        let _ = route.frames.send(frame);
    }
}

fn with_model(frame: CellFrame, cell: &ModelId) -> CellFrame {
    match frame {
        CellFrame::Notice { key, notice, .. } => CellFrame::Notice {
            key,
            model: cell.clone(),
            notice,
        },
        frame => frame,
    }
}
