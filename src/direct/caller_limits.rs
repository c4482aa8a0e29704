//! Applies the limits on callers' requests that are in force, on connections of any age.
//!
//! A version can change the limits while connections are kept, and the HTTP library takes its limits
//! when a connection is accepted. Therefore the library gets none that a version could raise: the
//! stream counts the bytes of a head that is not complete, and a timer follows the time for which
//! the connection waits for a request.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hemlockrouter_types::routing::CallerLimits;
use http::request;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum size of the HTTP library's buffer, in bytes. No limit on heads above it takes effect.
pub(super) const HEAD_BUFFER_MAX_BYTES: usize = 16 << 20;

/// Bytes of a head beside the method, target, names and values: the version and its separators.
const REQUEST_LINE_EXTRA_BYTES: usize = " HTTP/1.1\r\n".len() + 1;

/// Bytes of a header line beside the name and the value.
const HEADER_LINE_EXTRA_BYTES: usize = ":\r\n".len();

/// Response to a head that exceeds the limit before it is complete.
const HEAD_TOO_LARGE_RESPONSE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// State of a connection that the limits apply to. Clones share one state.
#[derive(Clone)]
pub(super) struct ConnectionMeter(Rc<MeterCells>);

struct MeterCells {
    limits: watch::Receiver<CallerLimits>,
    /// Whether a request has been read and its response is not complete yet.
    is_in_request: Cell<bool>,
    /// Number of bytes that were read of the next head.
    head_bytes: Cell<usize>,
    /// Time since which the connection waits for a complete head.
    waiting_since: Cell<Instant>,
}

impl ConnectionMeter {
    pub(super) fn new(limits: watch::Receiver<CallerLimits>) -> ConnectionMeter {
        ConnectionMeter(Rc::new(MeterCells {
            limits,
            is_in_request: Cell::new(false),
            head_bytes: Cell::new(0),
            waiting_since: Cell::new(Instant::now()),
        }))
    }

    /// Records that the head of a request is complete.
    pub(super) fn begin_request(&self) {
        self.0.is_in_request.set(true);
    }

    /// Records that a request has got its response. What follows is the next head.
    pub(super) fn end_request(&self) {
        self.0.is_in_request.set(false);
        self.0.head_bytes.set(0);
        self.0.waiting_since.set(Instant::now());
    }

    /// Waits until the connection has waited for a complete head for longer than the limits in force
    /// allow.
    pub(super) async fn wait_for_timeout(&self) {
        let mut limits = self.0.limits.clone();
        loop {
            let waiting_since = match self.0.is_in_request.get() {
                true => Instant::now(),
                false => self.0.waiting_since.get(),
            };
            let in_force = *limits.borrow_and_update();
            let wait_ms = in_force
                .idle_timeout_ms
                .saturating_add(in_force.header_timeout_ms);
            let timeout_at = waiting_since.checked_add(Duration::from_millis(wait_ms));
            if timeout_at.is_some_and(|at| at <= Instant::now()) {
                return;
            }
            tokio::select! {
                () = sleep_until(timeout_at) => {}
                changed = limits.changed() => if changed.is_err() {
                    // The instance has ended.
                    return std::future::pending().await;
                },
            }
        }
    }

    /// Records that a part of a response was written, which the caller may take slowly.
    fn note_written(&self, result: &Poll<io::Result<usize>>) {
        if matches!(result, Poll::Ready(Ok(_))) {
            self.0.waiting_since.set(Instant::now());
        }
    }

    fn is_head_too_large(&self) -> bool {
        let max_bytes = self.0.limits.borrow().header_max_bytes;
        !self.0.is_in_request.get() && self.0.head_bytes.get() > max_bytes
    }

    fn count_read(&self, bytes: usize) {
        if !self.0.is_in_request.get() {
            self.0.head_bytes.set(self.0.head_bytes.get() + bytes);
        }
    }
}

/// Sleeps until `at`, or forever if the clock can't represent that time.
async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Returns the smallest size that the head of a request can have had, in bytes.
pub(super) fn head_bytes(head: &request::Parts) -> usize {
    let target = head.uri.path_and_query();
    let target_bytes = target.map_or(0, |target| target.as_str().len());
    let headers = head.headers.iter();
    let lines_bytes = headers
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_EXTRA_BYTES)
        .sum::<usize>();
    head.method.as_str().len() + target_bytes + REQUEST_LINE_EXTRA_BYTES + lines_bytes
}

/// Stream of a connection whose heads are measured. A head that exceeds the limit before it is
/// complete gets a response, and the connection ends.
pub(super) struct MeteredStream<S> {
    stream: S,
    meter: ConnectionMeter,
    unsent_response: &'static [u8],
}

impl<S> MeteredStream<S> {
    pub(super) fn new(stream: S, meter: ConnectionMeter) -> MeteredStream<S> {
        MeteredStream {
            stream,
            meter,
            unsent_response: HEAD_TOO_LARGE_RESPONSE,
        }
    }
}

impl<S> AsyncRead for MeteredStream<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.meter.is_head_too_large() {
            while !this.unsent_response.is_empty() {
                let stream = Pin::new(&mut this.stream);
                let sent_bytes = std::task::ready!(stream.poll_write(cx, this.unsent_response))?;
                this.unsent_response = &this.unsent_response[sent_bytes..];
            }
            // Nothing more is read.
            return Poll::Ready(Ok(()));
        }
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(cx, buffer);
        this.meter.count_read(buffer.filled().len() - filled_before);
        result
    }
}

impl<S> AsyncWrite for MeteredStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, data);
        self.meter.note_written(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.meter.note_written(&result);
        result
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
