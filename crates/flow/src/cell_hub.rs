//! Takes this instance's requests to the allocators of their cells, wherever those are, and brings the grants back.

use {
    crate::{
        cell_frame::{CellFrame, CellSubmit, GrantFrame},
        cell_notice::{CellGrant, CellNotice},
        model_request::ModelRequest,
        prefix_hashes::{prefix_hashes, prompt_tokens},
        request_table::RequestTable,
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

/// When to come back after a request was refused because this instance was held for gone.
const RENEWED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Where the frames of one cell go.
#[derive(Clone, Debug)]
pub struct CellRoute {
    /// The allocator.
    pub allocator: InstanceId,
    /// Takes the frames to it.
    pub frames: UnboundedSender<CellFrame>,
}

/// This instance's side of all cells.
#[derive(Debug)]
pub struct CellHub {
    incarnation: AtomicU64,
    instance: InstanceId,
    requests: Arc<RequestTable>,
    routes: RankedLock<BTreeMap<ModelId, CellRoute>>,
    serial: AtomicU64,
}

impl CellHub {
    /// A hub without seats: requests wait until their cell has one.
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            incarnation: AtomicU64::new(incarnation),
            instance,
            requests: Arc::new(RequestTable::new()),
            routes: RankedLock::new(LockRank::Seats, BTreeMap::new()),
            serial: AtomicU64::new(1),
        }
    }

    /// The allocator of each cell.
    pub fn allocators(&self) -> BTreeMap<ModelId, InstanceId> {
        let routes = self.routes.lock();
        let named = routes.iter();
        named
            .map(|(model, route)| (model.clone(), route.allocator.clone()))
            .collect()
    }

    /// The name that the next request gets.
    pub fn next_key(&self) -> RequestKey {
        RequestKey {
            incarnation: self.incarnation.load(Ordering::Acquire),
            instance: self.instance.clone(),
            serial: self.serial.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Tells the allocator what happened to a request.
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

    /// Takes a grant of a cell's allocator. Grants of an instance that is not the cell's allocator any more are dropped.
    pub fn on_grant(&self, allocator: &InstanceId, frame: GrantFrame) {
        let model = &frame.model;
        // The cell keeps its allocator until the grant is noted: a new one is told of it then.
        let routes = self.routes.lock();
        let Some(route) = routes.get(model) else {
            return;
        };
        if route.allocator != *allocator {
            return;
        }
        let Some(answer) = self.requests.deliver(&frame.key, frame.grant) else {
            return;
        };
        // A closed session is followed by another seat, to which everything is announced.
        let _ = route.frames.send(with_model(answer, model));
    }

    /// Takes the request to the end of its time at the allocator, without a word: the allocator refused it.
    pub fn forget(&self, key: &RequestKey) {
        self.requests.remove(key.serial);
    }

    /// The requests that are held.
    pub fn requests(&self) -> &RequestTable {
        &self.requests
    }

    /// Refuses the requests of a cell that wait for a grant.
    pub fn refuse_cell(&self, model: &ModelId, retry_after: Duration) {
        let is_selected = |submit: &CellSubmit| submit.model == *model;
        self.requests
            .refuse_waiting(is_selected, ResultCode::UpstreamMissing, retry_after);
    }

    /// Starts a new life: the allocators hold the requests of the earlier one for gone. Those that wait for a grant are
    /// refused, and the others as soon as they would wait for one.
    pub fn renew(&self, incarnation: Incarnation) {
        self.incarnation.store(incarnation, Ordering::Release);
        self.requests.refuse_waiting(
            |submit| submit.key.incarnation < incarnation,
            ResultCode::UpstreamMissing,
            RENEWED_RETRY_AFTER,
        );
    }

    /// Queues a further attempt of a request that is held.
    pub fn resubmit(&self, key: &RequestKey) {
        let Some(frame) = self.requests.requeue(key.serial) else {
            return;
        };
        self.send(frame);
        self.refuse_ended_incarnation(key);
    }

    /// Gives a cell another allocator and announces to it what this instance holds.
    pub fn set_route(&self, model: &ModelId, route: CellRoute) {
        let frames = route.frames.clone();
        // What happens meanwhile is sent after the announcement that doesn't tell of it.
        let mut routes = self.routes.lock();
        routes.insert(model.clone(), route);
        for frame in self.requests.announcements(&self.instance, model) {
            // A closed session is followed by another seat.
            let _ = frames.send(frame);
        }
    }

    /// The allocator of a cell.
    pub fn allocator(&self, model: &ModelId) -> Option<InstanceId> {
        self.routes
            .lock()
            .get(model)
            .map(|route| route.allocator.clone())
    }

    /// Queues a request; its grants come over the channel.
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

    /// Refuses a request that waits for a grant and belongs to an ended life: no allocator takes it.
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
        // A closed session is followed by another seat, to which everything is announced.
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
