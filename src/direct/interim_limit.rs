//! Limit on the interim answers (1xx) that a client connection receives.
//!
//! The HTTP library passes over any number of interim answers within one call, and as long as more
//! bytes arrive it does not return to the event loop. A read error is the only way to stop it.

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
use tokio::io::Join;
use tokio::io::ReadBuf;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;

/// Maximum number of interim answers to one request.
const INTERIM_ANSWERS_MAX: usize = 32;

/// Limit on the interim answers that a connection receives.
#[derive(Clone, Debug, Default)]
pub(super) struct InterimLimit {
    is_exceeded: Arc<AtomicBool>,
}

/// Receiving half of a connection, whose reads fail once the limit is exceeded.
pub(super) struct LimitedReader {
    reader: OwnedReadHalf,
    limit: InterimLimit,
}

impl InterimLimit {
    /// Applies the limit to a stream.
    pub(super) fn limit(&self, stream: TcpStream) -> Join<LimitedReader, OwnedWriteHalf> {
        let (reader, writer) = stream.into_split();
        let limit = self.clone();
        tokio::io::join(LimitedReader { reader, limit }, writer)
    }

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

impl AsyncRead for LimitedReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_exceeded.load(Ordering::Relaxed) {
            return Poll::Ready(Err(io::Error::other("interim answers without end")));
        }
        Pin::new(&mut self.reader).poll_read(cx, buffer)
    }
}
