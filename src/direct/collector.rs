//! Serves batches: collects parts of searches for other instances.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hemlockrouter_edge::BatchCall;
use hemlockrouter_route::direct::BatchReport;
use hemlockrouter_route::direct::Summary;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::batches::encode_frame;
use super::node::Node;
use super::node::RequestGuard;
use super::request_log::RequestLog;
use crate::edge::phase::ShutdownPhase;

/// Maximum size of a batch call, in bytes. A call contains the caller's body and the parts to
/// collect.
const BATCH_CALL_MAX_BYTES: usize = 16 << 20;

/// Serves batches: collects parts of searches for other instances.
pub(super) struct Collector {
    pub(super) node: Rc<Node>,
    pub(super) log: Rc<RequestLog>,
    pub(super) phase: watch::Receiver<ShutdownPhase>,
}

/// Progress of a batch that is being collected.
pub(super) enum BatchEvent {
    /// Results were collected. An empty value is a sign that the batch is in progress.
    Report(BatchReport),
    /// The batch has ended.
    Ended(Box<Summary>),
}

/// Streaming body of the answer to a batch call. Dropping the body cancels the batch.
pub(super) struct FrameStream {
    log: Rc<RequestLog>,
    call: BatchCall,
    request_guard: RequestGuard,
    events: mpsc::UnboundedReceiver<BatchEvent>,
}

impl Collector {
    /// Accepts a batch call and starts to collect it.
    ///
    /// # Errors
    ///
    /// Returns the HTTP status of the rejection. Nothing was sent to an upstream in that case.
    pub(super) async fn accept(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<FrameStream>, StatusCode> {
        if !self.node.is_configured() || self.phase.borrow().is_closing() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let body = Limited::new(request.into_body(), BATCH_CALL_MAX_BYTES);
        let body = body.collect().await.map_err(|_| StatusCode::BAD_REQUEST)?;
        let call: BatchCall = match rmp_serde::from_slice(&body.to_bytes()) {
            Ok(call) => call,
            Err(err) => {
                log::warn!(why = err.to_string(); "a batch can't be read");
                return Err(StatusCode::BAD_REQUEST);
            }
        };
        let (caller, body) = call.request().map_err(|_| StatusCode::BAD_REQUEST)?;
        let (request_guard, events) = self.node.start_batch(caller, body, &call);
        let frames = FrameStream {
            log: Rc::clone(&self.log),
            call,
            request_guard,
            events,
        };
        Ok(Response::new(frames))
    }
}

impl Body for FrameStream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.events.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(BatchEvent::Report(collected))) => {
                let frame = encode_or_empty(&collected);
                Poll::Ready(Some(Ok(Frame::data(frame))))
            }
            Poll::Ready(Some(BatchEvent::Ended(summary))) => {
                self.request_guard.mark_ended();
                self.log.log_collected(&self.call, &summary);
                Poll::Ready(None)
            }
            Poll::Ready(None) => {
                self.request_guard.mark_ended();
                Poll::Ready(None)
            }
        }
    }
}

fn encode_or_empty(collected: &BatchReport) -> Bytes {
    encode_frame(collected).unwrap_or_else(|err| {
        log::error!(why = err.to_string(); "a frame can't be written");
        Bytes::new()
    })
}
