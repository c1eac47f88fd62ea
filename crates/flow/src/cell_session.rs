//! Sessions with allocators on other instances. Frames are sent to the allocator and grants are returned.

use {
    crate::{
        cell_driver::GrantSink,
        cell_frame::{CellFrame, GrantFrame},
        cell_hub::CellHub,
        cell_table::{CellTable, PolicyFactory},
        grant_router::GrantRouter,
    },
    bytes::Bytes,
    kernel::{InstanceId, WorkerPool},
    peer::{PeerEndpoint, PeerIdentity, PeerIncoming, ProtocolTag, SessionReceiver, SessionSender},
    serde::{Serialize, de::DeserializeOwned},
    std::sync::Arc,
    tokio::sync::mpsc::{self, UnboundedReceiver},
};

/// The protocol tag of allocator sessions.
pub const CELL_TAG: ProtocolTag = 0x20;

/// Accepts the sessions that other instances open with the local allocators.
pub struct SessionHost<M: PolicyFactory> {
    cells: Arc<CellTable<M, GrantRouter>>,
    pool: WorkerPool,
    router: Arc<GrantRouter>,
}

impl<M: PolicyFactory> SessionHost<M> {
    /// Creates a host for the allocators in `cells`. Its sessions run in `pool`.
    pub fn new(
        cells: Arc<CellTable<M, GrantRouter>>,
        pool: WorkerPool,
        router: Arc<GrantRouter>,
    ) -> Self {
        Self {
            cells,
            pool,
            router,
        }
    }

    /// Accepts sessions until `incoming` is closed.
    pub async fn run(self, mut incoming: tokio::sync::mpsc::Receiver<PeerIncoming>) {
        while let Some(session) = incoming.recv().await {
            let PeerIncoming::Session {
                from,
                receiver,
                sender,
            } = session
            else {
                continue;
            };
            let (grants, outbox) = mpsc::unbounded_channel();
            self.router.attach(from.instance.clone(), grants);
            self.pool.spawn(send_all(sender, outbox));
            self.pool
                .spawn(take_frames(self.cells.clone(), from, receiver));
        }
    }
}

/// Runs the local side of one session until it breaks or `frames` is closed.
pub async fn run_session(
    endpoint: PeerEndpoint,
    allocator: InstanceId,
    hub: Arc<CellHub>,
    frames: UnboundedReceiver<CellFrame>,
) {
    let Ok((sender, receiver)) = endpoint.open_session(&allocator, CELL_TAG).await else {
        return;
    };
    tokio::select! {
        () = send_all(sender, frames) => {}
        () = take_grants(hub, allocator, receiver) => {}
    }
}

async fn send_all<T: Serialize>(mut sender: SessionSender, mut outbox: UnboundedReceiver<T>) {
    while let Some(frame) = outbox.recv().await {
        let Ok(body) = postcard::to_stdvec(&frame) else {
            continue;
        };
        if sender.send(CELL_TAG, &body).await.is_err() {
            return;
        }
    }
    sender.close().await;
}

async fn take_frames<M: PolicyFactory, S: GrantSink>(
    cells: Arc<CellTable<M, S>>,
    from: PeerIdentity,
    mut receiver: SessionReceiver,
) {
    while let Ok(Some(frame)) = receiver.receive().await {
        let Some(frame) = decode::<CellFrame>(&frame.body) else {
            return;
        };
        // An instance may only send frames about its own requests.
        if *frame.instance() != from.instance {
            continue;
        }
        cells.on_frame(frame);
    }
}

async fn take_grants(hub: Arc<CellHub>, allocator: InstanceId, mut receiver: SessionReceiver) {
    while let Ok(Some(frame)) = receiver.receive().await {
        let Some(frame) = decode::<GrantFrame>(&frame.body) else {
            return;
        };
        hub.on_grant(&allocator, frame);
    }
}

fn decode<T: DeserializeOwned>(body: &Bytes) -> Option<T> {
    postcard::from_bytes(body).ok()
}
