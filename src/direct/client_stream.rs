//! Stream of a client connection that can be cut while its answer is read.
//!
//! The HTTP library passes over any number of interim answers (1xx) within one call, and as long as
//! more bytes arrive it does not return to the event loop. A read error is the only way to stop it.

use std::io;
use std::pin::Pin;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use http::Request;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Maximum number of interim answers (1xx) to one request.
const INTERIM_ANSWERS_MAX: usize = 32;

/// Limit on the interim answers that a connection receives.
#[derive(Clone, Debug, Default)]
pub(super) struct InterimLimit {
    is_exceeded: Arc<AtomicBool>,
}

/// Stream whose reads fail once the limit on interim answers is exceeded.
pub(super) struct ClientStream {
    stream: TcpStream,
    limit: InterimLimit,
}

impl InterimLimit {
    /// Counts the interim answers to `request` from now on.
    pub(super) fn count<B>(&self, request: &mut Request<B>) {
        let is_exceeded = Arc::clone(&self.is_exceeded);
        let count = AtomicUsize::new(0);
        hyper::ext::on_informational(request, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) >= INTERIM_ANSWERS_MAX {
                is_exceeded.store(true, Ordering::Relaxed);
            }
        });
    }
}

impl ClientStream {
    pub(super) fn new(stream: TcpStream, limit: InterimLimit) -> ClientStream {
        ClientStream { stream, limit }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_exceeded.load(Ordering::Relaxed) {
            return Poll::Ready(Err(io::Error::other("interim answers without end")));
        }
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
