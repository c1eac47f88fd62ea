//! A TCP connection whose reads and flushes are watched.

use {
    crate::socket_options::reset_on_close,
    std::{
        io::{self, IoSlice},
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Watches a connection.
pub trait StreamWatch: Unpin {
    /// Whether a connection that is dropped now is to be reset, so that what was written and has not arrived is lost.
    fn is_cut_short(&self) -> bool {
        false
    }

    /// All that the HTTP library had to write is written: it flushes once its own buffers are empty.
    fn note_flush(&self) {}

    /// Bytes were read.
    ///
    /// # Errors
    ///
    /// The connection is to be closed.
    fn note_read(&self, _bytes: usize) -> io::Result<()> {
        Ok(())
    }
}

/// The connection.
#[derive(Debug)]
pub struct WatchedStream<W: StreamWatch> {
    stream: TcpStream,
    watch: W,
}

impl<W: StreamWatch> WatchedStream<W> {
    /// Watches a connection.
    pub fn new(stream: TcpStream, watch: W) -> Self {
        Self { stream, watch }
    }
}

impl<W: StreamWatch> Drop for WatchedStream<W> {
    fn drop(&mut self) {
        if self.watch.is_cut_short() {
            reset_on_close(&self.stream);
        }
    }
}

impl<W: StreamWatch> AsyncRead for WatchedStream<W> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.watch.note_read(buffer.filled().len() - before))
    }
}

impl<W: StreamWatch> AsyncWrite for WatchedStream<W> {
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.watch.note_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
}
