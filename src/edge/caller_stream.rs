//! Connection of a caller that a shutdown closes without losing a request.
//!
//! A kept connection may be closed while the caller's next request is on its way. The caller then
//! can't tell whether the request was run. Before a shutdown closes an idle connection, it therefore
//! sends a response with status 408, which states that no further request on this connection is
//! run. A caller that has just sent a request takes it for the answer, and any other caller finds
//! the connection closed. What still arrives is discarded unread, since a connection that is closed
//! with unread data is reset, and the reset can overtake the response.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::ready;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Sleep;

use crate::edge::phase::ShutdownPhase;

/// Response on a connection that a shutdown closes.
const CLOSING_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Maximum time for which a closed connection waits until the caller closes it too.
const LINGER_MAX: Duration = Duration::from_millis(300);

/// Maximum time for which a connection without a request is kept once idle connections are closed.
pub(crate) const FIRST_REQUEST_MAX: Duration = Duration::from_millis(300);

/// Size of the buffer for discarded data, in bytes.
const DISCARD_BUFFER_BYTES: usize = 1 << 10;

/// Connection of a caller. Shutting it down may send a last response.
pub(crate) struct CallerStream {
    stream: TcpStream,
    phase: watch::Receiver<ShutdownPhase>,
    state: ConnectionState,
    unsent_response: &'static [u8],
    close_state: CloseState,
}

/// What the service of a connection has done on it. Clones share one state.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionState(Arc<ConnectionFlags>);

#[derive(Debug, Default)]
struct ConnectionFlags {
    has_request: AtomicBool,
    is_close_announced: AtomicBool,
}

/// Progress of closing the connection.
enum CloseState {
    Open,
    Responding,
    Closing,
    Lingering(Pin<Box<Sleep>>),
}

impl ConnectionState {
    /// Records that the head of a request has been read.
    pub(crate) fn note_request(&self) {
        self.0.has_request.store(true, Ordering::Relaxed);
    }

    /// Records a response that announces the close.
    pub(crate) fn announce_close(&self) {
        self.0.is_close_announced.store(true, Ordering::Relaxed);
    }

    /// Waits until a shutdown closes the connection. A connection without a request may have been
    /// opened for one that is on its way, so it is closed later.
    pub(crate) async fn wait_to_close(&self, mut phase: watch::Receiver<ShutdownPhase>) {
        // An error means that the server is gone, and the connection is closed then as well.
        let _ = phase.wait_for(|phase| phase.is_closing()).await;
        if !self.0.has_request.load(Ordering::Relaxed) {
            tokio::time::sleep(FIRST_REQUEST_MAX).await;
        }
    }

    fn is_close_announced(&self) -> bool {
        self.0.is_close_announced.load(Ordering::Relaxed)
    }
}

impl CallerStream {
    /// Wraps a connection. `state` is shared with the service that responds on it.
    pub(crate) fn new(
        stream: TcpStream,
        phase: watch::Receiver<ShutdownPhase>,
        state: ConnectionState,
    ) -> CallerStream {
        CallerStream {
            stream,
            phase,
            state,
            unsent_response: CLOSING_RESPONSE,
            close_state: CloseState::Open,
        }
    }

    fn is_closed_by_shutdown(&self) -> bool {
        self.phase.borrow().is_closing() && !self.state.is_close_announced()
    }

    fn poll_respond(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.unsent_response.is_empty() {
            let stream = Pin::new(&mut self.stream);
            let sent_bytes = ready!(stream.poll_write(cx, self.unsent_response))?;
            self.unsent_response = &self.unsent_response[sent_bytes..];
        }
        Poll::Ready(Ok(()))
    }

    /// Discards data until the caller closes the connection.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            let mut buffer = [0; DISCARD_BUFFER_BYTES];
            let mut buffer = ReadBuf::new(&mut buffer);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer))?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CallerStream {
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
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            let is_closed_by_shutdown = this.is_closed_by_shutdown();
            match &mut this.close_state {
                CloseState::Open if is_closed_by_shutdown => {
                    this.close_state = CloseState::Responding;
                }
                CloseState::Open => return Pin::new(&mut this.stream).poll_shutdown(cx),
                CloseState::Responding => {
                    ready!(this.poll_respond(cx))?;
                    this.close_state = CloseState::Closing;
                }
                CloseState::Closing => {
                    ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
                    let linger = tokio::time::sleep(LINGER_MAX);
                    this.close_state = CloseState::Lingering(Box::pin(linger));
                }
                CloseState::Lingering(linger) => {
                    if linger.as_mut().poll(cx).is_ready() {
                        return Poll::Ready(Ok(()));
                    }
                    return this.poll_discard(cx);
                }
            }
        }
    }
}
