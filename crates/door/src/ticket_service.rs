//! Puts tickets before the handlers of a server.

use {
    crate::{
        admission_gate::AdmissionGate, ticket_dispatcher::TicketDispatcher,
        ticket_peers::TicketPeers, ticket_registry::TicketRegistry,
    },
    axum::{Router, body::Body, routing},
    bon::bon,
    claim::ClaimKeeper,
    http::Request,
    peer::{PeerDriver, PeerEndpoint},
    plat::RowStore,
    std::sync::Arc,
};

#[bon]
impl<S: RowStore + 'static> TicketDispatcher<S> {
    /// A door before `handlers`. `claim_secret` has to be the same at all instances.
    #[builder]
    pub fn new(
        claim_secret: u64,
        registry: Arc<TicketRegistry>,
        endpoint: PeerEndpoint,
        gate: Arc<AdmissionGate>,
        handlers: Router,
        /// The largest body, bytes.
        limit: usize,
        members: Arc<PeerDriver>,
        store: Arc<S>,
    ) -> Self {
        Self {
            claim_secret,
            registry,
            gate,
            handlers,
            keeper: ClaimKeeper::new(store),
            limit,
            peers: TicketPeers::new(endpoint, members),
        }
    }
}

impl<S: RowStore + 'static> TicketDispatcher<S> {
    /// The routes of callers, with tickets.
    pub fn routes(self: Arc<Self>) -> Router {
        let minting = self.clone();
        let mint = move |request: Request<Body>| {
            let dispatcher = minting.clone();
            async move { dispatcher.handle_mint(request).await }
        };
        let handle = move |request: Request<Body>| {
            let dispatcher = self.clone();
            async move { dispatcher.handle(request).await }
        };
        Router::new()
            .route("/v1/tickets", routing::post(mint))
            .fallback(handle)
    }
}
