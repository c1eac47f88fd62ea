//! The client and the server of one instance.

use {
    crate::{FORWARD_TAG, ForwardClient, ForwardServer},
    kernel::WorkerPool,
    peer::PeerEndpoint,
    relay::{CallerDialect, RelayCore, UpstreamDialect},
    std::{sync::Arc, time::Duration},
};

/// The running client and server.
#[derive(Debug)]
pub struct Forwarding<D> {
    server: ForwardServer<D>,
}

impl<D: CallerDialect + UpstreamDialect> Forwarding<D> {
    /// Waits for the requests of other instances once none are accepted any more, at most for `limit`. Returns how many
    /// were cut off.
    pub async fn close(self, limit: Duration) -> usize {
        self.server.close(limit).await
    }

    /// Starts to forward requests and to serve those of others.
    pub fn start(core: &Arc<RelayCore<D>>, endpoint: &PeerEndpoint, pool: &WorkerPool) -> Self {
        let server = ForwardServer::new(core.clone());
        pool.spawn(server.clone().run(endpoint.register(FORWARD_TAG)));
        match core.forwarding.open() {
            Some(jobs) => pool.spawn(ForwardClient::new(core.clone(), endpoint.clone()).run(jobs)),
            None => tracing::warn!("requests are forwarded already"),
        }
        Self { server }
    }
}
