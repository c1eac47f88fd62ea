//! A response body that returns its connection to the pool once it has been read to the end.

use {
    crate::http_pool::{IdleTable, keep_idle},
    bytes::Bytes,
    hyper::{
        body::{Body, Frame, Incoming, SizeHint},
        client::conn::http1::SendRequest,
    },
    std::{
        net::SocketAddr,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// A body that returns its connection to the pool at its end. If it is dropped earlier, the connection is closed.
pub struct PooledBody<B> {
    address: SocketAddr,
    body: Incoming,
    idle: Arc<IdleTable<B>>,
    is_reusable: bool,
    sender: Option<SendRequest<B>>,
}

impl<B> PooledBody<B> {
    pub(crate) fn new(
        address: SocketAddr,
        body: Incoming,
        sender: SendRequest<B>,
        idle: Arc<IdleTable<B>>,
    ) -> Self {
        Self {
            address,
            body,
            idle,
            is_reusable: true,
            sender: Some(sender),
        }
    }

    /// The same body, whose connection is closed at its end.
    pub(crate) fn without_reuse(self) -> Self {
        Self {
            is_reusable: false,
            ..self
        }
    }

    fn return_connection(&mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if !self.is_reusable {
            return;
        }
        keep_idle(&self.idle, self.address, sender);
    }
}

impl<B> Body for PooledBody<B>
where
    Self: Unpin,
{
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(None) = polled {
            self.return_connection();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
