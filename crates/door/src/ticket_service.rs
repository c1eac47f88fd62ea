//! Builds the router that handles tickets in front of the request handlers.

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
    /// Creates a dispatcher in front of `handlers`. `claim_secret` must be the same at all instances.
    #[builder]
    pub fn new(
        claim_secret: u64,
        registry: Arc<TicketRegistry>,
        endpoint: PeerEndpoint,
        gate: Arc<AdmissionGate>,
        handlers: Router,
        /// The maximum size of a request body, in bytes.
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
    /// The routes for callers, including `POST /v1/tickets`.
    pub fn routes(self: Arc<Self>) -> Router {
        let dispatcher = self.clone();
        let mint = move |request: Request<Body>| {
            let dispatcher = dispatcher.clone();
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
