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
pub struct CellSeat {
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
    seats: RankedLock<BTreeMap<ModelId, CellSeat>>,
    serial: AtomicU64,
}

impl CellHub {
    /// A hub without seats: requests wait until their cell has one.
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            incarnation: AtomicU64::new(incarnation),
            instance,
            requests: Arc::new(RequestTable::new()),
            seats: RankedLock::new(LockRank::Seats, BTreeMap::new()),
            serial: AtomicU64::new(1),
        }
    }

    /// The allocator of each cell.
    pub fn allocators(&self) -> BTreeMap<ModelId, InstanceId> {
        let seats = self.seats.lock();
        let named = seats.iter();
        named
            .map(|(model, seat)| (model.clone(), seat.allocator.clone()))
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
        let Some(model) = self.requests.note(key.serial, &notice) else {
            return;
        };
        self.send(CellFrame::Notice {
            key: key.clone(),
            model,
            notice,
        });
        self.refuse_ended_life(key);
    }

    /// Takes a grant of a cell's allocator. Grants of an instance that is not the cell's allocator any more are dropped.
    pub fn on_grant(&self, allocator: &InstanceId, frame: GrantFrame) {
        let model = &frame.model;
        // The cell keeps its allocator until the grant is noted: a new one is told of it then.
        let seats = self.seats.lock();
        let Some(seat) = seats.get(model) else {
            return;
        };
        if seat.allocator != *allocator {
            return;
        }
        let Some(answer) = self.requests.deliver(&frame.key, frame.grant) else {
            return;
        };
        // A closed session is followed by another seat, to which everything is announced.
        let _ = seat.frames.send(with_model(answer, model));
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
        let is_meant = |submit: &CellSubmit| submit.model == *model;
        self.requests
            .refuse_waiting(is_meant, ResultCode::UpstreamMissing, retry_after);
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
        self.refuse_ended_life(key);
    }

    /// Gives a cell another allocator and announces to it what this instance holds.
    pub fn seat(&self, model: &ModelId, seat: CellSeat) {
        let frames = seat.frames.clone();
        // What happens meanwhile is sent after the announcement that doesn't tell of it.
        let mut seats = self.seats.lock();
        seats.insert(model.clone(), seat);
        for frame in self.requests.announcements(&self.instance, model) {
            // A closed session is followed by another seat.
            let _ = frames.send(frame);
        }
    }

    /// The allocator of a cell.
    pub fn seated(&self, model: &ModelId) -> Option<InstanceId> {
        self.seats
            .lock()
            .get(model)
            .map(|seat| seat.allocator.clone())
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
        self.refuse_ended_life(key);
        receiver
    }

    /// Refuses a request that waits for a grant and belongs to an ended life: no allocator takes it.
    fn refuse_ended_life(&self, key: &RequestKey) {
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
        let seats = self.seats.lock();
        let Some(seat) = seats.get(frame.model()) else {
            return;
        };
        // A closed session is followed by another seat, to which everything is announced.
        let _ = seat.frames.send(frame);
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
